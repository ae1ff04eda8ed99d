package soak

import (
	"io"
	"net"
	"sync"
	"testing"
	"time"
)

// relayMode is what a relay does with bytes.
type relayMode int

const (
	relayPass relayMode = iota
	// relayDelay holds each piece back for a while.
	relayDelay
	// relaySilent takes bytes and passes nothing on, in either direction.
	relaySilent
	// relayOneWay passes on only what goes to the store.
	relayOneWay
	// relayReset resets connections.
	relayReset
	relayModes
)

const relayPause = 150 * time.Millisecond

// relay stands between a VM and the store.
type relay struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	mode  relayMode
	conns map[net.Conn]bool
}

func startRelay(t *testing.T, target string) *relay {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	r := &relay{listener: l, target: target, conns: make(map[net.Conn]bool)}
	t.Cleanup(func() {
		l.Close()
		r.closeAll()
	})
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go r.serve(c)
		}
	}()
	return r
}

func (r *relay) address() string { return r.listener.Addr().String() }

func (r *relay) set(m relayMode) {
	r.mu.Lock()
	r.mode = m
	r.mu.Unlock()
	// Connections that were silenced have lost bytes and can't go on.
	if m == relayReset || m == relayPass {
		r.closeAll()
	}
}

func (r *relay) current() relayMode {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.mode
}

func (r *relay) closeAll() {
	r.mu.Lock()
	conns := r.conns
	r.conns = make(map[net.Conn]bool)
	r.mu.Unlock()
	for c := range conns {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
		c.Close()
	}
}

func (r *relay) serve(c net.Conn) {
	defer c.Close()
	if r.current() == relayReset {
		return
	}
	up, err := net.Dial("tcp", r.target)
	if err != nil {
		return
	}
	defer up.Close()
	r.mu.Lock()
	r.conns[c], r.conns[up] = true, true
	r.mu.Unlock()
	done := make(chan struct{}, 2)
	go func() { r.pass(up, c, true); done <- struct{}{} }()
	go func() { r.pass(c, up, false); done <- struct{}{} }()
	<-done
	r.mu.Lock()
	delete(r.conns, c)
	delete(r.conns, up)
	r.mu.Unlock()
}

func (r *relay) pass(to io.Writer, from io.Reader, towardsStore bool) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			return
		}
		switch r.current() {
		case relaySilent:
			continue
		case relayOneWay:
			if !towardsStore {
				continue
			}
		case relayDelay:
			time.Sleep(relayPause)
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
	}
}

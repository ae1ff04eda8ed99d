// Package testkit has what tests of several packages share: a relay that harms
// connections, and a buffer for the output of processes.
package testkit

import (
	"errors"
	"io"
	"net"
	"sync"
	"syscall"
	"testing"
	"time"
)

// Mode is what a Relay does with bytes.
type Mode int

// NumModes of a Relay.
const (
	// Pass passes everything on.
	Pass Mode = iota
	// Delay holds each piece back for a while.
	Delay
	// Silence takes bytes and passes nothing on, in either direction.
	Silence
	// OneWay passes on only what goes to the target.
	OneWay
	// Cut drops all connections and refuses new ones.
	Cut
	// NumModes is the number of modes.
	NumModes
)

// delay is how long Delay holds a piece back.
const delay = 150 * time.Millisecond

// Relay is a TCP relay in front of one address. It is safe for concurrent use.
type Relay struct {
	target string
	l      net.Listener

	mu   sync.Mutex
	mode Mode
	// admit tells whether a connection passes, and returns what it read from it
	// to find out. Nil admits all.
	admit func(net.Conn) ([]byte, bool)
	conns map[net.Conn]bool
}

// NewRelay listens on a loopback address until the test ends.
func NewRelay(t *testing.T, target string) *Relay {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	r := &Relay{target: target, l: l, conns: make(map[net.Conn]bool)}
	t.Cleanup(func() { l.Close(); r.Set(Cut) })
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

// Address is where the relay listens.
func (r *Relay) Address() string { return r.l.Addr().String() }

// Target is the address behind the relay.
func (r *Relay) Target() string { return r.target }

// Set changes the mode. Connections that were silenced have lost bytes and can't go
// on, so they are dropped when another mode follows.
func (r *Relay) Set(m Mode) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if m == Cut || (r.mode != m && (r.mode == Silence || r.mode == OneWay)) {
		r.dropAll()
	}
	r.mode = m
}

// SetCut drops all connections and refuses new ones, or lets them pass again.
func (r *Relay) SetCut(cut bool) {
	if cut {
		r.Set(Cut)
	} else {
		r.Set(Pass)
	}
}

// SetAdmit drops all connections and decides which new ones pass.
func (r *Relay) SetAdmit(admit func(net.Conn) ([]byte, bool)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.admit = admit
	r.dropAll()
}

// dropAll resets all connections: an orderly close would look like the end of an
// answer without a length.
func (r *Relay) dropAll() {
	for c := range r.conns {
		resetOnClose(c)
		c.Close()
	}
}

func (r *Relay) currentMode() Mode {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.mode
}

func (r *Relay) add(c net.Conn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.mode == Cut {
		c.Close()
		return false
	}
	r.conns[c] = true
	return true
}

func (r *Relay) remove(c net.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.conns, c)
}

func (r *Relay) serve(in net.Conn) {
	defer in.Close()
	r.mu.Lock()
	admit := r.admit
	r.mu.Unlock()
	if !r.add(in) {
		return
	}
	defer r.remove(in)
	var sent []byte
	if admit != nil {
		var ok bool
		if sent, ok = admit(in); !ok {
			return
		}
	}
	out, err := net.Dial("tcp", r.target)
	if err != nil {
		return
	}
	defer out.Close()
	if !r.add(out) {
		return
	}
	defer r.remove(out)
	if _, err := out.Write(sent); err != nil {
		return
	}
	done := make(chan error, 2)
	go func() { done <- r.forward(out, in, true) }()
	go func() { done <- r.forward(in, out, false) }()
	if err := <-done; errors.Is(err, syscall.ECONNRESET) {
		// The other end must not take a reset for the end of an answer.
		resetOnClose(in)
		resetOnClose(out)
	}
}

func resetOnClose(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
}

// forward copies bytes as the mode says until one end closes, and returns why.
func (r *Relay) forward(dst io.Writer, src io.Reader, towardsTarget bool) error {
	buffer := make([]byte, 32<<10)
	for {
		n, err := src.Read(buffer)
		if err != nil {
			return err
		}
		switch mode := r.currentMode(); {
		case mode == Silence, mode == OneWay && !towardsTarget:
			continue
		case mode == Delay:
			time.Sleep(delay)
		}
		if _, err := dst.Write(buffer[:n]); err != nil {
			return err
		}
	}
}

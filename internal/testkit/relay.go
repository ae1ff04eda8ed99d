// Package testkit contains helpers for the tests of several packages: a relay that
// disturbs connections, free loopback addresses, and a buffer for the output of processes.
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

// Mode is how a Relay treats connections and their bytes.
type Mode int

// Modes of a Relay.
const (
	// Pass forwards everything.
	Pass Mode = iota
	// Delay forwards each read after a delay of 150 ms.
	Delay
	// Silence reads the bytes of both directions and drops them.
	Silence
	// OneWay forwards the bytes to the target and drops those from it.
	OneWay
	// Cut resets all connections and closes new ones at once.
	Cut
	// NumModes is the number of modes.
	NumModes
)

// delay is how long Delay holds back each read.
const delay = 150 * time.Millisecond

// Relay is a TCP relay in front of one address. It is safe for concurrent use.
type Relay struct {
	target string
	l      net.Listener

	mu   sync.Mutex
	mode Mode
	// admit reports whether a connection is accepted, and returns the bytes that it read
	// from the connection to decide. Nil accepts all.
	admit func(net.Conn) ([]byte, bool)
	conns map[net.Conn]bool
}

// NewRelay returns a relay to target that listens on a loopback address until the test
// ends.
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

// Address returns the address on which the relay listens.
func (r *Relay) Address() string { return r.l.Addr().String() }

// Target returns the address to which the relay forwards.
func (r *Relay) Target() string { return r.target }

// Set changes the mode. When Silence or OneWay ends, all connections are reset, because
// bytes of them may be lost.
func (r *Relay) Set(m Mode) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if m == Cut || (r.mode != m && (r.mode == Silence || r.mode == OneWay)) {
		r.dropAll()
	}
	r.mode = m
}

// SetCut sets the mode to Cut, or back to Pass.
func (r *Relay) SetCut(cut bool) {
	if cut {
		r.Set(Cut)
	} else {
		r.Set(Pass)
	}
}

// SetAdmit resets all connections and sets the function that decides which new ones are
// accepted.
func (r *Relay) SetAdmit(admit func(net.Conn) ([]byte, bool)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.admit = admit
	r.dropAll()
}

// dropAll resets all connections. A graceful close would look like the end of an answer
// without Content-Length. The lock is held.
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

// add adds an open connection. In mode Cut it closes the connection and returns false.
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
		// A graceful close would make the other side take the reset for the end of an
		// answer.
		resetOnClose(in)
		resetOnClose(out)
	}
}

// resetOnClose makes Close of a TCP connection send a reset.
func resetOnClose(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
}

// forward copies bytes according to the mode until a read or write fails, and returns the
// error.
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

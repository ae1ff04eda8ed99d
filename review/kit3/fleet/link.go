//go:build review

package fleet

import (
	"io"
	"net"
	"sync"
)

// Link forwards connections to an address. While it is cut, it resets its connections and each
// new one.
type Link struct {
	to string
	l  net.Listener

	mu    sync.Mutex
	isCut bool
	conns map[net.Conn]bool
}

// NewLink returns a link to an address.
func NewLink(to string) (*Link, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	k := &Link{to: to, l: l, conns: make(map[net.Conn]bool)}
	go k.accept()
	return k, nil
}

// Address returns the address that the link listens on.
func (k *Link) Address() string { return k.l.Addr().String() }

// Close ends the link.
func (k *Link) Close() {
	k.l.Close()
	k.Cut(true)
}

// Cut begins or ends a cut.
func (k *Link) Cut(isCut bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.isCut = isCut
	if isCut {
		for c := range k.conns {
			reset(c)
		}
		clear(k.conns)
	}
}

func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	c.Close()
}

func (k *Link) accept() {
	for {
		c, err := k.l.Accept()
		if err != nil {
			return
		}
		go k.forward(c)
	}
}

func (k *Link) forward(a net.Conn) {
	b, err := net.Dial("tcp", k.to)
	k.mu.Lock()
	if err != nil || k.isCut {
		k.mu.Unlock()
		reset(a)
		if err == nil {
			b.Close()
		}
		return
	}
	k.conns[a], k.conns[b] = true, true
	k.mu.Unlock()
	var group sync.WaitGroup
	group.Go(func() { _, _ = io.Copy(a, b); a.Close() })
	_, _ = io.Copy(b, a)
	b.Close()
	group.Wait()
	k.mu.Lock()
	delete(k.conns, a)
	delete(k.conns, b)
	k.mu.Unlock()
}

package testkit

import (
	"io"
	"net"
	"sync"
	"testing"
	"time"
)

// Slow links that delay no connections, or give each connection the whole rate, would let
// tests of narrow links pass without one.
func TestSlowLinksDelayConnectionsAndShareTheirRate(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() { _, _ = io.Copy(c, c); c.Close() }()
		}
	}()
	const numConns, size, rate = 3, 20 << 10, 200 << 10
	links := new(Links)
	links.SetSpeed(Speed{OpenDelay: 100 * time.Millisecond, BytesPerSecond: rate})
	conns := make([]net.Conn, numConns)
	for k := range conns {
		started := time.Now()
		if conns[k], err = links.Dial(t.Context(), "tcp", l.Addr().String()); err != nil {
			t.Fatal(err)
		}
		defer conns[k].Close()
		if took := time.Since(started); took < 100*time.Millisecond {
			t.Errorf("a connection opened after %s", took)
		}
	}
	// exchange sends size bytes on each connection and reads them again.
	exchange := func() time.Duration {
		started := time.Now()
		var group sync.WaitGroup
		for _, c := range conns {
			group.Go(func() { _, _ = c.Write(make([]byte, size)) })
			group.Go(func() {
				if _, err := io.ReadFull(c, make([]byte, size)); err != nil {
					t.Error(err)
				}
			})
		}
		group.Wait()
		return time.Since(started)
	}
	least := time.Duration(numConns*size) * time.Second / rate
	if took := exchange(); took < least {
		t.Errorf("%d bytes at %d bytes/s took %s, less than %s", numConns*size, rate, took, least)
	}
	links.SetSpeed(Speed{})
	if took := exchange(); took >= least {
		t.Errorf("the open connections still need %s", took)
	}
}

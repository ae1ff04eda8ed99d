package testkit

import (
	"fmt"
	"net"
	"os"
	"sync/atomic"
	"testing"
)

// numUniqueIPs is the number of IPs that UniqueLoopbackIP returned.
var numUniqueIPs atomic.Uint32

// UniqueLoopbackIP returns a loopback IP that no other test of this process uses, and most
// likely no other process either. A port of 127.0.0.1 can be taken by an outgoing
// connection between its choice and its use.
func UniqueLoopbackIP() string {
	n := numUniqueIPs.Add(1) - 1
	return fmt.Sprintf("127.%d.%d.%d", 1+os.Getpid()%250, 1+n/250%250, 1+n%250)
}

// FreeAddresses returns count addresses of an IP with different free ports. A port can be
// taken before it is used, which is unlikely on a loopback IP that no other process uses.
func FreeAddresses(t *testing.T, ip string, count int) []string {
	t.Helper()
	out := make([]string, 0, count)
	for range count {
		l, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
		if err != nil {
			t.Fatal(err)
		}
		// The listeners stay open until all ports are chosen, so that none is chosen twice.
		defer l.Close()
		out = append(out, l.Addr().String())
	}
	return out
}

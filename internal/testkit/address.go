package testkit

import (
	"fmt"
	"net"
	"os"
	"sync/atomic"
	"testing"
)

// numOwnIPs counts the IPs of OwnIP.
var numOwnIPs atomic.Uint32

// OwnIP returns a loopback IP that no other test of this process uses, and no other
// process most likely. Ports of 127.0.0.1 may be taken by a connection between
// their choice and their use.
func OwnIP() string {
	n := numOwnIPs.Add(1) - 1
	return fmt.Sprintf("127.%d.%d.%d", 1+os.Getpid()%250, 1+n/250%250, 1+n%250)
}

// FreeAddresses returns addresses of an IP whose ports are free and differ. They
// may be taken before they are used, which is unlikely on a loopback IP that no
// other process uses.
func FreeAddresses(t *testing.T, ip string, count int) []string {
	t.Helper()
	out := make([]string, 0, count)
	for range count {
		l, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
		if err != nil {
			t.Fatal(err)
		}
		// Open until all are chosen, so that none comes twice.
		defer l.Close()
		out = append(out, l.Addr().String())
	}
	return out
}

package testkit

import (
	"net"
	"testing"
)

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

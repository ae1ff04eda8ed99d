package lookup

import (
	"context"
	"encoding/binary"
	"io"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/miekg/dns"
)

// load runs n exchanges over clients at a time, each with one exchange in
// flight, and reports the rate and the 99th percentile of the latency.
func load(b *testing.B, clients, n int, unit string, exchange func(client, i int) error) {
	b.Helper()
	took := make([][]time.Duration, clients)
	var wg sync.WaitGroup
	begin := time.Now()
	for client := range clients {
		wg.Go(func() {
			for i := client; i < n; i += clients {
				at := time.Now()
				if err := exchange(client, i); err != nil {
					b.Error(err)
					return
				}
				took[client] = append(took[client], time.Since(at))
			}
		})
	}
	wg.Wait()
	total := time.Since(begin)
	all := slices.Concat(took...)
	slices.Sort(all)
	if len(all) == 0 {
		return
	}
	b.ReportMetric(float64(len(all))/total.Seconds(), unit)
	b.ReportMetric(float64(all[len(all)*99/100].Microseconds()), "p99-us")
}

// BenchmarkDNSLoad sends queries over loopback from 64 UDP sockets to one
// server in this process, so that clients and server share the machine.
func BenchmarkDNSLoad(b *testing.B) {
	for _, sockets := range []int{1, 4, 8} {
		b.Run("sockets="+string(rune('0'+sockets)), func(b *testing.B) {
			core := testCore(b, Config{}, testInput(3))
			s := testDNS(b, core, sockets)
			const clients = 64
			conns := make([]net.Conn, clients)
			bufs := make([][2][]byte, clients)
			for i := range conns {
				c, err := net.Dial("udp", s.Addr().String())
				if err != nil {
					b.Fatal(err)
				}
				defer c.Close()
				addr := netip.AddrFrom4([4]byte{10, byte(i), 0, 0})
				packed, err := withSubnet(question("proefbank.lookup.example.", dns.TypeA), addr.String(), 16, 0).Pack()
				if err != nil {
					b.Fatal(err)
				}
				conns[i], bufs[i] = c, [2][]byte{packed, make([]byte, maxUDP)}
			}
			b.ResetTimer()
			load(b, clients, max(b.N, 1000), "queries/s", func(client, i int) error {
				c, out, in := conns[client], bufs[client][0], bufs[client][1]
				binary.BigEndian.PutUint16(out, uint16(i))
				if err := c.SetDeadline(time.Now().Add(5 * time.Second)); err != nil {
					return err
				}
				if _, err := c.Write(out); err != nil {
					return err
				}
				n, err := c.Read(in)
				if err == nil && (n < headerBytes || binary.BigEndian.Uint16(in) != uint16(i) || in[3]&0xf != 0 || in[7] == 0) {
					b.Errorf("response % x", in[:n])
				}
				return err
			})
			b.StopTimer()
			b.ReportMetric(float64(core.Count(DNS, Overloaded)), "overloaded")
		})
	}
}

// BenchmarkHTTPLoad sends lookups over loopback on 64 kept connections to one
// server in this process.
func BenchmarkHTTPLoad(b *testing.B) {
	core := testCore(b, Config{}, testInput(3))
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	server := &http.Server{Handler: core.Handler()}
	go func() { _ = server.Serve(l) }()
	defer func() { _ = server.Shutdown(context.Background()) }()
	const clients = 64
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: clients}, Timeout: 5 * time.Second}
	defer client.CloseIdleConnections()
	url := "http://" + l.Addr().String() + Path + "?service=proefbank&caller=10.1.2.3"
	b.ResetTimer()
	load(b, clients, max(b.N, 1000), "lookups/s", func(int, int) error {
		resp, err := client.Get(url)
		if err != nil {
			return err
		}
		defer resp.Body.Close()
		_, err = io.Copy(io.Discard, resp.Body)
		return err
	})
}

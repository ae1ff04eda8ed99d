package lookup

import (
	"context"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/miekg/dns"

	"github.com/currantferry/currantferry/register"
	"github.com/currantferry/currantferry/steer"
)

// runLoad runs n exchanges from concurrent clients, each with one exchange in flight,
// and reports the rate and the 99th percentile of the latency.
func runLoad(b *testing.B, clients, n int, unit string, exchange func(client, i int) error) {
	b.Helper()
	latencies := make([][]time.Duration, clients)
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
				latencies[client] = append(latencies[client], time.Since(at))
			}
		})
	}
	wg.Wait()
	total := time.Since(begin)
	all := slices.Concat(latencies...)
	slices.Sort(all)
	if len(all) == 0 {
		return
	}
	b.ReportMetric(float64(len(all))/total.Seconds(), unit)
	b.ReportMetric(float64(all[len(all)*99/100].Microseconds()), "p99-us")
}

// BenchmarkDNSLoad sends queries over loopback from 64 UDP sockets to a server in the
// same process, so that clients and server share the machine.
func BenchmarkDNSLoad(b *testing.B) {
	for _, sockets := range []int{1, 4, 8} {
		b.Run(fmt.Sprintf("today/sockets=%d", sockets), func(b *testing.B) {
			benchDNS(b, testCore(b, Config{}, testInput(3)), sockets)
		})
	}
	b.Run("two-years/sockets=4", func(b *testing.B) { benchDNS(b, testCore(b, Config{}, largeInput(b)), 4) })
	// More clients than the limit admits, but too few for dropped messages, after each
	// of which a client would wait 5 s. Each of the 64 clients counts at most twice in
	// flight: for its query and for the response that was just sent.
	b.Run("overload/sockets=4", func(b *testing.B) {
		core := testCore(b, Config{MaxConcurrent: 32}, testInput(3))
		benchDNS(b, core, 4)
		b.ReportMetric(float64(core.Count(DNS, Dropped)), "dropped")
	})
}

// largeInput has 740 VMs in 8 data centres and 780,000 blocks on 230 sites.
func largeInput(b *testing.B) steer.Input {
	reg := &register.Register{Services: []register.Service{{Name: "proefbank"}}}
	in := steer.Input{Register: reg}
	for r := range 4 {
		region := register.Region{Name: fmt.Sprintf("r%d", r)}
		for d := range 2 {
			dc := fmt.Sprintf("r%d-%d", r, d)
			region.DataCentres = append(region.DataCentres, register.DataCentre{Name: dc})
			for len(in.VMs) < 740*(2*r+d+1)/8 {
				n := len(in.VMs)
				in.VMs = append(in.VMs, steer.VM{
					ID: fmt.Sprintf("vm-%d", n), DataCentre: dc, Region: region.Name, State: steer.Serving, Load: -1,
					Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{192, 0, byte(n >> 8), byte(n)}), 8080),
				})
			}
		}
		reg.Regions = append(reg.Regions, region)
	}
	for i := range 230 {
		reg.Sites = append(reg.Sites, register.Site{Name: fmt.Sprintf("site-%d", i), DataCentres: []string{fmt.Sprintf("r%d-%d", i%4, i/4%2)}})
	}
	bb := steer.NewBlocksBuilder(468_000, 312_000)
	for n := range 780_000 {
		p := netip.PrefixFrom(netip.AddrFrom4([4]byte{byte(10 + n>>16), byte(n >> 8), byte(n)}), 24)
		if n >= 468_000 {
			p = netip.PrefixFrom(netip.AddrFrom16([16]byte{0x20, 1, byte(n >> 16), byte(n >> 8), byte(n)}), 48)
		}
		if err := bb.Add(p, reg.Sites[n%230].Name); err != nil {
			b.Fatal(err)
		}
	}
	in.Blocks = bb.Build()
	return in
}

func benchDNS(b *testing.B, core *Core, sockets int) {
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
		conns[i], bufs[i] = c, [2][]byte{packed, make([]byte, maxUDPBytes)}
	}
	n := max(b.N, 1000)
	b.ResetTimer()
	runLoad(b, clients, n, "queries/s", func(client, i int) error {
		c, out, in := conns[client], bufs[client][0], bufs[client][1]
		binary.BigEndian.PutUint16(out, uint16(i))
		if err := c.SetDeadline(time.Now().Add(5 * time.Second)); err != nil {
			return err
		}
		if _, err := c.Write(out); err != nil {
			return err
		}
		size, err := c.Read(in)
		if err != nil {
			return err
		}
		refused := size >= headerBytes && in[3]&0xf == dns.RcodeServerFailure
		if size < headerBytes || binary.BigEndian.Uint16(in) != uint16(i) || (!refused && (in[3]&0xf != 0 || in[7] == 0)) {
			b.Errorf("response % x", in[:size])
		}
		return nil
	})
	b.StopTimer()
	b.ReportMetric(100*float64(core.Count(DNS, Overloaded))/float64(n), "refused-%")
}

// BenchmarkHTTPLoad sends lookups over loopback on 64 persistent connections to a
// server in the same process.
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
	runLoad(b, clients, max(b.N, 1000), "lookups/s", func(int, int) error {
		resp, err := client.Get(url)
		if err != nil {
			return err
		}
		defer resp.Body.Close()
		_, err = io.Copy(io.Discard, resp.Body)
		return err
	})
}

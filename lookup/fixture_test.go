package lookup

import (
	"context"
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/currantferry/currantferry/register"
	"github.com/currantferry/currantferry/rules"
	"github.com/currantferry/currantferry/steer"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

const testZone = "Lookup.Example"

// testInput has two regions of two data centres with perDC VMs each. Every third VM
// has an IPv6 address.
func testInput(perDC int) steer.Input {
	reg := &register.Register{
		Services: []register.Service{{Name: "proefbank"}},
		Sites:    []register.Site{{Name: "pers", DataCentres: []string{"amsterdam-b"}}},
		Blocks: []register.Block{
			{Prefix: netip.MustParsePrefix("10.0.0.0/8"), Site: "pers"},
			{Prefix: netip.MustParsePrefix("10.1.0.0/16"), Site: "pers"},
			{Prefix: netip.MustParsePrefix("2001:db8::/32"), Site: "pers"},
		},
	}
	in := steer.Input{Register: reg}
	for _, region := range [][]string{{"randstad", "rotterdam-a", "amsterdam-b"}, {"noord", "groningen-a", "leeuwarden-b"}} {
		r := register.Region{Name: region[0]}
		for _, dc := range region[1:] {
			r.DataCentres = append(r.DataCentres, register.DataCentre{Name: dc})
			for range perDC {
				n := len(in.VMs)
				addr := netip.AddrFrom4([4]byte{192, 0, 2, byte(n + 1)})
				if n%3 == 2 {
					addr = netip.MustParseAddr(fmt.Sprintf("2001:db8:ffff::%d", n+1))
				}
				in.VMs = append(in.VMs, steer.VM{
					ID: fmt.Sprintf("vm-%d", n), DataCentre: dc, Region: r.Name, State: steer.Serving,
					Address: netip.AddrPortFrom(addr, 8080), Load: -1,
				})
			}
		}
		reg.Regions = append(reg.Regions, r)
	}
	return in
}

func testCore(tb testing.TB, cfg Config, in steer.Input) *Core {
	tb.Helper()
	s, err := steer.New(steer.Config{}).Build(start, in)
	if err != nil {
		tb.Fatal(err)
	}
	c := NewCore(cfg)
	c.Set(s)
	return c
}

func allDrained() steer.Input {
	in := testInput(2)
	in.Drains = []rules.Drain{{ID: "1", Kind: rules.TargetRegion, Target: "randstad"}, {ID: "2", Kind: rules.TargetRegion, Target: "noord"}}
	return in
}

func testDNS(tb testing.TB, c *Core, sockets int) *DNSServer {
	tb.Helper()
	s, err := ListenDNS(DNSConfig{Core: c, Listen: netip.MustParseAddrPort("127.0.0.1:0"), Zone: testZone, UDPSockets: sockets})
	if err != nil {
		tb.Fatal(err)
	}
	tb.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		if err := s.Shutdown(ctx); err != nil {
			tb.Error(err)
		}
	})
	return s
}

package lookup

import (
	"net"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/miekg/dns"
)

func question(name string, qtype uint16) *dns.Msg {
	return new(dns.Msg).SetQuestion(name, qtype)
}

func withSubnet(m *dns.Msg, addr string, source, scope uint8) *dns.Msg {
	ip, family := net.ParseIP(addr), uint16(2)
	if netip.MustParseAddr(addr).Is4() {
		ip, family = ip.To4(), 1
	}
	m.SetEdns0(4096, false)
	m.IsEdns0().Option = append(m.IsEdns0().Option, &dns.EDNS0_SUBNET{
		Code: dns.EDNS0SUBNET, Family: family, SourceNetmask: source, SourceScope: scope, Address: ip,
	})
	return m
}

// Each kind of question must get the right response code and records over UDP and TCP.
func TestDNSResponses(t *testing.T) {
	c := testCore(t, Config{}, testInput(3))
	s := testDNS(t, c, 2)
	notify := question("proefbank.lookup.example.", dns.TypeA)
	notify.Opcode = dns.OpcodeNotify
	status := question("proefbank.lookup.example.", dns.TypeA)
	status.Opcode = dns.OpcodeStatus
	two := question("proefbank.lookup.example.", dns.TypeA)
	two.Question = append(two.Question, two.Question[0])
	chaos := question("proefbank.lookup.example.", dns.TypeA)
	chaos.Question[0].Qclass = dns.ClassCHAOS
	version := question("proefbank.lookup.example.", dns.TypeA).SetEdns0(1232, false)
	version.IsEdns0().SetVersion(1)
	for _, q := range []struct {
		name        string
		m           *dns.Msg
		code        int
		answers, ns int
		outcome     Outcome
	}{
		{"A", question("proefbank.lookup.example.", dns.TypeA), dns.RcodeSuccess, 2, 0, Answered},
		{"AAAA", question("ProefBank.LOOKUP.example.", dns.TypeAAAA), dns.RcodeSuccess, 1, 0, Answered},
		{"SRV", question("proefbank.lookup.example.", dns.TypeSRV), dns.RcodeSuccess, 4, 0, Answered},
		{"TXT", question("proefbank.lookup.example.", dns.TypeTXT), dns.RcodeSuccess, 0, 1, NoData},
		{"VM", question("vm-0.vm.lookup.example.", dns.TypeA), dns.RcodeSuccess, 1, 0, Answered},
		{"VM without IPv6", question("vm-0.vm.lookup.example.", dns.TypeAAAA), dns.RcodeSuccess, 0, 1, NoData},
		{"unknown VM", question("vm-99.vm.lookup.example.", dns.TypeA), dns.RcodeNameError, 0, 1, UnknownService},
		{"empty non-terminal", question("vm.lookup.example.", dns.TypeA), dns.RcodeSuccess, 0, 1, NoData},
		{"apex", question("lookup.example.", dns.TypeSOA), dns.RcodeSuccess, 1, 0, Answered},
		{"unknown service", question("nothing.lookup.example.", dns.TypeA), dns.RcodeNameError, 0, 1, UnknownService},
		{"outside", question("proefbank.example.", dns.TypeA), dns.RcodeRefused, 0, 0, OutsideZone},
		{"suffix without dot", question("xlookup.example.", dns.TypeA), dns.RcodeRefused, 0, 0, OutsideZone},
		{"class", chaos, dns.RcodeRefused, 0, 0, OutsideZone},
		{"notify", notify, dns.RcodeNotImplemented, 0, 0, NotImplemented},
		{"status", status, dns.RcodeNotImplemented, 0, 0, NotImplemented},
		{"EDNS version", version, dns.RcodeBadVers, 0, 0, NotImplemented},
		{"two questions", two, dns.RcodeFormatError, 0, 0, Malformed},
		{"subnet with scope", withSubnet(question("proefbank.lookup.example.", dns.TypeA), "10.0.0.0", 8, 8), dns.RcodeFormatError, 0, 0, Malformed},
	} {
		for _, network := range []string{"udp", "tcp"} {
			before := c.Count(DNS, q.outcome)
			client := dns.Client{Net: network, Timeout: 5 * time.Second}
			m, _, err := client.Exchange(q.m, s.Addr().String())
			if err != nil {
				t.Errorf("%s over %s: %v", q.name, network, err)
				continue
			}
			if m.Rcode != q.code || len(m.Answer) != q.answers || len(m.Ns) != q.ns {
				t.Errorf("%s over %s: %v", q.name, network, m)
			}
			if q.code == dns.RcodeSuccess && !m.Authoritative {
				t.Errorf("%s over %s: not authoritative", q.name, network)
			}
			waitFor(t, func() bool { return c.Count(DNS, q.outcome) == before+1 })
		}
	}
	waitFor(t, func() bool { return c.inFlight.Load() == 0 })
}

// A start must not fail by chance because the port that was chosen for TCP is in use
// for UDP, and a failed start must not leave sockets open.
func TestDNSListen(t *testing.T) {
	s := testDNS(t, testCore(t, Config{}, testInput(2)), 2)
	cfg := DNSConfig{Core: s.core, Listen: s.Addr(), Zone: testZone}
	if _, err := ListenDNS(cfg); err == nil {
		t.Error("a second server on the same address started")
	}
	busy := occupyUDPPort(t)
	defer busy.Close()
	cfg.Listen = busy.LocalAddr().(*net.UDPAddr).AddrPort()
	for range 2 {
		if _, err := ListenDNS(cfg); err == nil || !strings.Contains(err.Error(), "UDP socket") {
			t.Errorf("UDP port in use: %v", err)
		}
	}
	cfg.Zone = "."
	if _, err := ListenDNS(cfg); err == nil {
		t.Error("the root was accepted as a zone")
	}
}

// occupyUDPPort opens a UDP port that is free for TCP.
func occupyUDPPort(t *testing.T) net.PacketConn {
	t.Helper()
	for range portAttempts {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		l.Close()
		if conn, err := net.ListenPacket("udp", l.Addr().String()); err == nil {
			return conn
		}
	}
	t.Fatal("no port is free for TCP and UDP")
	return nil
}

// waitFor polls a condition on counters that are updated after the response is sent.
func waitFor(t *testing.T, ok func() bool) {
	t.Helper()
	for range 2000 {
		if ok() {
			return
		}
		time.Sleep(time.Millisecond)
	}
	t.Error("condition not met within 2 s")
}

// A resolver must not serve the answer for one block to another, which happens if the
// scope of the answer is missing or too short.
func TestDNSClientSubnet(t *testing.T) {
	r, err := newResponder(testCore(t, Config{}, testInput(3)), testZone)
	if err != nil {
		t.Fatal(err)
	}
	peer := netip.MustParseAddr("198.51.100.7")
	for _, q := range []struct {
		addr   string
		source uint8
		scope  uint8
		first  string
	}{
		{"10.1.2.0", 24, 16, "amsterdam-b"},
		{"10.0.0.0", 8, 16, "amsterdam-b"},
		{"2001:db8:1::", 48, 32, "amsterdam-b"},
		{"198.51.100.0", 24, 24, "rotterdam-a"},
		{"0.0.0.0", 0, 0, "rotterdam-a"},
	} {
		m, o := r.respond(withSubnet(question("proefbank.lookup.example.", dns.TypeSRV), q.addr, q.source, 0), peer, true)
		opt := m.IsEdns0()
		if o != Answered || opt == nil || len(opt.Option) != 1 {
			t.Errorf("%s: %s %v", q.addr, o, m)
			continue
		}
		echo := opt.Option[0].(*dns.EDNS0_SUBNET)
		if echo.SourceScope != q.scope || echo.SourceNetmask != q.source || !echo.Address.Equal(net.ParseIP(q.addr)) {
			t.Errorf("%s/%d: echo %v, want scope %d", q.addr, q.source, echo, q.scope)
		}
		id, _, _ := strings.Cut(m.Answer[0].(*dns.SRV).Target, ".")
		if vm, ok := r.core.Snapshot().VM(id); !ok || vm.DataCentre != q.first {
			t.Errorf("%s: first VM %s, want one in %s", q.addr, id, q.first)
		}
	}
	m, o := r.respond(withSubnet(question("proefbank.lookup.example.", dns.TypeA), "10.1.2.3", 24, 0), peer, true)
	if o != Malformed || m.Rcode != dns.RcodeFormatError {
		t.Errorf("address bits beyond the source prefix: %s %v", o, m)
	}
}

// A truncated UDP response must have the TC bit, and no response may be larger than
// the client or the path accepts.
func TestDNSTruncates(t *testing.T) {
	in := testInput(3)
	for i := range in.VMs {
		in.VMs[i].ID = strings.Repeat("x", 60) + "-" + string(rune('a'+i))
	}
	r, err := newResponder(testCore(t, Config{}, in), strings.Repeat("zone.", 20))
	if err != nil {
		t.Fatal(err)
	}
	q := question("proefbank."+strings.Repeat("zone.", 20), dns.TypeSRV)
	m, o := r.respond(q, netip.MustParseAddr("10.1.2.3"), true)
	if packed, err := m.Pack(); err != nil || len(packed) > dns.MinMsgSize || !m.Truncated || o != Truncated {
		t.Errorf("without EDNS: %d bytes, TC %t, %s, %v", len(packed), m.Truncated, o, err)
	}
	if m, o = r.respond(q, netip.MustParseAddr("10.1.2.3"), false); m.Truncated || o != Answered || len(m.Answer) != 4 {
		t.Errorf("over TCP: %s %v", o, m)
	}
}

// Overload or a missing configuration must not look like an answer.
func TestDNSFailures(t *testing.T) {
	busy := testCore(t, Config{MaxConcurrent: 1}, testInput(2))
	busy.startRequest()
	busy.startRequest()
	for want, c := range map[Outcome]*Core{Overloaded: busy, NotReady: NewCore(Config{}), NoVM: testCore(t, Config{}, allDrained())} {
		r, err := newResponder(c, testZone)
		if err != nil {
			t.Fatal(err)
		}
		m, o := r.respond(question("proefbank.lookup.example.", dns.TypeA), netip.MustParseAddr("10.1.2.3"), true)
		if m.Rcode != dns.RcodeServerFailure || o != want || m.Authoritative {
			t.Errorf("%s, want %s: %v", o, want, m)
		}
	}
}

// A burst must not be queued without bound: beyond four times the limit messages are
// dropped, and dropped messages no longer count as in flight.
func TestDNSDropsBeyondLimit(t *testing.T) {
	c := testCore(t, Config{MaxConcurrent: 1}, testInput(2))
	s := testDNS(t, c, 1)
	for range dropFactor + 1 {
		c.startRequest()
	}
	conn, err := net.Dial("udp", s.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	packed, _ := question("proefbank.lookup.example.", dns.TypeA).Pack()
	for _, m := range [][]byte{packed, {1, 2, 3}} {
		if _, err := conn.Write(m); err != nil {
			t.Fatal(err)
		}
	}
	waitFor(t, func() bool { return c.Count(DNS, Dropped) == 2 && c.inFlight.Load() == dropFactor+1 })
}

// Malformed messages must not cause a panic, nor a response that can't be encoded or
// exceeds the maximum size over UDP.
func FuzzDNSQuery(f *testing.F) {
	for _, m := range []*dns.Msg{
		question("proefbank.lookup.example.", dns.TypeA),
		question("vm-0.vm.lookup.example.", dns.TypeSRV),
		withSubnet(question("proefbank.lookup.example.", dns.TypeAAAA), "10.1.2.0", 24, 0),
		withSubnet(question("proefbank.lookup.example.", dns.TypeAAAA), "::ffff:0:0", 96, 0),
	} {
		packed, err := m.Pack()
		if err != nil {
			f.Fatal(err)
		}
		f.Add(packed)
	}
	r, err := newResponder(testCore(f, Config{}, testInput(3)), testZone)
	if err != nil {
		f.Fatal(err)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		req := new(dns.Msg)
		if req.Unpack(data) != nil || len(req.Question) != 1 {
			return
		}
		m, _ := r.respond(req, netip.MustParseAddr("10.1.2.3"), true)
		packed, err := m.Pack()
		if err != nil {
			t.Fatalf("%v: %v", req, err)
		}
		if len(packed) > maxUDPBytes {
			t.Fatalf("%d bytes", len(packed))
		}
	})
}

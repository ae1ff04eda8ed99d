package lookup

import (
	"net"
	"net/netip"
	"strings"

	"github.com/miekg/dns"
	"github.com/pkg/errors"

	"github.com/currantferry/currantferry/steer"
)

// maxUDPBytes is the largest UDP response. Larger ones may be fragmented on their
// path, and fragments are often lost.
const maxUDPBytes = 1232

// vmLabel is the label of the subdomain with the names of the entry VMs, which are the
// targets of SRV records.
const vmLabel = "vm"

// responder builds DNS responses for one zone.
type responder struct {
	core *Core
	// zone is in lower case and ends with a dot.
	zone string
}

func newResponder(core *Core, zone string) (*responder, error) {
	zone = dns.CanonicalName(zone)
	if _, ok := dns.IsDomainName(zone); !ok || zone == "." {
		return nil, errors.Errorf("lookup: %q is not a DNS zone", zone)
	}
	return &responder{core: core, zone: zone}, nil
}

// respond returns the response to a message with exactly one question, and its
// outcome. peer is the address of the sender.
func (r *responder) respond(req *dns.Msg, peer netip.Addr, isUDP bool) (*dns.Msg, Outcome) {
	m := new(dns.Msg)
	m.SetReply(req)
	m.Authoritative = true
	size := dns.MaxMsgSize
	opt := req.IsEdns0()
	var subnet *dns.EDNS0_SUBNET
	if opt != nil {
		m.SetEdns0(maxUDPBytes, false)
		subnet = subnetOf(opt)
	}
	if isUDP {
		size = dns.MinMsgSize
		if opt != nil {
			size = min(max(int(opt.UDPSize()), dns.MinMsgSize), maxUDPBytes)
		}
	}
	o := r.fill(m, req, opt, subnet, peer)
	if subnet != nil && o != Malformed {
		echo := m.IsEdns0()
		echo.Option = append(echo.Option, subnet)
	}
	m.Truncate(size)
	if m.Truncated {
		o = Truncated
	}
	return m, o
}

// fill sets the response code and the records of m. It sets the scope of subnet, if
// any, to that of the answer.
func (r *responder) fill(m, req *dns.Msg, opt *dns.OPT, subnet *dns.EDNS0_SUBNET, peer netip.Addr) Outcome {
	fail := func(code int, o Outcome) Outcome {
		m.Rcode = code
		m.Authoritative = o == UnknownService
		return o
	}
	if subnet != nil && !isValidSubnet(subnet) {
		return fail(dns.RcodeFormatError, Malformed)
	}
	if opt != nil && opt.Version() != 0 {
		return fail(dns.RcodeBadVers, NotImplemented)
	}
	if req.Opcode != dns.OpcodeQuery {
		return fail(dns.RcodeNotImplemented, NotImplemented)
	}
	q := req.Question[0]
	labels, inZone := r.labels(q.Name)
	if !inZone || q.Qclass != dns.ClassINET {
		return fail(dns.RcodeRefused, OutsideZone)
	}
	if r.core.isOverloaded() {
		return fail(dns.RcodeServerFailure, Overloaded)
	}
	s := r.core.Snapshot()
	if s == nil {
		return fail(dns.RcodeServerFailure, NotReady)
	}
	ttl := seconds(s.TTL())
	switch {
	case labels == "":
		if q.Qtype == dns.TypeSOA {
			m.Answer = append(m.Answer, r.soa(ttl))
		}
	case labels == vmLabel:
	case strings.HasSuffix(labels, "."+vmLabel):
		vm, ok := s.VM(strings.TrimSuffix(labels, "."+vmLabel))
		if !ok {
			m.Ns = append(m.Ns, r.soa(ttl))
			return fail(dns.RcodeNameError, UnknownService)
		}
		m.Answer = appendAddress(m.Answer, q, vm, ttl)
	default:
		caller := peer
		if subnet != nil && subnet.SourceNetmask > 0 {
			caller = subnetAddr(subnet)
		}
		a, err := r.core.Lookup(caller, labels)
		if err != nil {
			if o := outcomeOf(err); o != UnknownService {
				return fail(dns.RcodeServerFailure, o)
			}
			m.Ns = append(m.Ns, r.soa(ttl))
			return fail(dns.RcodeNameError, UnknownService)
		}
		r.answer(m, q, &a)
		if subnet != nil && subnet.SourceNetmask > 0 && len(m.Answer) > 0 {
			subnet.SourceScope = a.Scope
			if subnet.Family == 2 && subnetAddr(subnet).Is4In6() {
				subnet.SourceScope += 96
			}
		}
	}
	if len(m.Answer) == 0 {
		m.Ns = append(m.Ns, r.soa(ttl))
		return NoData
	}
	return Answered
}

// labels returns the part of a name before the zone, in lower case and without the
// final dot. It returns false if the name is outside the zone.
func (r *responder) labels(name string) (string, bool) {
	name = strings.ToLower(name)
	if name == r.zone {
		return "", true
	}
	cut := len(name) - len(r.zone) - 1
	if cut < 0 || name[cut] != '.' || name[cut+1:] != r.zone {
		return "", false
	}
	return name[:cut], true
}

// answer adds the records of a lookup. Address records contain only the VMs of the
// caller's region, because clients choose one of them at random; SRV records have
// priorities and contain all VMs.
func (r *responder) answer(m *dns.Msg, q dns.Question, a *steer.Answer) {
	ttl := seconds(a.TTL)
	targets := a.Targets()
	switch q.Qtype {
	case dns.TypeA, dns.TypeAAAA:
		numNear := 0
		for numNear < len(targets) && targets[numNear].Priority == steer.PriorityNear {
			numNear++
		}
		for _, t := range targets[:numNear] {
			m.Answer = appendAddress(m.Answer, q, t.VM, ttl)
		}
		// With a single address a client couldn't retry at another VM.
		if len(m.Answer) < 2 {
			for _, t := range targets[numNear:] {
				m.Answer = appendAddress(m.Answer, q, t.VM, ttl)
			}
		}
	case dns.TypeSRV:
		for _, t := range targets {
			host := t.VM.ID + "." + vmLabel + "." + r.zone
			if _, ok := dns.IsDomainName(host); !ok {
				continue
			}
			m.Answer = append(m.Answer, &dns.SRV{
				Hdr:      header(q.Name, dns.TypeSRV, ttl),
				Priority: uint16(t.Priority), Weight: t.Weight, Port: t.VM.Address.Port(), Target: host,
			})
			m.Extra = appendRecord(m.Extra, host, t.VM.Address.Addr(), ttl)
		}
	}
}

// appendAddress adds the VM's address if it is of the type that q requests.
func appendAddress(rrs []dns.RR, q dns.Question, vm *steer.VM, ttl uint32) []dns.RR {
	addr := vm.Address.Addr().Unmap()
	if (q.Qtype == dns.TypeA) != addr.Is4() || (q.Qtype != dns.TypeA && q.Qtype != dns.TypeAAAA) {
		return rrs
	}
	return appendRecord(rrs, q.Name, addr, ttl)
}

func appendRecord(rrs []dns.RR, name string, addr netip.Addr, ttl uint32) []dns.RR {
	addr = addr.Unmap()
	if addr.Is4() {
		return append(rrs, &dns.A{Hdr: header(name, dns.TypeA, ttl), A: addr.AsSlice()})
	}
	return append(rrs, &dns.AAAA{Hdr: header(name, dns.TypeAAAA, ttl), AAAA: addr.AsSlice()})
}

func header(name string, rtype uint16, ttl uint32) dns.RR_Header {
	return dns.RR_Header{Name: name, Rrtype: rtype, Class: dns.ClassINET, Ttl: ttl}
}

// soa returns the SOA record of the zone. Its TTL and minimum bound the time for which
// resolvers cache negative answers.
func (r *responder) soa(ttl uint32) *dns.SOA {
	return &dns.SOA{
		Hdr: header(r.zone, dns.TypeSOA, ttl),
		Ns:  "ns." + r.zone, Mbox: "hostmaster." + r.zone,
		Serial: 1, Refresh: 3600, Retry: 600, Expire: 86400, Minttl: ttl,
	}
}

func subnetOf(opt *dns.OPT) *dns.EDNS0_SUBNET {
	for _, o := range opt.Option {
		if s, ok := o.(*dns.EDNS0_SUBNET); ok {
			return s
		}
	}
	return nil
}

// isValidSubnet checks a client subnet option as RFC 7871 requires for queries: the
// scope is 0, and no address bits are set beyond the source prefix.
func isValidSubnet(s *dns.EDNS0_SUBNET) bool {
	if s.SourceScope != 0 {
		return false
	}
	if s.SourceNetmask == 0 {
		return true
	}
	addr := subnetAddr(s)
	p, err := addr.Prefix(int(s.SourceNetmask))
	return err == nil && p.Addr() == addr
}

// subnetAddr returns the address of a client subnet option. An IPv4-mapped address of
// family 2 stays an IPv6 address, so that the prefix length keeps its meaning.
func subnetAddr(s *dns.EDNS0_SUBNET) netip.Addr {
	addr, _ := netip.AddrFromSlice(s.Address)
	if s.Family == 1 {
		return addr.Unmap()
	}
	return addr
}

// peerAddr returns the IP address of the remote end of a connection.
func peerAddr(a net.Addr) netip.Addr {
	var addr netip.Addr
	switch a := a.(type) {
	case *net.UDPAddr:
		addr = a.AddrPort().Addr()
	case *net.TCPAddr:
		addr = a.AddrPort().Addr()
	}
	return addr.Unmap().WithZone("")
}

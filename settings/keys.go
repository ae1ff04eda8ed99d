package settings

import (
	"fmt"
	"math"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"github.com/miekg/dns"
	"github.com/pkg/errors"

	"github.com/currantferry/currantferry/register"
)

// Key describes one key of the file.
type Key struct {
	Section string
	Name    string
	// Unit is what a value is written in.
	Unit string
	// Default is the value when the key is absent. Empty means none.
	Default string
	// Required means that the key must be given.
	Required bool
	// Range is what is accepted.
	Range string
	// Zero is the meaning of zero or of an empty value.
	Zero string
	// Meaning is what the key does.
	Meaning string

	set func(s *Settings, value string) error
}

// Keys returns the table of keys in the order of the docs.
func Keys() []Key { return append([]Key(nil), keys...) }

const (
	kib = 1 << 10
	mib = 1 << 20
	gib = 1 << 30

	notAccepted = "not accepted"
	off         = "empty: off"
)

var keys = []Key{
	name("vm", "id", "names this VM; it stays the same over restarts and is used by no other VM", func(s *Settings) *string { return &s.VM.ID }),
	name("vm", "region", "the region of the asset register in which the VM is", func(s *Settings) *string { return &s.VM.Region }),
	name("vm", "data_centre", "the data centre of the asset register in which the VM is", func(s *Settings) *string { return &s.VM.DataCentre }),

	address("caller", off, "where callers send lookups and requests", func(s *Settings) *netip.AddrPort { return &s.Listen.Caller }),
	address("peer", off, "where the other VMs connect", func(s *Settings) *netip.AddrPort { return &s.Listen.Peer }),
	address("admin", off, "where operators, health checks and metrics connect", func(s *Settings) *netip.AddrPort { return &s.Listen.Admin }),
	address("dns", off, "where DNS queries come, over UDP and TCP; needs [lookup] zone", func(s *Settings) *netip.AddrPort { return &s.Listen.DNS }),
	address("advertise_caller", "empty: the address of caller", "the address that lookups return; needed when caller listens on every address", func(s *Settings) *netip.AddrPort { return &s.Listen.AdvertiseCaller }),
	address("advertise_peer", "empty: the address of peer", "the address that other VMs connect to; needed when peer listens on every address", func(s *Settings) *netip.AddrPort { return &s.Listen.AdvertisePeer }),

	required(addresses("store", "addresses", notAccepted, "the servers of the platform's key-value service, tried in this order", func(s *Settings) *[]netip.AddrPort { return &s.Store.Addresses })),
	duration("store", "timeout", "2s", 100*time.Millisecond, 30*time.Second, "bound on one call; a slower store counts as down", func(s *Settings) *time.Duration { return &s.Store.Timeout }),
	duration("store", "lease_ttl", "10s", 5*time.Second, 10*time.Minute, "after which the planner's lease lapses without renewal", func(s *Settings) *time.Duration { return &s.Store.LeaseTTL }),

	addresses("peers", "seeds", "empty: only the platform's list of VMs", "peers to ask for the configuration when the store is down at the start", func(s *Settings) *[]netip.AddrPort { return &s.Peers.Seeds }),
	duration("peers", "heartbeat", "3s", 500*time.Millisecond, 3*time.Second, "longest time between two exchanges with a VM of the own data centre; a shorter one notices failures sooner and costs more traffic", func(s *Settings) *time.Duration { return &s.Peers.Heartbeat }),

	duration("lookup", "ttl", "5s", time.Second, time.Minute, "how long callers may keep an answer; whole seconds are sent, rounded down", func(s *Settings) *time.Duration { return &s.Lookup.TTL }),
	zone("lookup", "zone", "empty: no DNS", "DNS zone under which services are names", func(s *Settings) *string { return &s.Lookup.Zone }),
	number("lookup", "max_concurrent", "lookups", "512", 1, 100_000, "lookups read and not yet answered beyond which more are refused", func(s *Settings) *int { return &s.Lookup.MaxConcurrent }),

	size("request", "max_body", "4GiB", 0, 1<<40, "no limit", "largest body of a request", func(s *Settings) *int64 { return &s.Request.MaxBody }),
	number("request", "max_concurrent", "requests", "4096", 1, 100_000, "requests in flight beyond which more are refused unrun", func(s *Settings) *int { return &s.Request.MaxConcurrent }),
	size("request", "keep_answers_bytes", "8MiB", 0, gib, "keeps none", "memory for responses that are kept for resends with the same key", func(s *Settings) *int64 { return &s.Request.KeepAnswersBytes }),
	duration("request", "default_timeout", "10s", 10*time.Millisecond, register.MaxTimeoutMillis*time.Millisecond, "deadline of a request when neither caller nor service states one", func(s *Settings) *time.Duration { return &s.Request.DefaultTimeout }),
	size("request", "max_header_bytes", "64KiB", 4*kib, mib, notAccepted, "largest header of a request", func(s *Settings) *int { return &s.Request.MaxHeaderBytes }),

	number("once", "partitions", "partitions", "16", 1, 1024, "partitions of idempotency keys; the same on all VMs", func(s *Settings) *int { return &s.Once.Partitions }),
	duration("once", "retention", "1h", time.Minute, 24*time.Hour, "how long a claim is kept; callers must not resend a key later", func(s *Settings) *time.Duration { return &s.Once.Retention }),
	number("once", "max_claims", "claims", "65536", 1024, 16_777_216, "claims that one partition holds; more keys are refused unrun", func(s *Settings) *int { return &s.Once.MaxClaims }),

	duration("node", "stop_timeout", "10m", time.Second, 24*time.Hour, "bound on a graceful stop; requests still running are then cut off", func(s *Settings) *time.Duration { return &s.Node.StopTimeout }),
	duration("node", "lookup_grace", "7s", time.Second, 5*time.Minute, "time for which a VM takes requests after it left the lookups; at least [lookup] ttl", func(s *Settings) *time.Duration { return &s.Node.LookupGrace }),

	path("caller_cert", "certificate chain of the caller listener", func(s *Settings) *string { return &s.TLS.CallerCert }),
	path("caller_key", "its private key", func(s *Settings) *string { return &s.TLS.CallerKey }),
	path("peer_cert", "certificate chain for connections between VMs, both ways", func(s *Settings) *string { return &s.TLS.PeerCert }),
	path("peer_key", "its private key", func(s *Settings) *string { return &s.TLS.PeerKey }),
	path("peer_ca", "authorities that sign the certificates of VMs", func(s *Settings) *string { return &s.TLS.PeerCA }),
	path("admin_cert", "certificate chain of the admin listener", func(s *Settings) *string { return &s.TLS.AdminCert }),
	path("admin_key", "its private key", func(s *Settings) *string { return &s.TLS.AdminKey }),

	choice("log", "level", "info", []string{"debug", "info", "warn", "error"}, "lowest level that is logged", func(s *Settings) *string { return &s.Log.Level }),
	choice("log", "format", "text", []string{"text", "json"}, "form of the log lines on standard error", func(s *Settings) *string { return &s.Log.Format }),
}

func required(k Key) Key {
	k.Required = true
	return k
}

func name(section, key, meaning string, field func(*Settings) *string) Key {
	return Key{
		Section: section, Name: key, Unit: "name", Required: true, Zero: notAccepted, Meaning: meaning,
		Range: fmt.Sprintf("1 to %d lower-case letters, digits and hyphens", register.MaxNameLength),
		set: func(s *Settings, v string) error {
			if v == "" || len(v) > register.MaxNameLength || strings.Trim(v, "abcdefghijklmnopqrstuvwxyz0123456789-") != "" {
				return errors.New("not a name")
			}
			*field(s) = v
			return nil
		},
	}
}

const addressRange = "IP address and port 1 to 65535, such as 127.0.0.1:8080 or [::1]:8080"

func parseAddress(v string) (netip.AddrPort, error) {
	a, err := netip.ParseAddrPort(v)
	if err != nil || a.Port() == 0 {
		return a, errors.New("not an IP address and port")
	}
	return a, nil
}

func address(key, zero, meaning string, field func(*Settings) *netip.AddrPort) Key {
	return Key{
		Section: "listen", Name: key, Unit: "IP:port", Range: addressRange + ", or empty", Zero: zero, Meaning: meaning,
		set: func(s *Settings, v string) error {
			if v == "" {
				*field(s) = netip.AddrPort{}
				return nil
			}
			a, err := parseAddress(v)
			if err == nil {
				*field(s) = a
			}
			return err
		},
	}
}

func addresses(section, key, zero, meaning string, field func(*Settings) *[]netip.AddrPort) Key {
	return Key{
		Section: section, Name: key, Unit: "IP:port list", Range: "comma-separated, each an " + addressRange, Zero: zero, Meaning: meaning,
		set: func(s *Settings, v string) error {
			var out []netip.AddrPort
			for part := range strings.SplitSeq(v, ",") {
				part = strings.TrimSpace(part)
				if part == "" && v == "" && zero != notAccepted {
					break
				}
				a, err := parseAddress(part)
				if err != nil {
					return errors.Errorf("%q is not an IP address and port", part)
				}
				out = append(out, a)
			}
			*field(s) = out
			return nil
		},
	}
}

func duration(section, key, def string, low, high time.Duration, meaning string, field func(*Settings) *time.Duration) Key {
	return Key{
		Section: section, Name: key, Unit: "duration", Default: def, Zero: notAccepted, Meaning: meaning,
		Range: fmt.Sprintf("%s to %s", short(low), short(high)),
		set: func(s *Settings, v string) error {
			d, err := time.ParseDuration(v)
			if err != nil {
				return errors.New("not a duration such as 500ms, 5s or 1h")
			}
			if d < low || d > high {
				return errors.New("out of range")
			}
			*field(s) = d
			return nil
		},
	}
}

// short writes a duration without its zero parts.
func short(d time.Duration) string {
	s := d.String()
	if strings.HasSuffix(s, "m0s") {
		s = strings.TrimSuffix(s, "0s")
	}
	if strings.HasSuffix(s, "h0m") {
		s = strings.TrimSuffix(s, "0m")
	}
	return s
}

func number(section, key, unit, def string, low, high int, meaning string, field func(*Settings) *int) Key {
	return Key{
		Section: section, Name: key, Unit: unit, Default: def, Zero: notAccepted, Meaning: meaning,
		Range: fmt.Sprintf("%d to %d", low, high),
		set: func(s *Settings, v string) error {
			n, err := strconv.Atoi(v)
			if err != nil {
				return errors.New("not a whole number")
			}
			if n < low || n > high {
				return errors.New("out of range")
			}
			*field(s) = n
			return nil
		},
	}
}

var sizeUnits = []struct {
	suffix string
	bytes  int64
}{{"KiB", kib}, {"MiB", mib}, {"GiB", gib}, {"TiB", 1 << 40}}

func parseSize(v string) (int64, error) {
	unit := int64(1)
	for _, u := range sizeUnits {
		if rest, ok := strings.CutSuffix(v, u.suffix); ok {
			v, unit = strings.TrimSpace(rest), u.bytes
			break
		}
	}
	n, err := strconv.ParseInt(v, 10, 64)
	if err != nil || n > math.MaxInt64/unit || n < math.MinInt64/unit {
		return 0, errors.New("not a size in bytes such as 65536, 64KiB or 4GiB")
	}
	return n * unit, nil
}

func sizeText(n int64) string {
	for i := len(sizeUnits) - 1; i >= 0; i-- {
		if u := sizeUnits[i]; n >= u.bytes && n%u.bytes == 0 {
			return fmt.Sprintf("%d%s", n/u.bytes, u.suffix)
		}
	}
	return strconv.FormatInt(n, 10)
}

func size[T int | int64](section, key, def string, low, high int64, zero, meaning string, field func(*Settings) *T) Key {
	return Key{
		Section: section, Name: key, Unit: "bytes", Default: def, Zero: zero, Meaning: meaning,
		Range: fmt.Sprintf("%s to %s", sizeText(low), sizeText(high)),
		set: func(s *Settings, v string) error {
			n, err := parseSize(v)
			if err != nil {
				return err
			}
			if n < low || n > high {
				return errors.New("out of range")
			}
			*field(s) = T(n)
			return nil
		},
	}
}

func zone(section, key, zero, meaning string, field func(*Settings) *string) Key {
	return Key{
		Section: section, Name: key, Unit: "DNS name", Range: "a DNS name other than the root, or empty", Zero: zero, Meaning: meaning,
		set: func(s *Settings, v string) error {
			if v == "" {
				*field(s) = ""
				return nil
			}
			fqdn := dns.CanonicalName(v)
			if _, ok := dns.IsDomainName(fqdn); !ok || fqdn == "." || strings.ContainsAny(v, " \t/") {
				return errors.New("not a DNS name")
			}
			*field(s) = fqdn
			return nil
		},
	}
}

func path(key, meaning string, field func(*Settings) *string) Key {
	return Key{
		Section: "tls", Name: key, Unit: "path", Range: "a PEM file, or empty", Zero: "empty: plain TCP", Meaning: meaning,
		set: func(s *Settings, v string) error {
			*field(s) = v
			return nil
		},
	}
}

func choice(section, key, def string, of []string, meaning string, field func(*Settings) *string) Key {
	return Key{
		Section: section, Name: key, Unit: "word", Default: def, Range: strings.Join(of, ", "), Zero: notAccepted, Meaning: meaning,
		set: func(s *Settings, v string) error {
			for _, word := range of {
				if v == word {
					*field(s) = v
					return nil
				}
			}
			return errors.New("not one of the words")
		},
	}
}

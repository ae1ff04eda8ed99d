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
	// Unit is the unit or the form of a value.
	Unit string
	// Default is the value of an absent key. Empty means that there is no default.
	Default string
	// Required means that the file must contain the key.
	Required bool
	// Range describes the accepted values.
	Range string
	// Zero is the meaning of a zero or empty value.
	Zero string
	// Meaning describes what the key sets.
	Meaning string

	// set parses the value and stores it in s.
	set func(s *Settings, value string) error
}

// Keys returns a copy of the table of keys, in the order of docs/SETTINGS.md.
func Keys() []Key { return append([]Key(nil), keys...) }

const (
	kib = 1 << 10
	mib = 1 << 20
	gib = 1 << 30

	notAccepted = "not accepted"
	emptyIsOff  = "empty: off"
)

// keys is the table of all keys. Keys of the same section must be adjacent.
var keys = []Key{
	name("vm", "id", "unique name of this VM; it stays the same across restarts", func(s *Settings) *string { return &s.VM.ID }),
	name("vm", "region", "the region of the asset register in which the VM is", func(s *Settings) *string { return &s.VM.Region }),
	name("vm", "data_centre", "the data centre of the asset register in which the VM is", func(s *Settings) *string { return &s.VM.DataCentre }),

	address("caller", emptyIsOff, "address to which callers send lookups and requests", func(s *Settings) *netip.AddrPort { return &s.Listen.Caller }),
	address("peer", emptyIsOff, "address to which the other VMs connect", func(s *Settings) *netip.AddrPort { return &s.Listen.Peer }),
	address("transit", "empty: a free port of the address of peer", "address at which the other VMs pass on requests while they reach no upstream instance", func(s *Settings) *netip.AddrPort { return &s.Listen.Transit }),
	address("admin", emptyIsOff, "address for operators, health checks and metrics", func(s *Settings) *netip.AddrPort { return &s.Listen.Admin }),
	address("dns", emptyIsOff, "address for DNS queries over UDP and TCP; needs [lookup] zone", func(s *Settings) *netip.AddrPort { return &s.Listen.DNS }),
	address("advertise_caller", "empty: the address of caller", "the address that lookups return; needed when caller listens on every address", func(s *Settings) *netip.AddrPort { return &s.Listen.AdvertiseCaller }),
	address("advertise_peer", "empty: the address of peer", "the address that other VMs connect to; needed when peer listens on every address", func(s *Settings) *netip.AddrPort { return &s.Listen.AdvertisePeer }),

	required(addresses("store", "addresses", notAccepted, "the servers of the platform's key-value service, tried in this order", func(s *Settings) *[]netip.AddrPort { return &s.Store.Addresses })),
	duration("store", "timeout", "2s", 100*time.Millisecond, 30*time.Second, "timeout of one call; a store that takes longer is treated as unreachable", func(s *Settings) *time.Duration { return &s.Store.Timeout }),
	duration("store", "lease_ttl", "10s", 5*time.Second, 10*time.Minute, "time after which the planner's lease expires unless it is renewed", func(s *Settings) *time.Duration { return &s.Store.LeaseTTL }),

	addresses("peers", "seeds", "empty: only the platform's list of VMs", "peers that are asked for the configuration if the store is unreachable at the start", func(s *Settings) *[]netip.AddrPort { return &s.Peers.Seeds }),
	duration("peers", "heartbeat", "3s", 500*time.Millisecond, 3*time.Second, "maximum time between two exchanges with a VM of the same data centre; a shorter time detects failures sooner and costs more traffic", func(s *Settings) *time.Duration { return &s.Peers.Heartbeat }),

	duration("lookup", "ttl", "5s", time.Second, time.Minute, "how long callers may cache an answer; sent in whole seconds, rounded down", func(s *Settings) *time.Duration { return &s.Lookup.TTL }),
	zone("lookup", "zone", "empty: no DNS", "DNS zone that contains the names of the services", func(s *Settings) *string { return &s.Lookup.Zone }),
	number("lookup", "max_concurrent", "lookups", "512", 1, 100_000, "maximum number of lookups that are read and not yet answered; further ones are refused", func(s *Settings) *int { return &s.Lookup.MaxConcurrent }),

	size("request", "max_body", "4GiB", 0, 1<<40, "no limit", "maximum size of a request body", func(s *Settings) *int64 { return &s.Request.MaxBody }),
	number("request", "max_concurrent", "requests", "4096", 1, 100_000, "maximum number of requests in flight; further ones are refused without being run", func(s *Settings) *int { return &s.Request.MaxConcurrent }),
	size("request", "keep_answers_bytes", "8MiB", 0, gib, "keeps none", "memory for answers that are kept for resent requests with the same key", func(s *Settings) *int64 { return &s.Request.KeepAnswersBytes }),
	duration("request", "default_timeout", "10s", 10*time.Millisecond, register.MaxTimeoutMillis*time.Millisecond, "timeout of a request if neither the caller nor the service states one", func(s *Settings) *time.Duration { return &s.Request.DefaultTimeout }),
	size("request", "max_header_bytes", "64KiB", 4*kib, mib, notAccepted, "maximum size of a request header", func(s *Settings) *int { return &s.Request.MaxHeaderBytes }),

	number("once", "partitions", "partitions", "16", 1, 1024, "number of partitions of the idempotency keys; must be the same on all VMs", func(s *Settings) *int { return &s.Once.Partitions }),
	duration("once", "retention", "1h", time.Minute, 24*time.Hour, "how long a claim is kept; callers must not resend a request with its key later", func(s *Settings) *time.Duration { return &s.Once.Retention }),
	number("once", "max_claims", "claims", "65536", 1024, 16_777_216, "maximum number of claims in a partition; requests with further keys are refused without being run", func(s *Settings) *int { return &s.Once.MaxClaims }),

	duration("node", "stop_timeout", "10m", time.Second, 24*time.Hour, "maximum duration of a graceful stop; requests that still run are then cut off", func(s *Settings) *time.Duration { return &s.Node.StopTimeout }),
	duration("node", "lookup_grace", "7s", time.Second, 5*time.Minute, "how long a VM accepts requests after its removal from lookups; at least [lookup] ttl", func(s *Settings) *time.Duration { return &s.Node.LookupGrace }),

	path("caller_cert", "certificate chain of the caller listener", func(s *Settings) *string { return &s.TLS.CallerCert }),
	path("caller_key", "private key of caller_cert", func(s *Settings) *string { return &s.TLS.CallerKey }),
	path("peer_cert", "certificate chain for connections between VMs, both ways", func(s *Settings) *string { return &s.TLS.PeerCert }),
	path("peer_key", "private key of peer_cert", func(s *Settings) *string { return &s.TLS.PeerKey }),
	path("peer_ca", "certificate authorities that sign the certificates of VMs", func(s *Settings) *string { return &s.TLS.PeerCA }),
	path("admin_cert", "certificate chain of the admin listener", func(s *Settings) *string { return &s.TLS.AdminCert }),
	path("admin_key", "private key of admin_cert", func(s *Settings) *string { return &s.TLS.AdminKey }),

	choice("log", "level", "info", []string{"debug", "info", "warn", "error"}, "lowest level that is logged", func(s *Settings) *string { return &s.Log.Level }),
	choice("log", "format", "text", []string{"text", "json"}, "format of the log lines on standard error", func(s *Settings) *string { return &s.Log.Format }),
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

func duration(section, key, defaultValue string, minValue, maxValue time.Duration, meaning string, field func(*Settings) *time.Duration) Key {
	return Key{
		Section: section, Name: key, Unit: "duration", Default: defaultValue, Zero: notAccepted, Meaning: meaning,
		Range: fmt.Sprintf("%s to %s", shortDuration(minValue), shortDuration(maxValue)),
		set: func(s *Settings, v string) error {
			d, err := time.ParseDuration(v)
			if err != nil {
				return errors.New("not a duration such as 500ms, 5s or 1h")
			}
			if d < minValue || d > maxValue {
				return errors.New("out of range")
			}
			*field(s) = d
			return nil
		},
	}
}

// shortDuration formats a duration without trailing zero units: 1h rather than 1h0m0s.
func shortDuration(d time.Duration) string {
	s := d.String()
	if strings.HasSuffix(s, "m0s") {
		s = strings.TrimSuffix(s, "0s")
	}
	if strings.HasSuffix(s, "h0m") {
		s = strings.TrimSuffix(s, "0m")
	}
	return s
}

func number(section, key, unit, defaultValue string, minValue, maxValue int, meaning string, field func(*Settings) *int) Key {
	return Key{
		Section: section, Name: key, Unit: unit, Default: defaultValue, Zero: notAccepted, Meaning: meaning,
		Range: fmt.Sprintf("%d to %d", minValue, maxValue),
		set: func(s *Settings, v string) error {
			n, err := strconv.Atoi(v)
			if err != nil {
				return errors.New("not a whole number")
			}
			if n < minValue || n > maxValue {
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

// sizeText formats a size in the largest unit that divides it.
func sizeText(n int64) string {
	for i := len(sizeUnits) - 1; i >= 0; i-- {
		if u := sizeUnits[i]; n >= u.bytes && n%u.bytes == 0 {
			return fmt.Sprintf("%d%s", n/u.bytes, u.suffix)
		}
	}
	return strconv.FormatInt(n, 10)
}

func size[T int | int64](section, key, defaultValue string, minValue, maxValue int64, zero, meaning string, field func(*Settings) *T) Key {
	return Key{
		Section: section, Name: key, Unit: "bytes", Default: defaultValue, Zero: zero, Meaning: meaning,
		Range: fmt.Sprintf("%s to %s", sizeText(minValue), sizeText(maxValue)),
		set: func(s *Settings, v string) error {
			n, err := parseSize(v)
			if err != nil {
				return err
			}
			if n < minValue || n > maxValue {
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

func choice(section, key, defaultValue string, choices []string, meaning string, field func(*Settings) *string) Key {
	return Key{
		Section: section, Name: key, Unit: "word", Default: defaultValue, Range: strings.Join(choices, ", "), Zero: notAccepted, Meaning: meaning,
		set: func(s *Settings, v string) error {
			for _, choice := range choices {
				if v == choice {
					*field(s) = v
					return nil
				}
			}
			return errors.New("not one of the words")
		},
	}
}

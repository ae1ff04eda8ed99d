package entry

import (
	"fmt"
	"math"
	"net/netip"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
	"gopkg.in/ini.v1"

	"github.com/currantferry/currantferry/placement"
	"github.com/currantferry/currantferry/settings"
)

// Settings configures an entry VM on a platform. The table below lists unit, default and
// range of each setting.
type Settings struct {
	ID, DataCentre, Region string
	MemoryMB               float64
	// CPUShare is the VM's share of a core, CPUSpeed the relative speed of such a core,
	// and LinkMbps the bandwidth of the VM's link. Zero means unknown.
	CPUShare, CPUSpeed, LinkMbps float64

	Caller, Ready, Lookup, Peer netip.AddrPort
	// Regions holds the region of each data centre.
	Regions map[string]string

	Store       netip.AddrPort
	MinLeaseTTL time.Duration

	ColdOver, ColdSlack    float64
	MaxShift               float64
	RetryRatio, RetrySlack float64
	// FirstStart says whether the whole system starts for the first time.
	FirstStart   string
	StopGrace    time.Duration
	StableWindow time.Duration
	DrainTime    time.Duration
	MaxLookupTTL time.Duration
	ConfigTime   time.Duration
	// In any TeamWindow, a team's requests stay under its cap times 1 + TeamOver, plus
	// TeamSlack.
	TeamWindow          time.Duration
	TeamOver, TeamSlack float64

	Callers CallerSettings
	// MaxPipelined bounds the requests of a connection that are in flight at a time.
	MaxPipelined float64
	// ObjectAffinity is a placement.ObjectAffinity, and Precedence precedenceOff or precedenceOn.
	ObjectAffinity, Precedence string
}

// CallerSettings are the bounds on callers. Zero values of the numbers stand for values that
// are derived from the VM's memory and descriptors.
type CallerSettings struct {
	MemoryMB                                         float64
	Connections, ReadyConnections, LookupConnections float64
	PeerConnections, AddressConnections              float64
	HeadBytes, HeadFields                            float64
	HeadTime, Grace                                  time.Duration
	MinRate                                          float64
}

// SettingKey describes one setting.
type SettingKey struct {
	Section, Name, Unit, Default, Range, Meaning string
	// Reloads says that a running VM applies a changed value. Others take effect after a
	// restart.
	Reloads bool
	set     func(s *Settings, value string) error
	accessor
}

// accessor compares, copies and shows the field of a setting.
type accessor struct {
	isSame func(a, b *Settings) bool
	copy   func(to, from *Settings)
	show   func(s *Settings) string
}

func access[T comparable](field func(*Settings) *T) accessor {
	return accessor{
		isSame: func(a, b *Settings) bool { return *field(a) == *field(b) },
		copy:   func(to, from *Settings) { *field(to) = *field(from) },
		show:   func(s *Settings) string { return fmt.Sprint(*field(s)) },
	}
}

// reloads marks a setting that a running VM applies.
func reloads(k SettingKey) SettingKey {
	k.Reloads = true
	return k
}

// SettingKeys returns the table of settings in the order of the docs.
func SettingKeys() []SettingKey { return append([]SettingKey(nil), settingKeys...) }

// sectionDataCentres has one key for each data centre, with its region as value.
const sectionDataCentres = "data_centres"

var settingKeys = []SettingKey{
	text("vm", "id", "unique ID of this VM", func(s *Settings) *string { return &s.ID }),
	text("vm", "data_centre", "data centre of this VM", func(s *Settings) *string { return &s.DataCentre }),
	text("vm", "region", "the region of that data centre", func(s *Settings) *string { return &s.Region }),
	number("vm", "memory_mb", "MB", "0", 1<<24, "memory of the process; the soft limit of the heap is 0.6 of it; 0: no limit", func(s *Settings) *float64 { return &s.MemoryMB }),
	number("vm", "cpu_share", "cores", "0", 1024, "share of a core that the process may use; 0: unknown", func(s *Settings) *float64 { return &s.CPUShare }),
	number("vm", "cpu_speed", "", "1", 1024, "relative speed of such a core; 1: usual", func(s *Settings) *float64 { return &s.CPUSpeed }),
	number("vm", "link_mbps", "Mbit/s", "0", 1e6, "bandwidth of the VM's link; 0: unknown", func(s *Settings) *float64 { return &s.LinkMbps }),
	reloads(choice("vm", "first_start", []string{"no", firstStartYes}, "whether the whole system starts for the first time: then no VM acts yet that this one may not know; read at the start of the process", func(s *Settings) *string { return &s.FirstStart })),
	addressKey("listen", "caller", "address for requests of callers", func(s *Settings) *netip.AddrPort { return &s.Caller }),
	addressKey("listen", "ready", "address of the readiness check", func(s *Settings) *netip.AddrPort { return &s.Ready }),
	addressKey("listen", "lookup", "address for lookups of entry VMs", func(s *Settings) *netip.AddrPort { return &s.Lookup }),
	addressKey("listen", "peer", "address for other VMs, which follow this VM's records, and for metrics", func(s *Settings) *netip.AddrPort { return &s.Peer }),
	addressKey("store", "address", "address of the platform's store", func(s *Settings) *netip.AddrPort { return &s.Store }),
	reloads(duration("store", "lease_minimum", "1", "minimum time to live of a lease that the store grants", func(s *Settings) *time.Duration { return &s.MinLeaseTTL })),
	reloads(number("bounds", "cold_over", "", "1", 100, "factor on the rate that a cold instance tolerates, over all VMs", func(s *Settings) *float64 { return &s.ColdOver })),
	reloads(number("bounds", "cold_slack", "requests/s", "0", 1e6, "added to that bound", func(s *Settings) *float64 { return &s.ColdSlack })),
	reloads(number("bounds", "shift_most", "", "0.15", 1, "maximum share of a region's requests that may move to another region within 2 s", func(s *Settings) *float64 { return &s.MaxShift })),
	reloads(number("bounds", "retry_ratio", "", "0.1", 1, "retries per request of a service, over all VMs", func(s *Settings) *float64 { return &s.RetryRatio })),
	reloads(number("bounds", "retry_slack", "attempts", "0", 1e6, "added to that bound in each window of 10 s, over all VMs", func(s *Settings) *float64 { return &s.RetrySlack })),
	reloads(duration("bounds", "stop_grace", "6", "time from SIGTERM until the process must have exited", func(s *Settings) *time.Duration { return &s.StopGrace })),
	reloads(duration("bounds", "drain_time", "2.5", "time for which a leaving instance still serves", func(s *Settings) *time.Duration { return &s.DrainTime })),
	reloads(duration("bounds", "stable_window", "4", "time after a disturbance from which bounds hold again; the record of a crashed VM is kept for about as long", func(s *Settings) *time.Duration { return &s.StableWindow })),
	reloads(duration("bounds", "lookup_ttl_most", "5", "maximum time for which callers cache an answer", func(s *Settings) *time.Duration { return &s.MaxLookupTTL })),
	reloads(duration("bounds", "config_time", "2.5", "time within which every VM has a change of the operators; from 0.4 of it on, a VM that knows that others have newer ones refuses requests", func(s *Settings) *time.Duration { return &s.ConfigTime })),
	reloads(duration("bounds", "team_window", "5", "window of time in which the requests of a team are bounded by its cap, over all VMs", func(s *Settings) *time.Duration { return &s.TeamWindow })),
	reloads(number("bounds", "team_over", "", "0.1", 100, "part of the cap that may be run beyond it in a window", func(s *Settings) *float64 { return &s.TeamOver })),
	reloads(number("bounds", "team_slack", "requests", "0", 1e6, "added to that bound in each window", func(s *Settings) *float64 { return &s.TeamSlack })),
	reloads(number("callers", "memory_mb", "MB", "0", 1<<24, "memory for the connections, heads, bodies and answers of callers; 0: 0.35 of [vm] memory_mb less 8, at least 4; no bound if that is 0 too", func(s *Settings) *float64 { return &s.Callers.MemoryMB })),
	reloads(number("callers", "connections", "", "0", 1<<20, "connections to the caller address; 0: 0.45 of the process's descriptors", func(s *Settings) *float64 { return &s.Callers.Connections })),
	reloads(number("callers", "connections_ready", "", "0", 1<<20, "connections to the ready address; 0: 0.03 of the descriptors", func(s *Settings) *float64 { return &s.Callers.ReadyConnections })),
	reloads(number("callers", "connections_lookup", "", "0", 1<<20, "connections to the lookup address; 0: 0.05 of the descriptors", func(s *Settings) *float64 { return &s.Callers.LookupConnections })),
	reloads(number("callers", "connections_peer", "", "0", 1<<20, "connections to the peer address; 0: 0.2 of the descriptors", func(s *Settings) *float64 { return &s.Callers.PeerConnections })),
	reloads(number("callers", "connections_per_address", "", "0", 1<<20, "connections from one IP address to one of these; 0: 0.75 of the bound for the caller address, but at least 512", func(s *Settings) *float64 { return &s.Callers.AddressConnections })),
	number("callers", "head_bytes", "bytes", "65536", 1<<20, "length of a request's head; 0: 1 MiB", func(s *Settings) *float64 { return &s.Callers.HeadBytes }),
	reloads(number("callers", "head_fields", "", "500", 1<<20, "fields in a request's head; 0: no bound", func(s *Settings) *float64 { return &s.Callers.HeadFields })),
	duration("callers", "head_time", "15", "time for a request's head, and for the first request of a connection to begin", func(s *Settings) *time.Duration { return &s.Callers.HeadTime }),
	reloads(duration("callers", "grace", "8", "time for which a caller may send a head or a body, or read an answer, at less than min_rate", func(s *Settings) *time.Duration { return &s.Callers.Grace })),
	reloads(number("callers", "min_rate", "bytes/s", "1024", 1e9, "rate at which callers must send and read after that time", func(s *Settings) *float64 { return &s.Callers.MinRate })),
	wholeNumber("callers", "pipeline_most", "requests", "1", 64, "maximum number of idempotent requests of a connection in flight; 1: one after the other.", func(s *Settings) *float64 { return &s.MaxPipelined }),
	reloads(choice("placement", "precedence", []string{precedenceOff, precedenceOn}, "on: where the instances of a service lack capacity, less urgent requests leave them to more urgent ones, and teams within their fair share go first", func(s *Settings) *string { return &s.Precedence })),
	reloads(choice("placement", "object_affinity", []string{string(placement.AffinityObserved), string(placement.AffinityFixed)}, "how instances are chosen for requests about the same object: by observed durations and the objects' shares of the requests, or by constants, up to three instances for each object", func(s *Settings) *string { return &s.ObjectAffinity })),
}

func text(section, name, meaning string, field func(*Settings) *string) SettingKey {
	return SettingKey{section, name, "", "", "not empty", meaning, false, func(s *Settings, value string) error {
		if value == "" {
			return errors.New("missing or empty")
		}
		*field(s) = value
		return nil
	}, access(field)}
}

// choice is a text setting with one of the given values. The first is the default.
// firstStartYes is a value of [vm] first_start.
const firstStartYes = "yes"

// Values of [placement] precedence.
const (
	precedenceOff = "off"
	precedenceOn  = "on"
)

func choice(section, name string, values []string, meaning string, field func(*Settings) *string) SettingKey {
	return SettingKey{section, name, "", values[0], strings.Join(values, ", "), meaning, false, func(s *Settings, value string) error {
		if !slices.Contains(values, value) {
			return errors.New("not one of the accepted values")
		}
		*field(s) = value
		return nil
	}, access(field)}
}

func addressKey(section, name, meaning string, field func(*Settings) *netip.AddrPort) SettingKey {
	return SettingKey{section, name, "IP:PORT", "", "an IP address with a port", meaning, false, func(s *Settings, value string) error {
		a, err := netip.ParseAddrPort(value)
		*field(s) = a
		return err
	}, access(field)}
}

// wholeNumber is a number from 1 to maxValue.
func wholeNumber(section, name, unit, defaultValue string, maxValue float64, meaning string, field func(*Settings) *float64) SettingKey {
	k := number(section, name, unit, defaultValue, maxValue, meaning, field)
	set := k.set
	k.Range = fmt.Sprintf("1 to %g", maxValue)
	k.set = func(s *Settings, value string) error {
		if n, err := strconv.Atoi(value); err != nil || n < 1 {
			return errors.New("not a whole number from 1 on")
		}
		return set(s, value)
	}
	return k
}

func number(section, name, unit, defaultValue string, maxValue float64, meaning string, field func(*Settings) *float64) SettingKey {
	return SettingKey{section, name, unit, defaultValue, fmt.Sprintf("0 to %g", maxValue), meaning, false, func(s *Settings, value string) error {
		v, err := strconv.ParseFloat(value, 64)
		if err != nil {
			return errors.New("not a number")
		}
		if !(v >= 0 && v <= maxValue) {
			return errors.New("out of range")
		}
		*field(s) = v
		return nil
	}, access(field)}
}

// maxSettingSeconds bounds the durations in the settings.
const maxSettingSeconds = 3600

func duration(section, name, defaultValue, meaning string, field func(*Settings) *time.Duration) SettingKey {
	return SettingKey{section, name, "s", defaultValue, fmt.Sprintf("more than 0, at most %d", maxSettingSeconds), meaning, false, func(s *Settings, value string) error {
		v, err := strconv.ParseFloat(value, 64)
		if err != nil || math.IsNaN(v) {
			return errors.New("not a number")
		}
		if v <= 0 || v > maxSettingSeconds {
			return errors.New("out of range")
		}
		*field(s) = time.Duration(v * float64(time.Second))
		return nil
	}, access(field)}
}

// LoadSettings reads and validates a file. All errors are returned together, as
// settings.Errors. Unknown keys are ignored, since the platform may add keys.
func LoadSettings(path string) (*Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "settings")
	}
	return ParseSettings(path, data)
}

// ParseSettings parses the content of a file; path appears in errors.
func ParseSettings(path string, data []byte) (*Settings, error) {
	file, err := ini.LoadSources(ini.LoadOptions{Insensitive: false}, data)
	if err != nil {
		return nil, settings.Errors{{File: path, Text: err.Error()}}
	}
	s := &Settings{Regions: make(map[string]string)}
	var invalid settings.Errors
	for i := range settingKeys {
		k := &settingKeys[i]
		value := k.Default
		if section, err := file.GetSection(k.Section); err == nil && section.Key(k.Name).String() != "" {
			value = section.Key(k.Name).String()
		}
		if err := k.set(s, value); err != nil {
			invalid = append(invalid, settings.Error{File: path, Section: k.Section, Key: k.Name, Value: value, Accepted: k.Range, Text: err.Error()})
		}
	}
	if section, err := file.GetSection(sectionDataCentres); err == nil {
		s.Regions = section.KeysHash()
	}
	if s.DataCentre != "" && s.Regions[s.DataCentre] != s.Region {
		invalid = append(invalid, settings.Error{
			File: path, Section: sectionDataCentres, Key: s.DataCentre, Value: s.Regions[s.DataCentre], Text: "not the region of [vm]",
		})
	}
	if len(invalid) > 0 {
		return nil, invalid
	}
	return s, nil
}

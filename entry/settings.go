package entry

import (
	"fmt"
	"math"
	"net/netip"
	"os"
	"strconv"
	"time"

	"github.com/pkg/errors"
	"gopkg.in/ini.v1"

	"github.com/currantferry/currantferry/settings"
)

// Settings of an entry VM on a platform. The table below gives unit, default and
// range of each.
type Settings struct {
	ID, DataCentre, Region string
	MemoryMB               float64
	// CPUShare is the part of a core that the VM has, CPUSpeed how fast it is, and
	// LinkMbps the rate of its link. Zero means unknown.
	CPUShare, CPUSpeed, LinkMbps float64

	Caller, Ready, Lookup, Peer netip.AddrPort
	// Regions holds the region of each data centre.
	Regions map[string]string

	Store        netip.AddrPort
	LeaseMinimum time.Duration

	ColdOver, ColdSlack    float64
	ShiftMost              float64
	RetryRatio, RetrySlack float64
	StopGrace              time.Duration
	StableWindow           time.Duration
	DrainTime              time.Duration
	LookupTTLMost          time.Duration
}

// SettingKey describes a key of the settings.
type SettingKey struct {
	Section, Name, Unit, Default, Range, Meaning string
	set                                          func(s *Settings, value string) error
}

// SettingKeys returns the table of keys in the order of the docs.
func SettingKeys() []SettingKey { return append([]SettingKey(nil), settingKeys...) }

// sectionDataCentres has one key for each data centre, with its region as value.
const sectionDataCentres = "data_centres"

var settingKeys = []SettingKey{
	text("vm", "id", "names this VM among all", func(s *Settings) *string { return &s.ID }),
	text("vm", "data_centre", "where this VM is", func(s *Settings) *string { return &s.DataCentre }),
	text("vm", "region", "the region of that data centre", func(s *Settings) *string { return &s.Region }),
	number("vm", "memory_mb", "MB", "0", 1<<24, "memory of the process, of which 0.6 is the soft limit of the heap; 0: no limit", func(s *Settings) *float64 { return &s.MemoryMB }),
	number("vm", "cpu_share", "cores", "0", 1024, "part of a core that the process may use; 0: unknown", func(s *Settings) *float64 { return &s.CPUShare }),
	number("vm", "cpu_speed", "", "1", 1024, "how fast such a core is, 1 as usual", func(s *Settings) *float64 { return &s.CPUSpeed }),
	number("vm", "link_mbps", "Mbit/s", "0", 1e6, "rate of the VM's link; 0: unknown", func(s *Settings) *float64 { return &s.LinkMbps }),
	addressKey("listen", "caller", "where callers send requests", func(s *Settings) *netip.AddrPort { return &s.Caller }),
	addressKey("listen", "ready", "where the readiness check is answered", func(s *Settings) *netip.AddrPort { return &s.Ready }),
	addressKey("listen", "lookup", "where callers ask for entry VMs", func(s *Settings) *netip.AddrPort { return &s.Lookup }),
	addressKey("listen", "peer", "where other VMs follow this VM's records, and where metrics are served", func(s *Settings) *netip.AddrPort { return &s.Peer }),
	addressKey("store", "address", "the platform's store", func(s *Settings) *netip.AddrPort { return &s.Store }),
	duration("store", "lease_minimum", "1", "shortest time to live of a lease that the store grants", func(s *Settings) *time.Duration { return &s.LeaseMinimum }),
	number("bounds", "cold_over", "", "1", 100, "factor on the rate that a cold instance tolerates, over all VMs", func(s *Settings) *float64 { return &s.ColdOver }),
	number("bounds", "cold_slack", "requests/s", "0", 1e6, "added to that bound", func(s *Settings) *float64 { return &s.ColdSlack }),
	number("bounds", "shift_most", "", "0.15", 1, "share of a region's requests that may change their region within 2 s", func(s *Settings) *float64 { return &s.ShiftMost }),
	number("bounds", "retry_ratio", "", "0.1", 1, "attempts after the first per request of a service, over all VMs", func(s *Settings) *float64 { return &s.RetryRatio }),
	number("bounds", "retry_slack", "attempts", "0", 1e6, "added to that bound in each window of 10 s, over all VMs", func(s *Settings) *float64 { return &s.RetrySlack }),
	duration("bounds", "stop_grace", "6", "time between SIGTERM and the end of the process", func(s *Settings) *time.Duration { return &s.StopGrace }),
	duration("bounds", "drain_time", "2.5", "time for which an instance that leaves still serves", func(s *Settings) *time.Duration { return &s.DrainTime }),
	duration("bounds", "stable_window", "4", "time after a disturbance from which bounds hold again; a VM that died is known for about as long", func(s *Settings) *time.Duration { return &s.StableWindow }),
	duration("bounds", "lookup_ttl_most", "5", "longest time for which callers keep an answer", func(s *Settings) *time.Duration { return &s.LookupTTLMost }),
}

func text(section, name, meaning string, field func(*Settings) *string) SettingKey {
	return SettingKey{section, name, "", "", "not empty", meaning, func(s *Settings, value string) error {
		if value == "" {
			return errors.New("missing or empty")
		}
		*field(s) = value
		return nil
	}}
}

func addressKey(section, name, meaning string, field func(*Settings) *netip.AddrPort) SettingKey {
	return SettingKey{section, name, "IP:PORT", "", "an IP address with a port", meaning, func(s *Settings, value string) error {
		a, err := netip.ParseAddrPort(value)
		*field(s) = a
		return err
	}}
}

func number(section, name, unit, usual string, most float64, meaning string, field func(*Settings) *float64) SettingKey {
	return SettingKey{section, name, unit, usual, fmt.Sprintf("0 to %g", most), meaning, func(s *Settings, value string) error {
		v, err := strconv.ParseFloat(value, 64)
		if err != nil {
			return errors.New("not a number")
		}
		if !(v >= 0 && v <= most) {
			return errors.New("out of range")
		}
		*field(s) = v
		return nil
	}}
}

// maxSettingSeconds bounds the durations of the settings.
const maxSettingSeconds = 3600

func duration(section, name, usual, meaning string, field func(*Settings) *time.Duration) SettingKey {
	return SettingKey{section, name, "s", usual, fmt.Sprintf("more than 0, at most %d", maxSettingSeconds), meaning, func(s *Settings, value string) error {
		v, err := strconv.ParseFloat(value, 64)
		if err != nil || math.IsNaN(v) {
			return errors.New("not a number")
		}
		if v <= 0 || v > maxSettingSeconds {
			return errors.New("out of range")
		}
		*field(s) = time.Duration(v * float64(time.Second))
		return nil
	}}
}

// LoadSettings reads and checks a file. All faults come together, as
// settings.Errors. Unknown keys are ignored: the platform may add fields.
func LoadSettings(path string) (*Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "settings")
	}
	return ParseSettings(path, data)
}

// ParseSettings reads the content of a file; path appears in errors.
func ParseSettings(path string, data []byte) (*Settings, error) {
	file, err := ini.LoadSources(ini.LoadOptions{Insensitive: false}, data)
	if err != nil {
		return nil, settings.Errors{{File: path, Text: err.Error()}}
	}
	s := &Settings{Regions: make(map[string]string)}
	var faults settings.Errors
	for i := range settingKeys {
		k := &settingKeys[i]
		value := k.Default
		if section, err := file.GetSection(k.Section); err == nil && section.Key(k.Name).String() != "" {
			value = section.Key(k.Name).String()
		}
		if err := k.set(s, value); err != nil {
			faults = append(faults, settings.Error{File: path, Section: k.Section, Key: k.Name, Value: value, Accepted: k.Range, Text: err.Error()})
		}
	}
	if section, err := file.GetSection(sectionDataCentres); err == nil {
		s.Regions = section.KeysHash()
	}
	if s.DataCentre != "" && s.Regions[s.DataCentre] != s.Region {
		faults = append(faults, settings.Error{
			File: path, Section: sectionDataCentres, Key: s.DataCentre, Value: s.Regions[s.DataCentre], Text: "not the region of [vm]",
		})
	}
	if len(faults) > 0 {
		return nil, faults
	}
	return s, nil
}

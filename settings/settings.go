// Package settings parses the INI file of currantferryd. Each key is described once, in the
// table in keys.go, from which docs/SETTINGS.md is generated.
package settings

import (
	"net/netip"
	"os"
	"time"

	"github.com/pkg/errors"
	"gopkg.in/ini.v1"
)

// Settings is the configuration of one daemon. The table in keys.go has the unit, default,
// accepted values and meaning of zero for each field.
type Settings struct {
	VM      VM
	Listen  Listen
	Store   Store
	Peers   Peers
	Lookup  Lookup
	Request Request
	Once    Once
	Node    Node
	TLS     TLS
	Log     Log
}

// VM identifies this VM and its location.
type VM struct {
	ID         string
	Region     string
	DataCentre string
}

// Listen holds the addresses of the daemon's listeners. A listener is off if its address is
// the zero AddrPort.
type Listen struct {
	Caller, Peer, Admin, DNS netip.AddrPort
	// Transit is the address at which other VMs pass on requests. If it is not valid, it is
	// a free port of the address of Peer.
	Transit netip.AddrPort
	// AdvertiseCaller and AdvertisePeer are the addresses at which others reach the
	// listeners. After Load they are valid if the listener is on.
	AdvertiseCaller, AdvertisePeer netip.AddrPort
}

// Store configures the client of the platform's key-value service.
type Store struct {
	Addresses []netip.AddrPort
	Timeout   time.Duration
	LeaseTTL  time.Duration
}

// Peers configures how the VMs find one another and how often they exchange data.
type Peers struct {
	Seeds     []netip.AddrPort
	Heartbeat time.Duration
}

// Lookup configures lookups.
type Lookup struct {
	TTL           time.Duration
	Zone          string
	MaxConcurrent int
}

// Request holds the limits of the request path.
type Request struct {
	MaxBody          int64
	MaxConcurrent    int
	KeepAnswersBytes int64
	DefaultTimeout   time.Duration
	MaxHeaderBytes   int
}

// Once configures at-most-once execution.
type Once struct {
	Partitions int
	Retention  time.Duration
	MaxClaims  int
}

// Node configures the stop of the daemon.
type Node struct {
	StopTimeout time.Duration
	LookupGrace time.Duration
}

// TLS holds the paths of the certificate files. A listener whose paths are empty uses plain
// TCP.
type TLS struct {
	CallerCert, CallerKey     string
	PeerCert, PeerKey, PeerCA string
	AdminCert, AdminKey       string
}

// Log configures the log.
type Log struct {
	// Level is debug, info, warn or error.
	Level string
	// Format is text or json.
	Format string
}

// Default returns the settings of an empty file. They are incomplete, since the required
// keys have no default.
func Default() *Settings {
	s := new(Settings)
	for i := range keys {
		if keys[i].Default != "" {
			// TestDefaultsAreAccepted checks that all defaults parse.
			_ = keys[i].set(s, keys[i].Default)
		}
	}
	return s
}

// Load reads and parses a file. If the file can be read, the error is an Errors: all invalid
// keys of an INI file, or one syntax error.
func Load(path string) (*Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "settings")
	}
	return Parse(path, data)
}

// Parse parses the content of a file. path is used in errors only.
func Parse(path string, data []byte) (*Settings, error) {
	file, err := ini.LoadSources(ini.LoadOptions{
		// With shadows a repeated key has several values, and parseKey rejects it.
		AllowShadows:               true,
		AllowDuplicateShadowValues: true,
		PreserveEmptyShadowValues:  true,
		SpaceBeforeInlineComment:   true,
		KeyValueDelimiters:         "=",
	}, data)
	if err != nil {
		return nil, Errors{{File: path, Text: err.Error()}}
	}
	p := &parser{path: path, settings: Default()}
	for _, section := range file.Sections() {
		p.parseSection(section)
	}
	p.checkRequired(file)
	if len(p.errs) == 0 {
		p.checkAcrossKeys()
	}
	if len(p.errs) > 0 {
		return nil, p.errs
	}
	p.settings.Listen.setAdvertisedDefaults()
	return p.settings, nil
}

// setAdvertisedDefaults sets the advertised addresses that are not given to those of the
// listeners.
func (l *Listen) setAdvertisedDefaults() {
	if !l.AdvertiseCaller.IsValid() {
		l.AdvertiseCaller = l.Caller
	}
	if !l.AdvertisePeer.IsValid() {
		l.AdvertisePeer = l.Peer
	}
}

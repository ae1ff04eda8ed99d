// Package settings reads the INI file of currantferryd. Every key is described
// once, in the table of keys.go, from which docs/SETTINGS.md is written.
package settings

import (
	"net/netip"
	"os"
	"time"

	"github.com/pkg/errors"
	"gopkg.in/ini.v1"
)

// Settings is the configuration of one daemon. The table in keys.go gives unit,
// default, accepted range and the meaning of zero of each field.
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

// VM says which VM this is and where it is.
type VM struct {
	ID         string
	Region     string
	DataCentre string
}

// Listen holds the addresses of the daemon's sockets. An invalid address means
// that the listener is off.
type Listen struct {
	Caller, Peer, Admin, DNS netip.AddrPort
	// AdvertiseCaller and AdvertisePeer are where others reach the listeners.
	// After Load they are valid wherever the listener is on.
	AdvertiseCaller, AdvertisePeer netip.AddrPort
}

// Store is the access to the platform's key-value service.
type Store struct {
	Addresses []netip.AddrPort
	Timeout   time.Duration
	LeaseTTL  time.Duration
}

// Peers is how the VMs find one another.
type Peers struct {
	Seeds     []netip.AddrPort
	Heartbeat time.Duration
}

// Lookup tunes lookups.
type Lookup struct {
	TTL           time.Duration
	Zone          string
	MaxConcurrent int
}

// Request bounds the request path.
type Request struct {
	MaxBody          int64
	MaxConcurrent    int
	KeepAnswersBytes int64
	DefaultTimeout   time.Duration
	MaxHeaderBytes   int
}

// Once tunes at-most-once execution.
type Once struct {
	Partitions int
	Retention  time.Duration
	MaxClaims  int
}

// Node tunes the life of the daemon.
type Node struct {
	StopTimeout time.Duration
	LookupGrace time.Duration
}

// TLS names the certificate files. Empty pairs mean plain TCP.
type TLS struct {
	CallerCert, CallerKey     string
	PeerCert, PeerKey, PeerCA string
	AdminCert, AdminKey       string
}

// Log tunes the log.
type Log struct {
	// Level is debug, info, warn or error.
	Level string
	// Format is text or json.
	Format string
}

// Default returns the settings of an empty file. They are not valid by
// themselves, since some keys have no default.
func Default() *Settings {
	s := new(Settings)
	for i := range keys {
		if keys[i].Default != "" {
			// A default that does not parse is found by a test.
			_ = keys[i].set(s, keys[i].Default)
		}
	}
	return s
}

// Load reads a file. The error is an Errors with every fault where the file can
// be read and is INI.
func Load(path string) (*Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "settings")
	}
	return Parse(path, data)
}

// Parse reads the content of a file; path is for the errors only.
func Parse(path string, data []byte) (*Settings, error) {
	file, err := ini.LoadSources(ini.LoadOptions{
		// A key that is given twice shows as a shadow and is rejected.
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
		p.section(section)
	}
	p.missing(file)
	if len(p.errs) == 0 {
		p.cross()
	}
	if len(p.errs) > 0 {
		return nil, p.errs
	}
	p.settings.Listen.advertise()
	return p.settings, nil
}

// advertise fills in the advertised addresses that are not given.
func (l *Listen) advertise() {
	if !l.AdvertiseCaller.IsValid() {
		l.AdvertiseCaller = l.Caller
	}
	if !l.AdvertisePeer.IsValid() {
		l.AdvertisePeer = l.Peer
	}
}

// Package certs serves TLS certificates from files and replaces them without a
// restart when the files change. Files that cannot be used never replace
// certificates that can.
package certs

import (
	"bytes"
	"context"
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"log/slog"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/uber-go/tally/v4"

	"github.com/currantferry/currantferry/event"
)

const (
	// DefaultInterval is the time between two looks at the files.
	DefaultInterval = 10 * time.Second
	// expiresSoon is how long before its end an expiring certificate is
	// reported, once a day.
	expiresSoon = 7 * 24 * time.Hour
	// maxFile bounds a file in bytes, against a path that names something else.
	maxFile = 1 << 20
)

// Config configures a Keeper.
type Config struct {
	// Name of the listener, for logs and counters.
	Name string
	// CertFile and KeyFile hold the chain, leaf first, and its private key, as
	// PEM.
	CertFile, KeyFile string
	// CAFile holds the authorities that sign the other side's certificates.
	// Empty means that the other side shows none; it is needed for peers.
	CAFile string
	// Interval is the time between two looks at the files. Zero means
	// DefaultInterval.
	Interval time.Duration
	// Scope counts reloads. Nil counts nothing.
	Scope tally.Scope
	// Log receives events. Nil logs nothing.
	Log *slog.Logger
	// Now is the clock by which certificates are valid. Nil means time.Now.
	Now func() time.Time
}

// Keeper holds the certificate of one listener. Its methods are safe for
// concurrent use.
type Keeper struct {
	cfg     Config
	current atomic.Pointer[material]

	mu       sync.Mutex
	rejected [sha256.Size]byte
	warned   time.Time

	loaded, refused tally.Counter
	expiry          tally.Gauge
}

// material is what one state of the files gives.
type material struct {
	sum  [sha256.Size]byte
	cert *tls.Certificate
	// ca is nil without a CA file.
	ca *x509.CertPool
	// peerServer is the configuration for one connection of a peer listener.
	peerServer *tls.Config
}

// Load reads the files, which must be usable.
func Load(cfg Config) (*Keeper, error) {
	if cfg.Interval <= 0 {
		cfg.Interval = DefaultInterval
	}
	if cfg.Scope == nil {
		cfg.Scope = tally.NoopScope
	}
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	k := &Keeper{cfg: cfg, expiry: cfg.Scope.Tagged(map[string]string{"listener": cfg.Name}).Gauge("certificate_seconds_left")}
	outcome := func(o string) tally.Counter {
		return cfg.Scope.Tagged(map[string]string{"listener": cfg.Name, "outcome": o}).Counter("certificate_reloads")
	}
	k.loaded, k.refused = outcome("loaded"), outcome("rejected")
	f, err := k.read()
	if err != nil {
		return nil, err
	}
	m, err := k.parse(f)
	if err != nil {
		return nil, err
	}
	k.use(m)
	return k, nil
}

// Run looks at the files at each interval until ctx ends.
func (k *Keeper) Run(ctx context.Context) {
	t := time.NewTicker(k.cfg.Interval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			_ = k.Check() // reported by Check itself
		}
	}
}

// Check looks at the files once and puts them in force if they changed and are
// usable. The error says why they are not; the former certificate then stays,
// and the same files are not reported again. The content decides, not only the
// modification time, which tools that copy files may keep.
func (k *Keeper) Check() error {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.watchExpiry()
	f, err := k.read()
	if err == nil && f.sum == k.current.Load().sum {
		k.rejected = [sha256.Size]byte{}
		return nil
	}
	var m *material
	if err == nil {
		m, err = k.parse(f)
	}
	if err != nil {
		k.reject(f.sum, err)
		return err
	}
	k.use(m)
	return nil
}

func (k *Keeper) reject(sum [sha256.Size]byte, err error) {
	if sum == ([sha256.Size]byte{}) {
		// Files that cannot be read have no content to tell them by.
		sum = sha256.Sum256([]byte(err.Error()))
	}
	if sum == k.rejected {
		return
	}
	k.rejected = sum
	k.refused.Inc(1)
	event.CertRejected.Log(k.cfg.Log, "listener", k.cfg.Name, "error", err)
}

func (k *Keeper) use(m *material) {
	k.rejected, k.warned = [sha256.Size]byte{}, time.Time{}
	k.current.Store(m)
	k.loaded.Inc(1)
	event.CertLoaded.Log(k.cfg.Log, "listener", k.cfg.Name, "subject", m.cert.Leaf.Subject.String(), "until", m.cert.Leaf.NotAfter)
	k.watchExpiry()
}

func (k *Keeper) watchExpiry() {
	now := k.cfg.Now()
	left := k.current.Load().cert.Leaf.NotAfter.Sub(now)
	k.expiry.Update(left.Seconds())
	if left < expiresSoon && now.Sub(k.warned) >= 24*time.Hour {
		k.warned = now
		event.CertExpiring.Log(k.cfg.Log, "listener", k.cfg.Name, "left", left)
	}
}

// files is the content of the files at one time.
type files struct {
	cert, key, ca []byte
	sum           [sha256.Size]byte
}

func (k *Keeper) read() (files, error) {
	var f files
	h := sha256.New()
	for _, x := range []struct {
		path string
		into *[]byte
	}{{k.cfg.CertFile, &f.cert}, {k.cfg.KeyFile, &f.key}, {k.cfg.CAFile, &f.ca}} {
		if x.path == "" {
			continue
		}
		info, err := os.Stat(x.path)
		if err != nil {
			return files{}, errors.Wrap(err, "certs")
		}
		if !info.Mode().IsRegular() || info.Size() > maxFile {
			return files{}, errors.Errorf("certs: %s is not a file of at most %d bytes", x.path, maxFile)
		}
		if *x.into, err = os.ReadFile(x.path); err != nil {
			return files{}, errors.Wrap(err, "certs")
		}
		part := sha256.Sum256(*x.into)
		_, _ = h.Write(part[:])
	}
	h.Sum(f.sum[:0])
	return f, nil
}

func (k *Keeper) parse(f files) (*material, error) {
	cert, err := tls.X509KeyPair(f.cert, f.key)
	if err != nil {
		return nil, errors.Wrapf(err, "certs: %s and %s", k.cfg.CertFile, k.cfg.KeyFile)
	}
	now := k.cfg.Now()
	if now.After(cert.Leaf.NotAfter) || now.Before(cert.Leaf.NotBefore) {
		return nil, errors.Errorf("certs: %s is valid from %s to %s, not now", k.cfg.CertFile, cert.Leaf.NotBefore, cert.Leaf.NotAfter)
	}
	m := &material{sum: f.sum, cert: &cert}
	if k.cfg.CAFile == "" {
		return m, nil
	}
	if m.ca, err = parseCA(f.ca); err != nil {
		return nil, errors.Wrapf(err, "certs: %s", k.cfg.CAFile)
	}
	// Peers use the same authorities, so they would refuse this certificate.
	if err := verify(chain(&cert), m.ca, now, x509.ExtKeyUsageAny); err != nil {
		return nil, errors.Wrapf(err, "certs: %s is not signed by %s", k.cfg.CertFile, k.cfg.CAFile)
	}
	m.peerServer = k.peerServer(m)
	return m, nil
}

// parseCA reads every certificate and rejects anything else, so that a file cut
// in the middle does not silently drop an authority.
func parseCA(data []byte) (*x509.CertPool, error) {
	pool, n := x509.NewCertPool(), 0
	for len(bytes.TrimSpace(data)) > 0 {
		block, rest := pem.Decode(data)
		if block == nil || block.Type != "CERTIFICATE" {
			return nil, errors.Errorf("certificate %d is not a PEM block of type CERTIFICATE", n+1)
		}
		cert, err := x509.ParseCertificate(block.Bytes)
		if err != nil {
			return nil, errors.Wrapf(err, "certificate %d", n+1)
		}
		pool.AddCert(cert)
		data, n = rest, n+1
	}
	if n == 0 {
		return nil, errors.New("no certificate")
	}
	return pool, nil
}

func chain(cert *tls.Certificate) []*x509.Certificate {
	out := []*x509.Certificate{cert.Leaf}
	for _, der := range cert.Certificate[1:] {
		if c, err := x509.ParseCertificate(der); err == nil {
			out = append(out, c)
		}
	}
	return out
}

func verify(certs []*x509.Certificate, ca *x509.CertPool, now time.Time, usage x509.ExtKeyUsage) error {
	if len(certs) == 0 {
		return errors.New("certs: the peer shows no certificate")
	}
	between := x509.NewCertPool()
	for _, c := range certs[1:] {
		between.AddCert(c)
	}
	_, err := certs[0].Verify(x509.VerifyOptions{Roots: ca, Intermediates: between, CurrentTime: now, KeyUsages: []x509.ExtKeyUsage{usage}})
	return err
}

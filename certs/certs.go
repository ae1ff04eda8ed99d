// Package certs loads TLS certificates from files and reloads them without a restart when
// the files change. Unusable files never replace a certificate in use.
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
	// DefaultInterval is the default time between two checks of the files.
	DefaultInterval = 10 * time.Second
	// expiryWarningWindow is how long before its expiry a certificate is reported, once a
	// day.
	expiryWarningWindow = 7 * 24 * time.Hour
	// maxFileBytes bounds the size of a file, in case a path points to some other file.
	maxFileBytes = 1 << 20
)

// Config configures a Reloader.
type Config struct {
	// Name is the name of the listener in logs and counters.
	Name string
	// CertFile and KeyFile hold the chain, leaf first, and its private key, as
	// PEM.
	CertFile, KeyFile string
	// CAFile holds the certificate authorities that sign the other side's certificates.
	// Empty means that the other side presents no certificate; peers need a CAFile.
	CAFile string
	// Interval is the time between two checks of the files. Zero means
	// DefaultInterval.
	Interval time.Duration
	// Scope receives the metrics. Nil discards them.
	Scope tally.Scope
	// Log receives events. Nil logs nothing.
	Log *slog.Logger
	// Now is the clock for the validity of certificates. Nil means time.Now.
	Now func() time.Time
}

// Reloader holds the current certificate of one listener and reloads it. Its methods are
// safe for concurrent use.
type Reloader struct {
	cfg     Config
	current atomic.Pointer[credentials]

	mu sync.Mutex
	// rejectedSum is the checksum of the files that were last rejected and reported, or zero.
	rejectedSum       [sha256.Size]byte
	lastExpiryWarning time.Time

	loads, rejections tally.Counter
	expiry            tally.Gauge
}

// credentials are the parsed files in one state.
type credentials struct {
	// sum is the checksum of the files.
	sum  [sha256.Size]byte
	cert *tls.Certificate
	// ca is nil without a CA file.
	ca *x509.CertPool
	// peerServer is the configuration for the connections of a peer listener.
	peerServer *tls.Config
}

// Load loads the files. It fails if they are unusable.
func Load(cfg Config) (*Reloader, error) {
	if cfg.Interval <= 0 {
		cfg.Interval = DefaultInterval
	}
	if cfg.Scope == nil {
		cfg.Scope = tally.NoopScope
	}
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	r := &Reloader{cfg: cfg, expiry: cfg.Scope.Tagged(map[string]string{"listener": cfg.Name}).Gauge("certificate_seconds_left")}
	outcome := func(o string) tally.Counter {
		return cfg.Scope.Tagged(map[string]string{"listener": cfg.Name, "outcome": o}).Counter("certificate_reloads")
	}
	r.loads, r.rejections = outcome("loaded"), outcome("rejected")
	f, err := r.readFiles()
	if err != nil {
		return nil, err
	}
	creds, err := r.parse(f)
	if err != nil {
		return nil, err
	}
	r.install(creds)
	return r, nil
}

// Run checks the files at each interval until ctx is done.
func (r *Reloader) Run(ctx context.Context) {
	t := time.NewTicker(r.cfg.Interval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			_ = r.Check() // Check itself reports the error
		}
	}
}

// Check reads the files and installs them if they have changed and are usable. If they are
// unusable, it returns the reason and the previous certificate stays in use; the same files
// are not reported again. Check compares the content, not the modification time, which
// tools that copy files may preserve.
func (r *Reloader) Check() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.reportExpiry()
	f, err := r.readFiles()
	if err == nil && f.sum == r.current.Load().sum {
		r.rejectedSum = [sha256.Size]byte{}
		return nil
	}
	var creds *credentials
	if err == nil {
		creds, err = r.parse(f)
	}
	if err != nil {
		r.reject(f.sum, err)
		return err
	}
	r.install(creds)
	return nil
}

// reject reports unusable files, unless they were the last ones reported.
func (r *Reloader) reject(sum [sha256.Size]byte, err error) {
	if sum == ([sha256.Size]byte{}) {
		// Files that could not be read have no checksum; the error identifies them.
		sum = sha256.Sum256([]byte(err.Error()))
	}
	if sum == r.rejectedSum {
		return
	}
	r.rejectedSum = sum
	r.rejections.Inc(1)
	event.CertRejected.Log(r.cfg.Log, "listener", r.cfg.Name, "error", err)
}

// install puts the credentials in use.
func (r *Reloader) install(creds *credentials) {
	r.rejectedSum, r.lastExpiryWarning = [sha256.Size]byte{}, time.Time{}
	r.current.Store(creds)
	r.loads.Inc(1)
	event.CertLoaded.Log(r.cfg.Log, "listener", r.cfg.Name, "subject", creds.cert.Leaf.Subject.String(), "until", creds.cert.Leaf.NotAfter)
	r.reportExpiry()
}

// reportExpiry updates the gauge, and warns once a day of a certificate that expires soon.
func (r *Reloader) reportExpiry() {
	now := r.cfg.Now()
	left := r.current.Load().cert.Leaf.NotAfter.Sub(now)
	r.expiry.Update(left.Seconds())
	if left < expiryWarningWindow && now.Sub(r.lastExpiryWarning) >= 24*time.Hour {
		r.lastExpiryWarning = now
		event.CertExpiring.Log(r.cfg.Log, "listener", r.cfg.Name, "left", left)
	}
}

// files holds the content of the files at one time, and its checksum.
type files struct {
	cert, key, ca []byte
	sum           [sha256.Size]byte
}

func (r *Reloader) readFiles() (files, error) {
	var f files
	h := sha256.New()
	for _, x := range []struct {
		path    string
		content *[]byte
	}{{r.cfg.CertFile, &f.cert}, {r.cfg.KeyFile, &f.key}, {r.cfg.CAFile, &f.ca}} {
		if x.path == "" {
			continue
		}
		info, err := os.Stat(x.path)
		if err != nil {
			return files{}, errors.Wrap(err, "certs")
		}
		if !info.Mode().IsRegular() || info.Size() > maxFileBytes {
			return files{}, errors.Errorf("certs: %s is not a file of at most %d bytes", x.path, maxFileBytes)
		}
		if *x.content, err = os.ReadFile(x.path); err != nil {
			return files{}, errors.Wrap(err, "certs")
		}
		part := sha256.Sum256(*x.content)
		_, _ = h.Write(part[:])
	}
	h.Sum(f.sum[:0])
	return f, nil
}

func (r *Reloader) parse(f files) (*credentials, error) {
	cert, err := tls.X509KeyPair(f.cert, f.key)
	if err != nil {
		return nil, errors.Wrapf(err, "certs: %s and %s", r.cfg.CertFile, r.cfg.KeyFile)
	}
	now := r.cfg.Now()
	if now.After(cert.Leaf.NotAfter) || now.Before(cert.Leaf.NotBefore) {
		return nil, errors.Errorf("certs: %s is valid from %s to %s, not now", r.cfg.CertFile, cert.Leaf.NotBefore, cert.Leaf.NotAfter)
	}
	creds := &credentials{sum: f.sum, cert: &cert}
	if r.cfg.CAFile == "" {
		return creds, nil
	}
	if creds.ca, err = parseCA(f.ca); err != nil {
		return nil, errors.Wrapf(err, "certs: %s", r.cfg.CAFile)
	}
	// The peers trust the same authorities, so they would reject any other certificate.
	if err := verify(parseChain(&cert), creds.ca, now, x509.ExtKeyUsageAny); err != nil {
		return nil, errors.Wrapf(err, "certs: %s is not signed by %s", r.cfg.CertFile, r.cfg.CAFile)
	}
	creds.peerServer = r.peerServer(creds)
	return creds, nil
}

// parseCA parses all certificates and rejects any other content, so that a truncated file
// does not silently drop an authority.
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

// parseChain returns the leaf and the intermediate certificates.
func parseChain(cert *tls.Certificate) []*x509.Certificate {
	out := []*x509.Certificate{cert.Leaf}
	for _, der := range cert.Certificate[1:] {
		if c, err := x509.ParseCertificate(der); err == nil {
			out = append(out, c)
		}
	}
	return out
}

// verify checks the chain of the leaf certs[0] against the authorities.
func verify(certs []*x509.Certificate, ca *x509.CertPool, now time.Time, usage x509.ExtKeyUsage) error {
	if len(certs) == 0 {
		return errors.New("certs: the peer sent no certificate")
	}
	intermediates := x509.NewCertPool()
	for _, c := range certs[1:] {
		intermediates.AddCert(c)
	}
	_, err := certs[0].Verify(x509.VerifyOptions{Roots: ca, Intermediates: intermediates, CurrentTime: now, KeyUsages: []x509.ExtKeyUsage{usage}})
	return err
}

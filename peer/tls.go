package peer

import (
	"crypto/tls"
	"crypto/x509"
	"log/slog"
	"os"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/currantferry/currantferry/event"
)

// reloadInterval is how often the files are looked at. New connections use the
// new certificate; heartbeats keep connections open at most as long as the
// process lives, and a certificate is checked at the handshake only.
const reloadInterval = 10 * time.Second

// TLSFiles provides TLS configurations from files in PEM form and reads them
// again when they change. It is safe for concurrent use.
type TLSFiles struct {
	cert, key, ca string
	log           *slog.Logger

	mu      sync.Mutex
	checked time.Time
	stamp   [3]time.Time
	config  *tls.Config
}

// NewTLSFiles reads the certificate and key of this VM, and the certificate of
// the authority that signs those of all VMs.
func NewTLSFiles(cert, key, ca string, log *slog.Logger) (*TLSFiles, error) {
	f := &TLSFiles{cert: cert, key: key, ca: ca, log: log}
	if err := f.load(time.Now()); err != nil {
		return nil, err
	}
	return f, nil
}

// Config returns the configuration for a new connection, accepted or dialled.
// Files that cannot be read leave the former configuration in use.
func (f *TLSFiles) Config() (*tls.Config, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if now := time.Now(); now.Sub(f.checked) >= reloadInterval {
		if err := f.load(now); err != nil {
			event.PeerReloadFailed.Log(f.log, "error", err)
		}
	}
	return f.config, nil
}

func (f *TLSFiles) load(now time.Time) error {
	f.checked = now
	var stamp [3]time.Time
	for i, name := range []string{f.cert, f.key, f.ca} {
		info, err := os.Stat(name)
		if err != nil {
			return errors.Wrap(err, "peer: certificates")
		}
		stamp[i] = info.ModTime()
	}
	if f.config != nil && stamp == f.stamp {
		return nil
	}
	pair, err := tls.LoadX509KeyPair(f.cert, f.key)
	if err != nil {
		return errors.Wrap(err, "peer: certificates")
	}
	pem, err := os.ReadFile(f.ca)
	if err != nil {
		return errors.Wrap(err, "peer: certificates")
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(pem) {
		return errors.Errorf("peer: no certificate in %s", f.ca)
	}
	f.config, f.stamp = MutualTLS(pair, roots), stamp
	return nil
}

// MutualTLS returns a configuration for both sides of a connection between VMs.
// Each side accepts certificates that roots signed. Names in them are not
// compared, because VMs are replaced at any time and addressed by IP numbers.
func MutualTLS(pair tls.Certificate, roots *x509.CertPool) *tls.Config {
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{pair},
		ClientAuth:   tls.RequireAndVerifyClientCert,
		ClientCAs:    roots,
		// The chain is verified below; only the comparison of names is left out.
		InsecureSkipVerify: true,
		VerifyConnection: func(s tls.ConnectionState) error {
			if len(s.PeerCertificates) == 0 {
				return errors.New("peer: no certificate")
			}
			between := x509.NewCertPool()
			for _, c := range s.PeerCertificates[1:] {
				between.AddCert(c)
			}
			_, err := s.PeerCertificates[0].Verify(x509.VerifyOptions{
				Roots: roots, Intermediates: between,
				KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
			})
			return err
		},
	}
}

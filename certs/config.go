package certs

import (
	"crypto/tls"
	"crypto/x509"

	"github.com/pkg/errors"
)

// minVersion is the oldest TLS version that the daemon accepts.
const minVersion = tls.VersionTLS12

// Caller returns the configuration of the caller listener, with HTTP/2.
func (r *Reloader) Caller() *tls.Config {
	return &tls.Config{MinVersion: minVersion, NextProtos: []string{"h2", "http/1.1"}, GetCertificate: r.certificate}
}

// Admin returns the configuration of the admin listener.
func (r *Reloader) Admin() *tls.Config { return r.Caller() }

func (r *Reloader) certificate(*tls.ClientHelloInfo) (*tls.Certificate, error) {
	return r.current.Load().cert, nil
}

// ErrNoCA is returned if a Reloader without a CA file is asked for a peer configuration.
var ErrNoCA = errors.New("certs: peers need a CA file")

// PeerServer returns the configuration of the peer listener. Clients must present a
// certificate that is signed by one of the authorities.
func (r *Reloader) PeerServer() (*tls.Config, error) {
	if r.cfg.CAFile == "" {
		return nil, ErrNoCA
	}
	return &tls.Config{
		MinVersion: minVersion,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			return r.current.Load().peerServer, nil
		},
		// net/http and others require a certificate in the outer configuration.
		GetCertificate: r.certificate,
	}, nil
}

// peerServer returns the configuration for one state of the files. Session tickets are
// disabled, so that each connection is verified against the current authorities.
func (r *Reloader) peerServer(creds *credentials) *tls.Config {
	return &tls.Config{
		MinVersion:             minVersion,
		Certificates:           []tls.Certificate{*creds.cert},
		ClientAuth:             tls.RequireAndVerifyClientCert,
		ClientCAs:              creds.ca,
		SessionTicketsDisabled: true,
		Time:                   r.cfg.Now,
	}
}

// PeerClient returns the configuration for connections to other VMs. It verifies the chain
// against the authorities that are current when the connection is made, but no name: the
// address of a VM changes with each replacement, and the private authority signs
// certificates for VMs only.
func (r *Reloader) PeerClient() (*tls.Config, error) {
	if r.cfg.CAFile == "" {
		return nil, ErrNoCA
	}
	return &tls.Config{
		MinVersion: minVersion,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return r.current.Load().cert, nil
		},
		// This disables only the standard verification. VerifyConnection replaces it and
		// is called for all connections, including resumed ones.
		InsecureSkipVerify: true,
		VerifyConnection: func(s tls.ConnectionState) error {
			return verify(s.PeerCertificates, r.current.Load().ca, r.cfg.Now(), x509.ExtKeyUsageServerAuth)
		},
	}, nil
}

package certs

import (
	"crypto/tls"
	"crypto/x509"

	"github.com/pkg/errors"
)

// minVersion is the oldest TLS that the daemon speaks.
const minVersion = tls.VersionTLS12

// Caller returns the configuration of the caller listener, with HTTP/2.
func (k *Keeper) Caller() *tls.Config {
	return &tls.Config{MinVersion: minVersion, NextProtos: []string{"h2", "http/1.1"}, GetCertificate: k.certificate}
}

// Admin returns the configuration of the admin listener.
func (k *Keeper) Admin() *tls.Config { return k.Caller() }

func (k *Keeper) certificate(*tls.ClientHelloInfo) (*tls.Certificate, error) {
	return k.current.Load().cert, nil
}

// ErrNoCA means that a Keeper without a CA file was asked for a peer
// configuration.
var ErrNoCA = errors.New("certs: peers need a CA file")

// PeerServer returns the configuration of the peer listener, which demands a
// certificate that the authorities signed.
func (k *Keeper) PeerServer() (*tls.Config, error) {
	if k.cfg.CAFile == "" {
		return nil, ErrNoCA
	}
	return &tls.Config{
		MinVersion: minVersion,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			return k.current.Load().peerServer, nil
		},
		// net/http and others look for a certificate before they serve.
		GetCertificate: k.certificate,
	}, nil
}

// peerServer is built once per state of the files. Without session tickets
// every connection is verified against the authorities in force.
func (k *Keeper) peerServer(m *material) *tls.Config {
	return &tls.Config{
		MinVersion:             minVersion,
		Certificates:           []tls.Certificate{*m.cert},
		ClientAuth:             tls.RequireAndVerifyClientCert,
		ClientCAs:              m.ca,
		SessionTicketsDisabled: true,
		Time:                   k.cfg.Now,
	}
}

// PeerClient returns the configuration for connections to other VMs. It verifies
// the chain against the authorities in force at the time of the connection, but
// no name: a VM is reached by an address that changes with each replacement, and
// the private authority signs certificates for VMs only.
func (k *Keeper) PeerClient() (*tls.Config, error) {
	if k.cfg.CAFile == "" {
		return nil, ErrNoCA
	}
	return &tls.Config{
		MinVersion: minVersion,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return k.current.Load().cert, nil
		},
		// This turns off the standard verification only; VerifyConnection
		// replaces it and is called for every connection, resumed ones too.
		InsecureSkipVerify: true,
		VerifyConnection: func(s tls.ConnectionState) error {
			return verify(s.PeerCertificates, k.current.Load().ca, k.cfg.Now(), x509.ExtKeyUsageServerAuth)
		},
	}, nil
}

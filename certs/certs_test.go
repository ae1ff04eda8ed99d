package certs

import (
	"bytes"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"log/slog"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"
)

var now = time.Date(2026, 6, 1, 0, 0, 0, 0, time.UTC)

type authority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
	pem  []byte
}

var serial int64

func newAuthority(t *testing.T, name string) *authority {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	serial++
	c := &x509.Certificate{
		SerialNumber: big.NewInt(serial), Subject: pkix.Name{CommonName: name}, IsCA: true, BasicConstraintsValid: true,
		NotBefore: now.AddDate(-1, 0, 0), NotAfter: now.AddDate(5, 0, 0), KeyUsage: x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, c, c, &key.PublicKey, key)
	if err != nil {
		t.Fatal(err)
	}
	c, _ = x509.ParseCertificate(der)
	return &authority{cert: c, key: key, pem: pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der})}
}

func (a *authority) issue(t *testing.T, name string, until time.Time) (cert, key []byte) {
	t.Helper()
	priv, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	serial++
	der, err := x509.CreateCertificate(rand.Reader, &x509.Certificate{
		SerialNumber: big.NewInt(serial), Subject: pkix.Name{CommonName: name}, NotBefore: now.AddDate(-1, 0, 0), NotAfter: until,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}, a.cert, &priv.PublicKey, a.key)
	if err != nil {
		t.Fatal(err)
	}
	keyDER, err := x509.MarshalPKCS8PrivateKey(priv)
	if err != nil {
		t.Fatal(err)
	}
	return pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}),
		pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: keyDER})
}

type testFiles struct {
	cfg Config
	log bytes.Buffer
}

func (f *testFiles) write(t *testing.T, cert, key, ca []byte) {
	t.Helper()
	for path, data := range map[string][]byte{f.cfg.CertFile: cert, f.cfg.KeyFile: key, f.cfg.CAFile: ca} {
		if data == nil {
			continue
		}
		if err := os.WriteFile(path, data, 0o600); err != nil {
			t.Fatal(err)
		}
	}
}

func newTestFiles(t *testing.T) *testFiles {
	dir := t.TempDir()
	f := new(testFiles)
	f.cfg = Config{
		Name: "peer", CertFile: filepath.Join(dir, "cert.pem"), KeyFile: filepath.Join(dir, "key.pem"), CAFile: filepath.Join(dir, "ca.pem"),
		Now: func() time.Time { return now }, Log: slog.New(slog.NewTextHandler(&f.log, nil)),
	}
	return f
}

func (f *testFiles) load(t *testing.T) *Reloader {
	t.Helper()
	r, err := Load(f.cfg)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

func subject(r *Reloader) string { return r.current.Load().cert.Leaf.Subject.CommonName }

// Changed files must be loaded without a restart. Unusable files must not replace the
// certificate in use, and must be reported once each.
func TestReload(t *testing.T) {
	f, ca, other := newTestFiles(t), newAuthority(t, "ca"), newAuthority(t, "other")
	cert, key := ca.issue(t, "first", now.AddDate(1, 0, 0))
	f.write(t, cert, key, ca.pem)
	r := f.load(t)
	expired, expiredKey := ca.issue(t, "expired", now.Add(-time.Second))
	foreign, foreignKey := other.issue(t, "foreign", now.AddDate(1, 0, 0))
	for _, c := range []struct {
		name          string
		cert, key, ca []byte
		want          string
	}{
		{"cut off", cert[:len(cert)/2], key, ca.pem, "cert.pem"},
		{"key of another", cert, expiredKey, ca.pem, "private key does not match"},
		{"expired", expired, expiredKey, ca.pem, "not now"},
		{"foreign", foreign, foreignKey, ca.pem, "not signed by"},
		{"empty CA", cert, key, []byte("\n"), "no certificate"},
		{"CA cut off", cert, key, append(bytes.Clone(ca.pem), other.pem[:100]...), "not a PEM block"},
		{"too large", cert, key, bytes.Repeat([]byte("x"), maxFileBytes+1), "at most"},
	} {
		f.write(t, c.cert, c.key, c.ca)
		f.log.Reset()
		for range 3 {
			if err := r.Check(); err == nil || !strings.Contains(err.Error(), c.want) {
				t.Errorf("%s: %v, want %q", c.name, err, c.want)
			}
		}
		if subject(r) != "first" || strings.Count(f.log.String(), "event=2102") != 1 {
			t.Errorf("%s: %s in use, log %s", c.name, subject(r), f.log.String())
		}
	}
	cert, key = other.issue(t, "second", now.AddDate(1, 0, 0))
	f.write(t, cert, key, append(bytes.Clone(ca.pem), other.pem...))
	if err := r.Check(); err != nil || subject(r) != "second" {
		t.Errorf("%s in use, %v", subject(r), err)
	}
	if err := os.Remove(f.cfg.KeyFile); err != nil {
		t.Fatal(err)
	}
	if err := r.Check(); err == nil || subject(r) != "second" {
		t.Errorf("key removed: %s in use, %v", subject(r), err)
	}
	if _, err := Load(f.cfg); err == nil {
		t.Error("Load without a key file succeeded")
	}
}

// A change must be found by content: tools that restore times keep size and modification
// time.
func TestReloadByContent(t *testing.T) {
	f, ca := newTestFiles(t), newAuthority(t, "ca")
	cert, key := ca.issue(t, "a", now.AddDate(1, 0, 0))
	f.write(t, cert, key, ca.pem)
	r := f.load(t)
	cert, key = ca.issue(t, "b", now.AddDate(1, 0, 0))
	f.write(t, cert, key, nil)
	for _, path := range []string{f.cfg.CertFile, f.cfg.KeyFile} {
		if err := os.Chtimes(path, now, now); err != nil {
			t.Fatal(err)
		}
	}
	if err := r.Check(); err != nil || subject(r) != "b" {
		t.Errorf("%s in use, %v", subject(r), err)
	}
}

// A certificate that expires soon must be reported, but not at each check.
func TestExpiryIsReported(t *testing.T) {
	f, ca := newTestFiles(t), newAuthority(t, "ca")
	cert, key := ca.issue(t, "a", now.Add(6*24*time.Hour))
	f.write(t, cert, key, ca.pem)
	r := f.load(t)
	for range 3 {
		if err := r.Check(); err != nil {
			t.Fatal(err)
		}
	}
	if n := strings.Count(f.log.String(), "event=2103"); n != 1 {
		t.Errorf("reported %d times: %s", n, f.log.String())
	}
}

// handshake connects a client to a server over loopback and returns the errors of both. With
// net.Pipe, which has no buffer, both sides would block when they reject each other.
func handshake(t *testing.T, server, client *tls.Config) (state tls.ConnectionState, serverErr, clientErr error) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	b, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer b.Close()
	a, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer a.Close()
	deadline := time.Now().Add(10 * time.Second)
	_, _ = a.SetDeadline(deadline), b.SetDeadline(deadline)
	done := make(chan error, 1)
	go func() {
		conn := tls.Server(a, server)
		err := conn.Handshake()
		if err == nil {
			_, err = conn.Write([]byte{1})
		}
		a.Close()
		done <- err
	}()
	conn := tls.Client(b, client)
	if clientErr = conn.Handshake(); clientErr == nil {
		state = conn.ConnectionState()
		// With TLS 1.3 the client learns only after its handshake that the server rejects it.
		_, clientErr = conn.Read(make([]byte, 1))
	}
	b.Close()
	return state, <-done, clientErr
}

// VMs must reject a peer without a certificate of their authorities, and a reload must
// replace the authorities.
func TestPeersVerifyEachOther(t *testing.T) {
	f, ca, other := newTestFiles(t), newAuthority(t, "ca"), newAuthority(t, "other")
	cert, key := ca.issue(t, "a", now.AddDate(1, 0, 0))
	f.write(t, cert, key, ca.pem)
	r := f.load(t)
	g := newTestFiles(t)
	foreign, foreignKey := other.issue(t, "foreign", now.AddDate(1, 0, 0))
	g.write(t, foreign, foreignKey, other.pem)
	foreignReloader := g.load(t)

	server, err := r.PeerServer()
	if err != nil {
		t.Fatal(err)
	}
	client, err := r.PeerClient()
	if err != nil {
		t.Fatal(err)
	}
	foreignServer, _ := foreignReloader.PeerServer()
	foreignClient, _ := foreignReloader.PeerClient()
	if _, s, c := handshake(t, server, client); s != nil || c != nil {
		t.Fatalf("peers of the same authority: %v, %v", s, c)
	}
	if _, s, _ := handshake(t, server, &tls.Config{InsecureSkipVerify: true}); s == nil {
		t.Error("a client without a certificate was accepted")
	}
	if _, _, c := handshake(t, foreignServer, client); c == nil {
		t.Error("a server of another authority was accepted")
	}
	unverifiedClient := foreignClient.Clone()
	unverifiedClient.VerifyConnection = nil
	if _, s, _ := handshake(t, server, unverifiedClient); s == nil {
		t.Error("a client of another authority was accepted")
	}
	both := append(bytes.Clone(ca.pem), other.pem...)
	f.write(t, nil, nil, both)
	g.write(t, nil, nil, both)
	if err := errors.Wrap(r.Check(), "reload"); err != nil || foreignReloader.Check() != nil {
		t.Fatal(err)
	}
	if _, s, c := handshake(t, server, foreignClient); s != nil || c != nil {
		t.Errorf("after the reload with both authorities: %v, %v", s, c)
	}
}

// The caller and admin listeners must reject TLS 1.1, and callers must get HTTP/2.
func TestCallerListener(t *testing.T) {
	f, ca := newTestFiles(t), newAuthority(t, "ca")
	f.cfg.CAFile = ""
	cert, key := ca.issue(t, "a", now.AddDate(1, 0, 0))
	f.write(t, cert, key, nil)
	r := f.load(t)
	client := &tls.Config{InsecureSkipVerify: true, NextProtos: []string{"h2", "http/1.1"}}
	if state, s, c := handshake(t, r.Caller(), client); s != nil || c != nil || state.NegotiatedProtocol != "h2" {
		t.Errorf("%q, %v, %v", state.NegotiatedProtocol, s, c)
	}
	client.MaxVersion = tls.VersionTLS11
	client.MinVersion = tls.VersionTLS10
	if _, s, _ := handshake(t, r.Admin(), client); s == nil {
		t.Error("TLS 1.1 was accepted")
	}
	if _, err := r.PeerServer(); !errors.Is(err, ErrNoCA) {
		t.Errorf("peer listener without authorities: %v", err)
	}
}

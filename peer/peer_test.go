package peer

import (
	"context"
	"crypto/tls"
	"net"
	"path/filepath"
	"reflect"
	"testing"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/goleak"
	"google.golang.org/protobuf/proto"

	"github.com/currantferry/currantferry/certs"
	"github.com/currantferry/currantferry/internal/testkit"
	"github.com/currantferry/currantferry/member"
	"github.com/currantferry/currantferry/peer/peerpb"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

type echoHandler struct{ reports chan []*peerpb.CrashNote }

func (echoHandler) Exchange(_ context.Context, m member.Message) *member.Message {
	if m.To != member.Key("b") {
		return nil
	}
	r := m
	r.From, r.To, r.Reply = "b", member.Key(m.From), true
	return &r
}

func (echoHandler) Chunk(_ context.Context, h [32]byte) ([]byte, bool) {
	return make([]byte, 1<<20), h[0] == 1
}

func (echoHandler) Versions(context.Context) *peerpb.VersionReply {
	return &peerpb.VersionReply{Id: "b", Config: 3}
}

func (e echoHandler) HandleCrashReports(_ context.Context, n []*peerpb.CrashNote) {
	if e.reports != nil {
		e.reports <- n
	}
}

func serve(t *testing.T, address string, h Handler, o ServerOptions) *Server {
	t.Helper()
	l, err := net.Listen("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	s, err := NewServer(l, h, o)
	if err != nil {
		t.Fatal(err)
	}
	s.Serve()
	t.Cleanup(func() { s.Close() })
	return s
}

func newPool(t *testing.T, o PoolOptions) *Pool {
	p := NewPool(o)
	t.Cleanup(func() { p.Close() })
	return p
}

func sampleMessage() member.Message {
	return member.Message{
		From: "a", To: member.Key("b"), Inc: member.Incarnation{Boot: 7, Seq: 2}, State: member.Serving, ViewHash: 99,
		Docs:       [3]member.DocVersion{{Version: 5, Hash: [32]byte{1}}, {Version: 6}, {Version: 7, Hash: [32]byte{2}}},
		StoreStamp: 4, StoreAge: 1500 * time.Millisecond, Buckets: make([]uint32, bucketCount), Resync: 3, Ask: []uint32{4},
		Updates: []member.Update{
			{Key: 9, Inc: member.Incarnation{Boot: 1, Seq: 1}, Declared: member.Leaving, Info: &member.Info{ID: "c", DataCentre: "d", Region: "r", Address: "10.0.0.1:1"}},
			{Key: 8, Inc: member.Incarnation{Boot: 2}, Suspected: true, Age: time.Second},
			{Key: 7, Inc: member.Incarnation{Boot: 2}, Gone: true, Age: time.Minute},
		},
		Sections: []member.Section{{Kind: 1, Owner: "c", Version: 3, Value: []byte("x")}},
		Evidence: []member.Evidence{{Key: 4, Inc: member.Incarnation{Boot: 3, Seq: 1}, Age: time.Millisecond}},
	}
}

// Every field of a message must arrive unchanged at the other VM.
func TestMessageSurvivesTheWire(t *testing.T) {
	s := serve(t, "127.0.0.1:0", echoHandler{}, ServerOptions{})
	p := newPool(t, PoolOptions{})
	m := sampleMessage()
	got, err := p.Exchange(t.Context(), s.Address(), &m)
	if err != nil {
		t.Fatal(err)
	}
	want := m
	want.From, want.To, want.Reply = "b", member.Key("a"), true
	if !reflect.DeepEqual(got, want) {
		t.Fatalf("got %+v\nwant %+v", got, want)
	}
	m.To = 1
	if _, err := p.Exchange(t.Context(), s.Address(), &m); err == nil {
		t.Fatal("a message for another VM was answered")
	}
	if v, err := p.Version(t.Context(), s.Address()); err != nil || v.Id != "b" || v.Config != 3 {
		t.Fatal(v, err)
	}
	data, err := p.Chunk(t.Context(), s.Address(), [32]byte{1})
	if err != nil || len(data) != 1<<20 {
		t.Fatal(len(data), err)
	}
	if _, err := p.Chunk(t.Context(), s.Address(), [32]byte{2}); !errors.Is(err, ErrNoChunk) {
		t.Fatal(err)
	}
}

// Crash reports must reach the handler, and messages with too many of them
// must be refused.
func TestCrashReportsArrive(t *testing.T) {
	h := echoHandler{reports: make(chan []*peerpb.CrashNote, 1)}
	s := serve(t, "127.0.0.1:0", h, ServerOptions{})
	p := newPool(t, PoolOptions{})
	report := &peerpb.CrashNote{Note: []byte("{}")}
	if err := p.SendCrashReports(t.Context(), s.Address(), []*peerpb.CrashNote{report}); err != nil {
		t.Fatal(err)
	}
	if got := <-h.reports; len(got) != 1 || !proto.Equal(got[0], report) {
		t.Fatal(got)
	}
	if err := p.SendCrashReports(t.Context(), s.Address(), make([]*peerpb.CrashNote, maxCrashReports+1)); err == nil {
		t.Fatal("too many crash reports were accepted")
	}
}

// A peer must not be able to use up the processor or memory of a VM by many or
// large messages.
func TestServerBoundsRateAndSize(t *testing.T) {
	c := new(Counters)
	s := serve(t, "127.0.0.1:0", echoHandler{}, ServerOptions{ExchangeRate: 2, ChunkByteRate: 1, Counters: c})
	p := newPool(t, PoolOptions{})
	m := sampleMessage()
	for range 10 {
		_, _ = p.Exchange(t.Context(), s.Address(), &m)
	}
	for range 3 {
		_, _ = p.Chunk(t.Context(), s.Address(), [32]byte{1})
	}
	m.Sections = make([]member.Section, maxSections+1)
	_, _ = p.Exchange(t.Context(), s.Address(), &m)
	got := c.Counts()
	if got["exchange-served"] != 4 || got["refused/exchange-rate"] != 7 {
		t.Errorf("heartbeats: %v", got)
	}
	if got["chunk-served"] != 1 || got["refused/chunk-rate"] != 2 {
		t.Errorf("chunks: %v", got)
	}
	other := newPool(t, PoolOptions{})
	if _, err := other.Exchange(t.Context(), s.Address(), &m); err == nil {
		t.Error("a message with too many sections was accepted")
	}
	m.Sections = nil
	m.Updates = nil
	for range maxUpdates {
		m.Updates = append(m.Updates, member.Update{Inc: member.Incarnation{Boot: 1}, Info: &member.Info{ID: "a long enough text for the limit"}})
	}
	if _, err := other.Exchange(t.Context(), s.Address(), &m); err == nil || c.Counts()["refused/exchange-size"] != 1 {
		t.Errorf("a message of more than %d bytes was accepted: %v, %v", maxExchangeBytes, err, c.Counts())
	}
}

// Connection attempts to an address that refuses them must be followed by a
// pause, which ends when a message of the peer arrives.
func TestPoolPausesAfterFailures(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := l.Addr().String()
	l.Close()
	p := newPool(t, PoolOptions{MinBackoff: time.Hour, MaxBackoff: time.Hour})
	m := sampleMessage()
	if _, err := p.Exchange(t.Context(), address, &m); err == nil || errors.Is(err, ErrBackoff) {
		t.Fatal(err)
	}
	if _, err := p.Exchange(t.Context(), address, &m); !errors.Is(err, ErrBackoff) {
		t.Fatal(err)
	}
	serve(t, address, echoHandler{}, ServerOptions{})
	p.ResetBackoff(address)
	if _, err := p.Exchange(t.Context(), address, &m); err != nil {
		t.Fatal(err)
	}
}

// A pool must connect again after the peer restarted.
func TestPoolReconnects(t *testing.T) {
	s := serve(t, "127.0.0.1:0", echoHandler{}, ServerOptions{})
	address := s.Address()
	p := newPool(t, PoolOptions{MinBackoff: time.Nanosecond, MaxBackoff: time.Nanosecond})
	m := sampleMessage()
	if _, err := p.Exchange(t.Context(), address, &m); err != nil {
		t.Fatal(err)
	}
	s.Close()
	serve(t, address, echoHandler{}, ServerOptions{})
	var err error
	for range 3 {
		if _, err = p.Exchange(t.Context(), address, &m); err == nil {
			return
		}
	}
	t.Fatal(err)
}

// A peer that never answers must not hold a call beyond its deadline.
func TestCallsHaveDeadlines(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	p := newPool(t, PoolOptions{CallTimeout: 20 * time.Millisecond, MaxCallsPerPeer: 1})
	m := sampleMessage()
	if _, err := p.Exchange(t.Context(), l.Addr().String(), &m); !errors.Is(err, context.DeadlineExceeded) {
		t.Fatal(err)
	}
}

// With mutual TLS, connections without TLS and those with certificates of
// another authority must be refused. New connections must use a certificate
// file that was replaced.
func TestMutualTLSAndReload(t *testing.T) {
	dir := t.TempDir()
	trusted := testkit.NewAuthority(t)
	trusted.WriteFiles(t, dir)
	trustedKeeper := loadKeeper(t, dir)
	s := serve(t, "127.0.0.1:0", echoHandler{}, ServerOptions{TLS: trustedKeeper.PeerServer})
	m := sampleMessage()
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
	defer cancel()
	if _, err := newPool(t, PoolOptions{TLS: trustedKeeper.PeerClient}).Exchange(ctx, s.Address(), &m); err != nil {
		t.Fatal(err)
	}
	if _, err := newPool(t, PoolOptions{}).Exchange(ctx, s.Address(), &m); err == nil {
		t.Error("a connection without TLS was served")
	}
	foreignDir := t.TempDir()
	testkit.NewAuthority(t).WriteFiles(t, foreignDir)
	foreignKeeper := loadKeeper(t, foreignDir)
	if _, err := newPool(t, PoolOptions{TLS: foreignKeeper.PeerClient}).Exchange(ctx, s.Address(), &m); err == nil {
		t.Error("a server of another authority was accepted")
	}
	withoutVerification := func() (*tls.Config, error) {
		c, err := foreignKeeper.PeerClient()
		if err == nil {
			c = c.Clone()
			c.InsecureSkipVerify, c.VerifyConnection, c.VerifyPeerCertificate = true, nil, nil
		}
		return c, err
	}
	if _, err := newPool(t, PoolOptions{TLS: withoutVerification}).Exchange(ctx, s.Address(), &m); err == nil {
		t.Error("a certificate of another authority was accepted")
	}
	trusted.WriteFiles(t, dir)
	if err := trustedKeeper.Check(); err != nil {
		t.Fatal(err)
	}
	var serial int64
	recordSerial := func() (*tls.Config, error) {
		c, err := trustedKeeper.PeerClient()
		if err != nil {
			return nil, err
		}
		c = c.Clone()
		verify := c.VerifyConnection
		c.VerifyConnection = func(s tls.ConnectionState) error {
			serial = s.PeerCertificates[0].SerialNumber.Int64()
			if verify == nil {
				return nil
			}
			return verify(s)
		}
		return c, nil
	}
	if _, err := newPool(t, PoolOptions{TLS: recordSerial}).Exchange(ctx, s.Address(), &m); err != nil || serial != 2 {
		t.Fatalf("certificate %d is in use, %v", serial, err)
	}
}

func loadKeeper(t *testing.T, dir string) *certs.Reloader {
	t.Helper()
	k, err := certs.Load(certs.Config{
		Name: "peer", CertFile: filepath.Join(dir, "cert"), KeyFile: filepath.Join(dir, "key"), CAFile: filepath.Join(dir, "ca"),
	})
	if err != nil {
		t.Fatal(err)
	}
	return k
}

// A heartbeat from the network must neither make the decoder panic nor pass
// its limits.
func FuzzFromProto(f *testing.F) {
	m := sampleMessage()
	for _, p := range []*peerpb.ExchangeMessage{ToProto(&m), {From: "a", Boot: 1}, {}} {
		data, err := proto.Marshal(p)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		p := new(peerpb.ExchangeMessage)
		if proto.Unmarshal(data, p) != nil {
			return
		}
		m, err := FromProto(p, false)
		if err != nil {
			return
		}
		again, err := FromProto(ToProto(&m), false)
		if err != nil || again.From != m.From || len(again.Updates) != len(m.Updates) {
			t.Fatalf("%+v does not survive: %v", m, err)
		}
		c := member.New(member.Options{}, member.Info{ID: "self", DataCentre: "d"}, time.Unix(1, 0), 1)
		m.To = member.Key("self")
		c.Step(time.Unix(2, 0), m)
		c.Tick(time.Unix(3, 0))
	})
}

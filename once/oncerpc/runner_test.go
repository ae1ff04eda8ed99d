package oncerpc

import (
	"context"
	"errors"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"
	"storj.io/drpc"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcpool"
	"storj.io/drpc/drpcserver"

	"github.com/currantferry/currantferry/once"
	"github.com/currantferry/currantferry/once/oncepb"
	"github.com/currantferry/currantferry/store"
	"github.com/currantferry/currantferry/verdict"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// memStore is a store in memory. Each call takes delay. The first lostReplies
// writes take effect but return an error.
type memStore struct {
	store.Store
	mu          sync.Mutex
	entries     map[string]store.Entry
	lostReplies int
	delay       time.Duration
}

func (s *memStore) wait(ctx context.Context) error {
	s.mu.Lock()
	d := s.delay
	s.mu.Unlock()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(d):
		return nil
	}
}

func (s *memStore) Get(ctx context.Context, key string) (store.Entry, error) {
	if err := s.wait(ctx); err != nil {
		return store.Entry{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	e, ok := s.entries[key]
	if !ok {
		return store.Entry{}, store.ErrNotFound
	}
	return e, nil
}

func (s *memStore) List(ctx context.Context, prefix string) ([]store.Entry, error) {
	if err := s.wait(ctx); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []store.Entry
	for k, e := range s.entries {
		if strings.HasPrefix(k, prefix) {
			out = append(out, e)
		}
	}
	return out, nil
}

func (s *memStore) CompareAndSwap(ctx context.Context, w store.Write) error {
	if err := s.wait(ctx); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.entries[w.Key].Index != w.Index {
		return store.ErrConflict
	}
	s.entries[w.Key] = store.Entry{Key: w.Key, Value: w.Value, Index: w.Index + 1}
	if s.lostReplies > 0 {
		s.lostReplies--
		return errors.New("reply lost")
	}
	return nil
}

type vm struct {
	*Runner
	stop func()
}

// startVMs starts VMs that call each other by drpc over loopback, each VM in its own
// data centre.
func startVMs(t *testing.T, st store.Store, names ...string) map[string]*vm {
	t.Helper()
	addrs, vms := make(map[string]string), make(map[string]*vm)
	var dir once.Directory
	dir.Complete = true
	for _, name := range names {
		member := once.Member{VM: name, Incarnation: 1}
		dir.VMs = append(dir.VMs, once.VM{Member: member, DataCentre: "dc-" + name, Region: "r", State: once.VMServing})
		pool := drpcpool.New[string, drpcpool.Conn](drpcpool.Options{})
		tr := NewDRPC(name, func(to string, _ once.Kind) (drpc.Conn, error) {
			return pool.Get(context.Background(), to, func(ctx context.Context, to string) (drpcpool.Conn, error) {
				c, err := new(net.Dialer).DialContext(ctx, "tcp", addrs[to])
				if err != nil {
					return nil, err
				}
				return drpcconn.New(c), nil
			}), nil
		})
		r := New(Options{
			Config: once.Config{Self: member, DataCentre: "dc-" + name, Region: "r", Partitions: 4}, Transport: tr, Store: st,
		})
		lis, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		addrs[name] = lis.Addr().String()
		mux := drpcmux.New()
		if err := oncepb.DRPCRegisterOnce(mux, NewServer(r)); err != nil {
			t.Fatal(err)
		}
		ctx, cancel := context.WithCancel(context.Background())
		var wg sync.WaitGroup
		wg.Add(2)
		go func() { defer wg.Done(); _ = drpcserver.New(mux).Serve(ctx, lis) }()
		go func() { defer wg.Done(); _ = r.Run(ctx) }()
		vms[name] = &vm{Runner: r, stop: sync.OnceFunc(func() { cancel(); wg.Wait(); pool.Close() })}
		t.Cleanup(vms[name].stop)
	}
	for _, v := range vms {
		v.SetDirectory(dir)
	}
	return vms
}

// claimUntilAnswered claims a key until the claim is granted or refused. It tries
// again while no owner answers.
func claimUntilAnswered(t *testing.T, v *vm, key once.Key, fingerprint uint64) (*Grant, error) {
	t.Helper()
	for start := time.Now(); ; {
		g, err := v.Claim(context.Background(), key, fingerprint)
		var e *verdict.Error
		if err == nil || !errors.As(err, &e) || e.Reason != verdict.ReasonKeyUnavailable || time.Since(start) > 20*time.Second {
			return g, err
		}
	}
}

// shareRecords waits until all partitions are assigned and passes the records to
// every VM, as the daemon's exchange between peers does.
func shareRecords(vms map[string]*vm, partitions int) {
	known := make(map[int]once.Record)
	for len(known) < partitions {
		for _, v := range vms {
			for _, r := range v.Records() {
				known[r.Partition] = r
			}
		}
		time.Sleep(10 * time.Millisecond)
	}
	for _, v := range vms {
		for _, r := range known {
			v.Observe(r)
		}
	}
}

// A key claimed and done through one VM must be refused on every other VM with the
// kept answer, also after the VM that owned partitions has left. The VMs call each
// other by drpc, and the first store replies are lost.
func TestClaimDoneAnswerLeave(t *testing.T) {
	st := &memStore{entries: make(map[string]store.Entry), lostReplies: 2}
	vms := startVMs(t, st, "a", "b", "c", "d")
	key := once.KeyOf("orders", "k1")
	short, cancelShort := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancelShort()
	if _, err := vms["a"].Claim(short, key, 7); verdict.Of(err) != verdict.NotRun {
		t.Fatalf("claim abandoned by its caller: %v", err)
	}
	g, err := claimUntilAnswered(t, vms["a"], key, 7)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := claimUntilAnswered(t, vms["b"], key, 7); verdict.Of(err) != verdict.MayHaveRun {
		t.Fatalf("second claim while granted: %v", err)
	}
	if _, err := claimUntilAnswered(t, vms["b"], key, 8); verdict.Of(err) != verdict.NotRun {
		t.Fatalf("claim with another fingerprint: %v", err)
	}
	if err := g.Release(context.Background()); err != nil {
		t.Fatal(err)
	}
	if g, err = claimUntilAnswered(t, vms["b"], key, 7); err != nil || g.Attempt != 2 {
		t.Fatalf("claim after release: %+v, %v", g, err)
	}
	g.Done(201, &Answer{Status: 201, Header: map[string][]string{"X": {"1", "2"}}, Body: []byte("printed")})
	// Done does not wait, so the owner may not have recorded it yet.
	for err = error(nil); verdict.Of(err) != verdict.Ran; {
		_, err = claimUntilAnswered(t, vms["a"], key, 7)
	}
	shareRecords(vms, 4)
	st.mu.Lock()
	st.delay = 5 * time.Second // a slow store must not delay grants
	st.mu.Unlock()
	start := time.Now()
	for _, name := range []string{"a", "b", "c", "d"} {
		var done *DoneError
		if _, err = claimUntilAnswered(t, vms[name], key, 7); !errors.As(err, &done) || done.Answer == nil ||
			string(done.Answer.Body) != "printed" || done.Status != 201 || len(done.Answer.Header["X"]) != 2 {
			t.Fatalf("claim after done on %s: %v", name, err)
		}
		if _, err := vms[name].Claim(context.Background(), once.KeyOf("orders", "slow"+name), 1); err != nil {
			t.Fatalf("claim with a slow store: %v", err)
		}
	}
	if d := time.Since(start); d > 4*time.Second {
		t.Fatalf("claims waited %v for the slow store", d)
	}
	st.mu.Lock()
	st.delay = 0
	st.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	if err := vms["a"].Leave(ctx); err != nil {
		t.Fatal(err)
	}
	vms["a"].stop()
	for _, r := range vms["b"].Records() {
		for _, m := range r.Members() {
			if m.VM == "a" {
				t.Errorf("partition %d still names the VM that left: %+v", r.Partition, r)
			}
		}
	}
	if _, err = claimUntilAnswered(t, vms["c"], key, 7); verdict.Of(err) != verdict.Ran {
		t.Fatalf("claim after the move: %v", err)
	}
}

// Kept answers must stay within the bounds, and a later use of a key must remove
// the earlier answer even if its own answer is too large to keep.
func TestKeptAnswersStayWithinBounds(t *testing.T) {
	k := answerCache{maxBytes: DefaultMaxKeptBytes}
	key := func(i int) once.Key { return once.Key{byte(i), byte(i >> 8)} }
	for i := 0; i < 300; i++ {
		k.put(key(i), &Answer{Body: make([]byte, MaxAnswerBytes)})
	}
	if k.bytes > DefaultMaxKeptBytes || len(k.order) != len(k.byKey) || k.byKey[key(299)] == nil || k.byKey[key(0)] != nil {
		t.Fatalf("%d bytes in %d answers", k.bytes, len(k.byKey))
	}
	k.put(key(299), &Answer{Body: make([]byte, MaxAnswerBytes+1)})
	if k.byKey[key(299)] != nil {
		t.Fatal("an answer that is too large left the old one in place")
	}
}

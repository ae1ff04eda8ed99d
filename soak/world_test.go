package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/currantferry/currantferry/internal/testkit"
	"github.com/currantferry/currantferry/platform/standin"
)

const (
	vms       = 4
	instances = 6
	grace     = 3 * time.Second
	// routeTimeout is that of the routes, and answerMargin what callers in calm
	// times may wait beyond it.
	routeTimeout = 1200 * time.Millisecond
	answerMargin = 500 * time.Millisecond
	// settle is the time without faults after which a VM must answer.
	settle = 6 * time.Second
)

var padding = strings.Repeat(".", 200)

// sent is a request as its caller saw it.
type sent struct {
	id     string
	order  bool
	vm     int
	status int
	body   string
	// cut says that the connection ended without a whole answer although the
	// request had been sent.
	cut bool
	// calm says that no fault touched the VM from settle before the request to
	// its end; planned stops are no faults.
	calm bool
	took time.Duration
}

// vm is one daemon process with its way to the store.
type vm struct {
	number   int
	settings string
	caller   string
	ready    string
	relay    *testkit.Relay
	cmd      *exec.Cmd
	exited   chan struct{}
	log      *os.File
	// disturbed is when a fault last touched the VM; stopping says that its
	// planned stop goes on.
	disturbed time.Time
	stopping  bool
	paused    bool
}

type world struct {
	t      *testing.T
	seed   uint64
	rng    *rand.Rand
	daemon string
	dir    string
	store  *standin.Store
	vms    []*vm
	client *http.Client

	mu        sync.Mutex
	instances []*standin.Instance
	all       []*standin.Instance
	requests  []*sent
	extraRuns map[string]int
	version   int
	served    map[int]int
}

func emptyWorld(seed uint64) *world {
	return &world{seed: seed, rng: rand.New(rand.NewPCG(seed, 11)), extraRuns: make(map[string]int), served: make(map[int]int)}
}

func newWorld(t *testing.T, daemon string, seed uint64) *world {
	t.Helper()
	w := emptyWorld(seed)
	w.t, w.daemon, w.dir = t, daemon, t.TempDir()
	var err error
	if w.store, err = standin.StartStore("127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(w.store.Close)
	w.client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 16, IdleConnTimeout: 3 * time.Second}}
	w.configure()
	for n := range instances {
		w.addInstance(n)
	}
	for n := range vms {
		w.vms = append(w.vms, w.newVM(n))
	}
	for _, v := range w.vms {
		w.start(v)
	}
	for _, v := range w.vms {
		w.awaitReady(v)
	}
	return w
}

// configure writes the next version of the routes.
func (w *world) configure() {
	w.version += 1 + w.rng.IntN(3)
	w.store.Configure(standin.Configuration(w.version, "shop", routeTimeout, 50))
}

func (w *world) addInstance(n int) {
	i, err := standin.StartInstance("127.0.0.1:0", fmt.Sprintf("i-%d-%d", w.seed, n), 8, 16, behaviourOf)
	if err != nil {
		w.t.Fatal(err)
	}
	w.t.Cleanup(i.Close)
	w.mu.Lock()
	w.instances, w.all = append(w.instances, i), append(w.all, i)
	w.mu.Unlock()
	w.store.Register(i, "shop", "graz-1", "ready")
}

// behaviourOf treats a small part of the requests badly, by their id.
func behaviourOf(id string) standin.Behaviour {
	b := standin.Behaviour{Work: time.Duration(5+len(id)%7*5) * time.Millisecond}
	switch {
	case strings.HasSuffix(id, "00"):
		b.Lose = true
	case strings.HasSuffix(id, "17"):
		b.Cut = true
	case strings.HasSuffix(id, "33"):
		b.Extra = true
	case strings.HasSuffix(id, "50"):
		b.Shed = true
	case strings.HasSuffix(id, "67"):
		b.Cut, b.Unframed = true, true
	case strings.HasSuffix(id, "83"):
		b.Work = 2 * time.Second
	}
	return b
}

func (w *world) newVM(n int) *vm {
	free := testkit.FreeAddresses(w.t, testkit.OwnIP(), 4)
	v := &vm{number: n, caller: free[0], ready: free[1], relay: testkit.NewRelay(w.t, w.store.Address())}
	v.settings = filepath.Join(w.dir, fmt.Sprintf("vm-%d.ini", n))
	text := fmt.Sprintf("[vm]\nid = vm-%d\ndata_centre = graz-1\nregion = styria\n[listen]\ncaller = %s\nready = %s\nlookup = %s\npeer = %s\n"+
		"[data_centres]\ngraz-1 = styria\n[store]\naddress = %s\nlease_minimum = 1\n[bounds]\nstop_grace = %g\nretry_ratio = 0.2\n",
		n, v.caller, v.ready, free[2], free[3], v.relay.Address(), grace.Seconds())
	if err := os.WriteFile(v.settings, []byte(text), 0o600); err != nil {
		w.t.Fatal(err)
	}
	return v
}

// start runs the daemon of a VM.
func (w *world) start(v *vm) {
	log, err := os.OpenFile(filepath.Join(w.dir, fmt.Sprintf("vm-%d.log", v.number)), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		w.t.Fatal(err)
	}
	cmd := exec.Command(w.daemon, "entry", "-config", v.settings)
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		w.t.Fatal(err)
	}
	exited := make(chan struct{})
	go func() {
		_ = cmd.Wait()
		log.Close()
		close(exited)
	}()
	w.mu.Lock()
	v.cmd, v.exited, v.log, v.stopping, v.paused, v.disturbed = cmd, exited, log, false, false, time.Now()
	w.mu.Unlock()
	w.t.Cleanup(func() {
		_ = cmd.Process.Kill()
		<-exited
	})
}

func (w *world) isReady(v *vm) bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, standin.ReadyURL(v.ready), http.NoBody)
	if err != nil {
		return false
	}
	res, err := w.client.Do(req)
	if err != nil {
		return false
	}
	res.Body.Close()
	return res.StatusCode == http.StatusOK
}

func (w *world) awaitReady(v *vm) {
	for end := time.Now().Add(20 * time.Second); !w.isReady(v); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			w.keepLogs()
			w.t.Fatalf("VM %d is not ready after 20 s", v.number)
		}
	}
}

// disturb notes that a fault touches a VM now.
func (w *world) disturb(v *vm) {
	w.mu.Lock()
	v.disturbed = time.Now()
	w.mu.Unlock()
}

// signal sends a signal to the process of a VM.
func (w *world) signal(v *vm, s syscall.Signal) {
	w.mu.Lock()
	cmd := v.cmd
	w.mu.Unlock()
	_ = cmd.Process.Signal(s)
}

// call sends one request to a VM and notes what became of it.
func (w *world) call(n int, id string, order bool) {
	v := w.vms[n]
	w.mu.Lock()
	disturbed := v.disturbed
	w.mu.Unlock()
	began := time.Now()
	r := &sent{id: id, order: order, vm: n, calm: began.Sub(disturbed) > settle}
	ctx, cancel := context.WithTimeout(context.Background(), 4*time.Second)
	defer cancel()
	call := standin.Call{ID: id, Order: order, Body: id, Key: id[len(id)-1:], Patience: 3 * time.Second}
	req, err := call.Request(ctx, v.caller)
	if err != nil {
		w.t.Error(err)
		return
	}
	res, err := w.client.Do(req)
	if err == nil {
		var data []byte
		data, err = io.ReadAll(res.Body)
		res.Body.Close()
		r.status, r.body = res.StatusCode, string(data)
	}
	r.cut, r.took = err != nil, time.Since(began)
	w.mu.Lock()
	r.calm = r.calm && v.disturbed.Equal(disturbed)
	w.mu.Unlock()
	w.note(r)
}

func (w *world) note(r *sent) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.requests = append(w.requests, r)
	if r.status == http.StatusOK {
		w.served[r.vm]++
	}
}

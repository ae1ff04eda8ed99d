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
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/currantferry/currantferry/internal/testkit"
	"github.com/currantferry/currantferry/platform/standin"
)

// size of a fleet.
type size struct{ vms, regions, instances, callers int }

// defaultSize has two VMs and three instances in each of three regions.
var defaultSize = size{vms: 6, regions: 3, instances: 9, callers: 12}

// sizeFor is the fleet for a number of VMs.
func sizeFor(vms int) size {
	if vms == defaultSize.vms {
		return defaultSize
	}
	return size{vms: vms, regions: 3, instances: max(3, vms*3/2), callers: 2 * vms}
}

const (
	stopGrace = 3 * time.Second
	// routeTimeout is that of the routes, and answerMargin what callers in calm
	// times may wait beyond it.
	routeTimeout = 1200 * time.Millisecond
	answerMargin = 500 * time.Millisecond
	// settleTime is the time without faults after which a VM must answer.
	settleTime = 6 * time.Second
	// inForceLimit, drainLimit and evacuationLimit are the platform's bounds for
	// routes, draining instances and evacuated data centres.
	inForceLimit    = 4 * time.Second
	drainLimit      = 4 * time.Second
	evacuationLimit = 5 * time.Second
	// retryRatio is the allowed share of attempts beyond the first.
	retryRatio = 0.2
	// drainingTime is how long a draining instance stays registered.
	drainingTime = 8 * time.Second
	// numMarkedVersions is how many versions have a route that tells their presence.
	numMarkedVersions = 40
)

var padding = strings.Repeat(".", 200)

// requestRecord is a request as its caller saw it.
type requestRecord struct {
	id     string
	order  bool
	vm     int
	status int
	body   string
	// cut says that the connection ended without a whole answer although the
	// request had been sent.
	cut bool
	// undisturbed says that no fault touched the process of the VM from settle before the
	// request to its end; planned stops are no faults. informed says that none
	// touched its way to the store or the store either.
	undisturbed, informed bool
	took                  time.Duration
	// leaving is the instance that said in the answer that it leaves, or empty.
	leaving string
	// sentAt is when the request was sent; version, if positive, is the version of
	// the routes that it asked for, and owed says that it must be in force.
	sentAt    time.Time
	version   int
	dueReason string
}

// resolvedVM is one daemon process with its way to the store.
type vm struct {
	number   int
	region   int
	settings string
	caller   string
	ready    string
	lookup   string
	relay    *testkit.Relay
	cmd      *exec.Cmd
	exited   chan struct{}
	log      *os.File
	// lastDisturbed is when a fault last touched the process, and markStoreFault when one
	// touched what it hears of the store; stopping says that its planned stop goes
	// on. harmed says that its way to the store is not sound.
	lastDisturbed  time.Time
	lastStoreFault time.Time
	// disturbances are all times at which a fault touched the process.
	disturbances      []time.Time
	isStorePathFaulty bool
	stopping          bool
	paused            bool
	// seenVersion is the newest version of the routes that this process was seen to have.
	seenVersion int
}

// upstream is an instance with the way to it.
type upstream struct {
	*standin.Instance
	zone  string
	relay *testkit.Relay
	// drainStarted is when its record began to say so, or zero.
	drainStarted time.Time
	// wasPathFaulty says that the way to it was not always sound.
	wasPathFaulty bool
	// restarting says that it crashed and is being started again.
	restarting bool
}

// evacuation is the time for which a data centre was to be empty.
type evacuation struct {
	zone           string
	started, ended time.Time
}

// routesWrite is when a version of the routes was written.
type routesWrite struct {
	version int
	at      time.Time
}

type world struct {
	t      *testing.T
	seed   uint64
	rng    *rand.Rand
	daemon string
	dir    string
	size   size
	store  *standin.Store
	vms    []*vm
	client *http.Client

	mu            sync.Mutex
	instances     []*upstream
	all           []*upstream
	requests      []*requestRecord
	extraRuns     map[string]int
	versions      []routesWrite
	evacuations   []evacuation
	restarts      int
	isStoreFaulty bool
	started       time.Time
	served        map[int]int
}

func emptyWorld(seed uint64) *world {
	return &world{
		seed: seed, rng: rand.New(rand.NewPCG(seed, 11)), extraRuns: make(map[string]int), served: make(map[int]int), started: time.Now(),
	}
}

func newWorld(t *testing.T, daemon string, seed uint64, fleet size) *world {
	t.Helper()
	w := emptyWorld(seed)
	w.t, w.daemon, w.dir, w.size = t, daemon, t.TempDir(), fleet
	var err error
	if w.store, err = standin.StartStore("127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(w.store.Close)
	w.client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 16, IdleConnTimeout: 3 * time.Second}}
	w.writeRoutes()
	for n := range fleet.instances {
		w.addInstance(n)
	}
	go w.restartCrashedInstances()
	for n := range fleet.vms {
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

// writeRoutes writes the next version of the routes.
func (w *world) writeRoutes() {
	w.mu.Lock()
	version := 1
	var marked []int
	if n := len(w.versions); n > 0 {
		version = w.versions[n-1].version + 1 + w.rng.IntN(3)
	}
	w.versions = append(w.versions, routesWrite{version, time.Now()})
	for _, v := range w.versions[max(0, len(w.versions)-numMarkedVersions):] {
		marked = append(marked, v.version)
	}
	w.mu.Unlock()
	w.store.Configure(standin.Configuration(version, "shop", routeTimeout, 50, marked...))
}

// restoreBackup writes an older version of the routes, and then the newest again.
func (w *world) restoreBackup() {
	w.store.Configure(standin.Configuration(1, "shop", routeTimeout, 50, 1))
	time.Sleep(time.Duration(w.rng.IntN(1500)) * time.Millisecond)
	w.writeRoutes()
}

// zoneOf is one of the two data centres of a region.
func zoneOf(region, n int) string { return fmt.Sprintf("region%d-%d", region, n%2+1) }

func (w *world) addInstance(n int) {
	i, err := standin.StartInstance("127.0.0.1:0", fmt.Sprintf("i-%d-%d", w.seed, n), 8, 16, behaviourOf)
	if err != nil {
		w.t.Fatal(err)
	}
	w.t.Cleanup(i.Close)
	u := &upstream{Instance: i, zone: zoneOf(n%w.size.regions, n/w.size.regions), relay: testkit.NewRelay(w.t, i.Address())}
	w.mu.Lock()
	w.instances, w.all = append(w.instances, u), append(w.all, u)
	w.mu.Unlock()
	w.register(u, "ready")
}

func (w *world) register(u *upstream, state string) {
	w.store.RegisterAt(u.Instance, u.relay.Address(), "shop", u.zone, state)
}

// shedAll refuses every request unrun.
func shedAll(string) standin.Behaviour { return standin.Behaviour{Shed: true} }

// behaviourOf treats a small part of the requests badly, by their id.
func behaviourOf(id string) standin.Behaviour {
	b := standin.Behaviour{Work: time.Duration(5+len(id)%7*5) * time.Millisecond}
	switch {
	case strings.HasPrefix(id, crashPrefix):
		b.Crash = true
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
	v := &vm{number: n, region: n % w.size.regions, caller: free[0], ready: free[1], lookup: free[2], relay: testkit.NewRelay(w.t, w.store.Address())}
	v.settings = filepath.Join(w.dir, fmt.Sprintf("vm-%d.ini", n))
	var text strings.Builder
	fmt.Fprintf(&text, "[vm]\nid = vm-%d\ndata_centre = %s\nregion = region%d\n", n, zoneOf(v.region, n/w.size.regions), v.region)
	fmt.Fprintf(&text, "[listen]\ncaller = %s\nready = %s\nlookup = %s\npeer = %s\n[data_centres]\n", v.caller, v.ready, free[2], free[3])
	for region := range w.size.regions {
		fmt.Fprintf(&text, "%s = region%d\n%s = region%d\n", zoneOf(region, 0), region, zoneOf(region, 1), region)
	}
	fmt.Fprintf(&text, "[store]\naddress = %s\nlease_minimum = 1\n[bounds]\nstop_grace = %g\nretry_ratio = %g\n",
		v.relay.Address(), stopGrace.Seconds(), retryRatio)
	if err := os.WriteFile(v.settings, []byte(text.String()), 0o600); err != nil {
		w.t.Fatal(err)
	}
	return v
}

// isReceivingUpdates tells whether news of the store can reach a VM: by its own way, or by a VM
// of its region that has one. The lock is held.
func (w *world) isReceivingUpdates(v *vm) bool {
	for _, o := range w.vms {
		if o.region == v.region && !o.isStorePathFaulty && !o.paused && !o.stopping {
			return !w.isStoreFaulty
		}
	}
	return false
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
	v.cmd, v.exited, v.log, v.stopping, v.paused, v.seenVersion = cmd, exited, log, false, false, 0
	v.markDisturbedLocked()
	w.restarts++
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

// markDisturbedLocked notes that a fault touches the process of a VM now.
func (w *world) markDisturbed(v *vm) {
	w.mu.Lock()
	v.markDisturbedLocked()
	w.mu.Unlock()
}

// markDisturbedLocked notes a fault of the process. The lock is held.
func (v *vm) markDisturbedLocked() {
	v.lastDisturbed = time.Now()
	v.disturbances = append(v.disturbances, v.lastDisturbed)
}

// markStoreFault notes that a fault begins, changes or ends now that touches what the VMs
// of a region hear of the store, or those of all regions if it is negative.
func (w *world) markStoreFault(region int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, v := range w.vms {
		if region < 0 || v.region == region {
			v.lastStoreFault = time.Now()
		}
	}
}

// allRegions stands for every region.
const allRegions = -1

// signal sends a signal to the process of a VM.
func (w *world) signal(v *vm, s syscall.Signal) {
	w.mu.Lock()
	cmd := v.cmd
	w.mu.Unlock()
	_ = cmd.Process.Signal(s)
}

// caller sends requests one after the other. Like callers of the platform it keeps
// the answers of lookups; now and then it goes on with a VM that it was not told.
type caller struct {
	w         *world
	number    int
	count     int
	addresses []string
	expires   time.Time
	// isLookupCurrent says that the VM which answered had sound news.
	isLookupCurrent bool
}

// sendNext sends one request.
func (c *caller) sendNext() {
	c.count++
	id := fmt.Sprintf("r%d-%d-%d", c.w.seed, c.number, c.count)
	n, isNamed := (c.number+c.count)%len(c.w.vms), false
	if c.count%4 != 0 {
		if at := c.resolvedVM(); at >= 0 {
			n, isNamed = at, c.isLookupCurrent
		}
	}
	call := &standin.Call{ID: id, Order: c.count%3 == 0, Body: id, Key: id[len(id)-1:], Patience: 3 * time.Second}
	dueReason := ""
	if c.count%8 == 7 {
		if call.Version, dueReason = c.w.dueVersion(n); call.Version > 0 {
			call.Order = false
		}
	}
	c.w.send(n, call, dueReason, isNamed)
}

// resolvedVM is one of those that a lookup named, or -1.
func (c *caller) resolvedVM() int {
	if time.Now().After(c.expires) {
		asked := c.w.vms[(c.number+c.count/3)%len(c.w.vms)]
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		region := c.number % c.w.size.regions
		sentAt := time.Now()
		names, ttl, err := standin.Lookup(ctx, c.w.client, asked.lookup, fmt.Sprint("region", region), zoneOf(region, c.number))
		if err != nil || len(names) == 0 {
			return -1
		}
		c.w.mu.Lock()
		c.isLookupCurrent = c.w.isReceivingUpdates(asked) && !asked.paused && sentAt.Sub(asked.lastStoreFault) > settleTime && sentAt.Sub(asked.lastDisturbed) > settleTime
		c.w.mu.Unlock()
		c.addresses, c.expires = names, sentAt.Add(ttl)
	}
	address := c.addresses[c.count%len(c.addresses)]
	return slices.IndexFunc(c.w.vms, func(v *vm) bool { return v.caller == address })
}

// dueVersion is a version of the routes that a VM must have, and why: it was
// written inForceLimit ago, or the VM had it already.
func (w *world) dueVersion(n int) (version int, reason string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	version, reason = w.vms[n].seenVersion, "it had it before"
	for _, written := range w.versions {
		if written.version > version && time.Since(written.at) > inForceLimit {
			version, reason = written.version, "it was written "+inForceLimit.String()+" before"
		}
	}
	if kept := w.versions[max(0, len(w.versions)-numMarkedVersions/2):]; version < kept[0].version {
		return 0, ""
	}
	return version, reason
}

// send sends a request to a VM and notes what became of it. Named says that a
// lookup named the VM for this time.
func (w *world) send(n int, call *standin.Call, dueReason string, isNamed bool) {
	v := w.vms[n]
	w.mu.Lock()
	lastDisturbed, lastStoreFault, cmd, seenVersion, wasReceiving, stopping := v.lastDisturbed, v.lastStoreFault, v.cmd, v.seenVersion, w.isReceivingUpdates(v), v.stopping
	w.mu.Unlock()
	began := time.Now()
	r := &requestRecord{id: call.ID, order: call.Order, vm: n, undisturbed: began.Sub(lastDisturbed) > settleTime, sentAt: began, version: call.Version}
	ctx, cancel := context.WithTimeout(context.Background(), 4*time.Second)
	defer cancel()
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
		r.status, r.body, r.leaving = res.StatusCode, string(data), standin.LeavingInstance(res)
	}
	r.cut, r.took = err != nil, time.Since(began)
	w.mu.Lock()
	// A VM that stops need not serve callers that were not told of it.
	r.undisturbed = r.undisturbed && v.lastDisturbed.Equal(lastDisturbed) && (isNamed || (!stopping && !v.stopping))
	r.informed = r.undisturbed && wasReceiving && w.isReceivingUpdates(v) && began.Sub(lastStoreFault) > settleTime && v.lastStoreFault.Equal(lastStoreFault)
	if same := v.cmd == cmd; call.Version > 0 && (r.informed || (same && call.Version <= seenVersion)) {
		r.dueReason = dueReason
	}
	if call.Version > 0 && v.cmd == cmd && r.status == http.StatusOK {
		v.seenVersion = max(v.seenVersion, call.Version)
	}
	w.mu.Unlock()
	w.record(r)
}

func (w *world) record(r *requestRecord) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.requests = append(w.requests, r)
	if r.status == http.StatusOK {
		w.served[r.vm]++
	}
}

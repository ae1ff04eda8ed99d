package e2e

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/currantferry/currantferry/config"
	"github.com/currantferry/currantferry/configstore"
	"github.com/currantferry/currantferry/internal/testkit"
	"github.com/currantferry/currantferry/rules"
)

const (
	defaultSeed   = 1
	defaultRounds = 4
	// maxRecoveryTime is the time after the last repair within which all requests must be
	// answered again.
	maxRecoveryTime = 10 * time.Second
	maxOrderSends   = 4
)

// run is one run of TestRandomFaults.
type run struct {
	t           *testing.T
	c           *cluster
	started     time.Time
	instances   map[string]string
	instanceIDs []string

	// cutMu guards cutOff, which the relays read to decide whether they accept a connection.
	cutMu sync.Mutex
	// cutOff holds the IDs of the VMs that are cut off from their peers.
	cutOff map[string]bool

	mu       sync.Mutex
	lines    []string
	logs     []*testkit.Buffer
	starts   map[string]int
	keys     []string
	outcomes map[string]int

	retryPercent float64
	// pending is the change whose outcome is not known yet, or nil.
	pending     *config.Meta
	wantedRules rules.Rules
}

// Guarantees that hold under each single failure can be violated when failures overlap:
// orders run at most once, a request refused as "not run" did not run, answers are
// complete, versions never go back, and the system recovers within 10 s.
func TestRandomFaults(t *testing.T) {
	t.Parallel()
	seed, rounds := envInt(t, "CURRANTFERRY_SEED", defaultSeed), envInt(t, "CURRANTFERRY_ROUNDS", defaultRounds)
	c := newCluster(t)
	r := &run{t: t, c: c, instances: make(map[string]string), cutOff: make(map[string]bool), starts: make(map[string]int), outcomes: make(map[string]int), retryPercent: 1}
	for id, u := range c.upstreams {
		r.instances[id] = u.Address()
		r.instanceIDs = append(r.instanceIDs, id)
	}
	slices.Sort(r.instanceIDs)
	for _, v := range c.vms {
		r.logs = append(r.logs, v.log)
	}
	t.Cleanup(func() {
		if t.Failed() {
			t.Logf("seed %d, faults:\n%s", seed, strings.Join(r.lines, "\n"))
			t.Logf("run again: CURRANTFERRY_SEED=%d CURRANTFERRY_ROUNDS=%d go test ./e2e -run 'TestRandomFaults$' -count=1 -v", seed, rounds)
		}
	})
	c.waitOrders(10 * time.Second)
	r.started = time.Now()
	stop := make(chan struct{})
	var load sync.WaitGroup
	load.Go(func() { r.load(stop) })
	load.Go(func() { r.watchVersions(stop) })
	for _, e := range r.timeline(rand.New(rand.NewPCG(uint64(seed), 1)), rounds) {
		time.Sleep(time.Until(r.started.Add(e.at)))
		if e.isBegin {
			r.log("begin %s", e.fault.name)
			e.fault.begin(r)
		} else {
			e.fault.end(r)
			r.log("end %s", e.fault.name)
		}
	}
	r.recover()
	close(stop)
	load.Wait()
	r.check()
}

// envInt returns the value of an environment variable, or def if it is not set.
func envInt(t *testing.T, name string, def int) int {
	text := os.Getenv(name)
	if text == "" {
		return def
	}
	n, err := strconv.Atoi(text)
	if err != nil {
		t.Fatalf("%s: %v", name, err)
	}
	return n
}

func (r *run) log(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	r.lines = append(r.lines, fmt.Sprintf("%s %6.2fs %s", now.UTC().Format("15:04:05.000"), now.Sub(r.started).Seconds(), fmt.Sprintf(format, args...)))
}

// terminate sends a signal that ends the process of a VM. It waits for the exit after
// SIGKILL only.
func (r *run) terminate(v *vm, s syscall.Signal) {
	if s == syscall.SIGKILL {
		v.kill()
		return
	}
	v.signal(s)
}

// restart waits until the process of a VM has exited and starts a new one.
func (r *run) restart(v *vm) {
	select {
	case <-v.exited:
	case <-time.After(25 * time.Second):
		r.t.Errorf("%s did not stop within 25 s", v.id)
		v.kill()
	}
	r.c.startVM(v)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.logs = append(r.logs, v.log)
	r.starts[v.id]++
}

// applyCuts makes the relays of all VMs accept only connections that are not cut. It also
// resets their open connections.
func (r *run) applyCuts() {
	for _, v := range r.c.vms {
		v.peer.SetAdmit(func(in net.Conn) ([]byte, bool) {
			r.cutMu.Lock()
			hasCuts, isCutOff := len(r.cutOff) > 0, r.cutOff[v.id]
			r.cutMu.Unlock()
			if isCutOff {
				return nil, false
			}
			if !hasCuts {
				return nil, true
			}
			source, sent := r.c.identify(in)
			if source == nil {
				return sent, false
			}
			r.cutMu.Lock()
			defer r.cutMu.Unlock()
			return sent, !r.cutOff[source.id]
		})
	}
}

// publish publishes a change of the drains. If its outcome is unknown, it is published again
// with the same ID before the next change and at the end of the run.
func (r *run) publish(drains []rules.Drain) {
	r.resolve(time.Second)
	if r.pending != nil {
		r.log("no change: the outcome of the previous change is still unknown")
		return
	}
	r.retryPercent++
	r.wantedRules = rules.Rules{RetryPercent: r.retryPercent, Drains: drains}
	m := changeMeta(fmt.Sprintf("random-%g", r.retryPercent), "random")
	r.pending = &m
	r.resolve(2 * time.Second)
}

// resolve publishes the pending change, if any, within the limit.
func (r *run) resolve(limit time.Duration) {
	if r.pending == nil {
		return
	}
	publisher := configstore.New(r.c.client, configstore.Options{CallTimeout: time.Second, ChangeTimeout: limit})
	result, err := publisher.Publish(context.Background(), r.c.version, config.Content{Register: r.c.register, Rules: &r.wantedRules}, *r.pending)
	switch {
	case err == nil:
		r.c.version, r.pending = result.Version, nil
		r.log("version %d accepted", result.Version)
	case !errors.Is(err, configstore.ErrOutcomeUnknown):
		r.t.Errorf("publish: %v", err)
		r.pending = nil
	}
}

// recover ends the drains and waits until the last accepted version is in force and reads
// and orders are answered at every VM.
func (r *run) recover() {
	repaired := time.Now()
	r.resolve(maxRecoveryTime)
	if r.wantedRules.Drains != nil {
		r.publish(nil)
	}
	r.log("all faults repaired")
	remaining := func() time.Duration { return time.Until(repaired.Add(maxRecoveryTime)) }
	for _, v := range r.c.vms {
		r.c.eventually(remaining(), "the last accepted version is in force on "+v.id, func() bool {
			s, err := r.c.status(v)
			return err == nil && s.Ready && s.Version == r.c.version
		})
	}
	for _, v := range r.c.vms {
		for i := range 20 {
			r.c.eventually(remaining(), v.id+" answers reads", func() bool {
				instance, _ := r.c.read(v, fmt.Sprintf("end-%d", i))
				return instance != ""
			})
		}
	}
	r.c.waitOrders(remaining())
	r.log("all requests are answered %s after the last repair", time.Since(repaired).Round(time.Millisecond))
}

// load sends reads and orders until stop is closed.
func (r *run) load(stop chan struct{}) {
	var group sync.WaitGroup
	defer group.Wait()
	ticker := time.NewTicker(15 * time.Millisecond)
	defer ticker.Stop()
	for i := 0; ; i++ {
		select {
		case <-ticker.C:
		case <-stop:
			return
		}
		if i%3 == 0 {
			group.Go(func() { r.oneOrder(i) })
		} else {
			group.Go(func() {
				instance, why := r.c.read(r.c.vms[i%len(r.c.vms)], fmt.Sprintf("read-%d", i))
				if instance != "" {
					why = "answered"
				}
				r.count("read " + why)
			})
		}
	}
}

// count counts an outcome. Transport errors contain addresses and are counted together.
func (r *run) count(what string) {
	if strings.Contains(what, "Post ") || strings.Contains(what, "Get ") {
		what = what[:strings.Index(what, " ")] + " no answer"
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.outcomes[what]++
}

// oneOrder sends an order, and resends it through the next VMs until it is answered, at
// most maxOrderSends times in total.
func (r *run) oneOrder(i int) {
	key := fmt.Sprintf("order-%d", i)
	if i%4 == 0 {
		key = longOrder + key
	}
	r.mu.Lock()
	r.keys = append(r.keys, key)
	r.mu.Unlock()
	mayHaveRun := false
	for send := range maxOrderSends {
		o, why := r.c.order(r.c.vms[(i+send)%len(r.c.vms)], key, mayHaveRun)
		if o == answered {
			r.count("order answered")
			return
		}
		mayHaveRun = mayHaveRun || o == unknown
		r.count("order " + why)
		time.Sleep(100 * time.Millisecond)
	}
}

// send sends a request and ignores its result.
func (r *run) send(v *vm, method, key string, header map[string]string, body string) {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	_, _, _ = sendDirect(ctx, v, method, key, header, body)
}

// watchVersions checks until stop is closed that no incarnation of a VM goes back to an
// older version.
func (r *run) watchVersions(stop chan struct{}) {
	newest := make(map[string]uint64)
	for {
		for _, v := range r.c.vms {
			r.mu.Lock()
			before := r.starts[v.id]
			r.mu.Unlock()
			s, err := r.c.status(v)
			r.mu.Lock()
			after := r.starts[v.id]
			r.mu.Unlock()
			if err != nil || before != after || s.Version == 0 {
				continue
			}
			incarnation := fmt.Sprintf("%s/%d", v.id, before)
			if s.Version < newest[incarnation] {
				r.t.Errorf("%s went from version %d back to %d", incarnation, newest[incarnation], s.Version)
			}
			newest[incarnation] = s.Version
		}
		select {
		case <-stop:
			return
		case <-time.After(100 * time.Millisecond):
		}
	}
}

// check checks the guarantees that are decided by the ledger and by the logs of the VMs.
func (r *run) check() {
	r.t.Logf("%d orders, outcomes %v", len(r.keys), r.outcomes)
	if twice := r.c.ledger.RunTwice(r.keys); len(twice) > 0 {
		r.t.Errorf("orders ran twice: %v", twice)
	}
	for _, log := range r.logs {
		for line := range strings.Lines(log.String()) {
			if strings.Contains(line, "event=1090") || strings.Contains(line, "panic: ") {
				r.t.Errorf("invariant violated: %s", strings.TrimSpace(line))
			}
		}
	}
	if r.outcomes["order answered"] == 0 || r.outcomes["read answered"] == 0 {
		r.t.Error("no order or no read was answered")
	}
}

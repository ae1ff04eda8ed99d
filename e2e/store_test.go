package e2e

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/currantferry/currantferry/config"
	"github.com/currantferry/currantferry/configstore"
	"github.com/currantferry/currantferry/plan"
	"github.com/currantferry/currantferry/rules"
	"github.com/currantferry/currantferry/standin"
	"github.com/currantferry/currantferry/store"
	storestandin "github.com/currantferry/currantferry/store/standin"
)

// maxInForceDelay is the bound of requirement R8 for a change to come into force.
const maxInForceDelay = 8 * time.Second

// waitInForce waits until the last accepted version is in force on every VM.
func (c *cluster) waitInForce() {
	c.t.Helper()
	deadline := time.Now().Add(maxInForceDelay)
	for _, v := range c.vms {
		c.eventually(time.Until(deadline), "the change is in force on "+v.id, func() bool {
			s, err := c.status(v)
			return err == nil && s.Version == c.version
		})
	}
}

// waitOrders waits until every VM answers orders of nearly all partitions. The first
// assignment of the partitions needs the store and happens a second after the start.
func (c *cluster) waitOrders(limit time.Duration) {
	c.t.Helper()
	const orders = 48
	deadline := time.Now().Add(limit)
	for _, v := range c.vms {
		for i := range orders {
			c.eventually(time.Until(deadline), v.id+" answers orders", func() bool {
				key := fmt.Sprintf("wait-%s-%d-%d", v.id, i, time.Now().UnixNano())
				ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
				defer cancel()
				res, _, err := sendDirect(ctx, v, http.MethodPost, key, map[string]string{standin.HeaderRequestID: key}, key)
				return err == nil && res.StatusCode == http.StatusOK
			})
		}
	}
}

func changeMeta(changeID, by string) config.Meta {
	return config.Meta{ChangeID: changeID, By: by, At: time.Now(), Why: "test"}
}

// VMs must not go back to an older configuration when the store returns an older head, as
// it does after a restore from a backup.
func TestStoreAnswersOlderHead(t *testing.T) {
	t.Parallel()
	c := newCluster(t)
	ctx := context.Background()
	old, err := c.client.Get(ctx, configstore.HeadKey)
	if err != nil {
		t.Fatal(err)
	}
	c.publish(rules.Rules{RetryPercent: 9})
	c.waitInForce()
	l := c.startLoad()
	newest, err := c.client.Get(ctx, configstore.HeadKey)
	if err != nil {
		t.Fatal(err)
	}
	c.store.SetFault(storestandin.Fault{StaleKeys: map[string][]byte{configstore.HeadKey: old.Value}})
	// A write of the same value ends the watches, which then return the older head.
	if err := c.client.CompareAndSwap(ctx, store.Write{Key: configstore.HeadKey, Value: newest.Value, Index: newest.Index}); err != nil {
		t.Fatal(err)
	}
	c.vms[1].kill()
	c.startVM(c.vms[1])
	ready := false
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		for i, v := range c.vms {
			s, err := c.status(v)
			if err != nil || (i == 1 && !s.Ready) {
				continue
			}
			ready = ready || i == 1
			if s.Version != c.version {
				t.Fatalf("%s serves with version %d, version %d was in force", v.id, s.Version, c.version)
			}
		}
	}
	if !ready {
		t.Error("the restarted VM was not ready within 5 s")
	}
	logged := false
	for _, v := range c.vms {
		logged = logged || strings.Contains(v.logText(), "event=1202")
	}
	if !logged {
		t.Error("no VM logged event 1202, configuration version refused")
	}
	c.store.SetFault(storestandin.Fault{})
	c.publish(rules.Rules{RetryPercent: 8})
	c.waitInForce()
	l.finish(t)
}

// Calls of the store that take 5 s must not fail requests of callers, and a change that is
// accepted while calls take 700 ms must come into force in time.
func TestSlowStore(t *testing.T) {
	t.Parallel()
	c := newCluster(t)
	c.waitOrders(5 * time.Second)
	l := c.startLoad()
	c.store.SetFault(storestandin.Fault{DelayMillis: 5000})
	publisher := configstore.New(c.client, configstore.Options{CallTimeout: time.Second, ChangeTimeout: 5 * time.Second})
	m := changeMeta("slow", "test")
	next := rules.Rules{RetryPercent: 9}
	content := config.Content{Register: c.register, Rules: &next}
	result, err := publisher.Publish(context.Background(), c.version, content, m)
	if !errors.Is(err, configstore.ErrOutcomeUnknown) {
		t.Errorf("a change through the slow store: %+v, %v", result, err)
	}
	c.store.SetFault(storestandin.Fault{DelayMillis: 700})
	slowPublisher := configstore.New(c.client, configstore.Options{})
	if result, err = slowPublisher.Publish(context.Background(), c.version, content, m); err != nil {
		t.Fatal(err)
	}
	c.version = result.Version
	c.waitInForce()
	l.finish(t)
	if len(l.refused) > 0 || l.unknown > 0 {
		t.Errorf("requests failed because of the slow store: %v", l.refused)
	}
}

// Watches that never answer must not keep an accepted change from coming into force.
func TestStuckWatches(t *testing.T) {
	t.Parallel()
	c := newCluster(t)
	l := c.startLoad()
	c.store.SetFault(storestandin.Fault{StuckWatches: true})
	for _, percent := range []float64{9, 8} {
		c.publish(rules.Rules{RetryPercent: percent})
		start := time.Now()
		c.waitInForce()
		t.Logf("in force everywhere after %s", time.Since(start).Round(time.Millisecond))
	}
	l.finish(t)
	if len(l.refused) > 0 || l.unknown > 0 {
		t.Errorf("requests failed because of the stuck watches: %v", l.refused)
	}
}

// A change must be applied exactly once if the replies to some of its writes are lost.
func TestLostRepliesToPublish(t *testing.T) {
	t.Parallel()
	c := newCluster(t)
	publisher := configstore.New(c.client, configstore.Options{})
	for lost := 1; lost <= 6; lost++ {
		c.store.SetFault(storestandin.Fault{LoseReplies: lost})
		m := changeMeta(fmt.Sprintf("lost-%d", lost), "test")
		content := config.Content{Register: c.register, Rules: &rules.Rules{RetryPercent: float64(lost)}}
		for send := range 3 {
			result, err := publisher.Publish(context.Background(), c.version, content, m)
			if err != nil {
				t.Fatalf("%d replies lost, send %d: %v", lost, send, err)
			}
			if send == 0 {
				if result.Version != c.version+1 {
					t.Fatalf("%d replies lost: version %d after %d", lost, result.Version, c.version)
				}
				c.version = result.Version
				c.store.SetFault(storestandin.Fault{})
			} else if !result.Resent || result.Version != c.version {
				t.Errorf("%d replies lost, send %d: %+v, want version %d again", lost, send, result, c.version)
			}
		}
	}
	c.waitInForce()
}

// If two operators change the same value concurrently, one change must be accepted, and the
// other must fail with a conflict that shows both changes.
func TestOperatorsChangeTheSame(t *testing.T) {
	t.Parallel()
	c := newCluster(t)
	var group sync.WaitGroup
	errs := make([]error, 2)
	results := make([]configstore.Result, 2)
	for i := range errs {
		group.Go(func() {
			publisher := configstore.New(c.client, configstore.Options{})
			content := config.Content{Register: c.register, Rules: &rules.Rules{RetryPercent: float64(7 + i)}}
			results[i], errs[i] = publisher.Publish(context.Background(), c.version, content, changeMeta(fmt.Sprintf("operator-%d", i), fmt.Sprintf("operator-%d", i)))
		})
	}
	group.Wait()
	winner := 0
	if errs[0] != nil {
		winner = 1
	}
	if errs[winner] != nil {
		t.Fatalf("neither change was accepted: %v; %v", errs[0], errs[1])
	}
	var conflict *config.ConflictError
	if !errors.As(errs[1-winner], &conflict) {
		t.Fatalf("the second change: %v, want a conflict", errs[1-winner])
	}
	loserID, winnerID := fmt.Sprintf("operator-%d", 1-winner), fmt.Sprintf("operator-%d", winner)
	if conflict.Mine.By != loserID || len(conflict.Theirs) != 1 || conflict.Theirs[0].By != winnerID {
		t.Errorf("the conflict names %q and %v, want %s and %s", conflict.Mine.By, conflict.Theirs, loserID, winnerID)
	}
	if len(conflict.MyDiff) == 0 || len(conflict.TheirDiff) == 0 || len(conflict.Paths) == 0 {
		t.Errorf("the conflict does not show both changes: %+v", conflict)
	}
	c.version = results[winner].Version
	c.waitInForce()
}

// planMonitor reads the plan from the store. It records a violation if the version of the
// plan goes back, or if two plans have the same version.
type planMonitor struct {
	version    uint64
	changeID   string
	index      uint64
	violations []string
}

func (m *planMonitor) read(c *cluster) {
	entry, err := c.client.Get(context.Background(), "plan/current")
	if err != nil || entry.Index == m.index {
		return
	}
	var p plan.Plan
	if err := json.Unmarshal(entry.Value, &p); err != nil {
		m.violations = append(m.violations, err.Error())
		return
	}
	if p.Version < m.version || (p.Version == m.version && p.ChangeID != m.changeID) {
		m.violations = append(m.violations, fmt.Sprintf("plan %d by change %s after plan %d by change %s", p.Version, p.ChangeID, m.version, m.changeID))
	}
	m.version, m.changeID, m.index = p.Version, p.ChangeID, entry.Index
}

// A planner that was frozen until its lease expired must not overwrite the plans of the
// next holder when it continues.
func TestFrozenPlanner(t *testing.T) {
	t.Parallel()
	c := newCluster(t)
	var holder *vm
	c.eventually(10*time.Second, "a VM is the planner", func() bool {
		for _, v := range c.vms {
			if s, err := c.status(v); err == nil && s.Planner {
				holder = v
				return true
			}
		}
		return false
	})
	var monitor planMonitor
	monitor.read(c)
	before := monitor.version
	holder.signal(syscall.SIGSTOP)
	frozen := time.Now()
	// The lease of 5 s expires, and another VM acquires it and writes plans.
	c.eventually(20*time.Second, "another VM is the planner and wrote a plan", func() bool {
		monitor.read(c)
		for _, v := range c.vms {
			if v == holder {
				continue
			}
			if s, err := c.status(v); err == nil && s.Planner {
				return monitor.version > before
			}
		}
		return false
	})
	t.Logf("plan %d by another VM %s after the freeze", monitor.version, time.Since(frozen).Round(time.Millisecond))
	holder.signal(syscall.SIGCONT)
	planInForce := make(map[string]uint64)
	for i, end := 0, time.Now().Add(6*time.Second); time.Now().Before(end); i++ {
		monitor.read(c)
		if i%50 == 0 {
			// A change makes every VM that assumes it holds the lease write a plan.
			c.publish(rules.Rules{RetryPercent: float64(5 + i/50)})
		}
		for _, v := range c.vms {
			s, err := c.status(v)
			if err != nil {
				continue
			}
			if s.Plan < planInForce[v.id] {
				t.Errorf("%s went from plan %d back to %d", v.id, planInForce[v.id], s.Plan)
			}
			planInForce[v.id] = s.Plan
		}
		time.Sleep(20 * time.Millisecond)
	}
	for _, f := range monitor.violations {
		t.Error(f)
	}
	c.eventually(10*time.Second, "exactly one VM holds the lease", func() bool {
		entry, err := c.client.Get(context.Background(), "plan/lease")
		if err != nil || entry.Holder == "" {
			return false
		}
		holders := ""
		for _, v := range c.vms {
			if s, err := c.status(v); err == nil && s.Planner {
				holders += v.id
			}
		}
		return holders == string(entry.Value)
	})
}

package e2e

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/currantferry/currantferry/rules"
	"github.com/currantferry/currantferry/verdict"
)

// Slow instances must not make reads fail, and at most 3 % of the reads may be hedged.
func TestSlowInstances(t *testing.T) {
	t.Parallel()
	c := newCluster(t)
	const slowFactor, normalFactor = 10, 1
	var sent atomic.Int64
	var mu sync.Mutex
	refused := make(map[string]int)
	var group sync.WaitGroup
	start := time.Now()
	for i := 0; time.Since(start) < 5*time.Second; i++ {
		if since := time.Since(start); since > time.Second {
			factor := float64(slowFactor)
			if since > 3*time.Second {
				factor = normalFactor
			}
			for _, p := range places {
				c.upstreams[fmt.Sprintf("%s-%s-1", service, p.dataCentre)].SetFactor(factor)
			}
		}
		group.Go(func() {
			sent.Add(1)
			if instance, why := c.read(c.vms[i%len(c.vms)], fmt.Sprintf("slow-%d", i)); instance == "" {
				mu.Lock()
				refused[why]++
				mu.Unlock()
			}
		})
		time.Sleep(5 * time.Millisecond)
	}
	group.Wait()
	if len(refused) > 0 {
		t.Errorf("reads were not answered: %v", refused)
	}
	var hedges int64
	for _, v := range c.vms {
		s, err := c.status(v)
		if err != nil {
			t.Fatal(err)
		}
		hedges += s.Retries[string(verdict.ReasonSlowUpstream)]
	}
	t.Logf("%d reads, %d hedges", sent.Load(), hedges)
	if percent := 100 * float64(hedges) / float64(sent.Load()); percent > 3 {
		t.Errorf("%.1f %% of the reads were hedged, at most 3 %% are allowed", percent)
	}
}

// Lookups must not return a VM that is drained, and the drained VM must still serve callers
// that cached its address.
func TestDrainedVM(t *testing.T) {
	t.Parallel()
	c := newCluster(t)
	drained := c.vms[1]
	l := c.startLoad()
	c.publish(rules.Rules{Drains: []rules.Drain{{ID: "d", Kind: rules.TargetVM, Target: drained.id}}})
	c.waitInForce()
	inForce := time.Now()
	isNamed := func() (named bool) {
		for _, v := range c.vms {
			client := c.callerOf(v)
			found, err := client.Lookup(context.Background(), service)
			if err != nil {
				t.Errorf("lookup at %s: %v", v.id, err)
			}
			for _, vm := range found.VMs {
				named = named || vm.ID == drained.id
			}
		}
		return named
	}
	c.eventually(time.Until(inForce.Add(2*time.Second)), "lookups no longer return the drained VM", func() bool { return !isNamed() })
	for range 100 {
		if isNamed() {
			t.Fatal("a lookup returned the drained VM again")
		}
		if res, _, err := sendDirect(context.Background(), drained, http.MethodGet, "", nil, ""); err != nil || res.StatusCode != http.StatusOK {
			t.Errorf("the drained VM did not answer a caller: %v", err)
		}
		time.Sleep(20 * time.Millisecond)
	}
	l.finish(t)
	if len(l.refused) > 0 || l.unknown > 0 {
		t.Errorf("requests failed because of the drain: %v", l.refused)
	}
	c.publish(rules.Rules{})
	c.waitInForce()
	c.eventually(5*time.Second, "lookups return the VM again", isNamed)
}

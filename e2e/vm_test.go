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

// Guards against reads that wait behind slow instances and against hedges beyond
// the 3 % of requests that may be sent twice.
func TestSlowInstances(t *testing.T) {
	t.Parallel()
	c := newCluster(t)
	const slowest, normal = 10, 1
	var sent atomic.Int64
	var mu sync.Mutex
	refused := make(map[string]int)
	var group sync.WaitGroup
	start := time.Now()
	for i := 0; time.Since(start) < 5*time.Second; i++ {
		if since := time.Since(start); since > time.Second {
			factor := float64(slowest)
			if since > 3*time.Second {
				factor = normal
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

// Guards against new callers on a VM that operators drain, and against a drained
// VM that turns away callers who still know it.
func TestDrainedVM(t *testing.T) {
	t.Parallel()
	c := newCluster(t)
	drained := c.vms[1]
	l := c.startLoad()
	c.publish(rules.Rules{Drains: []rules.Drain{{ID: "d", Kind: rules.TargetVM, Target: drained.id}}})
	c.waitInForce()
	inForce := time.Now()
	names := func() (named bool) {
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
	c.eventually(time.Until(inForce.Add(2*time.Second)), "lookups no longer name the drained VM", func() bool { return !names() })
	for range 100 {
		if names() {
			t.Fatal("a lookup names the drained VM again")
		}
		if res, _, err := sendDirect(context.Background(), drained, http.MethodGet, "", nil, ""); err != nil || res.StatusCode != http.StatusOK {
			t.Errorf("the drained VM turned a caller away: %v", err)
		}
		time.Sleep(20 * time.Millisecond)
	}
	l.finish(t)
	if len(l.refused) > 0 || l.unknown > 0 {
		t.Errorf("callers felt the drain: %v", l.refused)
	}
	c.publish(rules.Rules{})
	c.waitInForce()
	c.eventually(5*time.Second, "lookups name the VM again", names)
}

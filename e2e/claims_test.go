package e2e

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"
)

// Claims that wait for a crashed witness must not delay heartbeats between the other VMs:
// those would suspect each other and give up partitions that they could still serve.
func TestClaimsDoNotBlockHeartbeats(t *testing.T) {
	t.Parallel()
	c := newCluster(t)
	c.waitOrders(5 * time.Second)
	c.vms[2].kill()
	var group sync.WaitGroup
	for i := range 300 {
		group.Go(func() { c.order(c.vms[i%2], fmt.Sprintf("burst-%d", i), false) })
		time.Sleep(10 * time.Millisecond)
	}
	group.Wait()
	for _, v := range c.vms[:2] {
		for line := range strings.Lines(v.logText()) {
			if strings.Contains(line, "event=1501") && strings.Contains(line, "state=suspected") && !strings.Contains(line, "peer=vm-3") {
				t.Errorf("a running VM was suspected: %s", strings.TrimSpace(line))
			}
		}
	}
	c.eventually(3*time.Second, "both VMs report each other as serving", func() bool {
		a, errA := c.status(c.vms[0])
		b, errB := c.status(c.vms[1])
		return errA == nil && errB == nil && stateOf(a.Members, "vm-2") == "serving" && stateOf(b.Members, "vm-1") == "serving"
	})
	for i := range 48 {
		if o, why := c.order(c.vms[i%2], fmt.Sprintf("after-%d", i), false); o != answered {
			t.Errorf("order %d after the view change: %s", i, why)
		}
	}
}

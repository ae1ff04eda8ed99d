package control

import (
	"context"
	"testing"
	"time"

	"go.uber.org/goleak"

	"github.com/currantferry/currantferry/store/standin"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// Guards against a change that is accepted but not in force everywhere, and
// against a store that holds back VMs which can ask their peers.
func TestChangeSpreadsAndNewVMStartsWithoutStore(t *testing.T) {
	f := newFleet(t)
	f.publish(0)
	f.startMany(6)
	await(t, 20*time.Second, "version 1 on 6 nodes", func() bool { return everywhere(f.nodes, 1) })
	await(t, 20*time.Second, "readiness", func() bool { return f.nodes[0].Ready() })
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	f.publish(1)
	if p := f.nodes[0].InForce(ctx, 2, nil); p.InForce != 6 || len(p.Lagging) != 0 {
		t.Fatalf("in force on %d of %d, lagging %v", p.InForce, p.Total, p.Lagging)
	}
	f.store.SetFault(standin.Fault{Down: true})
	f.tune = func(o *Options) { o.Seeds = append(o.Seeds, f.nodes[0].info, f.nodes[3].info) }
	n := f.start("vm-new", "region0-a")
	await(t, 20*time.Second, "version 2 on the new node", func() bool { return n.Version() == 2 })
	await(t, 20*time.Second, "readiness of the new node", n.Ready)
}

package e2e

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/currantferry/currantferry/caller"
	"github.com/currantferry/currantferry/standin"
	storestandin "github.com/currantferry/currantferry/store/standin"
	"github.com/currantferry/currantferry/verdict"
)

// A caller must not get the verdict "not run" for an order if the answer to the first send
// was lost and only the later sends were refused without running.
func TestVerdictAfterLostAnswer(t *testing.T) {
	t.Parallel()
	c := newCluster(t)
	c.waitOrders(5 * time.Second)
	client := c.caller()
	found, err := client.Lookup(context.Background(), service)
	if err != nil {
		t.Fatal(err)
	}
	// Without the store no view change follows the crash of the VM, so the partitions of
	// which it was a member refuse requests without running them.
	c.store.SetFault(storestandin.Fault{Down: true})
	var group sync.WaitGroup
	var mu sync.Mutex
	seen := make(map[string]int)
	for i := range 60 {
		group.Go(func() {
			key := fmt.Sprintf("lost-answer-%d", i)
			r := caller.Request{Service: service, Method: http.MethodPost, Path: "/order", Key: key, Body: []byte(key), Header: http.Header{}}
			r.Header.Set(standin.HeaderRequestID, key)
			r.Header.Set(standin.HeaderWorkMillis, "400")
			a, err := client.Do(context.Background(), r)
			if err != nil {
				return
			}
			v, reason, refused := a.Refusal()
			mu.Lock()
			seen[fmt.Sprintf("%d sends, refused %t %s", a.Sends, refused, reason)]++
			mu.Unlock()
			if runs := c.ledger.Runs(key); refused && v == verdict.NotRun && len(runs) > 0 {
				t.Errorf("%s: the verdict is not-run (%s) after %d sends, but it ran on %v", key, reason, a.Sends, runs)
			}
		})
	}
	time.Sleep(200 * time.Millisecond)
	for _, v := range c.vms {
		if v.id == found.VMs[0].ID {
			v.kill()
		}
	}
	group.Wait()
	t.Logf("%v", seen)
	if seen["1 sends, refused false "] == 60 {
		t.Error("no answer was lost: the case was not tested")
	}
}

package e2e

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/currantferry/currantferry/rules"
	"github.com/currantferry/currantferry/standin"
	storestandin "github.com/currantferry/currantferry/store/standin"
	"github.com/currantferry/currantferry/verdict"
)

// Guards against a path with a missing part: lookup, entry VM, upstream, answer.
func TestWholePath(t *testing.T) {
	t.Parallel()
	c := newCluster(t)
	client := c.caller()
	found, err := client.Lookup(context.Background(), service)
	if err != nil || len(found.VMs) < 2 {
		t.Fatalf("lookup: %+v, %v", found, err)
	}
	l := c.startLoad()
	time.Sleep(1500 * time.Millisecond)
	l.finish(t)
	if len(l.refused) > 0 || l.unknown > 0 {
		t.Errorf("refused without a failure: %v", l.refused)
	}
}

// Guards against callers that notice the sudden death of an entry VM, and orders
// that run again because of it.
func TestKilledVM(t *testing.T) {
	t.Parallel()
	c := newCluster(t)
	l := c.startLoad()
	time.Sleep(time.Second)
	c.vms[1].kill()
	c.eventually(5*time.Second, "the others notice the death", func() bool {
		s, err := c.status(c.vms[0])
		return err == nil && stateOf(s.Members, "vm-2") == "gone"
	})
	time.Sleep(time.Second)
	l.finish(t)
}

// Guards against a VM that was frozen past every lease and still acts on what it
// held.
func TestFrozenVM(t *testing.T) {
	t.Parallel()
	c := newCluster(t)
	l := c.startLoad()
	time.Sleep(time.Second)
	c.vms[0].signal(syscall.SIGSTOP)
	time.Sleep(7 * time.Second)
	c.vms[0].signal(syscall.SIGCONT)
	c.eventually(10*time.Second, "the VM serves again", func() bool {
		s, err := c.status(c.vms[1])
		return err == nil && stateOf(s.Members, "vm-1") == "serving"
	})
	l.finish(t)
}

// Guards against two owners of a key while regions cannot talk.
func TestCutVM(t *testing.T) {
	t.Parallel()
	c := newCluster(t)
	l := c.startLoad()
	time.Sleep(time.Second)
	c.vms[2].peer.SetCut(true)
	c.vms[2].store.SetCut(true)
	time.Sleep(4 * time.Second)
	c.vms[2].peer.SetCut(false)
	c.vms[2].store.SetCut(false)
	c.eventually(15*time.Second, "the VM is seen again", func() bool {
		s, err := c.status(c.vms[0])
		return err == nil && stateOf(s.Members, "vm-3") == "serving"
	})
	l.finish(t)
}

// Guards against callers that notice a store outage, and a configuration that
// reverts or is not in force in time after it.
func TestStoreOutage(t *testing.T) {
	t.Parallel()
	c := newCluster(t)
	l := c.startLoad()
	time.Sleep(500 * time.Millisecond)
	c.store.SetFault(storestandin.Fault{Down: true})
	time.Sleep(3 * time.Second)
	added := c.newVM("vm-4", places[1])
	begun := time.Now()
	c.startVM(added)
	c.eventually(5*time.Second, "a new VM takes callers without the store", func() bool {
		s, err := c.status(added)
		return err == nil && s.Ready && s.Version == c.version
	})
	t.Logf("new VM ready without the store after %s", time.Since(begun).Round(time.Millisecond))
	c.store.SetFault(storestandin.Fault{})
	c.publish(rules.Rules{RetryPercent: 9})
	for _, v := range c.vms {
		c.eventually(8*time.Second, "the change is in force on "+v.id, func() bool {
			s, err := c.status(v)
			return err == nil && s.Version == c.version
		})
	}
	l.finish(t)
	if len(l.refused) > 0 {
		t.Errorf("callers noticed the outage: %v", l.refused)
	}
}

// Guards against a planned stop that a caller feels.
func TestGracefulStop(t *testing.T) {
	t.Parallel()
	c := newCluster(t)
	l := c.startLoad()
	time.Sleep(time.Second)
	c.vms[1].signal(syscall.SIGTERM)
	select {
	case <-c.vms[1].exited:
	case <-time.After(20 * time.Second):
		t.Fatal("the VM did not stop within its bound")
	}
	if code := c.vms[1].cmd.ProcessState.ExitCode(); code != 0 {
		t.Errorf("exit status %d:\n%s", code, c.vms[1].log)
	}
	time.Sleep(500 * time.Millisecond)
	l.finish(t)
	if len(l.refused) > 0 || l.unknown > 0 {
		t.Errorf("callers felt the stop: %v", l.refused)
	}
}

// Guards against new work on a drained upstream, and work that the drain cuts off.
func TestDrainUnderLoad(t *testing.T) {
	t.Parallel()
	c := newCluster(t)
	target := service + "-rotterdam-a-1"
	l := c.startLoad()
	time.Sleep(time.Second)
	long := make(chan error, 1)
	go func() {
		long <- longUpload(c)
	}()
	c.publish(rules.Rules{Drains: []rules.Drain{{ID: "d", Kind: rules.TargetInstance, Target: target}}})
	for _, v := range c.vms {
		c.eventually(8*time.Second, "the drain is in force on "+v.id, func() bool {
			s, err := c.status(v)
			return err == nil && s.Version == c.version
		})
	}
	inForce := time.Now()
	time.Sleep(2500 * time.Millisecond)
	l.finish(t)
	if err := <-long; err != nil {
		t.Errorf("long work: %v", err)
	}
	if late := c.upstreams[target].LastNew().Sub(inForce); late > 2*time.Second {
		t.Errorf("new work %s after the drain", late)
	}
	if running, waiting := c.upstreams[target].Running(); running+waiting > 0 {
		t.Errorf("%d requests still run on the drained instance", running+waiting)
	}
	if len(l.refused) > 0 {
		t.Errorf("refused because of a drain: %v", l.refused)
	}
}

func longUpload(c *cluster) error {
	header := map[string]string{standin.HeaderRequestID: "book", standin.HeaderWorkMillis: "1500"}
	res, body, err := sendDirect(context.Background(), c.vms[0], http.MethodPost, "book", header, string(bytes.Repeat([]byte("b"), 1<<20)))
	if err != nil {
		return err
	}
	if res.StatusCode != http.StatusOK || !bytes.Equal(body, standin.AnswerBody("book", 64)) {
		return fmt.Errorf("status %d, %d bytes", res.StatusCode, len(body))
	}
	return nil
}

// Guards against an order that runs twice when its answer is lost and it is sent
// again through other VMs while the first one is dead, frozen or cut off.
func TestOrderResentThroughThreeVMs(t *testing.T) {
	t.Parallel()
	c := newCluster(t)
	failures := map[string]func(v *vm){
		"frozen": func(v *vm) { v.signal(syscall.SIGSTOP) },
		"cut":    func(v *vm) { v.peer.SetCut(true); v.store.SetCut(true) },
		"killed": func(v *vm) { v.signal(syscall.SIGKILL) },
	}
	repairs := map[string]func(v *vm){
		"frozen": func(v *vm) { v.signal(syscall.SIGCONT) },
		"cut":    func(v *vm) { v.peer.SetCut(false); v.store.SetCut(false) },
		"killed": func(*vm) {},
	}
	var keys []string
	for _, name := range []string{"frozen", "cut", "killed"} {
		const orders = 24
		for i := range orders {
			keys = append(keys, fmt.Sprintf("%s-%d", name, i))
		}
		first := c.vms[2]
		ctx, cancel := context.WithTimeout(context.Background(), 150*time.Millisecond)
		sent := make(chan struct{}, orders)
		for _, key := range keys[len(keys)-orders:] {
			go func() {
				header := map[string]string{standin.HeaderRequestID: key, standin.HeaderWorkMillis: "300"}
				_, _, _ = sendDirect(ctx, first, http.MethodPost, key, header, key)
				sent <- struct{}{}
			}()
		}
		time.Sleep(100 * time.Millisecond)
		failures[name](first)
		for range orders {
			<-sent
		}
		cancel()
		for _, v := range []*vm{c.vms[0], c.vms[1], c.vms[0]} {
			for _, key := range keys[len(keys)-orders:] {
				resend(t, c, v, key)
			}
		}
		repairs[name](first)
		time.Sleep(500 * time.Millisecond)
	}
	if twice := c.ledger.RunTwice(keys); len(twice) > 0 {
		t.Errorf("orders ran twice: %v", twice)
	}
}

// resend sends an order again and checks the verdict against what ran.
func resend(t *testing.T, c *cluster, v *vm, key string) {
	t.Helper()
	header := map[string]string{standin.HeaderRequestID: key}
	before := len(c.ledger.Runs(key))
	res, body, err := sendDirect(context.Background(), v, http.MethodPost, key, header, key)
	if err != nil {
		t.Errorf("%s: %v", key, err)
		return
	}
	answerVerdict := res.Header.Get(verdict.HeaderVerdict)
	after := len(c.ledger.Runs(key))
	switch {
	case res.StatusCode == http.StatusOK:
		if !bytes.Equal(body, standin.AnswerBody(key, 64)) {
			t.Errorf("%s: wrong answer of %d bytes", key, len(body))
		}
	case answerVerdict == verdict.NotRun.String() && after != before:
		t.Errorf("%s: refused as not run, and ran", key)
	case answerVerdict == "":
		t.Errorf("%s: status %d without a verdict", key, res.StatusCode)
	}
}

// Guards against a request that crashes one instance after another while its
// caller sends it through every VM.
func TestCrashingRequest(t *testing.T) {
	t.Parallel()
	c := newCluster(t)
	refused := 0
	for i := range 12 {
		v := c.vms[i%len(c.vms)]
		res, _, err := sendDirect(context.Background(), v, http.MethodGet, "", map[string]string{standin.HeaderCrash: "1"}, "")
		if err != nil {
			t.Fatal(err)
		}
		if res.Header.Get(verdict.HeaderReason) == string(verdict.ReasonCrashGuard) {
			refused++
		}
		time.Sleep(100 * time.Millisecond)
	}
	crashes := 0
	for _, u := range c.upstreams {
		crashes += u.Crashes()
	}
	if crashes > 2 {
		t.Errorf("%d instances were lost, at most 2 are allowed", crashes)
	}
	if refused < 8 {
		t.Errorf("only %d of 12 sends were refused by the crash guard", refused)
	}
	c.eventually(3*time.Second, "other requests are answered", func() bool {
		res, _, err := sendDirect(context.Background(), c.vms[0], http.MethodGet, "", nil, "")
		return err == nil && res.StatusCode == http.StatusOK
	})
}

// Guards against new work on an upstream that says itself that it leaves.
func TestLeavingUpstream(t *testing.T) {
	t.Parallel()
	c := newCluster(t)
	l := c.startLoad()
	time.Sleep(time.Second)
	leaving := c.upstreams[service+"-amsterdam-b-2"]
	leaving.SetDraining(true)
	begun := time.Now()
	time.Sleep(6 * time.Second)
	l.finish(t)
	if late := leaving.LastNew().Sub(begun); late > 4*time.Second {
		t.Errorf("new work %s after the upstream said that it leaves", late)
	}
	if len(l.refused) > 0 || l.unknown > 0 {
		t.Errorf("callers felt the upstream leave: %v", l.refused)
	}
}

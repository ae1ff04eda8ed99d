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

// A healthy system must answer every request on the whole path: lookup, entry VM, upstream.
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
		t.Errorf("requests were refused without any failure: %v", l.refused)
	}
}

// A crash of an entry VM must not fail requests or make orders run twice: callers resend
// through other VMs what the VM was processing.
func TestKilledVM(t *testing.T) {
	t.Parallel()
	c := newCluster(t)
	l := c.startLoad()
	time.Sleep(time.Second)
	c.vms[1].kill()
	c.eventually(5*time.Second, "the other VMs detect the crash", func() bool {
		s, err := c.status(c.vms[0])
		return err == nil && stateOf(s.Members, "vm-2") == "gone"
	})
	time.Sleep(time.Second)
	l.finish(t)
}

// A VM that was frozen until all its leases expired must not act on them when it
// continues.
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

// A VM that is cut off from its peers and the store must not remain an owner of keys that
// other VMs take over: an order would run twice.
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
	c.eventually(15*time.Second, "the VM is reachable again", func() bool {
		s, err := c.status(c.vms[0])
		return err == nil && stateOf(s.Members, "vm-3") == "serving"
	})
	l.finish(t)
}

// A store outage must not fail requests or keep a new VM from becoming ready with the
// newest configuration, and a configuration that is published after it must come into
// force in time.
func TestStoreOutage(t *testing.T) {
	t.Parallel()
	c := newCluster(t)
	l := c.startLoad()
	time.Sleep(500 * time.Millisecond)
	c.store.SetFault(storestandin.Fault{Down: true})
	time.Sleep(3 * time.Second)
	added := c.newVM("vm-4", places[1])
	start := time.Now()
	c.startVM(added)
	c.eventually(5*time.Second, "a new VM is ready without the store", func() bool {
		s, err := c.status(added)
		return err == nil && s.Ready && s.Version == c.version
	})
	t.Logf("new VM ready without the store after %s", time.Since(start).Round(time.Millisecond))
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
		t.Errorf("requests were refused because of the outage: %v", l.refused)
	}
}

// A planned stop of a VM must not fail requests.
func TestGracefulStop(t *testing.T) {
	t.Parallel()
	c := newCluster(t)
	l := c.startLoad()
	time.Sleep(time.Second)
	c.vms[1].signal(syscall.SIGTERM)
	select {
	case <-c.vms[1].exited:
	case <-time.After(20 * time.Second):
		t.Fatal("the VM did not stop within 20 s")
	}
	if code := c.vms[1].cmd.ProcessState.ExitCode(); code != 0 {
		t.Errorf("exit status %d:\n%s", code, c.vms[1].log)
	}
	time.Sleep(500 * time.Millisecond)
	l.finish(t)
	if len(l.refused) > 0 || l.unknown > 0 {
		t.Errorf("requests failed because of the stop: %v", l.refused)
	}
}

// A drain of an instance must keep new requests from it without cutting off the requests
// that it is running.
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
		t.Errorf("long request: %v", err)
	}
	if late := c.upstreams[target].LastNew().Sub(inForce); late > 2*time.Second {
		t.Errorf("the instance got a request %s after its drain was in force", late)
	}
	if running, waiting := c.upstreams[target].Running(); running+waiting > 0 {
		t.Errorf("%d requests still run on the drained instance", running+waiting)
	}
	if len(l.refused) > 0 {
		t.Errorf("requests were refused because of the drain: %v", l.refused)
	}
}

// longUpload sends an upload of 1 MB that runs for 1.5 s, and checks its answer.
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

// An order must not run twice if its answer is lost because the VM is killed, frozen or cut
// off, and the caller resends it through other VMs.
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

// resend resends an order and checks the verdict of the answer against the ledger.
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
		t.Errorf("%s: refused as not run, but it ran", key)
	case answerVerdict == "":
		t.Errorf("%s: status %d without a verdict", key, res.StatusCode)
	}
}

// A request that crashes the instance which runs it must not crash one instance after
// another while its caller resends it through every VM.
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
		t.Errorf("%d instances crashed, at most 2 are allowed", crashes)
	}
	if refused < 8 {
		t.Errorf("only %d of 12 sends were refused by the crash guard", refused)
	}
	c.eventually(3*time.Second, "other requests are answered", func() bool {
		res, _, err := sendDirect(context.Background(), c.vms[0], http.MethodGet, "", nil, "")
		return err == nil && res.StatusCode == http.StatusOK
	})
}

// An instance whose load endpoint announces that it is leaving must get no new requests,
// although no operator drains it.
func TestLeavingUpstream(t *testing.T) {
	t.Parallel()
	c := newCluster(t)
	l := c.startLoad()
	time.Sleep(time.Second)
	leaving := c.upstreams[service+"-amsterdam-b-2"]
	leaving.SetDraining(true)
	start := time.Now()
	time.Sleep(6 * time.Second)
	l.finish(t)
	if late := leaving.LastNew().Sub(start); late > 4*time.Second {
		t.Errorf("the instance got a request %s after its leaving notice", late)
	}
	if len(l.refused) > 0 || l.unknown > 0 {
		t.Errorf("requests failed because an instance left: %v", l.refused)
	}
}

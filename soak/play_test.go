package soak

import (
	"fmt"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/currantferry/currantferry/internal/testkit"
	"github.com/currantferry/currantferry/platform/standin"
)

const (
	callers = 12
	// callPause is the pause between the requests of a caller.
	callPause = 15 * time.Millisecond
	// servedWindow is the time after the faults in which each VM must serve: more
	// than twice as long as the slowest answer, which all callers may wait for at once.
	servedWindow = 3 * time.Second
)

// play sends requests while faults come in series, and ends with calm.
func (w *world) play(length time.Duration) {
	stop := make(chan struct{})
	var group sync.WaitGroup
	for c := range callers {
		group.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				default:
				}
				w.call((c+n)%vms, fmt.Sprintf("r%d-%d-%d", w.seed, c, n), n%3 == 0)
				time.Sleep(callPause)
			}
		})
	}
	for end := time.Now().Add(length); time.Now().Before(end); {
		w.fault()
		time.Sleep(time.Duration(100+w.rng.IntN(500)) * time.Millisecond)
	}
	w.heal()
	time.Sleep(settle)
	w.mu.Lock()
	w.served = make(map[int]int)
	w.mu.Unlock()
	time.Sleep(servedWindow)
	close(stop)
	group.Wait()
}

// fault does one thing, drawn by the seed. Faults overlap.
func (w *world) fault() {
	v := w.vms[w.rng.IntN(vms)]
	w.mu.Lock()
	busy := v.stopping || v.paused
	w.mu.Unlock()
	switch w.rng.IntN(11) {
	case 0:
		if !busy {
			w.kill(v)
		}
	case 1:
		if !busy {
			w.plannedStop(v)
		}
	case 2:
		if !busy {
			w.pause(v, time.Duration(200+w.rng.IntN(2000))*time.Millisecond)
		}
	case 3:
		w.signal(v, syscall.SIGHUP)
	case 4, 5:
		w.disturb(v)
		v.relay.Set(testkit.Mode(w.rng.IntN(int(testkit.Modes))))
	case 6:
		w.disturbAll()
		w.store.SetFault([]standin.StoreFault{
			{},
			{Busy: true},
			{Silent: true, Lapse: true},
			{LoseAnswers: true},
			{Delay: 400 * time.Millisecond},
			{Limited: true},
			{Reset: true},
		}[w.rng.IntN(7)])
	case 7:
		w.disturbAll()
		w.store.Compact()
	case 8:
		for range 1 + w.rng.IntN(4) {
			w.configure()
		}
	case 9:
		w.replaceInstance(w.rng.IntN(2) == 0)
	case 10:
		w.disturbAll()
		w.store.RevokeAll("vm/")
	}
}

func (w *world) disturbAll() {
	for _, v := range w.vms {
		w.disturb(v)
	}
}

// kill ends the process of a VM without notice, and starts it again.
func (w *world) kill(v *vm) {
	w.disturb(v)
	w.signal(v, syscall.SIGKILL)
	<-v.exited
	w.start(v)
}

// plannedStop sends SIGTERM and starts the VM again once its process is gone.
func (w *world) plannedStop(v *vm) {
	w.mu.Lock()
	v.stopping = true
	exited := v.exited
	w.mu.Unlock()
	w.signal(v, syscall.SIGTERM)
	began := time.Now()
	go func() {
		select {
		case <-exited:
		case <-time.After(grace + time.Second):
			w.t.Errorf("VM %d runs %s after SIGTERM, with a grace of %s", v.number, time.Since(began), grace)
			w.signal(v, syscall.SIGKILL)
			<-exited
		}
		w.start(v)
	}()
}

func (w *world) pause(v *vm, length time.Duration) {
	w.disturb(v)
	w.mu.Lock()
	v.paused = true
	w.mu.Unlock()
	w.signal(v, syscall.SIGSTOP)
	go func() {
		time.Sleep(length)
		w.signal(v, syscall.SIGCONT)
		w.mu.Lock()
		v.paused, v.disturbed = false, time.Now()
		w.mu.Unlock()
	}()
}

// replaceInstance ends an instance, with or without a drain, and adds another one.
func (w *world) replaceInstance(drains bool) {
	w.mu.Lock()
	i := w.instances[0]
	w.instances = w.instances[1:]
	count := len(w.all)
	w.mu.Unlock()
	w.addInstance(count)
	if !drains {
		w.disturbAll()
		i.Close()
		w.store.Unregister(i)
		return
	}
	w.store.Register(i, "shop", "graz-1", "draining")
	go func() {
		time.Sleep(4 * time.Second)
		w.store.Unregister(i)
	}()
}

// heal ends all faults and waits until every VM runs.
func (w *world) heal() {
	w.store.SetFault(standin.StoreFault{})
	for _, v := range w.vms {
		v.relay.Set(testkit.Pass)
	}
	for end := time.Now().Add(20 * time.Second); ; time.Sleep(20 * time.Millisecond) {
		w.mu.Lock()
		busy := false
		for _, v := range w.vms {
			busy = busy || v.stopping || v.paused
		}
		w.mu.Unlock()
		if !busy {
			break
		}
		if time.Now().After(end) {
			w.t.Error("a VM is still stopping or paused 20 s after the last fault")
			break
		}
	}
	w.disturbAll()
}

// faults lists the broken promises.
func (w *world) faults() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	runs := make(map[string]int)
	for _, i := range w.all {
		for _, r := range i.Runs() {
			runs[r.ID]++
		}
	}
	for id, n := range w.extraRuns {
		runs[id] += n
	}
	var out []string
	add := func(format string, args ...any) { out = append(out, fmt.Sprintf(format, args...)) }
	for _, r := range w.requests {
		if r.order && runs[r.id] > 1 {
			add("order %s ran %d times", r.id, runs[r.id])
		}
		if r.order && (r.status == http.StatusServiceUnavailable || r.status == http.StatusTooManyRequests) && runs[r.id] > 0 {
			add("order %s was refused with %d and ran", r.id, r.status)
		}
		if r.status == http.StatusOK && r.body != "ran "+r.id+padding {
			add("request %s got %q", r.id, r.body)
		}
		if r.cut && r.calm {
			add("VM %d cut off request %s after %s without a fault near", r.vm, r.id, r.took)
		}
		if r.calm && r.took > routeTimeout+answerMargin {
			add("VM %d held request %s for %s, its route's timeout is %s", r.vm, r.id, r.took, routeTimeout)
		}
	}
	return out
}

// check reports broken promises, and VMs that do not serve after the faults.
func (w *world) check() {
	for _, f := range w.faults() {
		w.t.Error(f)
	}
	w.mu.Lock()
	for n := range w.vms {
		if w.served[n] == 0 {
			w.t.Errorf("VM %d served nothing %s after the last fault", n, settle)
		}
	}
	total := len(w.requests)
	w.mu.Unlock()
	w.t.Logf("seed %d: %d requests", w.seed, total)
	if w.t.Failed() {
		w.keepLogs()
	}
}

// keepLogs copies the logs of the VMs to where they outlive the test.
func (w *world) keepLogs() {
	kept, err := os.MkdirTemp("", fmt.Sprintf("soak-%d-", w.seed))
	if err != nil {
		w.t.Error(err)
		return
	}
	if err := os.CopyFS(kept, os.DirFS(w.dir)); err != nil {
		w.t.Error(err)
	}
	w.t.Logf("logs in %s; again: CURRANTFERRY_SEED=%d CURRANTFERRY_ROUNDS=1 go test ./soak -run '^TestSoak$'", strings.TrimSpace(kept), w.seed)
}

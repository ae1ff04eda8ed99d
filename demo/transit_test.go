package demo

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"maps"
	"net"
	"net/http"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/currantferry/currantferry/internal/testkit"
	"github.com/currantferry/currantferry/proxy"
	"github.com/currantferry/currantferry/settings"
	"github.com/currantferry/currantferry/standin"
)

const (
	// cutNoticeTime is the time after which callers must no longer feel a cut.
	cutNoticeTime = 1500 * time.Millisecond
	// minCutServed is how well a VM that is cut off must serve, beside the others.
	minCutServed = 0.95
	// awaitTimeout is when awaitOrder gives up. It is no target.
	awaitTimeout = 20 * time.Second
)

// startCuttableFleet starts a fleet, and returns the links of each VM to the instances.
func startCuttableFleet(t *testing.T, tls bool) (*Fleet, map[string]*testkit.Links, *testkit.Buffer) {
	t.Helper()
	logs := new(testkit.Buffer)
	f := newFleet(slog.New(slog.NewJSONHandler(logs, &slog.HandlerOptions{Level: slog.LevelDebug})))
	links := make(map[string]*testkit.Links)
	f.dial = func(vm string) func(context.Context, string, string) (net.Conn, error) {
		links[vm] = new(testkit.Links)
		return links[vm].Dial
	}
	if tls {
		dir := t.TempDir()
		testkit.NewAuthority(t).WriteFiles(t, dir)
		f.tls = settings.TLS{PeerCert: filepath.Join(dir, "cert"), PeerKey: filepath.Join(dir, "key"), PeerCA: filepath.Join(dir, "ca")}
	}
	t.Cleanup(f.Close)
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	if err := f.start(ctx); err != nil {
		t.Fatal(err)
	}
	return f, links, logs
}

// request sends a read, or an order if it has a key, to a VM, and returns the status.
func request(f *Fleet, vm, id, key string) (status int, replayed bool) {
	method, path, service, body := http.MethodGet, "/proof", serviceReads, io.Reader(nil)
	if key != "" {
		method, path, service, body = http.MethodPost, "/order", serviceOrders, strings.NewReader("order")
	}
	req, err := http.NewRequest(method, "http://"+f.nodes[vm].CallerAddress()+path, body)
	if err != nil {
		return 0, false
	}
	req.Header.Set(proxy.HeaderService, service)
	req.Header.Set(standin.HeaderRequestID, id)
	if key != "" {
		req.Header.Set(proxy.HeaderKey, key)
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, false
	}
	defer res.Body.Close()
	_, _ = io.Copy(io.Discard, res.Body)
	return res.StatusCode, res.Header.Get(proxy.HeaderReplayed) != ""
}

// counts counts the requests that callers sent to a VM, and those served.
type counts struct{ asked, served atomic.Int64 }

func (c *counts) share() float64 { return float64(c.served.Load()) / float64(max(1, c.asked.Load())) }

// phases are the counts of a VM before a cut, while it is noticed, and after that.
type phases [3]counts

// callSteadily sends reads and orders to VMs until stop is closed, whether earlier ones are
// answered or not.
func callSteadily(f *Fleet, stop <-chan struct{}, group *sync.WaitGroup, phase *atomic.Int64, vms map[string]*phases) {
	for vm, count := range vms {
		group.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				case <-time.After(10 * time.Millisecond):
				}
				id, key := fmt.Sprintf("%s-%d", vm, n), ""
				if n%3 == 0 {
					id = "order-" + id
					key = id
				}
				c := &count[phase.Load()]
				c.asked.Add(1)
				group.Go(func() {
					if status, _ := request(f, vm, id, key); status == http.StatusOK {
						c.served.Add(1)
					}
				})
			}
		})
	}
}

// awaitOrder sends an order until it is answered with a status of 200.
func awaitOrder(t *testing.T, f *Fleet, vm, key string) (replayed bool) {
	t.Helper()
	status := 0
	for deadline := time.Now().Add(awaitTimeout); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		if status, replayed = request(f, vm, "order-"+key, key); status == http.StatusOK {
			return replayed
		}
	}
	t.Fatalf("an order to %s is answered with status %d", vm, status)
	return false
}

// A VM that can't reach any instance must serve its callers nearly as well as another, and
// run no order twice. The other VMs must serve as before, and not take instances for down
// that only this one can't reach.
func TestVMWithoutInstancesServesItsCallers(t *testing.T) {
	for name, c := range map[string]struct {
		kind testkit.CutKind
		tls  bool
		cut  []string
	}{
		"silent":       {testkit.SilentCut, true, []string{"vm-1"}},
		"reset":        {testkit.ResetCut, false, []string{"vm-1"}},
		"refused":      {testkit.RefuseCut, true, []string{"vm-1"}},
		"whole region": {testkit.SilentCut, false, []string{"vm-1", "vm-2"}},
	} {
		t.Run(name, func(t *testing.T) {
			f, links, logs := startCuttableFleet(t, c.tls)
			for vm := range f.nodes {
				awaitOrder(t, f, vm, "first-"+vm)
			}
			vms := map[string]*phases{"vm-1": new(phases), "vm-3": new(phases)}
			stop, group, phase := make(chan struct{}), new(sync.WaitGroup), new(atomic.Int64)
			callSteadily(f, stop, group, phase, vms)
			time.Sleep(time.Second)
			phase.Store(1)
			for _, vm := range c.cut {
				links[vm].Cut(c.kind)
			}
			time.Sleep(cutNoticeTime)
			phase.Store(2)
			time.Sleep(2 * time.Second)
			close(stop)
			group.Wait()
			cut, other := vms["vm-1"][2].share(), vms["vm-3"][2].share()
			if cut < minCutServed*other || other == 0 {
				t.Errorf("the VM that is cut off served %.2f of its requests, another %.2f", cut, other)
			}
			if before := vms["vm-3"][0].share(); other < minCutServed*before {
				t.Errorf("another VM served %.2f of its requests, %.2f before the cut", other, before)
			}
			awaitOrder(t, f, "vm-1", "resent")
			if !awaitOrder(t, f, "vm-3", "resent") {
				t.Error("an order that the VM served was not answered from its record at another VM")
			}
			orders := slices.Collect(maps.Keys(f.Ledger.Keys("order-")))
			if twice := f.Ledger.RunTwice(orders); len(orders) == 0 || len(twice) > 0 {
				t.Errorf("of %d orders ran twice: %v", len(orders), twice)
			}
			if n := strings.Count(logs.String(), `"event":2361`); c.kind != testkit.RefuseCut && n != len(c.cut) {
				t.Errorf("%d VMs found that they reach no instance, want %d", n, len(c.cut))
			}
			if t.Failed() {
				t.Log(logs.String())
			}
		})
	}
}

// Callers must not be able to use the way between VMs: without the key that only VMs know a
// request that claims to be passed on is refused.
func TestCallersCanNotPassRequestsOn(t *testing.T) {
	t.Parallel()
	f, _, logs := startCuttableFleet(t, false)
	req, err := http.NewRequest(http.MethodGet, "http://"+f.nodes["vm-1"].TransitAddress()+"/proof", nil)
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set(proxy.HeaderService, serviceReads)
	req.Header.Set(proxy.HeaderTransit, "1")
	req.Header.Set(proxy.HeaderTransitKey, "guessed")
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	res.Body.Close()
	if res.StatusCode != http.StatusServiceUnavailable || f.Ledger.Total() > 0 || !strings.Contains(logs.String(), `"event":2363`) {
		t.Errorf("status %d, %d runs", res.StatusCode, f.Ledger.Total())
	}
}

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
	// minCutServed is the least share of requests that a VM which is cut off must serve.
	minCutServed = 0.95
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

// A VM that can't reach any instance must serve its callers nevertheless, and run no order
// twice. The other VMs must not take instances for down that only this one can't reach.
func TestVMWithoutInstancesServesItsCallers(t *testing.T) {
	for name, c := range map[string]struct {
		kind testkit.CutKind
		tls  bool
	}{
		"silent": {testkit.SilentCut, false}, "silent over TLS": {testkit.SilentCut, true},
		"reset": {testkit.ResetCut, true}, "refused": {testkit.RefuseCut, false},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f, links, logs := startCuttableFleet(t, c.tls)
			var asked, served, othersAsked, othersServed atomic.Int64
			var isCounting atomic.Bool
			stop, group := make(chan struct{}), new(sync.WaitGroup)
			for vm, counts := range map[string][2]*atomic.Int64{"vm-1": {&asked, &served}, "vm-3": {&othersAsked, &othersServed}} {
				for caller := range 4 {
					group.Go(func() {
						for n := 0; ; n++ {
							select {
							case <-stop:
								return
							case <-time.After(20 * time.Millisecond):
							}
							id, key := fmt.Sprintf("%s-%d-%d", vm, caller, n), ""
							if n%3 == 0 {
								id = "order-" + id
								key = id
							}
							counted := isCounting.Load()
							status, _ := request(f, vm, id, key)
							if counted {
								counts[0].Add(1)
								if status == http.StatusOK {
									counts[1].Add(1)
								}
							}
						}
					})
				}
			}
			time.Sleep(time.Second)
			links["vm-1"].Cut(c.kind)
			time.Sleep(cutNoticeTime)
			isCounting.Store(true)
			time.Sleep(2 * time.Second)
			close(stop)
			group.Wait()
			for who, counts := range map[string][2]int64{"the VM that is cut off": {asked.Load(), served.Load()}, "another": {othersAsked.Load(), othersServed.Load()}} {
				if counts[0] == 0 || float64(counts[1]) < minCutServed*float64(counts[0]) {
					t.Errorf("%s served %d of %d requests", who, counts[1], counts[0])
				}
			}
			if status, replayed := request(f, "vm-1", "order-resent", "resent"); status != http.StatusOK || replayed {
				t.Errorf("an order at the VM that is cut off: %d, replayed %t", status, replayed)
			}
			// The claim is in progress until its members have recorded the outcome.
			status, replayed := http.StatusConflict, false
			for deadline := time.Now().Add(2 * time.Second); status == http.StatusConflict && time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
				status, replayed = request(f, "vm-2", "order-resent", "resent")
			}
			if status != http.StatusOK || !replayed {
				t.Errorf("its resend through another VM: %d, replayed %t", status, replayed)
			}
			orders := slices.Collect(maps.Keys(f.Ledger.Keys("order-")))
			if twice := f.Ledger.RunTwice(orders); len(orders) == 0 || len(twice) > 0 {
				t.Errorf("of %d orders ran twice: %v", len(orders), twice)
			}
			if n := strings.Count(logs.String(), `"event":2361`); c.kind != testkit.RefuseCut && n != 1 {
				t.Errorf("%d VMs found that they reach no instance, want 1", n)
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

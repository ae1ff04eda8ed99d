package entry

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/currantferry/currantferry/history"
	"github.com/currantferry/currantferry/inventory"
	"github.com/currantferry/currantferry/proxy"
	"github.com/currantferry/currantferry/verdict"
)

// testCurrency is a currency whose clock the test sets, at revision 10 of epoch 1 with version 3.
func testCurrency() (c *currency, up *time.Duration, requests *int) {
	up, requests = new(time.Duration), new(int)
	c = newCurrency(slog.New(slog.NewTextHandler(io.Discard, nil)), func() time.Duration { return *up })
	c.tolerance = func() time.Duration { return time.Second }
	c.catchUp = func(string) { *requests++ }
	*up = time.Minute
	c.setState(history.Position{Epoch: 1, Revision: 9}, 3)
	c.setPosition(history.Position{Epoch: 1, Revision: 10}, *up, false)
	return c, up, requests
}

func stateAt(epoch, revision, version uint64) proxy.RoutesState {
	return proxy.RoutesState{Position: history.Position{Epoch: epoch, Revision: revision}, Version: version}
}

// decides reports whether a VM decides about a request now. It doesn't wait.
func decides(c *currency, least proxy.RoutesState) bool {
	_, _, _, missing := c.missing(least)
	return !missing
}

// A VM must stop deciding by older records once another one's state binds it or was known for too long, and
// must go on when it has caught up, when the store has no such record, and when nobody states it any more.
func TestCurrencyBindsAndEnds(t *testing.T) {
	t.Parallel()
	newer := stateAt(1, 11, 4)
	for name, c := range map[string]struct {
		play func(c *currency, up *time.Duration)
		want bool
	}{
		"nothing stated":      {func(*currency, *time.Duration) {}, true},
		"older state":         {func(c *currency, _ *time.Duration) { c.bind(stateAt(1, 8, 2), "vm") }, true},
		"unknown state":       {func(c *currency, _ *time.Duration) { c.bind(proxy.RoutesState{}, "vm") }, true},
		"known just now":      {func(c *currency, _ *time.Duration) { c.observe(newer, "vm") }, true},
		"later epoch":         {func(c *currency, _ *time.Duration) { c.bind(stateAt(2, 5, 3), "vm") }, false},
		"bound at once":       {func(c *currency, _ *time.Duration) { c.bind(newer, "vm") }, false},
		"known for too long":  {func(c *currency, up *time.Duration) { c.observe(newer, "vm"); *up += 2 * time.Second }, false},
		"repeated":            {func(c *currency, up *time.Duration) { repeatFor(c, up, newer, 30*time.Second) }, false},
		"no longer stated":    {func(c *currency, up *time.Duration) { c.bind(newer, "vm"); *up += statedTTL + time.Second }, true},
		"caught up":           {func(c *currency, up *time.Duration) { c.bind(newer, "vm"); c.setPosition(newer.Position, *up, false) }, true},
		"not caught up":       {func(c *currency, up *time.Duration) { c.bind(newer, "vm"); *up++; c.setPosition(c.at, *up, false) }, false},
		"refuted by store":    {func(c *currency, up *time.Duration) { c.bind(newer, "vm"); *up++; c.setPosition(c.at, *up, true) }, true},
		"store asked earlier": {func(c *currency, up *time.Duration) { c.bind(newer, "vm"); c.setPosition(c.at, *up-1, true) }, false},
	} {
		currency, up, _ := testCurrency()
		c.play(currency, up)
		if got := decides(currency, proxy.RoutesState{}); got != c.want {
			t.Errorf("%s: decides %t, want %t", name, got, c.want)
		}
	}
}

// repeatFor lets a VM state the same once a second.
func repeatFor(c *currency, up *time.Duration, s proxy.RoutesState, d time.Duration) {
	for end := *up + d; *up < end; *up += time.Second {
		c.observe(s, "vm")
	}
}

// A request that another VM accepted by newer records must be refused as not run, and one that waits must go
// on as soon as the records arrive.
func TestPassedOnRequestNeedsRecords(t *testing.T) {
	t.Parallel()
	c, up, requests := testCurrency()
	if !decides(c, stateAt(1, 10, 3)) || decides(c, stateAt(1, 11, 4)) {
		t.Fatal("the state by which the request was accepted does not count")
	}
	if *requests != 1 {
		t.Errorf("newer records were requested %d times, want once", *requests)
	}
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer cancel()
	var refusal *verdict.Error
	if err := c.await(ctx, stateAt(1, 11, 4)); !errors.As(err, &refusal) || refusal.Verdict != verdict.NotRun || refusal.RetryAfter <= 0 {
		t.Errorf("%v, want a refusal that may be repeated", err)
	}
	done := make(chan error)
	go func() { done <- c.await(t.Context(), stateAt(1, 11, 4)) }()
	time.Sleep(20 * time.Millisecond)
	c.setPosition(history.Position{Epoch: 1, Revision: 11}, *up, false)
	if err := <-done; err != nil {
		t.Errorf("%v after the records arrived", err)
	}
}

// A VM whose routes the store has not confirmed lately, or that stood still, must not answer 404.
func TestUnconfirmedRoutesRefuseNothingForGood(t *testing.T) {
	t.Parallel()
	c, up, _ := testCurrency()
	r := newRouter(c)
	r.confirmTime = func() time.Duration { return 2 * time.Second }
	r.set(&inventory.Routes{Version: 3, Routes: []inventory.Route{{Host: "h", Prefix: "/known/", Backends: []inventory.Backend{{Service: "s", Weight: 1}}}}})
	check := func(path string, want verdict.Reason) {
		t.Helper()
		_, err := r.Route(httptest.NewRequest("GET", "http://h"+path, nil), new(proxy.Meta))
		got := verdict.Reason("")
		var refusal *verdict.Error
		if errors.As(err, &refusal) {
			got = refusal.Reason
		}
		if got != want {
			t.Errorf("%s: %q, want %q", path, got, want)
		}
	}
	check("/known/1", "")
	check("/added/1", verdict.ReasonUnknownService)
	*up += 3 * time.Second
	check("/known/1", "")
	check("/added/1", verdict.ReasonOutdated)
	c.setPosition(c.at, *up, false)
	check("/added/1", verdict.ReasonUnknownService)
	r.awaitRefresh = func(context.Context) error { return verdict.New(verdict.NotRun, verdict.ReasonOutdated, 0) }
	check("/added/1", verdict.ReasonOutdated)
	check("/known/1", verdict.ReasonOutdated)
}

// Malformed notices must be rejected, and sound ones keep all that they state.
func TestRoutesNotices(t *testing.T) {
	t.Parallel()
	want := stateAt(3, 1<<40, 1<<50)
	data := encodeRoutesNotice("vm-7", want)
	if id, got, err := decodeRoutesNotice(data); id != "vm-7" || got != want || err != nil {
		t.Errorf("%s %+v %v", id, got, err)
	}
	for n := 1; n < len(data); n++ {
		if _, _, err := decodeRoutesNotice(data[:n]); err == nil {
			t.Errorf("%d of %d bytes are accepted", n, len(data))
		}
	}
	if _, _, err := decodeRoutesNotice(fmt.Append(data, "x")); err == nil {
		t.Error("trailing bytes are accepted")
	}
}

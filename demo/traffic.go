package demo

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/currantferry/currantferry/caller"
	"github.com/currantferry/currantferry/standin"
	"github.com/currantferry/currantferry/verdict"
)

// traffic sends reads and orders at fixed rates and checks each answer.
type traffic struct {
	client *caller.Client
	rng    *rand.Rand
	ledger *standin.Ledger

	mu    sync.Mutex
	tally tally
	group conc.WaitGroup
}

// tally collects the results of the requests.
type tally struct {
	answered int64
	orders   []string
	// wrong counts answers that have an unexpected status or do not match their request.
	wrong int64
	// refused counts final refusals by reason.
	refused map[string]int64
	// notRun holds the keys of the orders that were refused with the verdict "not run".
	notRun []string
	// unanswered counts requests that got no answer from any VM.
	unanswered int64
	// unknown counts orders that were refused with "may have run" or "ran".
	unknown int64
	slowest time.Duration
	// beforeCrash counts the requests that failed before beginCrashPhase.
	beforeCrash  int64
	isCrashPhase bool
	// duringStop counts the failed requests that were in flight at any time during the
	// graceful stop.
	duringStop             int64
	stopStarted, stopEnded time.Time
	lastFailure            time.Time
	errors                 []string
}

const (
	readInterval  = 5 * time.Millisecond
	orderInterval = 20 * time.Millisecond
	orderBytes    = 2 << 10
	maxErrors     = 5
)

func newTraffic(c *caller.Client, ledger *standin.Ledger, seed uint64) *traffic {
	return &traffic{client: c, ledger: ledger, rng: rand.New(rand.NewPCG(seed, 2)), tally: tally{refused: make(map[string]int64)}}
}

// run sends requests until ctx ends, and then waits for the outstanding answers.
func (t *traffic) run(ctx context.Context) {
	reads, orders := time.NewTicker(readInterval), time.NewTicker(orderInterval)
	defer reads.Stop()
	defer orders.Stop()
	for i := 0; ; i++ {
		select {
		case <-reads.C:
			id, size := fmt.Sprintf("read-%d", i), 1+t.rng.IntN(8<<10)
			t.group.Go(func() { t.read(id, size) })
		case <-orders.C:
			key := fmt.Sprintf("order-%d", i)
			t.group.Go(func() { t.order(key) })
		case <-ctx.Done():
			t.group.Wait()
			return
		}
	}
}

func (t *traffic) read(id string, size int) {
	h := http.Header{}
	h.Set(standin.HeaderRequestID, id)
	h.Set(standin.HeaderAnswerBytes, fmt.Sprint(size))
	start := time.Now()
	a, err := t.client.Do(context.Background(), caller.Request{Service: serviceReads, Method: http.MethodGet, Path: "/proof", Header: h, Idempotent: true})
	t.record(id, false, size, a, err, start)
}

func (t *traffic) order(key string) {
	h := http.Header{}
	h.Set(standin.HeaderRequestID, key)
	start := time.Now()
	a, err := t.client.Do(context.Background(), caller.Request{
		Service: serviceOrders, Method: http.MethodPost, Path: "/order", Header: h, Body: bytes.Repeat([]byte("o"), orderBytes), Key: key,
	})
	t.record(key, true, 64, a, err, start)
}

// record records the result of a request.
func (t *traffic) record(id string, isOrder bool, size int, a *caller.Answer, err error, start time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.tally.slowest = max(t.tally.slowest, time.Since(start))
	if isOrder {
		t.tally.orders = append(t.tally.orders, id)
	}
	if !isSuccess(a, err) {
		t.tally.lastFailure = time.Now()
		if !t.tally.isCrashPhase {
			t.tally.beforeCrash++
		}
		if !t.tally.stopStarted.IsZero() && (t.tally.stopEnded.IsZero() || start.Before(t.tally.stopEnded)) {
			t.tally.duringStop++
			t.addError("%s failed during the graceful stop", id)
		}
	}
	if err != nil {
		t.tally.unanswered++
		t.addError("%s: no answer: %v", id, err)
		return
	}
	if v, reason, refused := a.Refusal(); refused {
		t.tally.refused[string(reason)]++
		if isOrder && v == verdict.NotRun {
			t.tally.notRun = append(t.tally.notRun, id)
		}
		if isOrder && v != verdict.NotRun {
			t.tally.unknown++
		}
		return
	}
	if a.Status != http.StatusOK || !bytes.Equal(a.Body, standin.AnswerBody(id, size)) {
		t.tally.wrong++
		t.addError("%s: status %d with %d bytes", id, a.Status, len(a.Body))
		return
	}
	t.tally.answered++
}

func isSuccess(a *caller.Answer, err error) bool { return err == nil && a.Status == http.StatusOK }

// beginCrashPhase ends the phase that contains only planned changes, in which no request
// may fail.
func (t *traffic) beginCrashPhase() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.tally.isCrashPhase = true
}

func (t *traffic) beginStop() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.tally.stopStarted = time.Now()
}

func (t *traffic) endStop() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.tally.stopEnded = time.Now()
}

// waitStable waits until no request has failed for stableTime. It returns false after
// stableTimeout.
func (t *traffic) waitStable(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, stableTimeout)
	defer cancel()
	ticker := time.NewTicker(stableTime / 20)
	defer ticker.Stop()
	for start := time.Now(); ; {
		t.mu.Lock()
		isStable := time.Since(t.tally.lastFailure) >= stableTime && time.Since(start) >= stableTime
		t.mu.Unlock()
		if isStable {
			return true
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return false
		}
	}
}

func (t *traffic) addError(format string, args ...any) {
	if len(t.tally.errors) < maxErrors {
		t.tally.errors = append(t.tally.errors, fmt.Sprintf(format, args...))
	}
}

// result returns the tally and the guarantees that it shows to be violated.
func (t *traffic) result() (tally, []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var violations []string
	check := func(ok bool, format string, args ...any) {
		if !ok {
			violations = append(violations, fmt.Sprintf(format, args...))
		}
	}
	twice := t.ledger.RunTwice(t.tally.orders)
	check(len(twice) == 0, "%d orders ran twice: %v", len(twice), twice)
	check(t.tally.beforeCrash == 0, "%d requests were cut off by a planned stop", t.tally.beforeCrash)
	check(t.tally.duringStop == 0, "%d requests failed during the graceful stop", t.tally.duringStop)
	check(t.tally.wrong == 0, "%d answers were wrong", t.tally.wrong)
	check(t.tally.unanswered == 0, "%d requests got no answer", t.tally.unanswered)
	for _, key := range t.tally.notRun {
		check(len(t.ledger.Runs(key)) == 0, "%s was refused as not run, but it ran", key)
	}
	return t.tally, violations
}

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

// tally is what callers saw.
type tally struct {
	answered int64
	orders   []string
	// wrong answers belong to another request or are not whole.
	wrong int64
	// refused counts final refusals by reason.
	refused map[string]int64
	// falseNotRun are orders that a refusal called not run and that ran.
	notRun []string
	// unanswered requests got no answer from any VM.
	unanswered int64
	// unknown orders were refused with "may have run" or "ran".
	unknown int64
	slowest time.Duration
	// beforeDeath counts requests without a whole answer until freeze.
	beforeDeath int64
	frozen      bool
	// duringStop counts requests without a whole answer that were on their way
	// at any time of the graceful stop.
	duringStop          int64
	stopBegan, stopDone time.Time
	lastFailure         time.Time
	errors              []string
}

const (
	readEvery  = 5 * time.Millisecond
	orderEvery = 20 * time.Millisecond
	orderBytes = 2 << 10
	keepErrors = 5
)

func newTraffic(c *caller.Client, ledger *standin.Ledger, seed uint64) *traffic {
	return &traffic{client: c, ledger: ledger, rng: rand.New(rand.NewPCG(seed, 2)), tally: tally{refused: make(map[string]int64)}}
}

// run sends until ctx ends, then waits for the answers that are due.
func (t *traffic) run(ctx context.Context) {
	reads, orders := time.NewTicker(readEvery), time.NewTicker(orderEvery)
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
	t.note(id, false, size, a, err, start)
}

func (t *traffic) order(key string) {
	h := http.Header{}
	h.Set(standin.HeaderRequestID, key)
	start := time.Now()
	a, err := t.client.Do(context.Background(), caller.Request{
		Service: serviceOrders, Method: http.MethodPost, Path: "/order", Header: h, Body: bytes.Repeat([]byte("o"), orderBytes), Key: key,
	})
	t.note(key, true, 64, a, err, start)
}

// note records the end of a request.
func (t *traffic) note(id string, isOrder bool, size int, a *caller.Answer, err error, start time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.tally.slowest = max(t.tally.slowest, time.Since(start))
	if isOrder {
		t.tally.orders = append(t.tally.orders, id)
	}
	if !isWhole(a, err) {
		t.tally.lastFailure = time.Now()
		if !t.tally.frozen {
			t.tally.beforeDeath++
		}
		if !t.tally.stopBegan.IsZero() && (t.tally.stopDone.IsZero() || start.Before(t.tally.stopDone)) {
			t.tally.duringStop++
			t.problem("%s failed during the graceful stop", id)
		}
	}
	if err != nil {
		t.tally.unanswered++
		t.problem("%s: no answer: %v", id, err)
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
		t.problem("%s: status %d with %d bytes", id, a.Status, len(a.Body))
		return
	}
	t.tally.answered++
}

func isWhole(a *caller.Answer, err error) bool { return err == nil && a.Status == http.StatusOK }

// freeze ends the time in which nothing but planned stops happened.
func (t *traffic) freeze() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.tally.frozen = true
}

func (t *traffic) beginStop() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.tally.stopBegan = time.Now()
}

func (t *traffic) endStop() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.tally.stopDone = time.Now()
}

// waitCalm waits until no request has failed for calmTime.
func (t *traffic) waitCalm(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, calmTimeout)
	defer cancel()
	ticker := time.NewTicker(calmTime / 20)
	defer ticker.Stop()
	for start := time.Now(); ; {
		t.mu.Lock()
		calm := time.Since(t.tally.lastFailure) >= calmTime && time.Since(start) >= calmTime
		t.mu.Unlock()
		if calm {
			return true
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return false
		}
	}
}

func (t *traffic) problem(format string, args ...any) {
	if len(t.tally.errors) < keepErrors {
		t.tally.errors = append(t.tally.errors, fmt.Sprintf(format, args...))
	}
}

// result returns the tally and the promises that it breaks.
func (t *traffic) result() (tally, []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var broken []string
	check := func(ok bool, format string, args ...any) {
		if !ok {
			broken = append(broken, fmt.Sprintf(format, args...))
		}
	}
	twice := t.ledger.RunTwice(t.tally.orders)
	check(len(twice) == 0, "%d orders ran twice: %v", len(twice), twice)
	check(t.tally.beforeDeath == 0, "%d requests were cut off by a planned stop", t.tally.beforeDeath)
	check(t.tally.duringStop == 0, "%d requests failed during the graceful stop", t.tally.duringStop)
	check(t.tally.wrong == 0, "%d answers were wrong", t.tally.wrong)
	check(t.tally.unanswered == 0, "%d requests got no answer", t.tally.unanswered)
	for _, key := range t.tally.notRun {
		check(len(t.ledger.Runs(key)) == 0, "%s was refused as not run, and ran", key)
	}
	return t.tally, broken
}

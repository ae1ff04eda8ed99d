// Package loadgen sends the workload of a deployment to entry VMs, checks that every
// answer matches its request, and compares the verdicts of refusals with the runs that
// stand-in upstreams recorded.
package loadgen

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"

	"github.com/currantferry/currantferry/caller"
	"github.com/currantferry/currantferry/standin"
)

// Options of a run.
type Options struct {
	// Workload is one of Workloads.
	Workload string
	// Entry holds the caller addresses (IP:PORT) of one or more entry VMs. Their lookups
	// return the VMs to which requests are sent.
	Entry []string
	// Control holds the addresses (IP:PORT) of the control pages of stand-in upstreams.
	// Empty means that verdicts are not compared with runs.
	Control []string
	// Rate in requests/s. Zero means 100; at most MaxRate.
	Rate float64
	// Duration is how long requests are sent. Zero means 10 s; at most MaxDuration.
	Duration time.Duration
	// Timeout of a request including its resends. Zero means 10 s; at most 1 min.
	Timeout time.Duration
	// WorkScale multiplies the service times. A fleet with fewer slots than the deployment
	// needs a value below 1. Zero means 1.
	WorkScale float64
	// Seed of the arrivals, classes, sizes and service times.
	Seed uint64
	// Remote allows addresses that are not loopback addresses.
	Remote bool
}

// Bounds and defaults of a run.
const (
	MaxRate     = 20_000
	MaxDuration = 10 * time.Minute
	maxRequests = 2_000_000
	// maxInFlight bounds the memory of the generator. A request that exceeds it is sent
	// later than intended, and the delay is part of its latency.
	maxInFlight     = 8192
	maxTimeout      = time.Minute
	defaultRate     = 100
	DefaultDuration = 10 * time.Second
	DefaultTimeout  = 10 * time.Second
)

func (o *Options) validate() error {
	if o.Rate == 0 {
		o.Rate = defaultRate
	}
	if o.Duration == 0 {
		o.Duration = DefaultDuration
	}
	if o.Timeout == 0 {
		o.Timeout = DefaultTimeout
	}
	if o.WorkScale == 0 {
		o.WorkScale = 1
	}
	switch {
	case o.Rate < 0 || o.Rate > MaxRate:
		return errors.Errorf("rate %g is outside 0 to %d", o.Rate, MaxRate)
	case o.Duration < 0 || o.Duration > MaxDuration:
		return errors.Errorf("duration %s is outside 0 to %s", o.Duration, MaxDuration)
	case o.Timeout < 0 || o.Timeout > maxTimeout:
		return errors.Errorf("timeout %s is outside 0 to %s", o.Timeout, maxTimeout)
	case o.WorkScale < 0 || o.WorkScale > 100:
		return errors.Errorf("work scale %g is outside 0 to 100", o.WorkScale)
	case len(o.Entry) == 0:
		return errors.New("no entry VM given")
	}
	for _, list := range [][]string{o.Entry, o.Control} {
		for _, address := range list {
			if err := o.checkAddress(address); err != nil {
				return err
			}
		}
	}
	return nil
}

// checkAddress returns an error if the address is not a loopback address, unless Remote is
// set.
func (o *Options) checkAddress(address string) error {
	a, err := netip.ParseAddrPort(address)
	if err != nil {
		return errors.Wrap(err, "address")
	}
	if !o.Remote && !a.Addr().Unmap().IsLoopback() {
		return errors.Errorf("%s is not a loopback address; -remote allows it", address)
	}
	return nil
}

// run is one run of the generator.
type run struct {
	options Options
	classes []class
	client  *caller.Client
	// prefix of the request IDs and keys of this run.
	prefix string
	// filler holds the random bytes of which all request bodies are prefixes.
	filler []byte

	mu       sync.Mutex
	tally    tally
	group    conc.WaitGroup
	inFlight chan struct{}
	dialer   *net.Dialer
}

// Run sends the workload and returns the result. Sending ends after Duration or when ctx
// ends, and the last answers arrive at most Timeout later.
func Run(ctx context.Context, o Options) (*Result, error) {
	classes, err := findWorkload(o.Workload)
	if err != nil {
		return nil, err
	}
	if err := o.validate(); err != nil {
		return nil, err
	}
	r := &run{
		options: o, classes: classes, tally: newTally(classes), inFlight: make(chan struct{}, maxInFlight),
		prefix: fmt.Sprintf("load-%d-%d-", o.Seed, time.Now().UnixNano()), filler: make([]byte, 1<<20),
	}
	// Lookups may return any address, so the address of each connection is checked.
	r.dialer = &net.Dialer{Timeout: time.Second, Control: func(_, address string, _ syscall.RawConn) error {
		return r.options.checkAddress(address)
	}}
	rng := rand.New(rand.NewPCG(o.Seed, 3))
	for i := range r.filler {
		r.filler[i] = byte(rng.Uint32())
	}
	r.client = caller.New(caller.Options{Bootstrap: o.Entry, Timeout: o.Timeout, Seed: o.Seed, Dialer: r.dialer})
	defer r.client.Close()
	start := time.Now()
	r.send(ctx, rng, start)
	r.group.Wait()
	elapsed := time.Since(start)
	runs, missing := r.collectRuns(context.WithoutCancel(ctx))
	return r.result(runs, missing, elapsed), nil
}

// send sends each request at its intended time, without waiting for earlier ones, up to
// maxInFlight.
func (r *run) send(ctx context.Context, rng *rand.Rand, start time.Time) {
	mean := time.Duration(float64(time.Second) / r.options.Rate)
	timer := time.NewTimer(0)
	defer timer.Stop()
	intended := start
	for i := range maxRequests {
		d := drawRequest(rng, r.classes, r.options.WorkScale)
		intended = intended.Add(time.Duration(d.gap * float64(mean)))
		if intended.Sub(start) > r.options.Duration {
			return
		}
		if wait := time.Until(intended); wait > 0 {
			timer.Reset(wait)
			select {
			case <-timer.C:
			case <-ctx.Done():
				return
			}
		}
		select {
		case r.inFlight <- struct{}{}:
		case <-ctx.Done():
			return
		}
		at := intended
		r.group.Go(func() {
			defer func() { <-r.inFlight }()
			r.sendOne(ctx, i, d, at)
		})
	}
}

// sendOne sends a request and records its result.
func (r *run) sendOne(ctx context.Context, i int, d drawnRequest, intended time.Time) {
	id := r.prefix + strconv.Itoa(i)
	body := r.filler[:d.body]
	req := caller.Request{
		Service: d.class.service, Method: d.class.method, Path: d.class.path,
		Header: http.Header{}, Body: body, Idempotent: d.class.idempotent,
	}
	if d.class.keyed {
		req.Key = id
	}
	req.Header.Set(standin.HeaderRequestID, id)
	req.Header.Set(standin.HeaderAnswerBytes, strconv.Itoa(d.answer))
	req.Header.Set(standin.HeaderWorkMillis, strconv.FormatFloat(d.workMillis, 'f', 2, 64))
	a, err := r.client.Do(ctx, req)
	latency := time.Since(intended)
	var fault string
	if err == nil {
		fault = checkAnswer(a, id, body, d.answer)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.tally.record(d.class, id, a, err, fault, latency)
}

// bodySum returns the SHA-256 of a request body, as upstreams report it.
func bodySum(body []byte) string {
	sum := sha256.Sum256(body)
	return hex.EncodeToString(sum[:])
}

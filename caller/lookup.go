package caller

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/currantferry/currantferry/lookup"
)

const (
	lookupTimeout = time.Second
	// lookupStagger is how long a VM may take to answer a lookup before the lookup is
	// sent to the next VM as well.
	lookupStagger = 250 * time.Millisecond
	// staleTTL is the TTL of an expired answer that is used again because no VM
	// answers a lookup.
	staleTTL = time.Second
)

// cachedAnswer is the last answer for a service, and the state of its renewal.
type cachedAnswer struct {
	answer    lookup.Response
	hasAnswer bool
	// renewAt is the time of the next lookup in the background: at three quarters of
	// the TTL, so that requests don't wait for it.
	renewAt   time.Time
	expiresAt time.Time
	// pending is closed when the lookup in flight ends. It is nil if there is none.
	pending chan struct{}
	err     error
}

// Lookup returns the entry VMs for a service. It answers from the cache while the last
// answer is valid, and also after that if no VM answers a lookup.
func (c *Client) Lookup(ctx context.Context, service string) (lookup.Response, error) {
	now := time.Now()
	c.mu.Lock()
	e := c.answers[service]
	if e == nil {
		e = new(cachedAnswer)
		c.answers[service] = e
	}
	if (!e.hasAnswer || now.After(e.renewAt)) && e.pending == nil {
		e.pending = make(chan struct{})
		if !c.background(func() { c.renew(service, e) }) {
			e.pending = nil
			c.mu.Unlock()
			return lookup.Response{}, errors.New("the client is closed")
		}
	}
	answer, pending, valid := e.answer, e.pending, e.hasAnswer && now.Before(e.expiresAt)
	c.mu.Unlock()
	if valid {
		return answer, nil
	}
	select {
	case <-pending:
	case <-ctx.Done():
		return lookup.Response{}, errors.Wrap(ctx.Err(), "lookup")
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if !e.hasAnswer {
		return lookup.Response{}, errors.Wrap(e.err, "lookup")
	}
	return e.answer, nil
}

// renew looks up a service, updates the cached answer and wakes the requests that wait
// for it.
func (c *Client) renew(service string, e *cachedAnswer) {
	c.mu.Lock()
	vms := e.answer.VMs
	c.mu.Unlock()
	answer, err := c.lookupAny(c.candidates(vms), service)
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	ttl := time.Duration(answer.TTLMillis) * time.Millisecond
	if err != nil {
		ttl = staleTTL
	} else {
		e.answer, e.hasAnswer = answer, true
	}
	e.err, e.renewAt, e.expiresAt = err, now.Add(ttl*3/4), now.Add(ttl)
	close(e.pending)
	e.pending = nil
}

// candidates returns the addresses for a lookup, those of unreachable VMs last.
func (c *Client) candidates(vms []lookup.ResponseVM) []string {
	var addresses []string
	for _, vm := range c.preferenceOrder(vms) {
		addresses = append(addresses, vm.Address)
	}
	for _, a := range c.options.Bootstrap {
		if !slices.Contains(addresses, a) {
			addresses = append(addresses, a)
		}
	}
	slices.SortStableFunc(addresses, func(a, b string) int {
		return boolRank(c.isUnreachable(a)) - boolRank(c.isUnreachable(b))
	})
	return addresses
}

func boolRank(b bool) int {
	if b {
		return 1
	}
	return 0
}

// lookupAny sends a lookup to one VM after another, lookupStagger apart or as soon as
// one has failed, and returns the first answer.
func (c *Client) lookupAny(addresses []string, service string) (lookup.Response, error) {
	type reply struct {
		answer lookup.Response
		err    error
	}
	ctx, cancel := context.WithCancel(c.ctx)
	defer cancel()
	replies := make(chan reply, len(addresses))
	lastErr := errors.New("no entry VM to send the lookup to")
	stagger := time.NewTimer(0)
	defer stagger.Stop()
	for numStarted, numFailed := 0, 0; numFailed < len(addresses); {
		var next <-chan time.Time
		if numStarted < len(addresses) {
			next = stagger.C
		}
		select {
		case r := <-replies:
			if r.err == nil {
				return r.answer, nil
			}
			numFailed++
			lastErr = r.err
			stagger.Reset(0)
		case <-next:
			address := addresses[numStarted]
			numStarted++
			go func() {
				answer, err := c.lookupAt(ctx, address, service)
				replies <- reply{answer, err}
			}()
			stagger.Reset(lookupStagger)
		}
	}
	return lookup.Response{}, lastErr
}

func (c *Client) lookupAt(ctx context.Context, address, service string) (lookup.Response, error) {
	ctx, cancel := context.WithTimeout(ctx, lookupTimeout)
	defer cancel()
	var answer lookup.Response
	u := "http://" + address + lookup.Path + "?service=" + url.QueryEscape(service)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, u, nil)
	if err != nil {
		return answer, err
	}
	res, err := c.http.Do(req)
	if err != nil {
		return answer, err
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return answer, errors.Errorf("status %d", res.StatusCode)
	}
	return answer, json.NewDecoder(io.LimitReader(res.Body, 1<<20)).Decode(&answer)
}

// preferenceOrder returns the reachable VMs before the unreachable ones. Within each
// group the VMs are ordered by priority, and within a priority at random by weight.
func (c *Client) preferenceOrder(vms []lookup.ResponseVM) []lookup.ResponseVM {
	c.mu.Lock()
	defer c.mu.Unlock()
	remaining := slices.Clone(vms)
	out := make([]lookup.ResponseVM, 0, len(remaining))
	for len(remaining) > 0 {
		lowest := remaining[0].Priority
		for _, vm := range remaining {
			lowest = min(lowest, vm.Priority)
		}
		sum := 0
		for _, vm := range remaining {
			if vm.Priority == lowest {
				sum += int(vm.Weight)
			}
		}
		pick := c.rng.IntN(max(1, sum))
		for i, vm := range remaining {
			if vm.Priority != lowest {
				continue
			}
			if pick -= int(vm.Weight); pick < 0 || sum == 0 {
				out = append(out, vm)
				remaining = slices.Delete(remaining, i, i+1)
				break
			}
		}
	}
	slices.SortStableFunc(out, func(a, b lookup.ResponseVM) int {
		return boolRank(c.isUnreachableLocked(a.Address)) - boolRank(c.isUnreachableLocked(b.Address))
	})
	return out
}

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
	// lookupStagger is how long a VM may take to answer a lookup before the
	// next one is asked as well.
	lookupStagger = 250 * time.Millisecond
	// staleFor is how long an expired answer is used again when no VM answers
	// a lookup.
	staleFor = time.Second
)

// cached is the last answer for a service, and the lookup on its way.
type cached struct {
	answer lookup.Response
	known  bool
	// renew is when a lookup starts in the background, at three quarters of
	// the lifetime, so that requests do not wait for it.
	renew   time.Time
	expires time.Time
	// pending is closed when the lookup on its way ends. Nil means none.
	pending chan struct{}
	err     error
}

// Lookup returns the entry VMs for a service, from memory while the last answer
// is valid, and also past that when no VM answers a lookup.
func (c *Client) Lookup(ctx context.Context, service string) (lookup.Response, error) {
	now := time.Now()
	c.mu.Lock()
	e := c.answers[service]
	if e == nil {
		e = new(cached)
		c.answers[service] = e
	}
	if (!e.known || now.After(e.renew)) && e.pending == nil {
		e.pending = make(chan struct{})
		if !c.background(func() { c.renew(service, e) }) {
			e.pending = nil
			c.mu.Unlock()
			return lookup.Response{}, errors.New("the client is closed")
		}
	}
	answer, pending, valid := e.answer, e.pending, e.known && now.Before(e.expires)
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
	if !e.known {
		return lookup.Response{}, errors.Wrap(e.err, "lookup")
	}
	return e.answer, nil
}

// renew looks a service up and ends the pending lookup of its entry.
func (c *Client) renew(service string, e *cached) {
	c.mu.Lock()
	known := e.answer.VMs
	c.mu.Unlock()
	answer, err := c.askAll(c.candidates(known), service)
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	ttl := time.Duration(answer.TTLMillis) * time.Millisecond
	if err != nil {
		ttl = staleFor
	} else {
		e.answer, e.known = answer, true
	}
	e.err, e.renew, e.expires = err, now.Add(ttl*3/4), now.Add(ttl)
	close(e.pending)
	e.pending = nil
}

// candidates returns the addresses to ask, those that do not answer last.
func (c *Client) candidates(known []lookup.ResponseVM) []string {
	var addresses []string
	for _, vm := range c.order(known) {
		addresses = append(addresses, vm.Address)
	}
	for _, a := range c.options.Bootstrap {
		if !slices.Contains(addresses, a) {
			addresses = append(addresses, a)
		}
	}
	slices.SortStableFunc(addresses, func(a, b string) int {
		return boolRank(c.isSilent(a)) - boolRank(c.isSilent(b))
	})
	return addresses
}

func boolRank(b bool) int {
	if b {
		return 1
	}
	return 0
}

// askAll asks one VM after the other, without waiting long for any, and returns
// the first answer.
func (c *Client) askAll(addresses []string, service string) (lookup.Response, error) {
	type reply struct {
		answer lookup.Response
		err    error
	}
	ctx, cancel := context.WithCancel(c.ctx)
	defer cancel()
	replies := make(chan reply, len(addresses))
	last := errors.New("no VM to ask")
	stagger := time.NewTimer(0)
	defer stagger.Stop()
	for asked, ended := 0, 0; ended < len(addresses); {
		var next <-chan time.Time
		if asked < len(addresses) {
			next = stagger.C
		}
		select {
		case r := <-replies:
			if r.err == nil {
				return r.answer, nil
			}
			ended++
			last = r.err
			stagger.Reset(0)
		case <-next:
			address := addresses[asked]
			asked++
			go func() {
				answer, err := c.ask(ctx, address, service)
				replies <- reply{answer, err}
			}()
			stagger.Reset(lookupStagger)
		}
	}
	return lookup.Response{}, last
}

func (c *Client) ask(ctx context.Context, address, service string) (lookup.Response, error) {
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

// order returns the VMs that answer before those that do not, and each kind in
// the order of priority, by weight within one priority.
func (c *Client) order(vms []lookup.ResponseVM) []lookup.ResponseVM {
	c.mu.Lock()
	defer c.mu.Unlock()
	left := slices.Clone(vms)
	out := make([]lookup.ResponseVM, 0, len(left))
	for len(left) > 0 {
		lowest := left[0].Priority
		for _, vm := range left {
			lowest = min(lowest, vm.Priority)
		}
		sum := 0
		for _, vm := range left {
			if vm.Priority == lowest {
				sum += int(vm.Weight)
			}
		}
		pick := c.rng.IntN(max(1, sum))
		for i, vm := range left {
			if vm.Priority != lowest {
				continue
			}
			if pick -= int(vm.Weight); pick < 0 || sum == 0 {
				out = append(out, vm)
				left = slices.Delete(left, i, i+1)
				break
			}
		}
	}
	slices.SortStableFunc(out, func(a, b lookup.ResponseVM) int {
		return boolRank(c.silent(a.Address)) - boolRank(c.silent(b.Address))
	})
	return out
}

// Package caller is a client library for callers: it looks up entry VMs, keeps
// the answer for its lifetime, and sends requests to one VM after another until
// one answers or must not be asked again.
package caller

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/currantferry/currantferry/lookup"
	"github.com/currantferry/currantferry/proxy"
	"github.com/currantferry/currantferry/verdict"
)

// Options of a Client.
type Options struct {
	// Bootstrap are caller addresses of entry VMs that answer the first
	// lookup. At least one.
	Bootstrap []string
	// Timeout is the deadline of a request over all sends. Zero means 10 s.
	Timeout time.Duration
	// MaxSends bounds the entry VMs that one request is sent to. Zero means 4.
	MaxSends int
	// Seed of the choice by weight.
	Seed uint64
	// Dialer makes the connections. Nil means one with a time-out of 1 s.
	Dialer *net.Dialer
}

const (
	defaultTimeout  = 10 * time.Second
	defaultMaxSends = 4
	lookupTimeout   = time.Second
	maxAnswer       = 64 << 20
)

// Client sends requests through entry VMs. It is safe for concurrent use.
type Client struct {
	options Options
	http    *http.Client

	mu      sync.Mutex
	rng     *rand.Rand
	answers map[string]cached
}

type cached struct {
	answer  lookup.Response
	expires time.Time
}

// New returns a client.
func New(o Options) *Client {
	if o.Timeout <= 0 {
		o.Timeout = defaultTimeout
	}
	if o.MaxSends <= 0 {
		o.MaxSends = defaultMaxSends
	}
	if o.Dialer == nil {
		o.Dialer = &net.Dialer{Timeout: lookupTimeout}
	}
	transport := &http.Transport{
		DialContext:         o.Dialer.DialContext,
		MaxIdleConnsPerHost: 256, IdleConnTimeout: time.Minute, DisableCompression: true,
	}
	return &Client{
		options: o, http: &http.Client{Transport: transport},
		rng: rand.New(rand.NewPCG(o.Seed, 1)), answers: make(map[string]cached),
	}
}

// Close drops idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Request is one request to a service.
type Request struct {
	Service string
	Method  string
	Path    string
	Header  http.Header
	Body    []byte
	// Key makes resends safe for requests that are not idempotent. Without a
	// key such a request is sent again only when it is proven not to have run.
	Key string
	// Idempotent requests are sent again whatever became of them.
	Idempotent bool
}

// Answer is a whole answer, or the last refusal.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
	// VM is the entry VM that answered.
	VM string
	// Sends counts the entry VMs that were asked.
	Sends int
}

// Refusal returns the verdict and reason when an entry VM refused the request.
func (a *Answer) Refusal() (verdict.Verdict, verdict.Reason, bool) {
	text := a.Header.Get(verdict.HeaderVerdict)
	return verdict.Parse(text), verdict.Reason(a.Header.Get(verdict.HeaderReason)), text != ""
}

// Lookup returns the entry VMs for a service, from memory while the last answer
// is valid, and also past that when no VM answers a lookup.
func (c *Client) Lookup(ctx context.Context, service string) (lookup.Response, error) {
	c.mu.Lock()
	known, ok := c.answers[service]
	c.mu.Unlock()
	if ok && time.Now().Before(known.expires) {
		return known.answer, nil
	}
	addresses := make([]string, 0, len(known.answer.VMs)+len(c.options.Bootstrap))
	for _, vm := range known.answer.VMs {
		addresses = append(addresses, vm.Address)
	}
	var last error
	for _, a := range append(addresses, c.options.Bootstrap...) {
		answer, err := c.ask(ctx, a, service)
		if err == nil {
			expires := time.Now().Add(time.Duration(answer.TTLMillis) * time.Millisecond)
			c.mu.Lock()
			c.answers[service] = cached{answer, expires}
			c.mu.Unlock()
			return answer, nil
		}
		last = err
	}
	if ok {
		return known.answer, nil
	}
	return lookup.Response{}, errors.Wrap(last, "lookup")
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

// forget makes the next request look up anew, after a VM did not answer.
func (c *Client) forget(service string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if known, ok := c.answers[service]; ok {
		known.expires = time.Time{}
		c.answers[service] = known
	}
}

// order returns the VMs in the order of priority, by weight within one priority.
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
	return out
}

// Do sends a request. It returns an error when no VM answered at all; a refusal
// is an Answer.
func (c *Client) Do(ctx context.Context, r Request) (*Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, c.options.Timeout)
	defer cancel()
	var answer *Answer
	var last error
	for sends := 0; sends < c.options.MaxSends; {
		found, err := c.Lookup(ctx, r.Service)
		if err != nil {
			return nil, err
		}
		for _, vm := range c.order(found.VMs) {
			sends++
			answer, last = c.send(ctx, vm, &r)
			if answer != nil {
				answer.Sends = sends
			}
			if !c.mayResend(&r, answer, last) || sends >= c.options.MaxSends || ctx.Err() != nil {
				return answer, last
			}
			if last != nil {
				c.forget(r.Service)
			}
		}
	}
	return answer, last
}

// mayResend tells whether another VM may be asked.
func (c *Client) mayResend(r *Request, a *Answer, err error) bool {
	if err != nil {
		return r.Idempotent || r.Key != "" || isNotSent(err)
	}
	v, _, refused := a.Refusal()
	return refused && a.Status >= http.StatusInternalServerError && verdict.MayResend(v, r.Idempotent)
}

// isNotSent tells whether no connection was made.
func isNotSent(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

func (c *Client) send(ctx context.Context, vm lookup.ResponseVM, r *Request) (*Answer, error) {
	req, err := http.NewRequestWithContext(ctx, r.Method, "http://"+vm.Address+r.Path, bytes.NewReader(r.Body))
	if err != nil {
		return nil, err
	}
	// Without GetBody the transport does not send a request again by itself.
	req.GetBody = nil
	for name, values := range r.Header {
		req.Header[name] = values
	}
	req.Host = r.Service
	if r.Key != "" {
		req.Header.Set(proxy.HeaderKey, r.Key)
	}
	if deadline, ok := ctx.Deadline(); ok {
		req.Header.Set(proxy.HeaderTimeout, strconv.FormatInt(max(1, time.Until(deadline).Milliseconds()), 10))
	}
	res, err := c.http.Do(req)
	if err != nil {
		return nil, err
	}
	defer res.Body.Close()
	body, err := io.ReadAll(io.LimitReader(res.Body, maxAnswer))
	if err != nil {
		return nil, err
	}
	return &Answer{Status: res.StatusCode, Header: res.Header, Body: body, VM: vm.ID}, nil
}

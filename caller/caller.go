// Package caller is a client library for callers: it looks up entry VMs, keeps
// the answer for its lifetime, and sends requests to one VM after another until
// one answers or must not be asked again.
package caller

import (
	"bytes"
	"context"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"

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
	dialTimeout     = time.Second
	maxAnswer       = 64 << 20
)

// Client sends requests through entry VMs. It is safe for concurrent use.
type Client struct {
	options Options
	http    *http.Client
	ctx     context.Context
	cancel  context.CancelFunc
	group   conc.WaitGroup
	// maxAnswer bounds the body of an answer in bytes.
	maxAnswer int64

	mu      sync.Mutex
	closed  bool
	rng     *rand.Rand
	answers map[string]*cached
	vms     map[string]*vmHealth
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
		o.Dialer = &net.Dialer{Timeout: dialTimeout}
	}
	transport := &http.Transport{
		DialContext:         o.Dialer.DialContext,
		MaxIdleConnsPerHost: 256, IdleConnTimeout: time.Minute, DisableCompression: true,
	}
	c := &Client{
		options: o, maxAnswer: maxAnswer, http: &http.Client{Transport: transport},
		rng: rand.New(rand.NewPCG(o.Seed, 1)), answers: make(map[string]*cached), vms: make(map[string]*vmHealth),
	}
	c.ctx, c.cancel = context.WithCancel(context.Background())
	return c
}

// Close ends lookups and probes in the background and drops idle connections.
func (c *Client) Close() {
	c.mu.Lock()
	c.closed = true
	c.mu.Unlock()
	c.cancel()
	c.group.Wait()
	c.http.CloseIdleConnections()
}

// background runs f unless the client is closed. The caller holds the lock.
func (c *Client) background(f func()) bool {
	if c.closed {
		return false
	}
	c.group.Go(f)
	return true
}

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
	// uncertain is set when an earlier send of the request may have run.
	uncertain bool
}

// Refusal returns the verdict and reason when an entry VM refused the request.
// The verdict covers all sends: a VM that refuses a resend as not run does not
// know what became of the send before.
func (a *Answer) Refusal() (verdict.Verdict, verdict.Reason, bool) {
	text := a.Header.Get(verdict.HeaderVerdict)
	v := verdict.Parse(text)
	if a.uncertain && v == verdict.NotRun {
		v = verdict.MayHaveRun
	}
	return v, verdict.Reason(a.Header.Get(verdict.HeaderReason)), text != ""
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
		if ctx.Err() == nil {
			c.lost(vm.Address, 0)
		}
		return nil, err
	}
	defer res.Body.Close()
	c.heard(vm.Address)
	body, err := io.ReadAll(io.LimitReader(res.Body, c.maxAnswer+1))
	if err != nil {
		return nil, err
	}
	if int64(len(body)) > c.maxAnswer {
		return nil, errors.Errorf("answer is longer than %d bytes", c.maxAnswer)
	}
	return &Answer{Status: res.StatusCode, Header: res.Header, Body: body, VM: vm.ID}, nil
}

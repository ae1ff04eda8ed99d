// Package caller is the client library of callers. It looks up entry VMs, caches the
// answer for its TTL, and sends a request to one VM after another until one answers or
// the request must not be sent again.
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

	"github.com/currantferry/currantferry/internal/httpanswer"
	"github.com/currantferry/currantferry/lookup"
	"github.com/currantferry/currantferry/proxy"
	"github.com/currantferry/currantferry/verdict"
)

// Options configures a Client.
type Options struct {
	// Bootstrap holds the addresses of the entry VMs that answer the first lookup. At
	// least one is required.
	Bootstrap []string
	// Timeout bounds a request over all sends. Zero means 10 s.
	Timeout time.Duration
	// MaxSends bounds the entry VMs to which a request is sent. Zero means 4.
	MaxSends int
	// Seed seeds the weighted random choice of VMs.
	Seed uint64
	// Dialer opens the connections. Nil means a dialer with a timeout of 1 s.
	Dialer *net.Dialer
}

const (
	defaultTimeout  = 10 * time.Second
	defaultMaxSends = 4
	dialTimeout     = time.Second
	maxAnswerBytes  = 64 << 20
	// maxHeadBytes bounds the head of an answer. It equals the bound of entry VMs for heads of
	// instances. The default of net/http is 10 MB, and small fields cost ten times as much.
	maxHeadBytes = 64 << 10
)

// Client sends requests through entry VMs. It is safe for concurrent use.
type Client struct {
	options Options
	http    *http.Client
	ctx     context.Context
	cancel  context.CancelFunc
	group   conc.WaitGroup
	// maxAnswerBytes bounds the body of an answer. Tests lower it.
	maxAnswerBytes int64

	mu      sync.Mutex
	closed  bool
	rng     *rand.Rand
	answers map[string]*cachedAnswer
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
		MaxIdleConnsPerHost: 256, IdleConnTimeout: time.Minute, DisableCompression: true, MaxResponseHeaderBytes: maxHeadBytes,
	}
	c := &Client{
		options: o, maxAnswerBytes: maxAnswerBytes, http: &http.Client{Transport: httpanswer.NewTransport(transport)},
		rng: rand.New(rand.NewPCG(o.Seed, 1)), answers: make(map[string]*cachedAnswer), vms: make(map[string]*vmHealth),
	}
	c.ctx, c.cancel = context.WithCancel(context.Background())
	return c
}

// Close stops lookups and probes in the background and closes idle connections.
func (c *Client) Close() {
	c.mu.Lock()
	c.closed = true
	c.mu.Unlock()
	c.cancel()
	c.group.Wait()
	c.http.CloseIdleConnections()
}

// background runs f in a goroutine, or returns false if the client is closed. The
// caller holds the lock.
func (c *Client) background(f func()) bool {
	if c.closed {
		return false
	}
	c.group.Go(f)
	return true
}

// Request is a request to a service.
type Request struct {
	Service string
	Method  string
	Path    string
	Header  http.Header
	Body    []byte
	// Key makes it safe to send a non-idempotent request again. Without a key, such a
	// request is sent again only if it is proven not to have run.
	Key string
	// Idempotent requests may be sent again whatever the outcome of earlier sends.
	Idempotent bool
}

// Answer is a complete answer, or the last refusal.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
	// VM is the ID of the entry VM that answered.
	VM string
	// Sends is the number of entry VMs to which the request was sent.
	Sends int
	// uncertain is set if an earlier send of the request may have run.
	uncertain bool
}

// Refusal returns the verdict and the reason if an entry VM refused the request. The
// verdict covers all sends: a VM that refuses a resend as not run doesn't know the
// outcome of earlier sends.
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
	// Without GetBody the transport doesn't retry a request by itself.
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
			c.recordFailure(vm.Address, 0)
		}
		return nil, err
	}
	defer res.Body.Close()
	c.recordAnswer(vm.Address)
	body, err := io.ReadAll(io.LimitReader(res.Body, c.maxAnswerBytes+1))
	if err != nil {
		return nil, err
	}
	if int64(len(body)) > c.maxAnswerBytes {
		return nil, errors.Errorf("answer is longer than %d bytes", c.maxAnswerBytes)
	}
	return &Answer{Status: res.StatusCode, Header: res.Header, Body: body, VM: vm.ID}, nil
}

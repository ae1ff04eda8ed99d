// Package kvhttp implements store.Store over the HTTP protocol that key-value services
// of this kind publish: compare-and-swap by index, sessions with a time to live,
// blocking queries and transactions.
package kvhttp

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/currantferry/currantferry/internal/httpanswer"
	"github.com/currantferry/currantferry/internal/itemreader"
	"github.com/currantferry/currantferry/store"
)

var (
	_ store.Store    = (*Client)(nil)
	_ store.VMLister = (*Client)(nil)
)

// Options configures a Client.
type Options struct {
	// Addresses are the IP addresses and ports of the service. At least one is
	// required.
	Addresses []string
	// Timeout bounds each call, in addition to the deadline of its context. For a
	// watch its waiting time is added. Zero means 2 s.
	Timeout time.Duration
	// ServiceName is the name under which the platform lists this system's VMs. Empty
	// means "currantferry".
	ServiceName string
	// Transport replaces the transport in tests. Nil means a new one that rejects broken
	// replies.
	Transport http.RoundTripper
}

const (
	defaultTimeout = 2 * time.Second
	// maxReplyBytes bounds a reply that is no list of entries: a value of up to MaxValueBytes,
	// encoded in base64, with its other fields, or some KB for each VM.
	maxReplyBytes = 4 << 20
	// maxIgnoredBytes bounds the body of a failure, of which the start is reported.
	maxIgnoredBytes = 64 << 10
	// maxHeadBytes bounds the head of a reply. The default of net/http is 10 MB, and small fields
	// cost ten times as much.
	maxHeadBytes = 16 << 10
	// watchJitterDivisor allows for the jitter that services add to a blocking query,
	// up to a sixteenth of the waiting time.
	watchJitterDivisor = 16
)

// listLimits bounds a list of entries: those that a VM reads at once are chunks of the
// configuration, and records of requests.
var listLimits = itemreader.Limits{Bytes: 64 << 20, ItemBytes: 4 << 20, Items: 100_000}

// Client is a client of the service. It is safe for concurrent use.
type Client struct {
	options      Options
	http         *http.Client
	addressIndex atomic.Uint32
	numCalls     atomic.Uint64
}

// New returns a client without connecting to the service.
func New(o Options) (*Client, error) {
	if len(o.Addresses) == 0 {
		return nil, errors.New("kvhttp: no address")
	}
	if o.Timeout <= 0 {
		o.Timeout = defaultTimeout
	}
	if o.ServiceName == "" {
		o.ServiceName = "currantferry"
	}
	if o.Transport == nil {
		o.Transport = httpanswer.NewTransport(&http.Transport{
			DialContext:            (&net.Dialer{Timeout: o.Timeout}).DialContext,
			MaxIdleConnsPerHost:    8,
			IdleConnTimeout:        time.Minute,
			MaxResponseHeaderBytes: maxHeadBytes,
		})
	}
	return &Client{options: o, http: &http.Client{Transport: o.Transport}}, nil
}

// Calls returns the number of calls made.
func (c *Client) Calls() uint64 { return c.numCalls.Load() }

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// kvPair is the JSON encoding of an entry.
type kvPair struct {
	Key         string
	Value       []byte
	ModifyIndex uint64
	Session     string `json:",omitempty"`
}

func (p kvPair) entry() store.Entry {
	return store.Entry{Key: p.Key, Value: p.Value, Index: p.ModifyIndex, Holder: store.LeaseID(p.Session)}
}

// request holds the parameters of a call.
type request struct {
	method string
	path   string
	query  url.Values
	body   []byte
	wait   time.Duration
	// isList says that the reply is a list of entries, which is decoded as it arrives.
	isList bool
}

// reply is a response whose body was read completely.
type reply struct {
	status int
	body   []byte
	// pairList holds the entries of a list.
	pairList []kvPair
}

// statusError is a reply that the protocol doesn't define.
type statusError struct {
	status int
	body   string
}

func (e *statusError) Error() string {
	return fmt.Sprintf("store: status %d: %s", e.status, e.body)
}

// unexpectedReply returns the error for a reply that the protocol doesn't define.
func (r reply) unexpectedReply() error {
	return &statusError{status: r.status, body: strings.TrimSpace(string(r.body[:min(len(r.body), 200)]))}
}

func (c *Client) do(ctx context.Context, q request) (reply, error) {
	ctx, cancel := context.WithTimeout(ctx, c.options.Timeout+q.wait+q.wait/watchJitterDivisor)
	defer cancel()
	c.numCalls.Add(1)
	addressIndex := c.addressIndex.Load()
	r, err := c.send(ctx, q, addressIndex)
	if err == nil {
		return r, nil
	}
	// The next call goes to the next address. A call is not repeated here,
	// because a write whose reply was lost may have taken effect.
	c.addressIndex.CompareAndSwap(addressIndex, addressIndex+1)
	return reply{}, errors.Wrap(err, "store")
}

func (c *Client) send(ctx context.Context, q request, addressIndex uint32) (reply, error) {
	address := c.options.Addresses[int(addressIndex)%len(c.options.Addresses)]
	u := url.URL{Scheme: "http", Host: address, Path: q.path, RawQuery: q.query.Encode()}
	req, err := http.NewRequestWithContext(ctx, q.method, u.String(), bytes.NewReader(q.body))
	if err != nil {
		return reply{}, err
	}
	// Without GetBody the transport never retries a request by itself.
	req.GetBody = nil
	res, err := c.http.Do(req)
	if err != nil {
		return reply{}, err
	}
	defer res.Body.Close()
	if q.isList && res.StatusCode == http.StatusOK {
		r := reply{status: res.StatusCode, pairList: []kvPair{}}
		bounded := itemreader.New(res.Body, listLimits)
		err := itemreader.Decode(json.NewDecoder(bounded), bounded, func(p *kvPair) { r.pairList = append(r.pairList, *p) })
		return r, errors.Wrap(err, "reply")
	}
	limit := int64(maxReplyBytes)
	if res.StatusCode != http.StatusOK {
		limit = maxIgnoredBytes
	}
	body, err := io.ReadAll(io.LimitReader(res.Body, limit))
	if err != nil {
		return reply{}, err
	}
	if res.StatusCode >= http.StatusInternalServerError {
		return reply{}, reply{status: res.StatusCode, body: body}.unexpectedReply()
	}
	return reply{status: res.StatusCode, body: body}, nil
}

// Get implements store.Store.
func (c *Client) Get(ctx context.Context, key string) (store.Entry, error) {
	return c.get(ctx, key, url.Values{}, 0)
}

// Watch implements store.Store.
func (c *Client) Watch(ctx context.Context, key string, after uint64, wait time.Duration) (store.Entry, error) {
	query := url.Values{"index": {strconv.FormatUint(after, 10)}, "wait": {fmt.Sprintf("%dms", wait.Milliseconds())}}
	return c.get(ctx, key, query, wait)
}

func (c *Client) get(ctx context.Context, key string, query url.Values, wait time.Duration) (store.Entry, error) {
	r, err := c.do(ctx, request{method: http.MethodGet, path: "/v1/kv/" + key, query: query, wait: wait})
	if err != nil {
		return store.Entry{}, err
	}
	pairs, err := r.pairs()
	if err != nil {
		return store.Entry{}, err
	}
	if len(pairs) == 0 {
		return store.Entry{}, store.ErrNotFound
	}
	return pairs[0].entry(), nil
}

func (r reply) pairs() ([]kvPair, error) {
	switch r.status {
	case http.StatusNotFound:
		return nil, nil
	case http.StatusOK:
	default:
		return nil, r.unexpectedReply()
	}
	if r.pairList != nil {
		return r.pairList, nil
	}
	var pairs []kvPair
	if err := json.Unmarshal(r.body, &pairs); err != nil {
		return nil, errors.Wrap(err, "store: reply")
	}
	return pairs, nil
}

// List implements store.Store.
func (c *Client) List(ctx context.Context, prefix string) ([]store.Entry, error) {
	r, err := c.do(ctx, request{method: http.MethodGet, path: "/v1/kv/" + prefix, query: url.Values{"recurse": {"true"}}, isList: true})
	if err != nil {
		return nil, err
	}
	pairs, err := r.pairs()
	if err != nil {
		return nil, err
	}
	entries := make([]store.Entry, len(pairs))
	for i, p := range pairs {
		entries[i] = p.entry()
	}
	return entries, nil
}

// CompareAndSwap implements store.Store.
func (c *Client) CompareAndSwap(ctx context.Context, w store.Write) error {
	if len(w.Value) > store.MaxValueBytes {
		return errors.Errorf("store: value of %s has %d bytes, at most %d are held", w.Key, len(w.Value), store.MaxValueBytes)
	}
	if w.LockKey != "" {
		return c.transaction(ctx, w)
	}
	query := url.Values{"cas": {strconv.FormatUint(w.Index, 10)}}
	r, err := c.do(ctx, request{method: http.MethodPut, path: "/v1/kv/" + w.Key, query: query, body: w.Value})
	if err != nil {
		return err
	}
	return r.boolResult()
}

// txnOp is an operation of a transaction.
type txnOp struct {
	KV txnKV
}

type txnKV struct {
	Verb    string
	Key     string
	Value   []byte `json:",omitempty"`
	Index   uint64 `json:",omitempty"`
	Session string `json:",omitempty"`
}

// transaction writes only if the lease holds the lock at the time of the write.
func (c *Client) transaction(ctx context.Context, w store.Write) error {
	ops := []txnOp{
		{txnKV{Verb: "check-session", Key: w.LockKey, Session: string(w.Lease)}},
		{txnKV{Verb: "cas", Key: w.Key, Value: w.Value, Index: w.Index}},
	}
	body, err := json.Marshal(ops)
	if err != nil {
		return err
	}
	r, err := c.do(ctx, request{method: http.MethodPut, path: "/v1/txn", body: body})
	if err != nil {
		return err
	}
	switch r.status {
	case http.StatusOK:
		return nil
	case http.StatusConflict:
		return store.ErrConflict
	default:
		return r.unexpectedReply()
	}
}

// boolResult decodes the plain true or false that conditional writes reply. For false
// it returns store.ErrConflict.
func (r reply) boolResult() error {
	if r.status != http.StatusOK {
		return r.unexpectedReply()
	}
	switch strings.TrimSpace(string(r.body)) {
	case "true":
		return nil
	case "false":
		return store.ErrConflict
	default:
		return r.unexpectedReply()
	}
}

// Delete implements store.Store.
func (c *Client) Delete(ctx context.Context, key string, index uint64) error {
	query := url.Values{"cas": {strconv.FormatUint(index, 10)}}
	r, err := c.do(ctx, request{method: http.MethodDelete, path: "/v1/kv/" + key, query: query})
	if err != nil {
		return err
	}
	return r.boolResult()
}

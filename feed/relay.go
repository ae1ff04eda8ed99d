package feed

import (
	"bytes"
	"compress/gzip"
	"context"
	"encoding/json"
	"io"
	"math"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"time"

	"github.com/julienschmidt/httprouter"
	"github.com/pkg/errors"

	"github.com/currantferry/currantferry/event"
	"github.com/currantferry/currantferry/history"
	"github.com/currantferry/currantferry/internal/itemreader"
	"github.com/currantferry/currantferry/internal/progress"
)

// Paths of the requests between VMs.
const (
	statePath   = "/feed/state"
	changesPath = "/feed/changes"
	earlierPath = "/feed/earlier"
)

// maxRelayWait bounds how long a relay holds a request that waits for a change.
const maxRelayWait = 10 * time.Second

// relayLimits bounds the decompressed answer of a relay. It holds tens of thousands of records
// of a few hundred bytes, and the configuration of up to 1 MB in base64.
var relayLimits = itemreader.Limits{Bytes: 32 << 20, ItemBytes: 2 << 20, Items: 100_000}

// maxHeadBytes bounds the head of a relay's answer. The default of net/http is 10 MB, and small
// fields cost ten times as much.
const maxHeadBytes = 16 << 10

// Headers of an answer between VMs. Its compressed body holds nothing but the records,
// so that one body serves all followers at the same revision.
const (
	headerRevision = "Feed-Revision"
	// headerEpoch is left out if the store does not tell its epoch.
	headerEpoch = "Feed-Epoch"
	// headerEarlier says that earlierPath has an answer.
	headerEarlier = "Feed-Earlier"
	// headerAge holds the age of the store's confirmation in microseconds.
	headerAge = "Feed-Age-Us"
	// headerSteady holds the steady contact with the store in microseconds. Older releases
	// leave it out.
	headerSteady = "Feed-Steady-Us"
	// headerLag holds Answer.Lag in microseconds. Older releases leave it out.
	headerLag = "Feed-Lag-Us"
)

// maxCachedBodies bounds the bodies that are cached for one revision. Followers lag by
// a few revisions at most; others request the whole state.
const maxCachedBodies = 16

// bodyCache caches the bodies of answers that lead to one position. It is safe for
// concurrent use.
type bodyCache struct {
	mu     sync.Mutex
	at     history.Position
	bodies map[uint64][]byte
}

// wholeState is the cache key of the whole state, earlierState that of what was known before
// the last restore; other keys are the revisions after
// which the changes begin.
const (
	wholeState   = ^uint64(0)
	earlierState = wholeState - 1
)

// encode returns the compressed body of an answer with the changes after a revision,
// or with the whole state if after is wholeState.
func (p *bodyCache) encode(a *Answer, after uint64) ([]byte, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.at != a.Position || len(p.bodies) >= maxCachedBodies {
		p.at, p.bodies = a.Position, make(map[uint64][]byte)
	}
	if body, ok := p.bodies[after]; ok {
		return body, nil
	}
	var out bytes.Buffer
	w, err := gzip.NewWriterLevel(&out, gzip.BestSpeed)
	if err != nil {
		return nil, err
	}
	if err := json.NewEncoder(w).Encode(a.Records); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	p.bodies[after] = out.Bytes()
	return out.Bytes(), nil
}

// Serve registers the handlers with which this VM relays its records.
func (f *Follower) Serve(router *httprouter.Router) {
	router.GET(statePath, f.serveState)
	router.GET(changesPath, f.serveChanges)
	router.GET(earlierPath, f.serveEarlier)
}

// serveEarlier answers with what was known before the last restore.
func (f *Follower) serveEarlier(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	a, ok := f.replica.earlierState(f.options.Uptime())
	if !ok {
		http.Error(w, "no restore lately", http.StatusNotFound)
		return
	}
	f.writeAnswer(w, &a, earlierState)
}

// serveState waits until the state has at least the requested position, so that VMs
// that start together don't all read the store.
func (f *Follower) serveState(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	minPosition, ok := f.parsePosition(w, r, "least")
	if !ok {
		return
	}
	wait, ok := parseWait(w, r)
	if !ok {
		return
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		a, changed, ok := f.replica.state(f.options.Uptime())
		if ok && !a.Before(minPosition) {
			if _, hasEarlier := f.replica.earlierState(f.options.Uptime()); hasEarlier {
				w.Header().Set(headerEarlier, "1")
			}
			f.writeAnswer(w, &a, wholeState)
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			http.Error(w, "no state yet", http.StatusServiceUnavailable)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (f *Follower) serveChanges(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	after, ok := f.parsePosition(w, r, "after")
	if !ok {
		return
	}
	wait, ok := parseWait(w, r)
	if !ok {
		return
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	staleTimer := time.NewTimer(wait)
	defer staleTimer.Stop()
	for waiting := true; ; {
		a, changed, err := f.replica.changesAfter(f.options.Uptime(), after)
		switch {
		case errors.Is(err, ErrOutdated):
			// The follower knows that the store was restored. This VM asks for it now.
			f.Refresh()
			http.Error(w, err.Error(), http.StatusConflict)
			return
		case err != nil:
			http.Error(w, err.Error(), http.StatusGone)
			return
		}
		// A relay that has lost the store answers at once. Its followers then leave it
		// as soon as they would have noticed the loss themselves.
		untilStale := f.options.MaxAge - a.Age
		if len(a.Records) > 0 || !waiting || untilStale < 0 {
			f.writeAnswer(w, &a, after.Revision)
			return
		}
		staleTimer.Reset(untilStale + time.Millisecond)
		select {
		case <-changed:
		case <-staleTimer.C:
		case <-timer.C:
			waiting = false
		case <-r.Context().Done():
			return
		}
	}
}

// parsePosition returns the position of a request, whose revision is in the named
// parameter, or responds with an error and returns false. A follower of a release without
// epochs names none, and is taken to be in that of this VM.
func (f *Follower) parsePosition(w http.ResponseWriter, r *http.Request, parameter string) (p history.Position, ok bool) {
	query := r.URL.Query()
	var err error
	if p.Revision, err = strconv.ParseUint(query.Get(parameter), 10, 64); err != nil {
		http.Error(w, parameter+": "+err.Error(), http.StatusBadRequest)
		return p, false
	}
	if !query.Has("epoch") {
		at, _ := f.replica.position(f.options.Uptime())
		p.Epoch = at.Epoch
		return p, true
	}
	if p.Epoch, err = strconv.ParseUint(query.Get("epoch"), 10, 64); err != nil {
		http.Error(w, "epoch: "+err.Error(), http.StatusBadRequest)
		return p, false
	}
	return p, true
}

// parseWait returns how long a request may wait, or responds with an error and returns
// false.
func parseWait(w http.ResponseWriter, r *http.Request) (time.Duration, bool) {
	ms, err := strconv.ParseUint(r.URL.Query().Get("wait_ms"), 10, 31)
	if err != nil {
		http.Error(w, "wait_ms: "+err.Error(), http.StatusBadRequest)
		return 0, false
	}
	return min(time.Duration(ms)*time.Millisecond, maxRelayWait), true
}

// writeAnswer writes an answer with the changes after a revision, or with the whole
// state if after is wholeState.
func (f *Follower) writeAnswer(w http.ResponseWriter, a *Answer, after uint64) {
	h := w.Header()
	h.Set(headerRevision, strconv.FormatUint(a.Revision, 10))
	if a.Epoch > 0 {
		h.Set(headerEpoch, strconv.FormatUint(a.Epoch, 10))
	}
	h.Set(headerAge, strconv.FormatInt(a.Age.Microseconds(), 10))
	if a.Steady > 0 {
		h.Set(headerSteady, strconv.FormatInt(a.Steady.Microseconds(), 10))
	}
	if a.Lag > 0 {
		h.Set(headerLag, strconv.FormatInt(a.Lag.Microseconds(), 10))
	}
	// Most answers have no records, and this header would be most of their size.
	h["Date"] = nil
	if len(a.Records) == 0 && after != wholeState {
		w.WriteHeader(http.StatusNoContent)
		return
	}
	body, err := f.bodyCache.encode(a, after)
	if err != nil {
		event.FeedPackFailed.Log(f.options.Log, "epoch", a.Epoch, "revision", a.Revision, "error", err)
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	h.Set("Content-Type", "application/gzip")
	h.Set("Content-Length", strconv.Itoa(len(body)))
	// A failed write means that the follower has disconnected; it tries another
	// source.
	_, _ = w.Write(body)
}

// relaySource reads the records from another VM.
type relaySource struct {
	client  *http.Client
	address string
	// stateWait is how long the relay may wait until it has a state itself.
	stateWait time.Duration
	// minPosition is the lowest position of the relay's state that is accepted.
	minPosition history.Position
}

func (s *relaySource) Read(ctx context.Context) (Answer, error) {
	return s.get(ctx, statePath, "least", s.minPosition, s.stateWait)
}

func (s *relaySource) Watch(ctx context.Context, after history.Position, wait time.Duration) (Answer, error) {
	return s.get(ctx, changesPath, "after", after, wait)
}

// Earlier returns what the relay knew before the last restore, as far as it differs from
// its state.
func (s *relaySource) Earlier(ctx context.Context) (Answer, error) {
	return s.get(ctx, earlierPath, "least", history.Position{}, 0)
}

// get sends a request for a position, whose revision is in the named parameter.
func (s *relaySource) get(ctx context.Context, path, parameter string, p history.Position, wait time.Duration) (Answer, error) {
	q := url.Values{
		parameter: {strconv.FormatUint(p.Revision, 10)}, "epoch": {strconv.FormatUint(p.Epoch, 10)},
		"wait_ms": {strconv.FormatInt(wait.Milliseconds(), 10)},
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+s.address+path+"?"+q.Encode(), nil)
	if err != nil {
		return Answer{}, err
	}
	req.Header.Set("User-Agent", "")
	res, err := s.client.Do(req)
	if err != nil {
		return Answer{}, err
	}
	defer res.Body.Close()
	res.Body = struct {
		io.Reader
		io.Closer
	}{progress.Reader(ctx, res.Body), res.Body}
	a, err := readAnswer(res)
	return a, errors.Wrapf(err, "relay %s", s.address)
}

// readAnswer validates and decodes the answer of a relay.
func readAnswer(res *http.Response) (a Answer, err error) {
	switch res.StatusCode {
	case http.StatusOK, http.StatusNoContent:
	case http.StatusGone:
		return a, ErrCompacted
	case http.StatusConflict:
		return a, ErrOutdated
	default:
		return a, errors.Errorf("status %d", res.StatusCode)
	}
	if a.Revision, err = strconv.ParseUint(res.Header.Get(headerRevision), 10, 64); err != nil {
		return a, errors.Wrap(err, headerRevision)
	}
	if text := res.Header.Get(headerEpoch); text != "" {
		if a.Epoch, err = strconv.ParseUint(text, 10, 64); err != nil {
			return a, errors.Wrap(err, headerEpoch)
		}
	}
	a.HasEarlier = res.Header.Get(headerEarlier) != ""
	if a.Age, err = parseMicroseconds(res.Header, headerAge, true); err != nil {
		return a, err
	}
	if a.Steady, err = parseMicroseconds(res.Header, headerSteady, false); err != nil {
		return a, err
	}
	if a.Lag, err = parseMicroseconds(res.Header, headerLag, false); err != nil {
		return a, err
	}
	if res.StatusCode == http.StatusNoContent {
		return a, nil
	}
	body, err := gzip.NewReader(res.Body)
	if err != nil {
		return a, err
	}
	defer body.Close()
	bounded := itemreader.New(body, relayLimits)
	if err = itemreader.Decode(json.NewDecoder(bounded), bounded, func(r *Record) { a.Records = append(a.Records, *r) }); err != nil {
		return a, err
	}
	// The connection can be reused only after the end of the body.
	_, err = io.CopyN(io.Discard, body, maxTrailingBytes)
	if errors.Is(err, io.EOF) {
		err = nil
	}
	return a, err
}

// maxTrailingBytes bounds what is read after the records.
const maxTrailingBytes = 1 << 10

// parseMicroseconds returns the duration in a header, or zero if the header is missing and not
// required.
func parseMicroseconds(h http.Header, name string, required bool) (time.Duration, error) {
	text := h.Get(name)
	if text == "" && !required {
		return 0, nil
	}
	us, err := strconv.ParseInt(text, 10, 64)
	if err != nil || us < 0 || us > math.MaxInt64/int64(time.Microsecond) {
		return 0, errors.Errorf("%s: %q", name, text)
	}
	return time.Duration(us) * time.Microsecond, nil
}

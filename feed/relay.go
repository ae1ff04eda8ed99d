package feed

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/julienschmidt/httprouter"
	"github.com/pkg/errors"
)

// Paths between VMs.
const (
	statePath   = "/feed/state"
	changesPath = "/feed/changes"
)

// maxRelayWait bounds how long a relay holds a question.
const maxRelayWait = 10 * time.Second

// maxRelayBytes bounds an answer of a relay: a store of tens of thousands of
// records of a few hundred bytes.
const maxRelayBytes = 64 << 20

// Serve registers the relay on a router.
func (f *Follower) Serve(router *httprouter.Router) {
	router.GET(statePath, f.serveState)
	router.GET(changesPath, f.serveChanges)
}

func (f *Follower) serveState(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	a, ok := f.copy.state(f.options.Now())
	if !ok {
		http.Error(w, "no state yet", http.StatusServiceUnavailable)
		return
	}
	writeAnswer(w, &a)
}

func (f *Follower) serveChanges(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		http.Error(w, "after: "+err.Error(), http.StatusBadRequest)
		return
	}
	ms, err := strconv.ParseUint(r.URL.Query().Get("wait_ms"), 10, 31)
	if err != nil {
		http.Error(w, "wait_ms: "+err.Error(), http.StatusBadRequest)
		return
	}
	timer := time.NewTimer(min(time.Duration(ms)*time.Millisecond, maxRelayWait))
	defer timer.Stop()
	for waiting := true; ; {
		a, changed, err := f.copy.after(f.options.Now(), after)
		if err != nil {
			http.Error(w, err.Error(), http.StatusGone)
			return
		}
		if len(a.Records) > 0 || !waiting {
			writeAnswer(w, &a)
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			waiting = false
		case <-r.Context().Done():
			return
		}
	}
}

func writeAnswer(w http.ResponseWriter, a *Answer) {
	w.Header().Set("Content-Type", "application/json")
	// Failure to write means that the follower went; it asks elsewhere.
	_ = json.NewEncoder(w).Encode(a)
}

// relaySource asks another VM.
type relaySource struct {
	client  *http.Client
	address string
}

func (s *relaySource) Read(ctx context.Context) (Answer, error) {
	return s.get(ctx, statePath)
}

func (s *relaySource) Watch(ctx context.Context, after uint64, wait time.Duration) (Answer, error) {
	q := url.Values{"after": {strconv.FormatUint(after, 10)}, "wait_ms": {strconv.FormatInt(wait.Milliseconds(), 10)}}
	return s.get(ctx, changesPath+"?"+q.Encode())
}

func (s *relaySource) get(ctx context.Context, path string) (Answer, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+s.address+path, nil)
	if err != nil {
		return Answer{}, err
	}
	res, err := s.client.Do(req)
	if err != nil {
		return Answer{}, err
	}
	defer res.Body.Close()
	switch res.StatusCode {
	case http.StatusOK:
	case http.StatusGone:
		return Answer{}, ErrCompacted
	default:
		return Answer{}, errors.Errorf("relay %s: status %d", s.address, res.StatusCode)
	}
	var a Answer
	if err := json.NewDecoder(io.LimitReader(res.Body, maxRelayBytes)).Decode(&a); err != nil {
		return Answer{}, errors.Wrapf(err, "relay %s", s.address)
	}
	if a.Age < 0 {
		return Answer{}, errors.Errorf("relay %s: negative age", s.address)
	}
	return a, nil
}

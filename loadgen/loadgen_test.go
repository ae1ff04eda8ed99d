package loadgen

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/currantferry/currantferry/lookup"
	"github.com/currantferry/currantferry/standin"
	"github.com/currantferry/currantferry/verdict"
)

// fakeEntry is a fake entry VM. It answers lookups with its own address, and forwards
// requests to a stand-in upstream unless fault handles them.
type fakeEntry struct {
	server   *httptest.Server
	upstream *standin.Upstream
	control  *httptest.Server
	// fault may answer the n-th request instead of the upstream. It reports whether it did.
	fault func(n int64, w http.ResponseWriter, r *http.Request) bool
	n     atomic.Int64
}

func newFakeEntry(t *testing.T) *fakeEntry {
	t.Helper()
	u, err := standin.StartUpstream(standin.UpstreamOptions{ID: "u-1", Slots: 100})
	if err != nil {
		t.Fatal(err)
	}
	f := &fakeEntry{upstream: u, control: httptest.NewServer(standin.ControlHandler(u))}
	f.server = httptest.NewServer(http.HandlerFunc(f.serve))
	t.Cleanup(func() { f.server.Close(); f.control.Close(); u.Close() })
	return f
}

func host(s *httptest.Server) string { return strings.TrimPrefix(s.URL, "http://") }

func (f *fakeEntry) serve(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == lookup.Path {
		_ = json.NewEncoder(w).Encode(lookup.Response{TTLMillis: 60_000, VMs: []lookup.ResponseVM{{ID: "vm-1", Address: host(f.server), Weight: 1}}})
		return
	}
	if f.fault != nil && f.fault(f.n.Add(1), w, r) {
		return
	}
	f.forward(w, r)
}

// forward forwards the request to the upstream and the answer to the caller.
func (f *fakeEntry) forward(w http.ResponseWriter, r *http.Request) {
	req, _ := http.NewRequestWithContext(r.Context(), r.Method, "http://"+f.upstream.Address()+r.URL.Path, r.Body)
	req.Header = r.Header.Clone()
	res, err := http.DefaultTransport.RoundTrip(req)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer res.Body.Close()
	for name, values := range res.Header {
		w.Header()[name] = values
	}
	w.WriteHeader(res.StatusCode)
	_, _ = io.Copy(w, res.Body)
}

func (f *fakeEntry) run(t *testing.T) *Result {
	t.Helper()
	result, err := Run(context.Background(), Options{
		Workload: "rolregister", Entry: []string{host(f.server)}, Control: []string{host(f.control)},
		Rate: 400, Duration: 400 * time.Millisecond, WorkScale: 0.01, Seed: 1,
	})
	if err != nil {
		t.Fatal(err)
	}
	return result
}

// The generator must not report violations for a healthy fleet.
func TestHealthyFleetHasNoViolations(t *testing.T) {
	result := newFakeEntry(t).run(t)
	if violations := result.Violations(); len(violations) > 0 || result.Compared != 1 {
		t.Fatalf("violations: %v\n%s", violations, result.Text())
	}
	for _, c := range result.Classes {
		if c.Sent == 0 || c.Answered != c.Sent {
			t.Errorf("%+v", c)
		}
	}
}

// The generator must report each kind of wrong answer, repeated run and wrong verdict.
func TestFaultsAreFound(t *testing.T) {
	const every = 10
	swap := func(name, value string) func(*fakeEntry, http.ResponseWriter, *http.Request) {
		return func(f *fakeEntry, w http.ResponseWriter, r *http.Request) {
			recorder := httptest.NewRecorder()
			f.forward(recorder, r)
			for n, values := range recorder.Header() {
				w.Header()[n] = values
			}
			w.Header().Set(name, value)
			_, _ = w.Write(recorder.Body.Bytes())
		}
	}
	cases := map[string]struct {
		fault func(*fakeEntry, http.ResponseWriter, *http.Request)
		want  string
	}{
		"another request's answer": {swap(standin.HeaderRequestID, "other"), "wrong"},
		"another body":             {swap(standin.HeaderBodySum, "other"), "wrong"},
		"truncated answer that looks complete": {func(f *fakeEntry, w http.ResponseWriter, r *http.Request) {
			recorder := httptest.NewRecorder()
			f.forward(recorder, r)
			w.Header().Set(standin.HeaderRequestID, r.Header.Get(standin.HeaderRequestID))
			_, _ = w.Write(recorder.Body.Bytes()[:recorder.Body.Len()/2])
		}, "truncated"},
		"run twice": {func(f *fakeEntry, w http.ResponseWriter, r *http.Request) {
			again := r.Clone(r.Context())
			body, _ := io.ReadAll(r.Body)
			r.Body, again.Body = io.NopCloser(strings.NewReader(string(body))), io.NopCloser(strings.NewReader(string(body)))
			f.forward(httptest.NewRecorder(), again)
			f.forward(w, r)
		}, "ran twice"},
		"refused as not run after a run": {func(f *fakeEntry, w http.ResponseWriter, r *http.Request) {
			f.forward(httptest.NewRecorder(), r)
			verdict.New(verdict.NotRun, verdict.ReasonKeyReused, 0).WriteHeaders(w.Header(), "fake")
			w.WriteHeader(http.StatusUnprocessableEntity)
		}, "not run"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			f := newFakeEntry(t)
			var counted atomic.Int64
			f.fault = func(_ int64, w http.ResponseWriter, r *http.Request) bool {
				// Reads may run twice, so the fault must affect other requests.
				if (c.want == "ran twice" && r.Method == http.MethodGet) || counted.Add(1)%every != 0 {
					return false
				}
				c.fault(f, w, r)
				return true
			}
			result := f.run(t)
			if violations := fmt.Sprint(result.Violations()); !strings.Contains(violations, c.want) {
				t.Fatalf("violations: %s\n%s", violations, result.Text())
			}
		})
	}
}

// Latency must be measured from the intended send time. Measured from the actual send, it
// would not include the time for which a slow fleet delays later requests.
func TestLatencyCountsFromIntendedSend(t *testing.T) {
	f := newFakeEntry(t)
	const stall = 300 * time.Millisecond
	// The stall begins with the first request, so that it does not depend on how long the
	// run takes to start.
	var first sync.Once
	var start time.Time
	f.fault = func(int64, http.ResponseWriter, *http.Request) bool {
		first.Do(func() { start = time.Now() })
		time.Sleep(time.Until(start.Add(stall)))
		return false
	}
	result := f.run(t)
	if read := result.Classes[0]; read.P99 < float64(stall/2/time.Millisecond) {
		t.Fatalf("p99 %g ms after a stall of %s", read.P99, stall)
	}
}

// A run must not send to other machines without Remote, or exceed its bounds.
func TestBounds(t *testing.T) {
	for name, o := range map[string]Options{
		"remote entry":   {Entry: []string{"192.0.2.1:80"}},
		"remote control": {Entry: []string{"127.0.0.1:80"}, Control: []string{"192.0.2.1:80"}},
		"rate":           {Entry: []string{"127.0.0.1:80"}, Rate: MaxRate + 1},
		"duration":       {Entry: []string{"127.0.0.1:80"}, Duration: MaxDuration + 1},
		"no entry":       {},
		"workload":       {Workload: "other", Entry: []string{"127.0.0.1:80"}},
	} {
		if o.Workload == "" {
			o.Workload = "abtropf"
		}
		if _, err := Run(context.Background(), o); err == nil {
			t.Errorf("%s: accepted", name)
		}
	}
}

package lookup

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"

	"github.com/currantferry/currantferry/verdict"
)

func get(c *Core, target string) *httptest.ResponseRecorder {
	w := httptest.NewRecorder()
	r := httptest.NewRequest(http.MethodGet, target, nil)
	r.RemoteAddr = "10.1.2.3:4444"
	c.Handler().ServeHTTP(w, r)
	return w
}

// An answer must be for the right caller, and a shared cache must not serve the answer
// of one caller to others.
func TestHTTPAnswers(t *testing.T) {
	c := testCore(t, Config{}, testInput(3))
	for target, want := range map[string][3]string{
		"/v1/lookup?service=proefbank&caller=10.1.9.9":           {"10.1.0.0/16", "10.1.0.0/16", "public, max-age=5"},
		"/v1/lookup?service=proefbank&caller=10.2.0.0/16":        {"10.0.0.0/8", "10.2.0.0/15", "public, max-age=5"},
		"/v1/lookup?service=proefbank&caller=2001:db8:1::/48":    {"2001:db8::/32", "2001:db8::/32", "public, max-age=5"},
		"/v1/lookup?service=proefbank&caller=::ffff:10.1.9.9":    {"10.1.0.0/16", "10.1.0.0/16", "public, max-age=5"},
		"/v1/lookup?service=proefbank&caller=198.51.100.7":       {"", "198.51.100.0/24", "public, max-age=5"},
		"/v1/lookup?service=proefbank":                           {"10.1.0.0/16", "10.1.0.0/16", "private, max-age=5"},
		"/v1/lookup?caller=10.1.0.1&service=proefbank":           {"10.1.0.0/16", "10.1.0.0/16", "public, max-age=5"},
		"/v1/lookup?service=proefbank&caller=%32%30.1.0.1%2F%38": {"", "20.0.0.0/24", "public, max-age=5"},
	} {
		w := get(c, target)
		var got Response
		if err := json.Unmarshal(w.Body.Bytes(), &got); err != nil || w.Code != http.StatusOK {
			t.Errorf("%s: %d %s", target, w.Code, w.Body)
			continue
		}
		if got.Block != want[0] || got.Scope != want[1] || w.Header().Get("Cache-Control") != want[2] || got.TTLMillis != 5000 {
			t.Errorf("%s: %+v, Cache-Control %q, want %v", target, got, w.Header().Get("Cache-Control"), want)
		}
		if len(got.VMs) != 4 || (got.Block != "" && got.VMs[0].DataCentre != "amsterdam-b") || got.VMs[3].Priority != 2 {
			t.Errorf("%s: %+v", target, got.VMs)
		}
	}
	if c.Count(HTTP, Answered) != 8 {
		t.Errorf("%d answers counted", c.Count(HTTP, Answered))
	}
}

// A caller or a cache must not mistake a rejection for an answer.
func TestHTTPRejects(t *testing.T) {
	ready := testCore(t, Config{}, testInput(2))
	busy := testCore(t, Config{MaxConcurrent: 1}, testInput(2))
	busy.startRequest()
	for _, c := range []struct {
		core    *Core
		target  string
		status  int
		outcome Outcome
		retry   string
		text    string
	}{
		{ready, "/v1/lookup?service=nothing", 404, UnknownService, "", "unknown service"},
		{ready, "/v1/lookup", 400, Malformed, "", "service: "},
		{ready, "/v1/lookup?service=" + strings.Repeat("a", 64), 400, Malformed, "", "service: "},
		{ready, "/v1/lookup?service=proefbank&caller=ten", 400, Malformed, "", `caller: "ten"`},
		{ready, "/v1/lookup?service=proefbank&caller=", 400, Malformed, "", "caller: "},
		{ready, "/v1/lookup?service=proefbank&caller=fe80::1%25eth0", 400, Malformed, "", "zone"},
		{ready, "/v1/lookup?service=proefbank&service=proefbank", 400, Malformed, "", "service: given 2 times"},
		{ready, "/v1/lookup?service=proefbank&site=pers", 400, Malformed, "", "unknown parameter"},
		{ready, "/v1/lookup?service=%zz", 400, Malformed, "", "query"},
		{ready, "/v1/lookup?service=" + strings.Repeat("a", 2000), 400, Malformed, "", "2008 bytes"},
		{NewCore(Config{}), "/v1/lookup?service=proefbank", 503, NotReady, "1", "no configuration"},
		{testCore(t, Config{}, allDrained()), "/v1/lookup?service=proefbank", 503, NoVM, "1", "no entry VM"},
		{busy, "/v1/lookup?service=proefbank", 503, Overloaded, "1", "too many"},
	} {
		before := c.core.Count(HTTP, c.outcome)
		w := get(c.core, c.target)
		h := w.Header()
		if w.Code != c.status || h.Get("Retry-After") != c.retry || !strings.Contains(w.Body.String(), c.text) ||
			h.Get("Cache-Control") != "no-store" || h.Get(verdict.HeaderVerdict) != "not-run" {
			t.Errorf("%s: %d %v %s", c.target, w.Code, h, w.Body)
		}
		if c.core.Count(HTTP, c.outcome) != before+1 {
			t.Errorf("%s: outcome %s not counted", c.target, c.outcome)
		}
	}
	if n := ready.inFlight.Load(); n != 0 {
		t.Errorf("%d requests still count as in flight", n)
	}
}

// Malformed queries must not cause a panic or yield a caller that the core rejects
// later.
func FuzzHTTPQuery(f *testing.F) {
	for _, s := range []string{"service=proefbank&caller=10.0.0.1", "service=a&caller=::/0", "service=%00&caller=1.2.3.4%2F33", "a=b;c", ""} {
		f.Add(s)
	}
	f.Fuzz(func(t *testing.T, raw string) {
		q, err := parseQuery(raw)
		if err != nil {
			return
		}
		if q.service == "" || (q.caller != netip.Addr{} && (q.caller.Zone() != "" || q.caller.Is4In6())) {
			t.Fatalf("%q became %+v", raw, q)
		}
	})
}

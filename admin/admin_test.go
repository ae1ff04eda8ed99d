package admin

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/julienschmidt/httprouter"
	"gopkg.in/yaml.v3"

	"github.com/currantferry/currantferry/config"
	"github.com/currantferry/currantferry/configstore"
	"github.com/currantferry/currantferry/control"
	"github.com/currantferry/currantferry/drain"
	"github.com/currantferry/currantferry/event"
	"github.com/currantferry/currantferry/register"
	"github.com/currantferry/currantferry/report"
	"github.com/currantferry/currantferry/rules"
	"github.com/currantferry/currantferry/store"
	"github.com/currantferry/currantferry/store/kvhttp"
	"github.com/currantferry/currantferry/store/standin"
)

// fake is a Backend of three VMs over a stand-in store. lagging are the VMs that
// have an older version.
type fake struct {
	*configstore.Publisher
	snapshot atomic.Pointer[config.Snapshot]
	lagging  []string
}

func (f *fake) Snapshot() *config.Snapshot { return f.snapshot.Load() }

func (f *fake) Publish(ctx context.Context, base uint64, c config.Content, m config.Meta) (configstore.Result, error) {
	r, err := f.Publisher.Publish(ctx, base, c, m)
	f.adopt(ctx, err)
	return r, err
}

func (f *fake) RollForward(ctx context.Context, base, to uint64, m config.Meta) (configstore.Result, error) {
	r, err := f.Publisher.RollForward(ctx, base, to, m)
	f.adopt(ctx, err)
	return r, err
}

func (f *fake) Restore(ctx context.Context) error { return f.Publisher.Restore(ctx, f.Snapshot()) }

// adopt puts the store's version in force after a successful change.
func (f *fake) adopt(ctx context.Context, err error) {
	if s, loadErr := f.Load(ctx); err == nil && loadErr == nil {
		f.snapshot.Store(s)
	}
}

func (f *fake) AwaitInForce(_ context.Context, v uint64, onRound func(control.Progress)) control.Progress {
	p := control.Progress{Version: v, InForce: 3 - len(f.lagging), Total: 3, Lagging: f.lagging}
	onRound(p)
	return p
}

func (f *fake) DrainProgress() []drain.Progress { return nil }
func (f *fake) DrainCounts(context.Context, uint64) DrainCounts {
	return DrainCounts{InFlight: map[string]int{"d1": 4}, Unfinished: map[string]bool{"d1": true}, Missing: f.lagging}
}

func (f *fake) Report() *report.Report                           { return &report.Report{Name: "test", At: time.Unix(0, 0)} }
func (f *fake) Events(uint64) []event.Entry                      { return nil }
func (f *fake) Health() Health                                   { return Health{Ready: true} }
func (f *fake) Status() any                                      { return struct{}{} }
func (f *fake) Explain(netip.Addr, string) (*Explanation, error) { return &Explanation{}, nil }

func content() config.Content {
	service := func(name, team, dc string) register.Service {
		s := register.Service{Name: name, Team: team}
		for _, id := range []string{"1", "2", "3", "4"} {
			s.Instances = append(s.Instances, register.Instance{ID: name + "-" + id, Address: "192.0.2.1:80", DataCentre: dc, Slots: 9})
		}
		return s
	}
	return config.Content{
		Register: &register.Register{
			Regions:  []register.Region{{Name: "noord", DataCentres: []register.DataCentre{{Name: "groningen-a"}}}},
			Services: []register.Service{service("proefbank", "press", "groningen-a"), service("rolinname", "rolls", "groningen-a")},
		},
		Rules: new(rules.Rules),
	}
}

func teams() []rules.Team {
	return []rules.Team{
		{Name: "ops", Platform: true, TokenHashes: []string{rules.HashToken("ops-token")}},
		{Name: "press", TokenHashes: []string{rules.HashToken("press-token")}},
	}
}

// fixture is an API over a fake backend with its store.
type fixture struct {
	t      *testing.T
	fake   *fake
	store  *standin.Server
	client *kvhttp.Client
	api    http.Handler
}

// newFixture publishes version 1 with the given teams.
func newFixture(t *testing.T, configuredTeams []rules.Team) *fixture {
	t.Helper()
	server := standin.New()
	listener := httptest.NewServer(server.Handler())
	t.Cleanup(listener.Close)
	client, err := kvhttp.New(kvhttp.Options{Addresses: []string{strings.TrimPrefix(listener.URL, "http://")}})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(client.Close)
	f := new(fake)
	f.Publisher = configstore.New(client, configstore.Options{CallTimeout: 200 * time.Millisecond, InForce: func() uint64 {
		if s := f.Snapshot(); s != nil {
			return s.Head.Version
		}
		return 0
	}})
	c := content()
	c.Rules.Teams = configuredTeams
	if _, err := f.Publish(t.Context(), 0, c, config.Meta{ChangeID: "first", By: "test"}); err != nil {
		t.Fatal(err)
	}
	router := httprouter.New()
	New(Options{Backend: f, ReadTimeout: 300 * time.Millisecond, ChangeTimeout: time.Second, MaxBody: 4096}).Register(router)
	return &fixture{t: t, fake: f, store: server, client: client, api: router}
}

// do sends a request with the headers of a change. headers are pairs of names and
// values that replace the defaults; "From" sets the remote address.
func (f *fixture) do(method, path, body string, headers ...string) *httptest.ResponseRecorder {
	r := httptest.NewRequest(method, path, strings.NewReader(body))
	r.RemoteAddr = "127.0.0.1:999"
	for name, v := range map[string]string{"If-Match": `"1"`, HeaderChangeID: "c-1", HeaderWhy: "because", HeaderBy: "ann"} {
		r.Header.Set(name, v)
	}
	for i := 0; i < len(headers); i += 2 {
		if headers[i] == "From" {
			r.RemoteAddr = headers[i+1]
			continue
		}
		r.Header.Set(headers[i], headers[i+1])
	}
	w := httptest.NewRecorder()
	f.api.ServeHTTP(w, r)
	return w
}

func (f *fixture) check(w *httptest.ResponseRecorder, status int, texts ...string) {
	f.t.Helper()
	if w.Code != status {
		f.t.Errorf("status %d, want %d: %s", w.Code, status, w.Body)
	}
	for _, text := range texts {
		if !strings.Contains(w.Body.String(), text) {
			f.t.Errorf("no %q in %s", text, w.Body)
		}
	}
}

const (
	drainOne            = `{"id":"d1","kind":"instance","target":"proefbank-1"}`
	asOps               = "Bearer ops-token"
	asPress             = "Bearer press-token"
	authorizationHeader = "Authorization"
)

// Changes must be refused from unauthenticated senders, and from teams that do not
// own what they change. Hashes of tokens must be shown to the platform team only.
func TestPermissions(t *testing.T) {
	f := newFixture(t, nil)
	f.check(f.do("POST", "/v1/drains", drainOne, "From", "192.0.2.9:1"), http.StatusForbidden, "loopback")
	f.check(f.do("POST", "/v1/drains", drainOne), http.StatusOK, `"version":2`)

	f = newFixture(t, teams())
	w := f.do("POST", "/v1/drains", drainOne)
	f.check(w, http.StatusUnauthorized, "needs a token")
	if w.Header().Get("WWW-Authenticate") == "" {
		t.Error("401 without WWW-Authenticate")
	}
	f.check(f.do("POST", "/v1/drains", drainOne, authorizationHeader, "Bearer other"), http.StatusUnauthorized, "no team")
	for path, body := range map[string]string{
		"/v1/drains":                `{"id":"d2","kind":"instance","target":"rolinname-1"}`,
		"/v1/drains?":               `{"id":"d2","kind":"region","target":"noord"}`,
		"/v1/changes/1/rollforward": "",
		"/v1/caps/rolinname":        `{"step_percent":5}`,
		"/v1/caps/*":                `{"step_percent":5}`,
		"/v1/rules":                 `{"retry_percent":50,"teams":[{"name":"press","platform":true,"token_sha256":["` + rules.HashToken("press-token") + `"]}]}`,
	} {
		method := "POST"
		if strings.HasPrefix(path, "/v1/caps") || path == "/v1/rules" {
			method = "PUT"
		}
		f.check(f.do(method, path, body, authorizationHeader, asPress), http.StatusForbidden, "press may not", "platform team")
	}
	stolen := content()
	stolen.Register.Services[1].Team = "press"
	data, _ := json.Marshal(stolen.Register)
	f.check(f.do("PUT", "/v1/register", string(data), authorizationHeader, asPress), http.StatusForbidden, "service rolinname")
	f.check(f.do("PUT", "/v1/caps/proefbank", `{"step_percent":7}`, authorizationHeader, asPress), http.StatusOK)
	f.check(f.do("DELETE", "/v1/caps/proefbank", "", authorizationHeader, asOps, "If-Match", `"2"`, HeaderChangeID, "c-2"), http.StatusOK)
	extended := append(teams(), rules.Team{Name: "rolls", TokenHashes: []string{rules.HashToken("rolls-token")}})
	data, _ = json.Marshal(rules.Rules{Teams: extended, Caps: []rules.Cap{{Service: "proefbank", StepPercent: 9}}})
	f.check(f.do("PUT", "/v1/rules", string(data), authorizationHeader, asOps, "If-Match", `"3"`, HeaderChangeID, "c-3"), http.StatusOK)
	w = f.do("PUT", "/v1/caps/proefbank", `{"step_percent":8}`, authorizationHeader, asPress, "If-Match", `"3"`, HeaderChangeID, "c-4")
	f.check(w, http.StatusConflict, "step_percent")
	for _, body := range []string{w.Body.String(), f.do("GET", "/v1/changes", "").Body.String(), f.do("GET", "/v1/changes/4/diff", "").Body.String()} {
		if strings.Contains(body, rules.HashToken("rolls-token")) {
			t.Errorf("the hash of a token is shown: %s", body)
		}
	}
	if body := f.do("GET", "/v1/rules", "").Body.String(); strings.Contains(body, rules.HashToken("ops-token")) {
		t.Error("hashes of tokens are shown without a token")
	}
}

// An edit based on an old version must not overwrite another operator's edit, and
// a change that is sent twice must be applied once.
func TestConditionsAndResends(t *testing.T) {
	f := newFixture(t, nil)
	r := httptest.NewRequest("POST", "/v1/drains", strings.NewReader(drainOne))
	r.RemoteAddr = "[::1]:9"
	w := httptest.NewRecorder()
	f.api.ServeHTTP(w, r)
	f.check(w, http.StatusPreconditionRequired, "If-Match")
	f.check(f.do("POST", "/v1/drains", drainOne, HeaderChangeID, ""), http.StatusBadRequest, "Change-Id")
	f.check(f.do("POST", "/v1/drains", drainOne, "If-Match", `"9"`), http.StatusPreconditionFailed, "stale")
	f.check(f.do("POST", "/v1/drains", `{"id":"d1","kind":"instance","target":"nowhere"}`), http.StatusUnprocessableEntity, "no instance nowhere")
	f.check(f.do("POST", "/v1/drains", `{"idd":"d1"}`), http.StatusBadRequest, "idd")
	f.check(f.do("POST", "/v1/drains", `{"id":"`+strings.Repeat("x", 5000)+`"}`), http.StatusRequestEntityTooLarge)

	f.check(f.do("POST", "/v1/drains", drainOne), http.StatusOK, `"version":2`, `"resent":false`)
	f.check(f.do("POST", "/v1/drains", drainOne), http.StatusOK, `"version":2`, `"resent":true`)
	f.check(f.do("POST", "/v1/drains", `{"id":"d2","kind":"instance","target":"proefbank-2"}`), http.StatusUnprocessableEntity, "used for another change")
	f.check(f.do("PUT", "/v1/caps/proefbank", `{"step_percent":7}`, HeaderChangeID, "c-2"), http.StatusOK, `"version":3`, `"merged":true`)
	w = f.do("PUT", "/v1/caps/proefbank", `{"step_percent":8}`, HeaderChangeID, "c-3", HeaderBy, "bob")
	f.check(w, http.StatusConflict, `"mine"`, "local:bob", `"theirs"`, "local:ann", "step_percent")
	f.check(f.do("POST", "/v1/changes/1/rollforward", "", "If-Match", `"3"`, HeaderChangeID, "c-4"), http.StatusOK, `"version":4`)
	f.check(f.do("GET", "/v1/changes", ""), http.StatusOK, `"by":"local:ann"`, `"why":"because"`)
	f.check(f.do("GET", "/v1/changes/4/diff?from=1", ""), http.StatusOK, `"total":0`)
	f.check(f.do("GET", "/v1/changes/99/progress", ""), http.StatusNotFound)
	f.fake.lagging = []string{"vm-3"}
	f.check(f.do("POST", "/v1/drains", drainOne, "If-Match", `"4"`, HeaderChangeID, "c-5"), http.StatusOK, `"version":5`)
	f.check(f.do("GET", "/v1/drains", ""), http.StatusOK, `"state":"active","in_flight":4,"unknown":["vm-3"]`)
	f.check(f.do("GET", "/v1/changes/4/progress", ""), http.StatusOK, "in force on 2 of 3", "lagging: vm-3")
}

// An import of a truncated register must not remove a large part of the capacity
// without a confirmation.
func TestImportThatDropsTooMuch(t *testing.T) {
	f := newFixture(t, nil)
	next := content().Register
	next.Services[0].Instances = next.Services[0].Instances[:3]
	data, _ := json.Marshal(next)
	f.check(f.do("POST", "/v1/register/preview", string(data)), http.StatusOK, "proefbank loses 9 slots in noord (36 to 27)", "25 %")
	f.check(f.do("PUT", "/v1/register", string(data)), http.StatusUnprocessableEntity, "confirm=true", `"dropped"`)
	if v := f.fake.Snapshot().Head.Version; v != 1 {
		t.Fatalf("a refused import made version %d", v)
	}
	f.check(f.do("PUT", "/v1/register?confirm=true", string(data)), http.StatusOK, `"version":2`)
	next.Sites = []register.Site{{Name: "werk", DataCentres: []string{"groningen-a"}}}
	for _, p := range []string{"192.0.2.0/24", "198.51.100.0/24"} {
		next.Blocks = append(next.Blocks, register.Block{Prefix: netip.MustParsePrefix(p), Site: "werk"})
	}
	data, _ = json.Marshal(next)
	f.check(f.do("PUT", "/v1/register", string(data), "If-Match", `"2"`, HeaderChangeID, "c-2"), http.StatusOK, `"version":3`)
	if body := f.do("GET", "/v1/register", "").Body.String(); strings.TrimSpace(body) != string(data) {
		t.Errorf("shown register differs:\n%s\n%s", body, data)
	}
	if body := f.do("GET", "/v1/register?blocks=false", "").Body.String(); strings.Contains(body, "blocks") {
		t.Errorf("blocks are shown: %s", body)
	}
	f.check(f.do("PUT", "/v1/register", `{"regions":[]}`, HeaderChangeID, "c-9"), http.StatusUnprocessableEntity, "at least one region")
}

// A change must not be reported as accepted while the store is down, and reads of
// the version in force must not need the store.
func TestStoreDown(t *testing.T) {
	f := newFixture(t, nil)
	f.store.SetFault(standin.Fault{Down: true})
	w := f.do("POST", "/v1/drains", drainOne)
	f.check(w, http.StatusServiceUnavailable, "The store does not answer")
	if w.Header().Get("Retry-After") == "" {
		t.Error("503 without Retry-After")
	}
	f.check(f.do("GET", "/v1/changes", ""), http.StatusServiceUnavailable)
	f.check(f.do("GET", "/v1/services", ""), http.StatusOK, "proefbank")
	f.store.SetFault(standin.Fault{LoseReplies: 1})
	f.check(f.do("POST", "/v1/drains", drainOne), http.StatusOK, `"version":2`)
}

// After a restore from an old backup, the store holds an older version than the
// one in force. A change must not be based on that version, and an operator must
// be able to repair the store.
func TestStoreSetBack(t *testing.T) {
	f := newFixture(t, nil)
	old := f.fake.Snapshot()
	f.check(f.do("POST", "/v1/drains", drainOne), http.StatusOK)
	e, err := f.client.Get(t.Context(), configstore.HeadKey)
	if err != nil {
		t.Fatal(err)
	}
	if err := f.client.CompareAndSwap(t.Context(), store.Write{Key: configstore.HeadKey, Value: old.HeadBytes, Index: e.Index}); err != nil {
		t.Fatal(err)
	}
	f.check(f.do("PUT", "/v1/caps/proefbank", `{"step_percent":7}`, HeaderChangeID, "c-2", "If-Match", `"2"`), http.StatusServiceUnavailable, "older than the version in force", "config restore")
	f.check(f.do("POST", "/v1/store/restore", "", HeaderChangeID, "c-3"), http.StatusPreconditionFailed, "Version 2 is in force")
	f.check(f.do("POST", "/v1/store/restore", "", HeaderChangeID, "c-3", "If-Match", `"2"`), http.StatusOK, `"version":2`)
	if s, err := f.fake.Load(t.Context()); err != nil || s.Head.Version != 2 {
		t.Fatalf("the store was not repaired: %v", err)
	}
}

// docs/openapi.yaml must describe exactly the routes that the API serves.
func TestOpenAPIMatchesRoutes(t *testing.T) {
	data, err := os.ReadFile("../docs/openapi.yaml")
	if err != nil {
		t.Fatal(err)
	}
	var doc struct {
		Paths map[string]map[string]struct {
			Responses map[string]any `yaml:"responses"`
		} `yaml:"paths"`
	}
	if err := yaml.Unmarshal(data, &doc); err != nil {
		t.Fatal(err)
	}
	described := 0
	for _, operations := range doc.Paths {
		described += len(operations)
	}
	routes := New(Options{}).Routes()
	for _, route := range routes {
		parts := strings.Split(route.Path, "/")
		for i, p := range parts {
			if name, ok := strings.CutPrefix(p, ":"); ok {
				parts[i] = "{" + name + "}"
			}
		}
		if _, ok := doc.Paths[strings.Join(parts, "/")][strings.ToLower(route.Method)].Responses["200"]; !ok {
			t.Errorf("%s %s is not described", route.Method, route.Path)
		}
	}
	if described != len(routes) {
		t.Errorf("%d operations are described, there are %d", described, len(routes))
	}
}

// Package admin serves operators the administration API under /v1/ and the
// report page. Each entry VM implements the Backend that it works on.
package admin

import (
	"context"
	"log/slog"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/julienschmidt/httprouter"

	"github.com/currantferry/currantferry/config"
	"github.com/currantferry/currantferry/configstore"
	"github.com/currantferry/currantferry/control"
	"github.com/currantferry/currantferry/drain"
	"github.com/currantferry/currantferry/event"
	"github.com/currantferry/currantferry/report"
)

// Backend is the interface of an entry VM to the API. Its methods are safe for
// concurrent use.
type Backend interface {
	// Snapshot returns the version in force on this VM, or nil if there is none.
	Snapshot() *config.Snapshot
	// LoadVersion and History read the store.
	LoadVersion(ctx context.Context, version uint64) (*config.Snapshot, error)
	History(ctx context.Context) (config.History, error)
	// Publish and RollForward return a nil error only once the change is known
	// to have taken effect.
	Publish(ctx context.Context, base uint64, c config.Content, m config.Meta) (configstore.Result, error)
	RollForward(ctx context.Context, base, to uint64, m config.Meta) (configstore.Result, error)
	// Restore writes the version in force on this VM back to a store that holds
	// an older one.
	Restore(ctx context.Context) error
	// AwaitInForce queries the versions of all VMs until each has the given one or ctx
	// ends. It calls report after each round.
	AwaitInForce(ctx context.Context, version uint64, report func(control.Progress)) control.Progress
	// DrainProgress returns the drains in effect with this VM's work in flight.
	DrainProgress() []drain.Progress
	// DrainCounts queries all VMs. Those with a version older than the given one
	// are listed as missing.
	DrainCounts(ctx context.Context, version uint64) DrainCounts
	Report() *report.Report
	// Explain returns the candidates for callers at an address, for requests to a
	// service, or both.
	Explain(caller netip.Addr, service string) (*Explanation, error)
	Events(since uint64) []event.Entry
	Health() Health
	// Status is the body of /v1/status.
	Status() any
}

// DrainCounts is the work in flight on drained targets, summed over all VMs.
type DrainCounts struct {
	// InFlight is by drain ID.
	InFlight map[string]int
	// Unfinished holds the IDs of drains whose targets have work in flight or may
	// still get new work from a VM.
	Unfinished map[string]bool
	// Missing are the IDs of VMs that did not answer or have an older version.
	Missing []string
}

// Health reports whether a VM accepts callers.
type Health struct {
	Ready   bool `json:"ready"`
	Leaving bool `json:"leaving"`
}

// Explanation lists the candidates of a decision, with the reason for or against
// each.
type Explanation struct {
	VM      string `json:"vm"`
	Caller  string `json:"caller,omitempty"`
	Block   string `json:"block,omitempty"`
	Site    string `json:"site,omitempty"`
	Service string `json:"service,omitempty"`
	// EntryVMs are the entry VMs that a lookup may return.
	EntryVMs []Candidate `json:"entry_vms,omitempty"`
	// Regions and Instances are the possible destinations of a request to the
	// service.
	Regions   []Candidate `json:"regions,omitempty"`
	Instances []Candidate `json:"instances,omitempty"`
}

// Candidate is one option of a decision, with its outcome.
type Candidate struct {
	Name   string `json:"name"`
	Place  string `json:"place,omitempty"`
	Chosen bool   `json:"chosen"`
	Reason string `json:"reason"`
}

// Options configure an API. Zero timeouts and sizes mean the defaults.
type Options struct {
	Backend Backend
	// Log receives events. Nil discards them.
	Log *slog.Logger
	// ReadTimeout bounds reads of the store. Zero means 2 s.
	ReadTimeout time.Duration
	// ChangeTimeout bounds a change. Zero means 20 s.
	ChangeTimeout time.Duration
	// MaxBody bounds bodies other than registers. Zero means 1 MiB.
	MaxBody int64
	// MaxRegister bounds an imported register. Zero means 96 MiB, about twice
	// the JSON form of 780,000 client blocks.
	MaxRegister int64
}

// Defaults of Options.
const (
	DefaultReadTimeout   = 2 * time.Second
	DefaultChangeTimeout = 20 * time.Second
	DefaultMaxBody       = 1 << 20
	DefaultMaxRegister   = 96 << 20
)

// maxProgressWait bounds wait_ms, the time that a request for a change's
// progress may wait.
const maxProgressWait = 30 * time.Second

// API serves the administration API.
type API struct {
	opts Options
	// fanOutSlots holds an element for each read that is querying all VMs.
	fanOutSlots chan struct{}
	// changeLock is a mutex with a timeout: it holds an element while a change is
	// being made.
	changeLock chan struct{}

	mu sync.Mutex
	// acceptedTimes and finalProgress are by version. The first has the changes
	// that this VM accepted, the second those that are in force on all VMs.
	acceptedTimes map[uint64]time.Time
	finalProgress map[uint64]Progress
}

// New returns the API of a backend.
func New(o Options) *API {
	if o.Log == nil {
		o.Log = slog.New(slog.DiscardHandler)
	}
	if o.ReadTimeout <= 0 {
		o.ReadTimeout = DefaultReadTimeout
	}
	if o.ChangeTimeout <= 0 {
		o.ChangeTimeout = DefaultChangeTimeout
	}
	if o.MaxBody <= 0 {
		o.MaxBody = DefaultMaxBody
	}
	if o.MaxRegister <= 0 {
		o.MaxRegister = DefaultMaxRegister
	}
	return &API{opts: o, fanOutSlots: make(chan struct{}, maxFanOutReads), changeLock: make(chan struct{}, 1), acceptedTimes: make(map[uint64]time.Time), finalProgress: make(map[uint64]Progress)}
}

// Route is one operation of the API.
type Route struct {
	Method, Path string
	handle       func(w http.ResponseWriter, r *http.Request, p httprouter.Params) error
}

// Routes returns all operations. docs/openapi.yaml describes each of them.
func (a *API) Routes() []Route {
	return []Route{
		{http.MethodGet, "/report", a.getReportPage},
		{http.MethodGet, "/v1/health", a.getHealth},
		{http.MethodGet, "/v1/status", a.getStatus},
		{http.MethodGet, "/v1/report", a.getReport},
		{http.MethodGet, "/v1/events", a.getEvents},
		{http.MethodGet, "/v1/explain", a.getExplain},
		{http.MethodGet, "/v1/services", a.getServices},
		{http.MethodGet, "/v1/services/:service", a.getService},
		{http.MethodGet, "/v1/places", a.getPlaces},
		{http.MethodGet, "/v1/rules", a.getRules},
		{http.MethodPut, "/v1/rules", a.putRules},
		{http.MethodGet, "/v1/caps", a.getCaps},
		{http.MethodPut, "/v1/caps/:service", a.putCap},
		{http.MethodDelete, "/v1/caps/:service", a.deleteCap},
		{http.MethodGet, "/v1/drains", a.getDrains},
		{http.MethodPost, "/v1/drains", a.postDrain},
		{http.MethodDelete, "/v1/drains/:id", a.deleteDrain},
		{http.MethodGet, "/v1/register", a.getRegister},
		{http.MethodPut, "/v1/register", a.putRegister},
		{http.MethodPost, "/v1/register/preview", a.previewRegister},
		{http.MethodGet, "/v1/changes", a.getChanges},
		{http.MethodGet, "/v1/changes/:version/diff", a.getDiff},
		{http.MethodGet, "/v1/changes/:version/progress", a.getProgress},
		{http.MethodPost, "/v1/changes/:version/rollforward", a.postRollForward},
		{http.MethodPost, "/v1/store/restore", a.postRestore},
	}
}

// Register adds the routes to a router.
func (a *API) Register(router *httprouter.Router) {
	for _, route := range a.Routes() {
		router.Handle(route.Method, route.Path, func(w http.ResponseWriter, r *http.Request, p httprouter.Params) {
			w.Header().Set("Cache-Control", "no-store")
			w.Header().Set("X-Content-Type-Options", "nosniff")
			if err := route.handle(w, r, p); err != nil {
				a.writeError(w, r, err)
			}
		})
	}
}

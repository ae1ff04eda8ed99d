package standin

import (
	"encoding/json"
	"net/http"
	"time"
)

// Paths of the control page.
const (
	// ControlRuns answers GET ?key=KEY with a State, whose Runs are those of the key.
	ControlRuns = "/runs"
	// ControlKeys answers GET ?prefix=P with a JSON object that holds, for each key with
	// the prefix, the instances on which it started.
	ControlKeys = "/keys"
	// ControlFault accepts PUT with a Fault.
	ControlFault = "/fault"
)

// Fault is the body of PUT /fault.
type Fault struct {
	// Instance is the ID of one instance. Empty means all instances of the page.
	Instance string `json:"instance,omitempty"`
	// Factor multiplies service times. Values below 0.01 are raised to 0.01.
	Factor float64 `json:"factor"`
	// Shed makes the instance refuse all new work.
	Shed bool `json:"shed"`
}

// State is the answer of GET /runs, summed over the instances of the page.
type State struct {
	// Runs holds the instances on which the requested key started.
	Runs    []string  `json:"runs"`
	Total   int       `json:"total"`
	CutOff  int       `json:"cut_off"`
	Crashes int       `json:"crashes"`
	LastNew time.Time `json:"last_new"`
}

// ControlHandler returns the handler of a control page for the given instances.
func ControlHandler(upstreams ...*Upstream) http.Handler {
	ledgers := make(map[*Ledger]bool)
	for _, u := range upstreams {
		ledgers[u.Ledger()] = true
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+ControlRuns, func(w http.ResponseWriter, r *http.Request) {
		var s State
		for l := range ledgers {
			s.Runs = append(s.Runs, l.Runs(r.URL.Query().Get("key"))...)
			s.Total += l.Total()
			s.CutOff += l.CutOff()
		}
		for _, u := range upstreams {
			s.Crashes += u.Crashes()
			if last := u.LastNew(); last.After(s.LastNew) {
				s.LastNew = last
			}
		}
		writeJSON(w, s)
	})
	mux.HandleFunc("GET "+ControlKeys, func(w http.ResponseWriter, r *http.Request) {
		keys := make(map[string][]string)
		for l := range ledgers {
			for key, instances := range l.Keys(r.URL.Query().Get("prefix")) {
				keys[key] = append(keys[key], instances...)
			}
		}
		writeJSON(w, keys)
	})
	mux.HandleFunc("PUT "+ControlFault, func(w http.ResponseWriter, r *http.Request) {
		var f Fault
		if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, 1<<16)).Decode(&f); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		for _, u := range upstreams {
			if f.Instance == "" || f.Instance == u.ID() {
				u.SetFactor(max(f.Factor, 0.01))
				u.SetShed(f.Shed)
			}
		}
	})
	return mux
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

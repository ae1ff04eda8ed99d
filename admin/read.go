package admin

import (
	"bufio"
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"strconv"
	"strings"

	"github.com/julienschmidt/httprouter"
	"github.com/pkg/errors"

	"github.com/currantferry/currantferry/config"
	"github.com/currantferry/currantferry/event"
	"github.com/currantferry/currantferry/register"
	"github.com/currantferry/currantferry/report"
	"github.com/currantferry/currantferry/rules"
)

func readBody(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, error) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	return body, errors.Wrap(err, "body")
}

func (a *API) getHealth(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) error {
	h := a.opts.Backend.Health()
	status := http.StatusOK
	if !h.Ready || h.Leaving {
		status = http.StatusServiceUnavailable
		w.Header().Set("Retry-After", retryAfterSeconds)
	}
	writeJSON(w, status, h)
	return nil
}

func (a *API) getStatus(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) error {
	writeJSON(w, http.StatusOK, a.opts.Backend.Status())
	return nil
}

func (a *API) getReport(w http.ResponseWriter, r *http.Request, _ httprouter.Params) error {
	out := a.opts.Backend.Report()
	if r.URL.Query().Get("format") == "text" {
		w.Header().Set("Content-Type", "text/plain; charset=utf-8")
		_, _ = io.WriteString(w, out.Text()) // A write fails if the client has disconnected.
		return nil
	}
	writeJSON(w, http.StatusOK, out)
	return nil
}

// reportPageCSP is the Content-Security-Policy of the report page. It allows only
// inline styles, since the page uses nothing else.
const reportPageCSP = "default-src 'none'; style-src 'unsafe-inline'; base-uri 'none'; form-action 'none'; frame-ancestors 'none'"

func (a *API) getReportPage(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) error {
	page, err := report.HTML(a.opts.Backend.Report())
	if err != nil {
		return err
	}
	w.Header().Set("Content-Type", "text/html; charset=utf-8")
	w.Header().Set("Content-Security-Policy", reportPageCSP)
	_, _ = w.Write(page) // A write fails if the client has disconnected.
	return nil
}

// Events is the body of /v1/events.
type Events struct {
	Events []event.Entry `json:"events"`
}

func (a *API) getEvents(w http.ResponseWriter, r *http.Request, _ httprouter.Params) error {
	since, err := uintParam(r, "since", 0)
	if err != nil {
		return err
	}
	out := Events{Events: []event.Entry{}}
	out.Events = append(out.Events, a.opts.Backend.Events(since)...)
	writeJSON(w, http.StatusOK, out)
	return nil
}

// uintParam returns a numeric query parameter, or def if it is absent.
func uintParam(r *http.Request, name string, def uint64) (uint64, error) {
	text := r.URL.Query().Get(name)
	if text == "" {
		return def, nil
	}
	v, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return 0, newProblem(http.StatusBadRequest, name+"="+text+" is not a number.", "")
	}
	return v, nil
}

func (a *API) getExplain(w http.ResponseWriter, r *http.Request, _ httprouter.Params) error {
	q := r.URL.Query()
	var caller netip.Addr
	if text := q.Get("caller"); text != "" {
		// The address of a block in CIDR notation stands for the whole block.
		text, _, _ = strings.Cut(text, "/")
		var err error
		if caller, err = netip.ParseAddr(text); err != nil {
			return newProblem(http.StatusBadRequest, "caller is not an IP address or block.", "For example caller=192.0.2.0/24.")
		}
	}
	if !caller.IsValid() && q.Get("service") == "" {
		return newProblem(http.StatusBadRequest, "caller or service is needed.", "For example caller=192.0.2.7 or service=NAME.")
	}
	out, err := a.opts.Backend.Explain(caller, q.Get("service"))
	if err != nil {
		return err
	}
	writeJSON(w, http.StatusOK, out)
	return nil
}

// ServiceRow is a service in the body of /v1/services.
type ServiceRow struct {
	Name      string `json:"name"`
	Team      string `json:"team,omitempty"`
	Instances int    `json:"instances"`
	// Slots is the number of slots by region.
	Slots map[string]int `json:"slots"`
	Cap   rules.Cap      `json:"cap"`
}

func (a *API) getServices(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) error {
	s, err := a.snapshot()
	if err != nil {
		return err
	}
	slots := sumSlots(s.Register)
	rows := make([]ServiceRow, 0, len(s.Register.Services))
	for i := range s.Register.Services {
		service := &s.Register.Services[i]
		row := ServiceRow{
			Name: service.Name, Team: service.Team, Instances: len(service.Instances),
			Slots: make(map[string]int), Cap: s.Rules.Cap(service.Name),
		}
		for _, region := range s.Register.RegionNames() {
			row.Slots[region] = slots[slotKey{service.Name, region}]
		}
		rows = append(rows, row)
	}
	w.Header().Set("ETag", etag(s.Head.Version))
	writeJSON(w, http.StatusOK, map[string]any{"version": s.Head.Version, "services": rows})
	return nil
}

func (a *API) getService(w http.ResponseWriter, _ *http.Request, p httprouter.Params) error {
	s, err := a.snapshot()
	if err != nil {
		return err
	}
	service := s.Register.Service(p.ByName("service"))
	if service == nil {
		return notFound("service", p.ByName("service"), "/v1/services")
	}
	w.Header().Set("ETag", etag(s.Head.Version))
	writeJSON(w, http.StatusOK, map[string]any{"version": s.Head.Version, "service": service, "cap": s.Rules.Cap(service.Name)})
	return nil
}

// Places is the body of /v1/places.
type Places struct {
	Version uint64            `json:"version"`
	Regions []register.Region `json:"regions"`
	Links   []register.Link   `json:"links"`
	Sites   []register.Site   `json:"sites"`
}

func (a *API) getPlaces(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) error {
	s, err := a.snapshot()
	if err != nil {
		return err
	}
	w.Header().Set("ETag", etag(s.Head.Version))
	writeJSON(w, http.StatusOK, Places{Version: s.Head.Version, Regions: s.Register.Regions, Links: s.Register.Links, Sites: s.Register.Sites})
	return nil
}

func (a *API) getRules(w http.ResponseWriter, r *http.Request, _ httprouter.Params) error {
	s, err := a.snapshot()
	if err != nil {
		return err
	}
	out := s.Rules
	if !canSeeTokenHashes(r, s.Rules) {
		out = redactTokenHashes(out)
	}
	w.Header().Set("ETag", etag(s.Head.Version))
	writeJSON(w, http.StatusOK, out)
	return nil
}

func (a *API) getCaps(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) error {
	s, err := a.snapshot()
	if err != nil {
		return err
	}
	caps := append([]rules.Cap{}, s.Rules.Caps...)
	w.Header().Set("ETag", etag(s.Head.Version))
	writeJSON(w, http.StatusOK, map[string]any{"version": s.Head.Version, "caps": caps})
	return nil
}

// DrainRow is a drain with its progress summed over all VMs.
type DrainRow struct {
	rules.Drain
	// State is planned, active, finished or ended. A finished drain is still in
	// effect, but no VM has work in flight on its target.
	State    string `json:"state"`
	InFlight int    `json:"in_flight"`
	// Unknown are the IDs of the VMs whose work in flight is unknown and missing
	// from InFlight.
	Unknown []string `json:"unknown,omitempty"`
	// Stuck means that this VM's work in flight has not decreased for 60 s.
	Stuck bool `json:"stuck,omitempty"`
}

// Drains is the body of /v1/drains.
type Drains struct {
	Version uint64     `json:"version"`
	Drains  []DrainRow `json:"drains"`
}

func (a *API) getDrains(w http.ResponseWriter, r *http.Request, _ httprouter.Params) error {
	s, err := a.snapshot()
	if err != nil {
		return err
	}
	out := Drains{Version: s.Head.Version, Drains: []DrainRow{}}
	stuck := make(map[string]bool)
	for _, p := range a.opts.Backend.DrainProgress() {
		stuck[p.Drain] = p.Stuck
	}
	now := a.now()
	var counts *DrainCounts
	for _, d := range s.Rules.Drains {
		row := DrainRow{Drain: d, State: "planned"}
		switch {
		case d.IsActive(now):
			if counts == nil {
				if err := a.acquireFanOut(); err != nil {
					return err
				}
				queried := a.opts.Backend.DrainCounts(r.Context(), s.Head.Version)
				a.releaseFanOut()
				counts = &queried
			}
			row.State = "active"
			if len(counts.Missing) == 0 && !counts.Unfinished[d.ID] {
				row.State = "finished"
			}
			row.InFlight, row.Unknown, row.Stuck = counts.InFlight[d.ID], counts.Missing, stuck[d.ID]
		case !now.Before(d.Start):
			row.State = "ended"
		}
		out.Drains = append(out.Drains, row)
	}
	w.Header().Set("ETag", etag(s.Head.Version))
	writeJSON(w, http.StatusOK, out)
	return nil
}

func (a *API) getRegister(w http.ResponseWriter, r *http.Request, _ httprouter.Params) error {
	s, err := a.snapshot()
	if err != nil {
		return err
	}
	w.Header().Set("ETag", etag(s.Head.Version))
	if r.URL.Query().Get("blocks") == "false" {
		writeJSON(w, http.StatusOK, s.Register)
		return nil
	}
	w.Header().Set("Content-Type", "application/json")
	return writeRegister(w, s)
}

// writeRegister encodes the register and appends its client blocks one at a time,
// because 780,000 of them as values would take more memory than a VM may spend on
// control.
func writeRegister(w io.Writer, s *config.Snapshot) error {
	withoutBlocks, err := json.Marshal(s.Register)
	if err != nil {
		return errors.Wrap(err, "register")
	}
	out := bufio.NewWriter(w)
	_, _ = out.Write(withoutBlocks[:len(withoutBlocks)-1])
	separator := `,"blocks":[`
	for b := range s.Blocks() {
		row, err := json.Marshal(b)
		if err != nil {
			return errors.Wrap(err, "register")
		}
		_, _ = out.WriteString(separator)
		_, _ = out.Write(row)
		separator = ","
	}
	if separator == "," {
		_ = out.WriteByte(']')
	}
	_, _ = out.WriteString("}\n")
	_ = out.Flush() // A write fails if the client has disconnected.
	return nil
}

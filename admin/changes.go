package admin

import (
	"context"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/julienschmidt/httprouter"
	"github.com/pkg/errors"

	"github.com/currantferry/currantferry/config"
	"github.com/currantferry/currantferry/configstore"
	"github.com/currantferry/currantferry/control"
)

func (a *API) now() time.Time { return time.Now() }

// teamsPath starts the paths and lines that show hashes of tokens.
const teamsPath = "rules.teams"

// Changes is the body of /v1/changes, the latest change first.
type Changes struct {
	Changes []config.Change `json:"changes"`
}

// defaultChanges are listed where the request states no limit.
const defaultChanges = 50

func (a *API) getChanges(w http.ResponseWriter, r *http.Request, _ httprouter.Params) error {
	limit, err := number(r, "limit", defaultChanges)
	if err != nil {
		return err
	}
	s, err := a.snapshot()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(r.Context(), a.o.ReadTimeout)
	defer cancel()
	history, err := a.o.Backend.History(ctx)
	if err != nil {
		return readFailed(err)
	}
	out := Changes{Changes: []config.Change{}}
	hide := !seesTokens(r, s.Rules)
	for _, c := range slices.Backward(history) {
		if uint64(len(out.Changes)) == limit {
			break
		}
		if hide {
			c.What = hideWhat(c.What)
		}
		out.Changes = append(out.Changes, c)
	}
	reply(w, http.StatusOK, out)
	return nil
}

func versionOf(p httprouter.Params) (uint64, error) {
	v, err := strconv.ParseUint(p.ByName("version"), 10, 64)
	if err != nil || v == 0 {
		return 0, problem(http.StatusBadRequest, p.ByName("version")+" is not a version.", "Versions are numbers from 1, see /v1/changes.")
	}
	return v, nil
}

// DiffBody is the body of a diff.
type DiffBody struct {
	From  uint64              `json:"from"`
	To    uint64              `json:"to"`
	Total int                 `json:"total"`
	Diff  []config.Difference `json:"diff"`
}

func (a *API) getDiff(w http.ResponseWriter, r *http.Request, p httprouter.Params) error {
	to, err := versionOf(p)
	if err != nil {
		return err
	}
	from, err := number(r, "from", to-1)
	if err != nil {
		return err
	}
	s, err := a.snapshot()
	if err != nil {
		return err
	}
	end, err := a.alone(w, r)
	if err != nil {
		return err
	}
	defer end()
	ctx, cancel := context.WithTimeout(r.Context(), a.o.ReadTimeout)
	defer cancel()
	var sides [2]config.Content
	for i, v := range []uint64{from, to} {
		loaded := s
		if v != s.Head.Version {
			if loaded, err = a.o.Backend.LoadVersion(ctx, v); err != nil {
				return readFailed(err)
			}
		}
		sides[i] = loaded.Bare()
		if !seesTokens(r, s.Rules) {
			sides[i].Rules = hideTokens(sides[i].Rules)
		}
	}
	out := DiffBody{From: from, To: to, Diff: []config.Difference{}}
	list, total, err := config.Diff(sides[0], sides[1])
	if err != nil {
		return err
	}
	out.Diff, out.Total = append(out.Diff, list...), total
	reply(w, http.StatusOK, out)
	return nil
}

func (a *API) postRollForward(w http.ResponseWriter, r *http.Request, p httprouter.Params) error {
	to, err := versionOf(p)
	if err != nil {
		return err
	}
	c, err := a.begin(w, r, a.o.MaxBody)
	if err != nil {
		return err
	}
	defer c.end()
	if !c.who.platform {
		return problem(http.StatusForbidden, "Team "+c.who.name+" may not return to an earlier version, which undoes changes of all teams.", "Ask a platform team.")
	}
	result, ok, err := a.wasAccepted(r.Context(), c)
	if err != nil {
		return err
	}
	if !ok {
		ctx, cancel := context.WithTimeout(r.Context(), a.o.ChangeTimeout)
		defer cancel()
		if result, err = a.o.Backend.RollForward(ctx, c.base, to, c.meta); err != nil {
			return err
		}
	}
	a.accept(w, c, result)
	return nil
}

// postRestore repairs a store that was set back, for example from a backup. The
// version in If-Match must be the one in force, so that nobody writes back a
// version that is older than they believe.
func (a *API) postRestore(w http.ResponseWriter, r *http.Request, _ httprouter.Params) error {
	c, err := a.begin(w, r, a.o.MaxBody)
	if err != nil {
		return err
	}
	defer c.end()
	if !c.who.platform {
		return problem(http.StatusForbidden, "Team "+c.who.name+" may not write to the store directly.", "Ask a platform team.")
	}
	if version := c.current.Head.Version; c.base != version {
		return problem(http.StatusPreconditionFailed, "Version "+strconv.FormatUint(version, 10)+" is in force on this VM, not the one in If-Match.", nextReread)
	}
	ctx, cancel := context.WithTimeout(r.Context(), a.o.ChangeTimeout)
	defer cancel()
	if err := a.o.Backend.Restore(ctx); err != nil {
		return err
	}
	a.accept(w, c, configstore.Result{Version: c.base, ChangeID: c.meta.ChangeID})
	return nil
}

// Progress tells on how many VMs a version is in force.
type Progress struct {
	Version uint64 `json:"version"`
	InForce int    `json:"in_force"`
	Total   int    `json:"total"`
	// WithinMillis is from the acceptance of the change until the last VM that
	// has it was known to. Zero means that the time of acceptance is not known.
	WithinMillis int64 `json:"within_ms"`
	// Lagging names the VMs that have an older version or did not answer.
	Lagging []string `json:"lagging"`
	// Text is the same in words.
	Text string `json:"text"`
}

func (a *API) getProgress(w http.ResponseWriter, r *http.Request, p httprouter.Params) error {
	version, err := versionOf(p)
	if err != nil {
		return err
	}
	wait, err := number(r, "wait_ms", 0)
	if err != nil {
		return err
	}
	a.mu.Lock()
	done, ok := a.done[version]
	a.mu.Unlock()
	if !ok {
		if done, err = a.ask(r.Context(), version, min(time.Duration(wait)*time.Millisecond, maxWait)); err != nil {
			return err
		}
	}
	reply(w, http.StatusOK, done)
	return nil
}

// maxAsking bounds the reads that ask all VMs at the same time. They need no
// token, and each costs as many calls as there are VMs.
const maxAsking = 8

func (a *API) enter() error {
	select {
	case a.asking <- struct{}{}:
		return nil
	default:
		return problem(http.StatusServiceUnavailable, "This VM asks all others for too many readers already.", "Try again in a few seconds, or ask another VM.")
	}
}

func (a *API) leave() { <-a.asking }

// ask asks the VMs for at least one round.
func (a *API) ask(ctx context.Context, version uint64, wait time.Duration) (Progress, error) {
	s, err := a.snapshot()
	if err != nil {
		return Progress{}, err
	}
	accepted, err := a.acceptedAt(ctx, s, version)
	if err != nil {
		return Progress{}, err
	}
	if err := a.enter(); err != nil {
		return Progress{}, err
	}
	defer a.leave()
	out := Progress{Version: version}
	ctx, cancel := context.WithTimeout(ctx, max(wait, a.o.ReadTimeout))
	defer cancel()
	until := time.Now().Add(wait)
	round := func(p control.Progress) {
		if p.InForce > out.InForce && !accepted.IsZero() {
			out.WithinMillis = max(0, time.Since(accepted).Milliseconds())
		}
		out.InForce, out.Total, out.Lagging = p.InForce, p.Total, append([]string{}, p.Lagging...)
		if !time.Now().Before(until) {
			cancel()
		}
	}
	a.o.Backend.InForce(ctx, version, round)
	out.Text = "in force on " + strconv.Itoa(out.InForce) + " of " + strconv.Itoa(out.Total)
	if out.WithinMillis > 0 {
		out.Text += ", within " + strconv.FormatInt(out.WithinMillis, 10) + " ms"
	}
	if len(out.Lagging) > 0 {
		out.Text += "; lagging: " + strings.Join(out.Lagging[:min(len(out.Lagging), maxNamed)], ", ")
		return out, nil
	}
	a.mu.Lock()
	a.done[version] = out
	delete(a.done, version-maxAccepted)
	a.mu.Unlock()
	return out, nil
}

// maxNamed bounds the lagging VMs in a sentence; the list names all.
const maxNamed = 8

// acceptedAt returns when a change was accepted, as far as it is known here. A
// version above the one in force here is looked up, so that the progress of a
// version that never existed is not waited for.
func (a *API) acceptedAt(ctx context.Context, s *config.Snapshot, version uint64) (time.Time, error) {
	a.mu.Lock()
	at, ok := a.accepted[version]
	a.mu.Unlock()
	switch {
	case ok:
		return at, nil
	case version == s.Head.Version:
		return s.Head.At, nil
	case version < s.Head.Version:
		return time.Time{}, nil
	}
	ctx, cancel := context.WithTimeout(ctx, a.o.ReadTimeout)
	defer cancel()
	history, err := a.o.Backend.History(ctx)
	if err != nil {
		return time.Time{}, readFailed(err)
	}
	found, ok := history.Version(version)
	if !ok {
		return time.Time{}, errors.WithStack(configstore.ErrVersionGone)
	}
	return found.At, nil
}

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

// teamsPath is the prefix of the paths of differences that show hashes of tokens.
const teamsPath = "rules.teams"

// Changes is the body of /v1/changes, the latest change first.
type Changes struct {
	Changes []config.Change `json:"changes"`
}

// defaultChangeLimit is the number of changes that are listed if the request
// has no limit.
const defaultChangeLimit = 50

func (a *API) getChanges(w http.ResponseWriter, r *http.Request, _ httprouter.Params) error {
	limit, err := uintParam(r, "limit", defaultChangeLimit)
	if err != nil {
		return err
	}
	s, err := a.snapshot()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(r.Context(), a.opts.ReadTimeout)
	defer cancel()
	history, err := a.opts.Backend.History(ctx)
	if err != nil {
		return storeReadError(err)
	}
	out := Changes{Changes: []config.Change{}}
	redact := !canSeeTokenHashes(r, s.Rules)
	for _, c := range slices.Backward(history) {
		if uint64(len(out.Changes)) == limit {
			break
		}
		if redact {
			c.What = redactSummary(c.What)
		}
		out.Changes = append(out.Changes, c)
	}
	writeJSON(w, http.StatusOK, out)
	return nil
}

func versionParam(p httprouter.Params) (uint64, error) {
	v, err := strconv.ParseUint(p.ByName("version"), 10, 64)
	if err != nil || v == 0 {
		return 0, newProblem(http.StatusBadRequest, p.ByName("version")+" is not a version.", "Versions are numbers from 1, see /v1/changes.")
	}
	return v, nil
}

// DiffBody is the body of /v1/changes/:version/diff.
type DiffBody struct {
	From  uint64              `json:"from"`
	To    uint64              `json:"to"`
	Total int                 `json:"total"`
	Diff  []config.Difference `json:"diff"`
}

func (a *API) getDiff(w http.ResponseWriter, r *http.Request, p httprouter.Params) error {
	to, err := versionParam(p)
	if err != nil {
		return err
	}
	from, err := uintParam(r, "from", to-1)
	if err != nil {
		return err
	}
	s, err := a.snapshot()
	if err != nil {
		return err
	}
	release, err := a.acquireChangeLock(w, r)
	if err != nil {
		return err
	}
	defer release()
	ctx, cancel := context.WithTimeout(r.Context(), a.opts.ReadTimeout)
	defer cancel()
	var sides [2]config.Content
	for i, v := range []uint64{from, to} {
		loaded := s
		if v != s.Head.Version {
			if loaded, err = a.opts.Backend.LoadVersion(ctx, v); err != nil {
				return storeReadError(err)
			}
		}
		sides[i] = loaded.ContentWithStoredBlocks()
		if !canSeeTokenHashes(r, s.Rules) {
			sides[i].Rules = redactTokenHashes(sides[i].Rules)
		}
	}
	out := DiffBody{From: from, To: to, Diff: []config.Difference{}}
	list, total, err := config.Diff(sides[0], sides[1])
	if err != nil {
		return err
	}
	out.Diff, out.Total = append(out.Diff, list...), total
	writeJSON(w, http.StatusOK, out)
	return nil
}

func (a *API) postRollForward(w http.ResponseWriter, r *http.Request, p httprouter.Params) error {
	to, err := versionParam(p)
	if err != nil {
		return err
	}
	c, err := a.beginChange(w, r, a.opts.MaxBody)
	if err != nil {
		return err
	}
	defer c.release()
	if !c.who.platform {
		return newProblem(http.StatusForbidden, "Team "+c.who.name+" may not return to an earlier version, which undoes changes of all teams.", "Ask a platform team.")
	}
	result, ok, err := a.findAccepted(r.Context(), c)
	if err != nil {
		return err
	}
	if !ok {
		ctx, cancel := context.WithTimeout(r.Context(), a.opts.ChangeTimeout)
		defer cancel()
		if result, err = a.opts.Backend.RollForward(ctx, c.base, to, c.meta); err != nil {
			return err
		}
	}
	a.accept(w, c, result)
	return nil
}

// postRestore repairs a store whose version is older than the one in force, for
// example after a restore from a backup. The version in If-Match must be the one
// in force on this VM, so that an operator does not unknowingly write back an
// older version than intended.
func (a *API) postRestore(w http.ResponseWriter, r *http.Request, _ httprouter.Params) error {
	c, err := a.beginChange(w, r, a.opts.MaxBody)
	if err != nil {
		return err
	}
	defer c.release()
	if !c.who.platform {
		return newProblem(http.StatusForbidden, "Team "+c.who.name+" may not write to the store directly.", "Ask a platform team.")
	}
	if version := c.current.Head.Version; c.base != version {
		return newProblem(http.StatusPreconditionFailed, "Version "+strconv.FormatUint(version, 10)+" is in force on this VM, not the one in If-Match.", nextReread)
	}
	ctx, cancel := context.WithTimeout(r.Context(), a.opts.ChangeTimeout)
	defer cancel()
	if err := a.opts.Backend.Restore(ctx); err != nil {
		return err
	}
	a.accept(w, c, configstore.Result{Version: c.base, ChangeID: c.meta.ChangeID})
	return nil
}

// Progress is the number of VMs on which a version is in force.
type Progress struct {
	Version uint64 `json:"version"`
	InForce int    `json:"in_force"`
	Total   int    `json:"total"`
	// WithinMillis is the time from the acceptance of the change until the last
	// VM that has it was observed to have it. Zero means that the time of
	// acceptance is unknown.
	WithinMillis int64 `json:"within_ms"`
	// Lagging names the VMs that have an older version or did not answer.
	Lagging []string `json:"lagging"`
	// Text is a sentence with the same information.
	Text string `json:"text"`
}

func (a *API) getProgress(w http.ResponseWriter, r *http.Request, p httprouter.Params) error {
	version, err := versionParam(p)
	if err != nil {
		return err
	}
	wait, err := uintParam(r, "wait_ms", 0)
	if err != nil {
		return err
	}
	a.mu.Lock()
	progress, ok := a.finalProgress[version]
	a.mu.Unlock()
	if !ok {
		if progress, err = a.queryProgress(r.Context(), version, min(time.Duration(wait)*time.Millisecond, maxProgressWait)); err != nil {
			return err
		}
	}
	writeJSON(w, http.StatusOK, progress)
	return nil
}

// maxFanOutReads bounds the concurrent reads that query all VMs. Such a read
// needs no token and costs as many calls as there are VMs.
const maxFanOutReads = 8

// acquireFanOut takes one of the maxFanOutReads slots, or returns a 503 if all are
// in use.
func (a *API) acquireFanOut() error {
	select {
	case a.fanOutSlots <- struct{}{}:
		return nil
	default:
		return newProblem(http.StatusServiceUnavailable, "This VM asks all others for too many readers already.", "Try again in a few seconds, or ask another VM.")
	}
}

func (a *API) releaseFanOut() { <-a.fanOutSlots }

// queryProgress queries the versions of all VMs, in one or more rounds, until
// each has the given version or wait has passed.
func (a *API) queryProgress(ctx context.Context, version uint64, wait time.Duration) (Progress, error) {
	s, err := a.snapshot()
	if err != nil {
		return Progress{}, err
	}
	accepted, err := a.acceptanceTime(ctx, s, version)
	if err != nil {
		return Progress{}, err
	}
	if err := a.acquireFanOut(); err != nil {
		return Progress{}, err
	}
	defer a.releaseFanOut()
	out := Progress{Version: version}
	ctx, cancel := context.WithTimeout(ctx, max(wait, a.opts.ReadTimeout))
	defer cancel()
	deadline := time.Now().Add(wait)
	onRound := func(p control.Progress) {
		if p.InForce > out.InForce && !accepted.IsZero() {
			out.WithinMillis = max(0, time.Since(accepted).Milliseconds())
		}
		out.InForce, out.Total, out.Lagging = p.InForce, p.Total, append([]string{}, p.Lagging...)
		if !time.Now().Before(deadline) {
			cancel()
		}
	}
	a.opts.Backend.AwaitInForce(ctx, version, onRound)
	out.Text = "in force on " + strconv.Itoa(out.InForce) + " of " + strconv.Itoa(out.Total)
	if out.WithinMillis > 0 {
		out.Text += ", within " + strconv.FormatInt(out.WithinMillis, 10) + " ms"
	}
	if len(out.Lagging) > 0 {
		out.Text += "; lagging: " + strings.Join(out.Lagging[:min(len(out.Lagging), maxNamedVMs)], ", ")
		return out, nil
	}
	a.mu.Lock()
	a.finalProgress[version] = out
	delete(a.finalProgress, version-maxRememberedVersions)
	a.mu.Unlock()
	return out, nil
}

// maxNamedVMs bounds the lagging VMs that Progress.Text names; Progress.Lagging
// has all of them.
const maxNamedVMs = 8

// acceptanceTime returns when a change was accepted, or the zero time if this VM
// doesn't know. A version above the one in force on this VM is looked up in the
// history, so that no request waits for a version that never existed.
func (a *API) acceptanceTime(ctx context.Context, s *config.Snapshot, version uint64) (time.Time, error) {
	a.mu.Lock()
	at, ok := a.acceptedTimes[version]
	a.mu.Unlock()
	switch {
	case ok:
		return at, nil
	case version == s.Head.Version:
		return s.Head.At, nil
	case version < s.Head.Version:
		return time.Time{}, nil
	}
	ctx, cancel := context.WithTimeout(ctx, a.opts.ReadTimeout)
	defer cancel()
	history, err := a.opts.Backend.History(ctx)
	if err != nil {
		return time.Time{}, storeReadError(err)
	}
	found, ok := history.Version(version)
	if !ok {
		return time.Time{}, errors.WithStack(configstore.ErrVersionGone)
	}
	return found.At, nil
}

package admin

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/currantferry/currantferry/config"
	"github.com/currantferry/currantferry/configstore"
	"github.com/currantferry/currantferry/event"
	"github.com/currantferry/currantferry/rules"
)

// Request headers of a change.
const (
	HeaderChangeID = "Change-Id"
	HeaderWhy      = "Change-Why"
	HeaderBy       = "Change-By"
)

// Accepted is the response to a change that took effect.
type Accepted struct {
	Version  uint64 `json:"version"`
	ChangeID string `json:"change_id"`
	// Resent means that an earlier send of the change was accepted.
	Resent bool `json:"resent"`
	// Merged means that the change was merged with changes made to other elements
	// since the version in If-Match.
	Merged bool `json:"merged"`
	// Progress is the path of the change's progress.
	Progress string `json:"progress"`
}

// change is a change in progress.
type change struct {
	who identity
	// base is the version in If-Match.
	base    uint64
	meta    config.Meta
	body    []byte
	current *config.Snapshot
	// release releases the change lock.
	release func()
}

// bodyTimeout bounds how long a client may take to send a body while it holds the
// change lock.
const bodyTimeout = 30 * time.Second

// acquireChangeLock waits until no other change, diff or preview is in progress
// on this VM, and starts the deadline for the body. A change of a register with
// 780,000 client blocks takes several 100 MB of memory, so two at a time could
// get the process killed.
func (a *API) acquireChangeLock(w http.ResponseWriter, r *http.Request) (release func(), err error) {
	t := time.NewTimer(a.opts.ChangeTimeout)
	defer t.Stop()
	select {
	case a.changeLock <- struct{}{}:
	case <-r.Context().Done():
		return nil, r.Context().Err()
	case <-t.C:
		return nil, newProblem(http.StatusServiceUnavailable, "Another change is being made on this VM. Nothing was changed.", nextResend)
	}
	// The error is ignored, because the response writers of tests do not support
	// deadlines.
	_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(bodyTimeout))
	return func() {
		_ = http.NewResponseController(w).SetReadDeadline(time.Time{})
		<-a.changeLock
	}, nil
}

func etag(version uint64) string { return `"` + strconv.FormatUint(version, 10) + `"` }

func (a *API) snapshot() (*config.Snapshot, error) {
	s := a.opts.Backend.Snapshot()
	if s == nil {
		return nil, configstore.ErrNoVersion
	}
	return s, nil
}

// beginChange authenticates a change, acquires the change lock, and reads the
// headers and the body. The caller must call release.
func (a *API) beginChange(w http.ResponseWriter, r *http.Request, limit int64) (*change, error) {
	s, err := a.snapshot()
	if err != nil {
		return nil, err
	}
	c := &change{current: s}
	if c.who, err = identify(r, s.Rules); err != nil {
		return nil, err
	}
	ifMatch := r.Header.Get("If-Match")
	if ifMatch == "" {
		return nil, newProblem(http.StatusPreconditionRequired, "A change needs If-Match with the version that it is based on.",
			"Read the current version and send its ETag in If-Match.")
	}
	if c.base, err = strconv.ParseUint(strings.Trim(ifMatch, `"`), 10, 64); err != nil || c.base == 0 {
		return nil, newProblem(http.StatusBadRequest, "If-Match is not a version, for example \"17\".", "Send the ETag of the version that the change is based on.")
	}
	if c.release, err = a.acquireChangeLock(w, r); err != nil {
		return nil, err
	}
	if c.body, err = readBody(w, r, limit); err == nil {
		err = c.readMeta(r)
	}
	if err != nil {
		c.release()
		return nil, err
	}
	return c, nil
}

// fingerprintBytes is the length of the request's hash that is appended to the
// operator's change ID, so that reuse of the ID for another change is detected.
const fingerprintBytes = 4

// readMeta sets the change's metadata from the headers and the fingerprint.
func (c *change) readMeta(r *http.Request) error {
	id, why, by := r.Header.Get(HeaderChangeID), r.Header.Get(HeaderWhy), r.Header.Get(HeaderBy)
	if id == "" || strings.Contains(id, "~") {
		return newProblem(http.StatusBadRequest, "A change needs a Change-Id without ~, which makes a resend safe.", "Send a new random Change-Id with each change.")
	}
	if why == "" {
		return newProblem(http.StatusBadRequest, "A change needs a reason.", "Send it in Change-Why.")
	}
	if by == "" {
		by = "-"
	}
	h := sha256.New()
	for _, part := range []string{r.Method, r.URL.Path, strconv.FormatUint(c.base, 10), c.who.name, string(c.body)} {
		h.Write([]byte(part + "\x00"))
	}
	c.meta = config.Meta{
		ChangeID: id + "~" + hex.EncodeToString(h.Sum(nil)[:fingerprintBytes]),
		By:       c.who.name + ":" + by, At: time.Now().UTC(), Why: why,
	}
	if err := c.meta.Validate(); err != nil {
		return newProblem(http.StatusBadRequest, err.Error(), "")
	}
	return nil
}

// findAccepted looks for the result of an earlier send of the change. It refuses
// a Change-Id that was used for another change.
func (a *API) findAccepted(ctx context.Context, c *change) (configstore.Result, bool, error) {
	ctx, cancel := context.WithTimeout(ctx, a.opts.ReadTimeout)
	defer cancel()
	history, err := a.opts.Backend.History(ctx)
	if err != nil {
		return configstore.Result{}, false, storeReadError(err)
	}
	if found, ok := history.Find(c.meta.ChangeID); ok {
		return configstore.Result{Version: found.Version, ChangeID: found.ChangeID, Resent: true}, true, nil
	}
	prefix, _, _ := strings.Cut(c.meta.ChangeID, "~")
	for _, h := range history {
		if strings.HasPrefix(h.ChangeID, prefix+"~") {
			return configstore.Result{}, false, newProblem(http.StatusUnprocessableEntity,
				"The Change-Id was used for another change (version "+strconv.FormatUint(h.Version, 10)+").", "Send a new random Change-Id.")
		}
	}
	return configstore.Result{}, false, nil
}

// baseContent returns the content of the version that a change is based on.
func (a *API) baseContent(ctx context.Context, c *change) (config.Content, error) {
	if c.base == c.current.Head.Version {
		return c.current.ContentWithStoredBlocks(), nil
	}
	ctx, cancel := context.WithTimeout(ctx, a.opts.ReadTimeout)
	defer cancel()
	s, err := a.opts.Backend.LoadVersion(ctx, c.base)
	if errors.Is(err, configstore.ErrVersionGone) {
		return config.Content{}, staleVersion(c.base, err)
	}
	if err != nil {
		return config.Content{}, storeReadError(err)
	}
	return s.ContentWithStoredBlocks(), nil
}

// apply edits the base version and publishes the result.
func (a *API) apply(w http.ResponseWriter, r *http.Request, c *change, edit func(*config.Content) error) error {
	result, ok, err := a.findAccepted(r.Context(), c)
	if err != nil {
		return err
	}
	if !ok {
		before, err := a.baseContent(r.Context(), c)
		if err != nil {
			return err
		}
		after := cloneContent(before)
		if err := edit(&after); err != nil {
			return err
		}
		if err := after.Validate(); err != nil {
			return err
		}
		if err := checkPermission(c.who, c.current, before, after); err != nil {
			return err
		}
		ctx, cancel := context.WithTimeout(r.Context(), a.opts.ChangeTimeout)
		defer cancel()
		if result, err = a.opts.Backend.Publish(ctx, c.base, after, c.meta); err != nil {
			return redactConflict(c.who, err)
		}
	}
	a.accept(w, c, result)
	return nil
}

// cloneContent copies the parts of the content that edits modify in place.
func cloneContent(c config.Content) config.Content {
	ruleSet, reg := *c.Rules, *c.Register
	ruleSet.Caps = slices.Clone(ruleSet.Caps)
	ruleSet.Drains = slices.Clone(ruleSet.Drains)
	ruleSet.Teams = slices.Clone(ruleSet.Teams)
	return config.Content{Register: &reg, Rules: &ruleSet, Kept: c.Kept}
}

// maxRememberedVersions bounds the versions whose acceptance time and final
// progress are kept in memory.
const maxRememberedVersions = 256

// accept records and logs that a change was accepted, and writes the response.
func (a *API) accept(w http.ResponseWriter, c *change, result configstore.Result) {
	a.mu.Lock()
	if _, ok := a.acceptedTimes[result.Version]; !ok && !result.Resent {
		a.acceptedTimes[result.Version] = c.meta.At
	}
	delete(a.acceptedTimes, result.Version-maxRememberedVersions)
	a.mu.Unlock()
	event.AdminChange.Log(a.opts.Log, "version", result.Version, "change", result.ChangeID, "by", c.meta.By, "resent", result.Resent, "merged", result.Merged)
	version := strconv.FormatUint(result.Version, 10)
	w.Header().Set("ETag", etag(result.Version))
	writeJSON(w, http.StatusOK, Accepted{
		Version: result.Version, ChangeID: result.ChangeID, Resent: result.Resent, Merged: result.Merged,
		Progress: "/v1/changes/" + version + "/progress",
	})
}

// redactConflict removes the hashes of tokens from a conflict, unless it is sent
// to a platform identity.
func redactConflict(who identity, err error) error {
	var conflict *config.ConflictError
	if who.platform || !errors.As(err, &conflict) {
		return err
	}
	shown := *conflict
	shown.MyDiff, shown.TheirDiff = redactDiff(conflict.MyDiff), redactDiff(conflict.TheirDiff)
	shown.Theirs = slices.Clone(conflict.Theirs)
	for i := range shown.Theirs {
		shown.Theirs[i].What = redactSummary(shown.Theirs[i].What)
	}
	return &shown
}

func redactDiff(list []config.Difference) []config.Difference {
	return slices.DeleteFunc(slices.Clone(list), func(d config.Difference) bool { return strings.HasPrefix(d.Path, teamsPath) })
}

// redactSummary truncates the lines of a change's summary that show hashes of
// tokens.
func redactSummary(what []string) []string {
	out := slices.Clone(what)
	for i, line := range out {
		if before, _, ok := strings.Cut(line, teamsPath); ok {
			out[i] = before + teamsPath
		}
	}
	return out
}

// redactTokenHashes returns a copy of the rules without the hashes of tokens.
func redactTokenHashes(ruleSet *rules.Rules) *rules.Rules {
	c := *ruleSet
	c.Teams = slices.Clone(ruleSet.Teams)
	for i := range c.Teams {
		c.Teams[i].TokenHashes = nil
	}
	return &c
}

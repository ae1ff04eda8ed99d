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

// Headers of a change.
const (
	HeaderChangeID = "Change-Id"
	HeaderWhy      = "Change-Why"
	HeaderBy       = "Change-By"
)

// Accepted answers a change that took effect.
type Accepted struct {
	Version  uint64 `json:"version"`
	ChangeID string `json:"change_id"`
	// Resent means that the change had been accepted before.
	Resent bool `json:"resent"`
	// Merged means that others changed other things since If-Match.
	Merged bool `json:"merged"`
	// Progress is where the change's progress is read.
	Progress string `json:"progress"`
}

// change is a change that is being made.
type change struct {
	who     identity
	base    uint64
	meta    config.Meta
	body    []byte
	current *config.Snapshot
	// end lets the next change begin.
	end func()
}

// bodyTimeout bounds how long a client may take to send a body while others
// wait.
const bodyTimeout = 30 * time.Second

// alone waits until no other change is being made on this VM. A change of a
// register with 780,000 client blocks takes several 100 MB, so that two at a
// time could end the process.
func (a *API) alone(w http.ResponseWriter, r *http.Request) (end func(), err error) {
	t := time.NewTimer(a.o.ChangeTimeout)
	defer t.Stop()
	select {
	case a.changing <- struct{}{}:
	case <-r.Context().Done():
		return nil, r.Context().Err()
	case <-t.C:
		return nil, problem(http.StatusServiceUnavailable, "Another change is being made on this VM. Nothing was changed.", nextResend)
	}
	// Tests without a connection have no deadline.
	_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(bodyTimeout))
	return func() {
		_ = http.NewResponseController(w).SetReadDeadline(time.Time{})
		<-a.changing
	}, nil
}

func etag(version uint64) string { return `"` + strconv.FormatUint(version, 10) + `"` }

func (a *API) snapshot() (*config.Snapshot, error) {
	s := a.o.Backend.Snapshot()
	if s == nil {
		return nil, configstore.ErrNoVersion
	}
	return s, nil
}

// begin checks who makes a change and reads its headers and body.
func (a *API) begin(w http.ResponseWriter, r *http.Request, limit int64) (*change, error) {
	s, err := a.snapshot()
	if err != nil {
		return nil, err
	}
	c := &change{current: s}
	if c.who, err = identify(r, s.Rules); err != nil {
		return nil, err
	}
	match := r.Header.Get("If-Match")
	if match == "" {
		return nil, problem(http.StatusPreconditionRequired, "A change needs If-Match with the version that it is based on.",
			"Read the current version and send its ETag in If-Match.")
	}
	if c.base, err = strconv.ParseUint(strings.Trim(match, `"`), 10, 64); err != nil || c.base == 0 {
		return nil, problem(http.StatusBadRequest, "If-Match is not a version, for example \"17\".", "Send the ETag of the version that the change is based on.")
	}
	if c.end, err = a.alone(w, r); err != nil {
		return nil, err
	}
	if c.body, err = readBody(w, r, limit); err == nil {
		err = c.describe(r)
	}
	if err != nil {
		c.end()
		return nil, err
	}
	return c, nil
}

// fingerprintBytes of the request follow the operator's change ID, so that an ID
// that is used again for another change is noticed.
const fingerprintBytes = 4

func (c *change) describe(r *http.Request) error {
	id, why, by := r.Header.Get(HeaderChangeID), r.Header.Get(HeaderWhy), r.Header.Get(HeaderBy)
	if id == "" || strings.Contains(id, "~") {
		return problem(http.StatusBadRequest, "A change needs a Change-Id without ~, which makes a resend safe.", "Send a new random Change-Id with each change.")
	}
	if why == "" {
		return problem(http.StatusBadRequest, "A change needs a reason.", "Send it in Change-Why.")
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
		return problem(http.StatusBadRequest, err.Error(), "")
	}
	return nil
}

// accepted finds the result of an earlier send of the change.
func (a *API) wasAccepted(ctx context.Context, c *change) (configstore.Result, bool, error) {
	ctx, cancel := context.WithTimeout(ctx, a.o.ReadTimeout)
	defer cancel()
	history, err := a.o.Backend.History(ctx)
	if err != nil {
		return configstore.Result{}, false, readFailed(err)
	}
	if found, ok := history.Find(c.meta.ChangeID); ok {
		return configstore.Result{Version: found.Version, ChangeID: found.ChangeID, Resent: true}, true, nil
	}
	prefix, _, _ := strings.Cut(c.meta.ChangeID, "~")
	for _, h := range history {
		if strings.HasPrefix(h.ChangeID, prefix+"~") {
			return configstore.Result{}, false, problem(http.StatusUnprocessableEntity,
				"The Change-Id was used for another change (version "+strconv.FormatUint(h.Version, 10)+").", "Send a new random Change-Id.")
		}
	}
	return configstore.Result{}, false, nil
}

// content returns the content of the version that a change is based on.
func (a *API) content(ctx context.Context, c *change) (config.Content, error) {
	if c.base == c.current.Head.Version {
		return c.current.Bare(), nil
	}
	ctx, cancel := context.WithTimeout(ctx, a.o.ReadTimeout)
	defer cancel()
	s, err := a.o.Backend.LoadVersion(ctx, c.base)
	if errors.Is(err, configstore.ErrVersionGone) {
		return config.Content{}, stale(c.base, err)
	}
	if err != nil {
		return config.Content{}, readFailed(err)
	}
	return s.Bare(), nil
}

// apply edits the base version and publishes the result.
func (a *API) apply(w http.ResponseWriter, r *http.Request, c *change, edit func(*config.Content) error) error {
	result, ok, err := a.wasAccepted(r.Context(), c)
	if err != nil {
		return err
	}
	if !ok {
		was, err := a.content(r.Context(), c)
		if err != nil {
			return err
		}
		is := clone(was)
		if err := edit(&is); err != nil {
			return err
		}
		if err := is.Validate(); err != nil {
			return err
		}
		if err := permit(c.who, c.current, was, is); err != nil {
			return err
		}
		ctx, cancel := context.WithTimeout(r.Context(), a.o.ChangeTimeout)
		defer cancel()
		if result, err = a.o.Backend.Publish(ctx, c.base, is, c.meta); err != nil {
			return hideConflict(c.who, err)
		}
	}
	a.accept(w, c, result)
	return nil
}

// clone copies what edits change in place.
func clone(c config.Content) config.Content {
	in, reg := *c.Rules, *c.Register
	in.Caps = slices.Clone(in.Caps)
	in.Drains = slices.Clone(in.Drains)
	in.Teams = slices.Clone(in.Teams)
	return config.Content{Register: &reg, Rules: &in, Kept: c.Kept}
}

// maxAccepted bounds the versions whose times are remembered.
const maxAccepted = 256

func (a *API) accept(w http.ResponseWriter, c *change, result configstore.Result) {
	a.mu.Lock()
	if _, ok := a.accepted[result.Version]; !ok && !result.Resent {
		a.accepted[result.Version] = c.meta.At
	}
	delete(a.accepted, result.Version-maxAccepted)
	a.mu.Unlock()
	event.AdminChange.Log(a.o.Log, "version", result.Version, "change", result.ChangeID, "by", c.meta.By, "resent", result.Resent, "merged", result.Merged)
	version := strconv.FormatUint(result.Version, 10)
	w.Header().Set("ETag", etag(result.Version))
	reply(w, http.StatusOK, Accepted{
		Version: result.Version, ChangeID: result.ChangeID, Resent: result.Resent, Merged: result.Merged,
		Progress: "/v1/changes/" + version + "/progress",
	})
}

// hideConflict removes the hashes of tokens from a conflict that is shown to a
// team.
func hideConflict(who identity, err error) error {
	var conflict *config.ConflictError
	if who.platform || !errors.As(err, &conflict) {
		return err
	}
	shown := *conflict
	shown.MyDiff, shown.TheirDiff = hideDiff(conflict.MyDiff), hideDiff(conflict.TheirDiff)
	shown.Theirs = slices.Clone(conflict.Theirs)
	for i := range shown.Theirs {
		shown.Theirs[i].What = hideWhat(shown.Theirs[i].What)
	}
	return &shown
}

func hideDiff(list []config.Difference) []config.Difference {
	return slices.DeleteFunc(slices.Clone(list), func(d config.Difference) bool { return strings.HasPrefix(d.Path, teamsPath) })
}

// hideWhat cuts the lines of a change that show hashes of tokens.
func hideWhat(what []string) []string {
	out := slices.Clone(what)
	for i, line := range out {
		if before, _, ok := strings.Cut(line, teamsPath); ok {
			out[i] = before + teamsPath
		}
	}
	return out
}

// hideTokens returns the rules without the hashes of tokens.
func hideTokens(in *rules.Rules) *rules.Rules {
	c := *in
	c.Teams = slices.Clone(in.Teams)
	for i := range c.Teams {
		c.Teams[i].TokenHashes = nil
	}
	return &c
}

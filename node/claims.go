package node

import (
	"context"
	"encoding/binary"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/currantferry/currantferry/once"
	"github.com/currantferry/currantferry/once/oncerpc"
	"github.com/currantferry/currantferry/proxy"
)

var _ proxy.Claimer = (*claimer)(nil)

// claimer adapts the at-most-once runner to the request path.
type claimer struct{ runner *oncerpc.Runner }

// releaseTimeout bounds how long Release waits in the background. The runner repeats
// the release for longer.
const releaseTimeout = 5 * time.Second

// Claim implements proxy.Claimer.
func (c *claimer) Claim(ctx context.Context, service, key string, fingerprint [32]byte) (proxy.Claim, error) {
	grant, err := c.runner.Claim(ctx, once.KeyOf(service, key), binary.BigEndian.Uint64(fingerprint[:8]))
	if err == nil {
		return &claim{grant: grant}, nil
	}
	var done *oncerpc.DoneError
	if !errors.As(err, &done) {
		return nil, err
	}
	if done.Answer == nil || done.Answer.Body == nil {
		return nil, done.Err
	}
	return &claim{kept: &proxy.Answer{Status: done.Answer.Status, Header: http.Header(done.Answer.Header), Body: done.Answer.Body}}, nil
}

type claim struct {
	grant *oncerpc.Grant
	kept  *proxy.Answer
}

// Kept implements proxy.Claim.
func (c *claim) Kept() *proxy.Answer { return c.kept }

// Release implements proxy.Claim. It does not wait for the runner, because the
// refusal must reach the caller at once.
func (c *claim) Release() {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
		defer cancel()
		_ = c.grant.Release(ctx)
	}()
}

// MarkUnknown implements proxy.Claim.
func (c *claim) MarkUnknown() { c.grant.MarkUnknown() }

// Done implements proxy.Claim.
func (c *claim) Done(a *proxy.Answer) {
	if a.Body == nil {
		c.grant.Done(a.Status, nil)
		return
	}
	c.grant.Done(a.Status, &oncerpc.Answer{Status: a.Status, Header: a.Header, Body: a.Body})
}

package node

import (
	"context"
	"time"

	"github.com/currantferry/currantferry/admin"
	"github.com/currantferry/currantferry/config"
	"github.com/currantferry/currantferry/configstore"
	"github.com/currantferry/currantferry/control"
	"github.com/currantferry/currantferry/drain"
	"github.com/currantferry/currantferry/event"
	"github.com/currantferry/currantferry/report"
)

// adminBackend implements the backend of the administration API for a Node.
type adminBackend struct{ n *Node }

var _ admin.Backend = adminBackend{}

// Snapshot implements admin.Backend.
func (o adminBackend) Snapshot() *config.Snapshot { return o.n.control.Snapshot() }

// LoadVersion implements admin.Backend.
func (o adminBackend) LoadVersion(ctx context.Context, version uint64) (*config.Snapshot, error) {
	return o.n.control.Publisher().LoadVersion(ctx, version)
}

// History implements admin.Backend.
func (o adminBackend) History(ctx context.Context) (config.History, error) {
	return o.n.control.Publisher().History(ctx)
}

// Publish implements admin.Backend.
func (o adminBackend) Publish(ctx context.Context, base uint64, c config.Content, m config.Meta) (configstore.Result, error) {
	return o.n.control.Publish(ctx, base, c, m)
}

// RollForward implements admin.Backend.
func (o adminBackend) RollForward(ctx context.Context, base, to uint64, m config.Meta) (configstore.Result, error) {
	return o.n.control.RollForward(ctx, base, to, m)
}

// Restore implements admin.Backend.
func (o adminBackend) Restore(ctx context.Context) error {
	s := o.n.control.Snapshot()
	if s == nil {
		return configstore.ErrNoVersion
	}
	return o.n.control.Publisher().Restore(ctx, s)
}

// AwaitInForce implements admin.Backend.
func (o adminBackend) AwaitInForce(ctx context.Context, version uint64, report func(control.Progress)) control.Progress {
	return o.n.control.AwaitInForce(ctx, version, report)
}

// DrainProgress implements admin.Backend.
func (o adminBackend) DrainProgress() []drain.Progress {
	o.n.mu.Lock()
	defer o.n.mu.Unlock()
	return o.n.drains.Progress(time.Now())
}

// Report implements admin.Backend.
func (o adminBackend) Report() *report.Report { return o.n.Report() }

// Events implements admin.Backend.
func (o adminBackend) Events(since uint64) []event.Entry { return o.n.events.Since(since) }

// Health implements admin.Backend.
func (o adminBackend) Health() admin.Health {
	return admin.Health{Ready: o.n.control.IsReady(), Leaving: o.n.isLeaving()}
}

// Status implements admin.Backend.
func (o adminBackend) Status() any { return o.n.Status() }

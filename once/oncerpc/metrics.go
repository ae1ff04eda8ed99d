package oncerpc

import (
	"github.com/pkg/errors"
	"github.com/uber-go/tally/v4"

	"github.com/currantferry/currantferry/once"
	"github.com/currantferry/currantferry/store"
)

// metrics holds the metrics of a runner, which README.md of package once lists.
type metrics struct{ scope tally.Scope }

func newMetrics(s tally.Scope) *metrics {
	if s == nil {
		s = tally.NoopScope
	}
	return &metrics{scope: s.SubScope("once")}
}

func (m *metrics) inc(name string, tags map[string]string) { m.scope.Tagged(tags).Counter(name).Inc(1) }

func (m *metrics) claim(outcome string) { m.inc("claims", map[string]string{"outcome": outcome}) }

func (m *metrics) answer(outcome string) { m.inc("answers", map[string]string{"outcome": outcome}) }

func (m *metrics) change(r once.Reason, outcome string) {
	m.inc("view_changes", map[string]string{"reason": string(r), "outcome": outcome})
}

func (m *metrics) message(k once.Kind, outcome string) {
	m.inc("messages", map[string]string{"kind": k.String(), "outcome": outcome})
}

func (m *metrics) recordWrittenAgain() { m.inc("records_written_again", nil) }

func (m *metrics) storeCall(call string, err error) {
	outcome := "ok"
	switch {
	case errors.Is(err, store.ErrNotFound):
		outcome = "not_found"
	case errors.Is(err, store.ErrConflict):
		outcome = "conflict"
	case err != nil:
		outcome = "failed"
	}
	m.inc("store_calls", map[string]string{"call": call, "outcome": outcome})
}

func (m *metrics) usage(claims, bytes int) {
	m.scope.Gauge("claims_held").Update(float64(claims))
	m.scope.Gauge("claim_bytes").Update(float64(bytes))
}

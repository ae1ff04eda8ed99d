package proxy

import (
	"strconv"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
)

// latencyBuckets range from 5 ms to about 11 s, each 1.5 times the previous one.
var latencyBuckets = tally.MustMakeExponentialDurationBuckets(5*time.Millisecond, 1.5, 20)

// meters counts answers by service and status. A nil *meters counts nothing.
type meters struct {
	scope tally.Scope

	mu      sync.Mutex
	answers map[answerKey]answerMeter
}

type answerKey struct {
	service string
	status  int
}

type answerMeter struct {
	count   tally.Counter
	latency tally.Histogram
}

// recordAnswer counts a forwarded answer and records the time since its request
// arrived.
func (m *meters) recordAnswer(service string, status int, took time.Duration) {
	if m == nil {
		return
	}
	key := answerKey{service, status}
	m.mu.Lock()
	a, ok := m.answers[key]
	if !ok {
		scope := m.scope.Tagged(map[string]string{"service": service, "status": strconv.Itoa(status)})
		a = answerMeter{scope.Counter("answers"), scope.Histogram("answer_seconds", latencyBuckets)}
		m.answers[key] = a
	}
	m.mu.Unlock()
	a.count.Inc(1)
	a.latency.RecordDuration(took)
}

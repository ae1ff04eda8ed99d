package proxy

import (
	"log/slog"
	"sync"

	"github.com/uber-go/tally/v4"

	"github.com/currantferry/currantferry/event"
	"github.com/currantferry/currantferry/metric"
)

const (
	// maxUnknownHeaders bounds the pairs of service and header that are logged, since
	// instances choose the names.
	maxUnknownHeaders = 64
	// maxHeaderNameBytes is the length from which on a name is cut in the log.
	maxHeaderNameBytes = 100
)

// unknownHeaders counts the answers' protocol headers that this release does not know, and
// logs each once per service.
type unknownHeaders struct {
	log     *slog.Logger
	counter tally.Counter

	mu   sync.Mutex
	seen map[[2]string]bool
}

func newUnknownHeaders(log *slog.Logger, metrics *metric.Set) *unknownHeaders {
	u := &unknownHeaders{log: log, seen: make(map[[2]string]bool)}
	if metrics != nil {
		u.counter = metrics.Scope().Counter("unknown_headers")
	}
	return u
}

func (u *unknownHeaders) record(service, instance string, names []string) {
	if u.counter != nil {
		u.counter.Inc(int64(len(names)))
	}
	for _, name := range names {
		name = name[:min(len(name), maxHeaderNameBytes)]
		if u.isNew([2]string{service, name}) {
			event.UnknownHeader.Log(u.log, "service", service, "instance", instance, "header", name)
		}
	}
}

func (u *unknownHeaders) isNew(pair [2]string) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.seen[pair] || len(u.seen) >= maxUnknownHeaders {
		return false
	}
	u.seen[pair] = true
	return true
}

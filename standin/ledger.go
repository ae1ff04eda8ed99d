package standin

import (
	"net/http"
	"sort"
	"strings"
	"sync"
)

// Ledger records which requests ran on which instances. It is safe for
// concurrent use, and may be shared by many instances.
type Ledger struct {
	mu sync.Mutex
	// started holds the instances on which each key started. finished counts its complete
	// runs, and cutOff those that were cut off.
	started  map[string][]string
	finished map[string]int
	cutOff   map[string]int
	total    int
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	return &Ledger{started: make(map[string][]string), finished: make(map[string]int), cutOff: make(map[string]int)}
}

// Key returns the key under which a request is recorded: its idempotency key, or else its
// request ID.
func Key(h http.Header) string {
	if key := h.Get("Idempotency-Key"); key != "" {
		return key
	}
	return h.Get(HeaderRequestID)
}

func (l *Ledger) begin(r *http.Request, instance string) {
	key := Key(r.Header)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.total++
	if key != "" {
		l.started[key] = append(l.started[key], instance)
	}
}

func (l *Ledger) end(r *http.Request, complete bool) {
	key := Key(r.Header)
	l.mu.Lock()
	defer l.mu.Unlock()
	if complete {
		l.finished[key]++
	} else {
		l.cutOff[key]++
	}
}

// Runs returns the instances on which key started, in order.
func (l *Ledger) Runs(key string) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]string(nil), l.started[key]...)
}

// Keys returns, for each key with the prefix, the instances on which it started.
func (l *Ledger) Keys(prefix string) map[string][]string {
	l.mu.Lock()
	defer l.mu.Unlock()
	keys := make(map[string][]string)
	for key, instances := range l.started {
		if strings.HasPrefix(key, prefix) {
			keys[key] = append([]string(nil), instances...)
		}
	}
	return keys
}

// Total returns the number of requests that started.
func (l *Ledger) Total() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.total
}

// RunTwice returns those of the given keys that started more than once.
func (l *Ledger) RunTwice(keys []string) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var repeated []string
	for _, k := range keys {
		if len(l.started[k]) > 1 {
			repeated = append(repeated, k)
		}
	}
	sort.Strings(repeated)
	return repeated
}

// CutOff returns the number of keys of which a run was cut off because its connection
// ended.
func (l *Ledger) CutOff() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.cutOff)
}

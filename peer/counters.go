package peer

import (
	"sync"
	"sync/atomic"

	"github.com/uber-go/tally/v4"
)

// Counters counts messages, bytes and refusals of servers and pools. The zero
// value counts without reporting. It is safe for concurrent use.
type Counters struct {
	// Scope receives the counts as metrics. Nil means none.
	Scope tally.Scope

	bytesIn  atomic.Int64
	bytesOut atomic.Int64
	mu       sync.Mutex
	counts   map[string]int64
}

// Bytes returns the bytes received and sent on all connections.
func (c *Counters) Bytes() (in, out int64) { return c.bytesIn.Load(), c.bytesOut.Load() }

// Counts returns the calls by name and the refusals by "refused/REASON".
func (c *Counters) Counts() map[string]int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := make(map[string]int64, len(c.counts))
	for k, v := range c.counts {
		out[k] = v
	}
	return out
}

func (c *Counters) countReceived(n int) {
	c.bytesIn.Add(int64(n))
	if c.Scope != nil {
		c.Scope.Counter("peer_bytes_in").Inc(int64(n))
	}
}

func (c *Counters) countSent(n int) {
	c.bytesOut.Add(int64(n))
	if c.Scope != nil {
		c.Scope.Counter("peer_bytes_out").Inc(int64(n))
	}
}

func (c *Counters) countCall(name string) { c.count(name, "peer_calls", "call", name) }

func (c *Counters) countRefusal(reason string) {
	c.count("refused/"+reason, "peer_refusals", "reason", reason)
}

// count adds one to a count and to its metric. The test of the metric descriptions
// finds metric names by calls of this name.
func (c *Counters) count(key, metric, tag, value string) {
	c.mu.Lock()
	if c.counts == nil {
		c.counts = make(map[string]int64)
	}
	c.counts[key]++
	c.mu.Unlock()
	if c.Scope != nil {
		c.Scope.Tagged(map[string]string{tag: value}).Counter(metric).Inc(1)
	}
}

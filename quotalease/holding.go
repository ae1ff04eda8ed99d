package quotalease

import (
	"time"
)

const (
	// maxHold is how long a VM keeps tokens before it returns them.
	maxHold = 250 * time.Millisecond
	// demandHeadroom is the number of tokens that a VM asks for in units of its recent
	// demand.
	demandHeadroom = 1.5
	// demandDecay is the weight of older demand after each request for tokens.
	demandDecay = 0.5
	// maxWanted bounds the tokens of one request.
	maxWanted = 1 << 16
)

// Holding is a VM's tokens for one process.
type Holding struct {
	batches []batch
	// taken and unmet count requests since the last Want that took a token, or found none.
	taken, unmet int
	// waiting is the number of unmet requests that may still take a token which they caused
	// to be asked for, so that they are not counted twice.
	waiting int
	// demand is the recent number of requests between two calls of Want.
	demand float64
	// Stats counts since the holding was created.
	Stats Stats
}

// Stats counts tokens and requests.
type Stats struct {
	// Taken is the number of tokens used, Unmet the requests that found none, and Returned
	// the tokens that were given back.
	Taken, Unmet, Returned int
}

// batch is a number of tokens that were leased together.
type batch struct {
	tokens   int
	received time.Time
	expires  time.Time
}

// Has reports whether there is a token.
func (h *Holding) Has(now time.Time) bool {
	for len(h.batches) > 0 && (h.batches[0].tokens == 0 || !now.Before(h.batches[0].expires)) {
		h.batches = h.batches[1:]
	}
	return len(h.batches) > 0
}

// Take uses a token, or returns false if there is none.
func (h *Holding) Take(now time.Time) bool {
	if !h.Has(now) {
		return false
	}
	h.batches[0].tokens--
	h.Stats.Taken++
	if h.waiting > 0 {
		h.waiting--
		h.Stats.Unmet--
	} else {
		h.taken++
	}
	return true
}

// RecordUnmet counts a request that would have used a token.
func (h *Holding) RecordUnmet() {
	h.unmet++
	h.waiting++
	h.Stats.Unmet++
}

// HasDemand reports whether there were requests since the last Want.
func (h *Holding) HasDemand() bool { return h.taken+h.unmet > 0 }

// IsIdle reports whether there is nothing to ask for or to return.
func (h *Holding) IsIdle() bool { return !h.HasDemand() && len(h.batches) == 0 && h.demand < 1 }

// Want returns the number of tokens to ask for, and how many are given back.
func (h *Holding) Want(now time.Time) (wanted, returned int) {
	seen := float64(h.taken + h.unmet)
	h.demand = max(seen, demandDecay*h.demand)
	h.waiting = h.unmet
	h.taken, h.unmet = 0, 0
	h.Has(now)
	held := 0
	for k := range h.batches {
		b := &h.batches[k]
		if now.Sub(b.received) > maxHold {
			if now.Before(b.expires) {
				returned += b.tokens
			}
			b.tokens = 0
		}
		held += b.tokens
	}
	h.Has(now)
	h.Stats.Returned += returned
	if h.demand < 1 {
		return 0, returned
	}
	return min(max(0, int(demandHeadroom*h.demand)-held), maxWanted), returned
}

// Add adds tokens that were leased for a request sent at the given time.
func (h *Holding) Add(now, requested time.Time, tokens int) {
	if expires := requested.Add(TokenTTL); tokens > 0 && now.Before(expires) {
		h.batches = append(h.batches, batch{tokens, now, expires})
	}
}

// Clear drops all tokens without returning them.
func (h *Holding) Clear() { h.batches = nil }

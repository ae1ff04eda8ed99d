package event

import (
	"context"
	"log/slog"
	"sync"
	"time"
)

// Entry is one logged event.
type Entry struct {
	// Seq increases by one with each entry of the process.
	Seq     uint64         `json:"seq"`
	At      time.Time      `json:"at"`
	ID      int            `json:"event"`
	Level   string         `json:"level"`
	Message string         `json:"message"`
	Fields  map[string]any `json:"fields,omitempty"`
}

// Ring keeps the latest numbered events. It is safe for concurrent use.
type Ring struct {
	mu      sync.Mutex
	entries []Entry
	next    uint64
}

// NewRing returns a ring that keeps the given number of entries.
func NewRing(size int) *Ring { return &Ring{entries: make([]Entry, max(1, size))} }

// Handler returns a handler that records numbered events of level info and above, and
// passes every log record on to next if next is enabled for its level.
func (r *Ring) Handler(next slog.Handler) slog.Handler { return &ringHandler{ring: r, next: next} }

// Since returns the kept entries with a sequence number above seq, oldest first.
func (r *Ring) Since(seq uint64) []Entry {
	r.mu.Lock()
	defer r.mu.Unlock()
	first := uint64(1)
	if size := uint64(len(r.entries)); r.next > size {
		first = r.next - size + 1
	}
	var out []Entry
	for s := max(first, seq+1); s <= r.next; s++ {
		out = append(out, r.entries[s%uint64(len(r.entries))])
	}
	return out
}

func (r *Ring) add(e Entry) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.next++
	e.Seq = r.next
	r.entries[e.Seq%uint64(len(r.entries))] = e
}

type ringHandler struct {
	ring  *Ring
	next  slog.Handler
	attrs []slog.Attr
}

func (h *ringHandler) Enabled(ctx context.Context, l slog.Level) bool {
	return l >= slog.LevelInfo || h.next.Enabled(ctx, l)
}

func (h *ringHandler) Handle(ctx context.Context, rec slog.Record) error {
	if rec.Level >= slog.LevelInfo {
		h.keep(rec)
	}
	if !h.next.Enabled(ctx, rec.Level) {
		return nil
	}
	return h.next.Handle(ctx, rec)
}

func (h *ringHandler) keep(rec slog.Record) {
	e := Entry{At: rec.Time, Level: rec.Level.String(), Message: rec.Message, Fields: make(map[string]any)}
	add := func(a slog.Attr) bool {
		if a.Key == "event" && a.Value.Kind() == slog.KindInt64 {
			e.ID = int(a.Value.Int64())
		} else {
			e.Fields[a.Key] = a.Value.Resolve().String()
		}
		return true
	}
	for _, a := range h.attrs {
		add(a)
	}
	rec.Attrs(add)
	if e.ID != 0 {
		h.ring.add(e)
	}
}

func (h *ringHandler) WithAttrs(attrs []slog.Attr) slog.Handler {
	joined := append(append([]slog.Attr(nil), h.attrs...), attrs...)
	return &ringHandler{ring: h.ring, next: h.next.WithAttrs(attrs), attrs: joined}
}

func (h *ringHandler) WithGroup(name string) slog.Handler {
	return &ringHandler{ring: h.ring, next: h.next.WithGroup(name), attrs: h.attrs}
}

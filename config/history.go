package config

import (
	"encoding/json"

	"github.com/pkg/errors"
)

// Limits of the history. Within them it fits into one chunk.
const (
	// MaxChanges is how many changes are kept, about one day at 2,100 changes a
	// day.
	MaxChanges = 2000
	// MaxWhatLines bounds the lines of Change.What, and MaxWhatLineBytes the length
	// of each.
	MaxWhatLines     = 8
	MaxWhatLineBytes = 160
	// maxHistoryBytes bounds the uncompressed size of the history.
	maxHistoryBytes = cutRawBytes
)

// Change is one entry of the history.
type Change struct {
	Version uint64 `json:"version"`
	Meta
	// What describes the change in a few lines; see Summary.
	What []string `json:"what,omitempty"`
	// Head refers to the archived head of the version. It is zero for the newest
	// version, whose head is not archived yet.
	Head ChunkRef `json:"head,omitzero"`
}

// History is the list of the most recent changes, oldest first.
type History []Change

// Find returns the change with the given ID.
func (h History) Find(changeID string) (Change, bool) {
	for i := len(h) - 1; i >= 0; i-- {
		if h[i].ChangeID == changeID {
			return h[i], true
		}
	}
	return Change{}, false
}

// Version returns the change that created version v.
func (h History) Version(v uint64) (Change, bool) {
	for i := len(h) - 1; i >= 0; i-- {
		if h[i].Version == v {
			return h[i], true
		}
	}
	return Change{}, false
}

// Since returns the changes that created the versions after v.
func (h History) Since(v uint64) History {
	for i := range h {
		if h[i].Version > v {
			return h[i:]
		}
	}
	return nil
}

// ParseHistory decodes the stored chunk of a history.
func ParseHistory(data []byte) (History, error) {
	raw, err := Unpack(data)
	if err != nil {
		return nil, err
	}
	var h History
	if err := json.Unmarshal(raw, &h); err != nil {
		return nil, errors.Wrap(err, "config: history")
	}
	for i := range h {
		if i > 0 && h[i].Version <= h[i-1].Version {
			return nil, errors.Errorf("config: history is out of order at version %d", h[i].Version)
		}
	}
	return h, nil
}

// withArchivedHead returns a copy in which the change that created head's version
// refers to the archived head.
func (h History) withArchivedHead(head *Head, ref ChunkRef) History {
	out := append(History(nil), h...)
	for i := range out {
		if out[i].Version == head.Version {
			out[i].Head = ref
			return out
		}
	}
	return out
}

// withChange returns a copy with c appended, at most MaxChanges long, and with
// the description of c cut to its limits.
func (h History) withChange(c Change) History {
	if len(c.What) > MaxWhatLines {
		c.What = append(append([]string(nil), c.What[:MaxWhatLines-1]...), "and more")
	}
	lines := make([]string, len(c.What))
	for i, w := range c.What {
		lines[i] = truncate(w, MaxWhatLineBytes)
	}
	c.What = lines
	out := append(append(History(nil), h...), c)
	return out[max(0, len(out)-MaxChanges):]
}

// encode returns the history as one chunk. It drops the oldest changes until the
// history fits.
func (h History) encode() ([]Chunk, error) {
	for {
		raw, err := json.Marshal(h)
		if err != nil {
			return nil, errors.Wrap(err, "config: history")
		}
		if len(raw) <= maxHistoryBytes || len(h) <= 1 {
			c, err := pack(SectionHistory, raw)
			return []Chunk{c}, err
		}
		h = h[max(1, len(h)/16):]
	}
}

// archiveHead encodes a head as a chunk, so that operators can return to its
// version later.
func archiveHead(h *Head) (Chunk, error) {
	raw, err := h.Encode()
	if err != nil {
		return Chunk{}, err
	}
	return pack(SectionHistory, raw)
}

// ParseArchivedHead decodes a head that was archived as a chunk.
func ParseArchivedHead(data []byte) (*Head, error) {
	raw, err := Unpack(data)
	if err != nil {
		return nil, err
	}
	return ParseHead(raw)
}

// truncate shortens s to at most maxBytes at a character boundary and marks the
// cut with "...".
func truncate(s string, maxBytes int) string {
	if len(s) <= maxBytes {
		return s
	}
	end := 0
	for i := range s {
		if i > maxBytes-3 {
			break
		}
		end = i
	}
	return s[:end] + "..."
}

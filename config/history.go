package config

import (
	"encoding/json"

	"github.com/pkg/errors"
)

// Limits of the history. A history of this size stays within one chunk.
const (
	// MaxChanges is how many changes are kept, about a day's at 2,100 a day.
	MaxChanges = 2000
	// MaxWhat and MaxWhatBytes bound the description of one change.
	MaxWhat      = 8
	MaxWhatBytes = 160
	// maxHistoryBytes bounds the uncompressed history.
	maxHistoryBytes = cutRawBytes
)

// Change is one entry of the history.
type Change struct {
	Version uint64 `json:"version"`
	Meta
	What []string `json:"what,omitempty"`
	// Head refers to the archived head of the version. It is zero for the
	// newest version, whose head is the current one.
	Head ChunkRef `json:"head,omitzero"`
}

// History is the last changes, oldest first.
type History []Change

// Find returns the change with the ID.
func (h History) Find(changeID string) (Change, bool) {
	for i := len(h) - 1; i >= 0; i-- {
		if h[i].ChangeID == changeID {
			return h[i], true
		}
	}
	return Change{}, false
}

// Version returns the change that made a version.
func (h History) Version(v uint64) (Change, bool) {
	for i := len(h) - 1; i >= 0; i-- {
		if h[i].Version == v {
			return h[i], true
		}
	}
	return Change{}, false
}

// Since returns the changes after version v.
func (h History) Since(v uint64) History {
	for i := range h {
		if h[i].Version > v {
			return h[i:]
		}
	}
	return nil
}

// ParseHistory reads the stored chunk of a history.
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

// withHead returns a copy in which the change of head refers to its archive.
func (h History) withHead(head *Head, ref ChunkRef) History {
	out := append(History(nil), h...)
	for i := range out {
		if out[i].Version == head.Version {
			out[i].Head = ref
			return out
		}
	}
	return out
}

func (h History) add(c Change) History {
	if len(c.What) > MaxWhat {
		c.What = append(append([]string(nil), c.What[:MaxWhat-1]...), "and more")
	}
	what := make([]string, len(c.What))
	for i, w := range c.What {
		what[i] = truncate(w, MaxWhatBytes)
	}
	c.What = what
	out := append(append(History(nil), h...), c)
	return out[max(0, len(out)-MaxChanges):]
}

// encode drops the oldest changes until the history fits one chunk.
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

// archive stores a head as a chunk, so that later versions can return to it.
func archive(h *Head) (Chunk, error) {
	raw, err := h.Encode()
	if err != nil {
		return Chunk{}, err
	}
	return pack(SectionHistory, raw)
}

// ParseArchived reads a head that was stored as a chunk.
func ParseArchived(data []byte) (*Head, error) {
	raw, err := Unpack(data)
	if err != nil {
		return nil, err
	}
	return ParseHead(raw)
}

func truncate(s string, limit int) string {
	if len(s) <= limit {
		return s
	}
	cut := 0
	for i := range s {
		if i > limit-3 {
			break
		}
		cut = i
	}
	return s[:cut] + "..."
}

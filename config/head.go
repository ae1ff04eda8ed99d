// Package config implements the operators' configuration without I/O: the head
// record and its chunks, the change history, differences and merge conflicts, and
// the Tracker, which brings a VM to the newest version and never back to an older
// one.
package config

import (
	"crypto/sha256"
	"encoding/base64"
	"encoding/hex"
	"encoding/json"
	"strconv"
	"strings"
	"time"
	"unicode/utf8"

	"github.com/pkg/errors"
)

// Limits of a head record and its chunks. They bound the memory that a malformed
// or malicious record can use.
const (
	// MaxChunkBytes is the largest stored chunk, the value limit of the store.
	MaxChunkBytes = 1 << 20
	// MaxChunks bounds the chunks of one version.
	MaxChunks = 4096
	// MaxHeadBytes is the largest head record.
	MaxHeadBytes = MaxChunkBytes
	// MaxIDBytes bounds a change ID and, separately, the name of the author.
	MaxIDBytes = 128
	// MaxWhyBytes bounds the reason of a change.
	MaxWhyBytes = 1024
)

// Hash is the SHA-256 of a chunk's stored bytes.
type Hash [sha256.Size]byte

// HashOf returns the hash of data.
func HashOf(data []byte) Hash { return sha256.Sum256(data) }

func (h Hash) String() string { return hex.EncodeToString(h[:]) }

// IsZero reports whether h is unset.
func (h Hash) IsZero() bool { return h == Hash{} }

// MarshalText returns the hash in hexadecimal.
func (h Hash) MarshalText() ([]byte, error) { return []byte(h.String()), nil }

// UnmarshalText parses a hash in hexadecimal.
func (h *Hash) UnmarshalText(text []byte) error {
	if len(text) != 2*len(h) {
		return errors.Errorf("config: hash of %d characters, want %d", len(text), 2*len(h))
	}
	_, err := hex.Decode(h[:], text)
	return errors.Wrap(err, "config: hash")
}

// Section is a part of a version that is split into chunks separately, so that a
// change to one section does not change the chunks of the others.
type Section string

// Sections of a version.
const (
	SectionRegister Section = "register"
	SectionBlocks   Section = "blocks"
	SectionRules    Section = "rules"
	// SectionHistory is read on demand only. It changes with every version, and
	// distributing it to every VM would exceed the allowed control traffic.
	SectionHistory Section = "history"
)

func (s Section) isKnown() bool {
	switch s {
	case SectionRegister, SectionBlocks, SectionRules, SectionHistory:
		return true
	}
	return false
}

// ChunkRef refers to an immutable chunk. The chunks of a section are joined in
// the order in which the head lists them.
type ChunkRef struct {
	Section Section `json:"section"`
	Hash    Hash    `json:"sha256"`
	// Bytes is the stored size.
	Bytes int `json:"bytes"`
}

// Meta records who made a change, when and why.
type Meta struct {
	// ChangeID identifies the change. A resent change has the same ID.
	ChangeID string    `json:"change_id"`
	By       string    `json:"by"`
	At       time.Time `json:"at"`
	Why      string    `json:"why,omitempty"`
}

// Validate checks that the change ID and the author are present, and that the
// texts are within their limits and UTF-8.
func (m Meta) Validate() error {
	switch {
	case m.ChangeID == "" || len(m.ChangeID) > MaxIDBytes || strings.ContainsAny(m.ChangeID, "/\n"):
		return errors.Errorf("config: change ID is empty, longer than %d bytes or contains / or a line end", MaxIDBytes)
	case m.By == "" || len(m.By) > MaxIDBytes:
		return errors.Errorf("config: author is empty or longer than %d bytes", MaxIDBytes)
	case len(m.Why) > MaxWhyBytes:
		return errors.Errorf("config: reason of %d bytes, at most %d", len(m.Why), MaxWhyBytes)
	case !utf8.ValidString(m.ChangeID) || !utf8.ValidString(m.By) || !utf8.ValidString(m.Why):
		return errors.New("config: change ID, author or reason is not UTF-8")
	}
	return nil
}

// Head is the record of one version of the configuration and lists its chunks.
type Head struct {
	// Version is greater than zero and grows by one with each change.
	Version uint64
	Meta
	Chunks []ChunkRef
}

// headRecord is the stored form of a head. Every VM fetches it for every change,
// so chunk references are kept short: 55 bytes instead of 115 as JSON objects.
type headRecord struct {
	Version uint64 `json:"version"`
	Meta
	Chunks []headRecordSection `json:"chunks"`
}

// headRecordSection lists the chunks of one section as "HASH.BYTES", with the hash
// in URL-safe base64.
type headRecordSection struct {
	Section Section  `json:"section"`
	Refs    []string `json:"refs"`
}

// MarshalJSON encodes the head in its stored form, a headRecord.
func (h Head) MarshalJSON() ([]byte, error) {
	r := headRecord{Version: h.Version, Meta: h.Meta}
	for _, c := range h.Chunks {
		n := len(r.Chunks)
		if n == 0 || r.Chunks[n-1].Section != c.Section {
			r.Chunks = append(r.Chunks, headRecordSection{Section: c.Section})
			n++
		}
		ref := base64.RawURLEncoding.EncodeToString(c.Hash[:]) + "." + strconv.Itoa(c.Bytes)
		r.Chunks[n-1].Refs = append(r.Chunks[n-1].Refs, ref)
	}
	return json.Marshal(r)
}

// UnmarshalJSON decodes the stored form, a headRecord.
func (h *Head) UnmarshalJSON(data []byte) error {
	var r headRecord
	if err := json.Unmarshal(data, &r); err != nil {
		return err
	}
	*h = Head{Version: r.Version, Meta: r.Meta}
	for _, s := range r.Chunks {
		for _, text := range s.Refs {
			hash, size, _ := strings.Cut(text, ".")
			raw, err := base64.RawURLEncoding.Strict().DecodeString(hash)
			if err != nil || len(raw) != len(Hash{}) {
				return errors.Errorf("reference %q without a hash", text)
			}
			n, err := strconv.Atoi(size)
			if err != nil {
				return errors.Errorf("reference %q without a size", text)
			}
			h.Chunks = append(h.Chunks, ChunkRef{Section: s.Section, Hash: Hash(raw), Bytes: n})
		}
	}
	return nil
}

// ParseHead decodes and validates a head record.
func ParseHead(data []byte) (*Head, error) {
	if len(data) > MaxHeadBytes {
		return nil, errors.Errorf("config: head of %d bytes, at most %d", len(data), MaxHeadBytes)
	}
	h := new(Head)
	if err := json.Unmarshal(data, h); err != nil {
		return nil, errors.Wrap(err, "config: head")
	}
	if err := h.Validate(); err != nil {
		return nil, err
	}
	return h, nil
}

// Validate checks the version, the metadata and the limits of the chunks.
func (h *Head) Validate() error {
	if h.Version == 0 {
		return errors.New("config: head without a version")
	}
	if err := h.Meta.Validate(); err != nil {
		return err
	}
	if len(h.Chunks) > MaxChunks {
		return errors.Errorf("config: head with %d chunks, at most %d", len(h.Chunks), MaxChunks)
	}
	for _, c := range h.Chunks {
		if !c.Section.isKnown() {
			return errors.Errorf("config: unknown section %q", c.Section)
		}
		if c.Bytes <= 0 || c.Bytes > MaxChunkBytes {
			return errors.Errorf("config: chunk of %d bytes, at most %d", c.Bytes, MaxChunkBytes)
		}
	}
	return nil
}

// Encode validates the head and returns the bytes of its record.
func (h *Head) Encode() ([]byte, error) {
	if err := h.Validate(); err != nil {
		return nil, err
	}
	data, err := json.Marshal(h)
	if err != nil {
		return nil, errors.Wrap(err, "config: head")
	}
	if len(data) > MaxHeadBytes {
		return nil, errors.Errorf("config: head of %d bytes, at most %d", len(data), MaxHeadBytes)
	}
	return data, nil
}

// Section returns the references of one section in order.
func (h *Head) Section(s Section) []ChunkRef {
	var out []ChunkRef
	for _, c := range h.Chunks {
		if c.Section == s {
			out = append(out, c)
		}
	}
	return out
}

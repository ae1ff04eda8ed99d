package config

import (
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"iter"
	"net/netip"
	"slices"

	"github.com/pkg/errors"

	"github.com/currantferry/currantferry/register"
	"github.com/currantferry/currantferry/rules"
)

// blocksPerChunk is the mean number of client blocks in a chunk. Chunks end at
// blocks whose prefix hashes to zero modulo this number, so that one added or
// removed block changes one chunk only. A change costs every VM the head, which
// shrinks with this number, and a chunk, which grows with it; with 780,000 blocks
// their sum is smallest near this value.
const blocksPerChunk = 3072

// Content is everything that operators decide.
type Content struct {
	Register *register.Register
	Rules    *rules.Rules
	// Kept is the version whose client blocks the content has, in place of
	// Register.Blocks. Nil means that Register.Blocks are all.
	Kept *Snapshot
}

// Blocks returns the client blocks as values.
func (c Content) Blocks() []register.Block {
	if c.Kept == nil {
		return c.Register.Blocks
	}
	return slices.Collect(c.Kept.Blocks())
}

// Validate returns the faults of the content.
func (c Content) Validate() error {
	if c.Register == nil || c.Rules == nil {
		return errors.New("config: content without register or rules")
	}
	if c.Kept != nil && len(c.Register.Blocks) > 0 {
		return errors.New("config: content with both kept and new client blocks")
	}
	if errs := c.Register.Validate(); len(errs) > 0 {
		return errs
	}
	if err := c.checkKept(); err != nil {
		return err
	}
	if errs := c.Rules.Validate(); len(errs) > 0 {
		return errs
	}
	return nil
}

// checkKept checks that the sites of the kept blocks are there.
func (c Content) checkKept() error {
	if c.Kept == nil {
		return nil
	}
	known := make(map[string]bool, len(c.Register.Sites))
	for _, site := range c.Register.Sites {
		known[site.Name] = true
	}
	removed := false
	for _, site := range c.Kept.Register.Sites {
		removed = removed || !known[site.Name]
	}
	if !removed {
		return nil
	}
	for b := range c.Kept.Blocks() {
		if !known[b.Site] {
			return register.Errors{{Field: blockPath(b.Prefix) + ".site", Text: fmt.Sprintf("site %q is not in sites", b.Site)}}
		}
	}
	return nil
}

// sameBlocks tells whether two contents keep the same stored blocks. False means
// that they have to be compared.
func sameBlocks(a, b Content) bool {
	return a.Kept != nil && b.Kept != nil &&
		slices.Equal(a.Kept.Head.Section(SectionBlocks), b.Kept.Head.Section(SectionBlocks))
}

// encodeBlocks returns the chunks of the blocks; kept ones are as stored.
func (c Content) encodeBlocks() ([]Chunk, error) {
	if c.Kept == nil {
		return encodeBlocks(c.Register.Blocks)
	}
	var out []Chunk
	for _, ref := range c.Kept.Head.Section(SectionBlocks) {
		data, ok := c.Kept.Chunk(ref.Hash)
		if !ok {
			return nil, errors.Errorf("config: kept chunk %s is missing", ref.Hash)
		}
		out = append(out, Chunk{Ref: ref, Data: data})
	}
	return out, nil
}

// Built is a change that is ready to be written.
type Built struct {
	Head      *Head
	HeadBytes []byte
	// Chunks are all chunks of the version, those that exist already included.
	Chunks []Chunk
}

// Build makes the next version after prev, which is nil for the first one.
// history is that of prev, and what describes the change in a few lines.
// Content must be valid.
func Build(prev *Head, history History, c Content, m Meta, what []string) (*Built, error) {
	if err := c.Validate(); err != nil {
		return nil, err
	}
	h := &Head{Version: 1, Meta: m}
	b := &Built{Head: h}
	if prev != nil {
		h.Version = prev.Version + 1
		archived, err := archive(prev)
		if err != nil {
			return nil, err
		}
		history = history.withHead(prev, archived.Ref)
		b.Chunks = append(b.Chunks, archived)
	}
	history = history.add(Change{Version: h.Version, Meta: m, What: what})
	encoders := []func() ([]Chunk, error){
		func() ([]Chunk, error) { return encodeRegister(c.Register) },
		c.encodeBlocks,
		func() ([]Chunk, error) { return encodeJSON(SectionRules, c.Rules) },
		history.encode,
	}
	for _, encode := range encoders {
		chunks, err := encode()
		if err != nil {
			return nil, err
		}
		for _, chunk := range chunks {
			h.Chunks = append(h.Chunks, chunk.Ref)
		}
		b.Chunks = append(b.Chunks, chunks...)
	}
	var err error
	b.HeadBytes, err = h.Encode()
	return b, err
}

func encodeJSON(s Section, v any) ([]Chunk, error) {
	raw, err := json.Marshal(v)
	if err != nil {
		return nil, errors.Wrapf(err, "config: %s", s)
	}
	return packAll(s, raw)
}

func encodeRegister(r *register.Register) ([]Chunk, error) {
	bare := *r
	bare.Blocks = nil
	return encodeJSON(SectionRegister, &bare)
}

// encodeBlocks writes the blocks as lines "PREFIX SITE" in prefix order.
func encodeBlocks(blocks []register.Block) ([]Chunk, error) {
	sorted := slices.Clone(blocks)
	slices.SortFunc(sorted, compareBlocks)
	var out []Chunk
	var raw []byte
	for i, b := range sorted {
		raw = b.Prefix.AppendTo(raw)
		raw = append(raw, ' ')
		raw = append(raw, b.Site...)
		raw = append(raw, '\n')
		if i < len(sorted)-1 && !endsChunk(b.Prefix) && len(raw) < cutRawBytes {
			continue
		}
		c, err := pack(SectionBlocks, raw)
		if err != nil {
			return nil, err
		}
		out = append(out, c)
		raw = raw[:0]
	}
	return out, nil
}

func compareBlocks(a, b register.Block) int {
	if c := a.Prefix.Addr().Compare(b.Prefix.Addr()); c != 0 {
		return c
	}
	return cmp.Compare(a.Prefix.Bits(), b.Prefix.Bits())
}

func endsChunk(p netip.Prefix) bool {
	h := fnv.New32a()
	data, _ := p.MarshalBinary() // The error is always nil.
	_, _ = h.Write(data)
	return h.Sum32()%blocksPerChunk == 0
}

// Snapshot is one complete version. It is immutable.
type Snapshot struct {
	Head *Head
	// HeadBytes is the record as stored; its hash identifies the version.
	HeadBytes []byte
	// Register has no Blocks; see Blocks.
	Register *register.Register
	Rules    *rules.Rules

	chunks map[Hash][]byte
}

// HeadHash returns the hash of the head record.
func (s *Snapshot) HeadHash() Hash { return HashOf(s.HeadBytes) }

// Chunk returns the stored bytes of a chunk of this version.
func (s *Snapshot) Chunk(h Hash) ([]byte, bool) {
	data, ok := s.chunks[h]
	return data, ok
}

// Blocks iterates over the client blocks in prefix order. It unpacks one chunk
// at a time, because 780,000 blocks as values would take more memory than a VM
// may spend on control.
func (s *Snapshot) Blocks() iter.Seq[register.Block] {
	return func(yield func(register.Block) bool) {
		sites := make(map[string]string)
		for _, ref := range s.Head.Section(SectionBlocks) {
			blocks, err := decodeBlocks(s.chunks[ref.Hash], sites)
			if err != nil {
				return // NewSnapshot decoded the same bytes without an error.
			}
			for _, b := range blocks {
				if !yield(b) {
					return
				}
			}
		}
	}
}

// Bare returns the content with the client blocks as stored. Changes that leave
// the blocks alone then cost neither their unpacking nor their packing.
func (s *Snapshot) Bare() Content {
	r := *s.Register
	return Content{Register: &r, Rules: s.Rules, Kept: s}
}

// Content returns the content with all client blocks in memory, for editing.
func (s *Snapshot) Content() Content {
	r := *s.Register
	r.Blocks = slices.Collect(s.Blocks())
	return Content{Register: &r, Rules: s.Rules}
}

// NewSnapshot checks and decodes a version. chunks holds the stored bytes by
// hash; those of the history may be absent.
func NewSnapshot(headBytes []byte, chunks map[Hash][]byte) (*Snapshot, error) {
	h, err := ParseHead(headBytes)
	if err != nil {
		return nil, err
	}
	s := &Snapshot{Head: h, HeadBytes: headBytes, Register: new(register.Register), Rules: new(rules.Rules), chunks: make(map[Hash][]byte)}
	for _, ref := range h.Chunks {
		data, ok := chunks[ref.Hash]
		if !ok && ref.Section == SectionHistory {
			continue
		}
		if err := Verify(ref, data); err != nil {
			return nil, err
		}
		s.chunks[ref.Hash] = data
	}
	// Unknown fields are accepted here: while a new release is rolled out, VMs of
	// the former release read records that the new one wrote.
	if err := s.decodeJSON(SectionRegister, s.Register); err != nil {
		return nil, err
	}
	if err := s.decodeJSON(SectionRules, s.Rules); err != nil {
		return nil, err
	}
	if len(s.Register.Blocks) > 0 {
		return nil, errors.New("config: client blocks outside their section")
	}
	if err := (Content{Register: s.Register, Rules: s.Rules}).Validate(); err != nil {
		return nil, err
	}
	return s, s.checkBlocks()
}

func (s *Snapshot) decodeJSON(section Section, v any) error {
	var raw []byte
	for _, ref := range s.Head.Section(section) {
		piece, err := Unpack(s.chunks[ref.Hash])
		if err != nil {
			return err
		}
		raw = append(raw, piece...)
	}
	return errors.Wrapf(json.Unmarshal(raw, v), "config: %s", section)
}

func (s *Snapshot) checkBlocks() error {
	known := make(map[string]bool, len(s.Register.Sites))
	for _, site := range s.Register.Sites {
		known[site.Name] = true
	}
	sites := make(map[string]string)
	var last register.Block
	for _, ref := range s.Head.Section(SectionBlocks) {
		blocks, err := decodeBlocks(s.chunks[ref.Hash], sites)
		if err != nil {
			return err
		}
		for _, b := range blocks {
			if last.Prefix.IsValid() && compareBlocks(last, b) >= 0 {
				return errors.Errorf("config: block %s is out of order", b.Prefix)
			}
			if !known[b.Site] {
				return errors.Errorf("config: block %s has the unknown site %q", b.Prefix, b.Site)
			}
			last = b
		}
	}
	return nil
}

// decodeBlocks reads one chunk of blocks. sites holds one copy of each name.
func decodeBlocks(data []byte, sites map[string]string) ([]register.Block, error) {
	raw, err := Unpack(data)
	if err != nil {
		return nil, err
	}
	out := make([]register.Block, 0, bytes.Count(raw, []byte{'\n'}))
	for len(raw) > 0 {
		line, rest, ok := bytes.Cut(raw, []byte{'\n'})
		prefix, site, found := bytes.Cut(line, []byte{' '})
		if !ok || !found {
			return nil, errors.Errorf("config: malformed block %q", line)
		}
		p, err := netip.ParsePrefix(string(prefix))
		if err != nil || p != p.Masked() {
			return nil, errors.Errorf("config: malformed block %q", line)
		}
		name, ok := sites[string(site)]
		if !ok {
			name = string(site)
			sites[name] = name
		}
		out = append(out, register.Block{Prefix: p, Site: name})
		raw = rest
	}
	return out, nil
}

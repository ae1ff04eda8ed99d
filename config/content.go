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

// blocksPerChunk is the mean number of client blocks in a chunk. A chunk ends
// after a block whose prefix hashes to zero modulo this number, so that adding or
// removing one block changes only one chunk. For a change of one block, every VM
// fetches the head, which shrinks as this number grows, and one chunk, which grows
// with it. With 780,000 blocks the sum of both is smallest near this value.
const blocksPerChunk = 3072

// Content is the part of the configuration that operators edit.
type Content struct {
	Register *register.Register
	Rules    *rules.Rules
	// Kept is the version whose client blocks the content keeps unchanged; then
	// Register.Blocks is empty. Nil means that Register.Blocks has all blocks.
	Kept *Snapshot
}

// Blocks returns the client blocks and decodes them if they are kept as stored.
func (c Content) Blocks() []register.Block {
	if c.Kept == nil {
		return c.Register.Blocks
	}
	return slices.Collect(c.Kept.Blocks())
}

// Validate returns the errors in the content, or nil.
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
	if err := c.validateKeptSites(); err != nil {
		return err
	}
	if errs := c.Rules.Validate(); len(errs) > 0 {
		return errs
	}
	return nil
}

// validateKeptSites checks that the sites of the kept blocks exist. It reads the
// blocks only if a site was removed.
func (c Content) validateKeptSites() error {
	if c.Kept == nil {
		return nil
	}
	siteNames := make(map[string]bool, len(c.Register.Sites))
	for _, site := range c.Register.Sites {
		siteNames[site.Name] = true
	}
	siteRemoved := false
	for _, site := range c.Kept.Register.Sites {
		siteRemoved = siteRemoved || !siteNames[site.Name]
	}
	if !siteRemoved {
		return nil
	}
	for b := range c.Kept.Blocks() {
		if !siteNames[b.Site] {
			return register.Errors{{Field: blockPath(b.Prefix) + ".site", Text: fmt.Sprintf("site %q is not in sites", b.Site)}}
		}
	}
	return nil
}

// hasSameStoredBlocks reports whether both contents keep blocks from the same
// chunks. If not, the blocks may still be equal and must be compared.
func hasSameStoredBlocks(a, b Content) bool {
	return a.Kept != nil && b.Kept != nil &&
		slices.Equal(a.Kept.Head.Section(SectionBlocks), b.Kept.Head.Section(SectionBlocks))
}

// encodeBlocks returns the chunks of the client blocks. Kept blocks reuse their
// stored chunks.
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

// EncodedVersion is a configuration version that is ready to be written to the store.
type EncodedVersion struct {
	Head      *Head
	HeadBytes []byte
	// Chunks are all chunks of the version, including those that the store already
	// has, and the archived head of the previous version.
	Chunks []Chunk
}

// Build encodes the version after prev, which is nil for the first version.
// history is the history of prev, and summary describes the change in a few lines
// of text. It returns an error if c is not valid.
func Build(prev *Head, history History, c Content, m Meta, summary []string) (*EncodedVersion, error) {
	if err := c.Validate(); err != nil {
		return nil, err
	}
	head := &Head{Version: 1, Meta: m}
	built := &EncodedVersion{Head: head}
	if prev != nil {
		head.Version = prev.Version + 1
		archived, err := archiveHead(prev)
		if err != nil {
			return nil, err
		}
		history = history.withArchivedHead(prev, archived.Ref)
		built.Chunks = append(built.Chunks, archived)
	}
	history = history.withChange(Change{Version: head.Version, Meta: m, What: summary})
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
			head.Chunks = append(head.Chunks, chunk.Ref)
		}
		built.Chunks = append(built.Chunks, chunks...)
	}
	var err error
	built.HeadBytes, err = head.Encode()
	return built, err
}

func encodeJSON(s Section, v any) ([]Chunk, error) {
	raw, err := json.Marshal(v)
	if err != nil {
		return nil, errors.Wrapf(err, "config: %s", s)
	}
	return packAll(s, raw)
}

func encodeRegister(r *register.Register) ([]Chunk, error) {
	withoutBlocks := *r
	withoutBlocks.Blocks = nil
	return encodeJSON(SectionRegister, &withoutBlocks)
}

// encodeBlocks encodes the blocks as lines "PREFIX SITE" in prefix order.
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
		if i < len(sorted)-1 && !isChunkBoundary(b.Prefix) && len(raw) < cutRawBytes {
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

// isChunkBoundary reports whether a chunk ends after the block with prefix p.
func isChunkBoundary(p netip.Prefix) bool {
	h := fnv.New32a()
	data, _ := p.MarshalBinary() // The error is always nil.
	_, _ = h.Write(data)
	return h.Sum32()%blocksPerChunk == 0
}

// Snapshot is one complete version of the configuration. It is immutable.
type Snapshot struct {
	Head *Head
	// HeadBytes is the record as stored; its hash identifies the version.
	HeadBytes []byte
	// Register has no client blocks; use the method Blocks.
	Register *register.Register
	Rules    *rules.Rules

	chunks map[Hash][]byte
}

// HeadHash returns the hash of the head record.
func (s *Snapshot) HeadHash() Hash { return HashOf(s.HeadBytes) }

// Chunk returns the stored bytes of the chunk with hash h of this version.
func (s *Snapshot) Chunk(h Hash) ([]byte, bool) {
	data, ok := s.chunks[h]
	return data, ok
}

// Blocks iterates over the client blocks in prefix order. It unpacks one chunk
// at a time, because 780,000 decoded blocks would exceed the memory that a VM may
// use for its control functions.
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

// ContentWithStoredBlocks returns the content with the client blocks kept as stored. A
// change that does not touch the blocks then neither unpacks nor packs them.
func (s *Snapshot) ContentWithStoredBlocks() Content {
	r := *s.Register
	return Content{Register: &r, Rules: s.Rules, Kept: s}
}

// Content returns the content with all client blocks decoded, for editing.
func (s *Snapshot) Content() Content {
	r := *s.Register
	r.Blocks = slices.Collect(s.Blocks())
	return Content{Register: &r, Rules: s.Rules}
}

// NewSnapshot verifies and decodes a version. chunks maps each hash to its stored
// bytes; chunks of the history may be missing.
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
	// Unknown fields are accepted: during the rollout of a release, VMs of the
	// previous release read records that the new one wrote.
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

// decodeJSON joins the chunks of a section and decodes them into v.
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

// checkBlocks checks the order of the client blocks and that their sites exist.
func (s *Snapshot) checkBlocks() error {
	siteNames := make(map[string]bool, len(s.Register.Sites))
	for _, site := range s.Register.Sites {
		siteNames[site.Name] = true
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
			if !siteNames[b.Site] {
				return errors.Errorf("config: block %s has the unknown site %q", b.Prefix, b.Site)
			}
			last = b
		}
	}
	return nil
}

// decodeBlocks decodes one chunk of client blocks. sites interns the site names,
// so that each name is held in memory once.
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

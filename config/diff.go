package config

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"slices"
	"strings"

	"github.com/currantferry/currantferry/register"
)

// maxDifferences bounds the list that Diff returns.
const maxDifferences = 1000

// Difference is one value that differs between two contents. Before is empty
// for an added value, After is empty for a removed one.
type Difference struct {
	Path   string `json:"path"`
	Before string `json:"before,omitempty"`
	After  string `json:"after,omitempty"`
}

func (d Difference) String() string {
	switch {
	case d.Before == "":
		return fmt.Sprintf("+ %s: %s", d.Path, d.After)
	case d.After == "":
		return fmt.Sprintf("- %s: %s", d.Path, d.Before)
	}
	return fmt.Sprintf("~ %s: %s -> %s", d.Path, d.Before, d.After)
}

// Diff returns the first 1,000 differences from a to b and their total number.
func Diff(a, b Content) (list []Difference, total int, err error) {
	aTree, err := toTree(a)
	if err != nil {
		return nil, 0, err
	}
	bTree, err := toTree(b)
	if err != nil {
		return nil, 0, err
	}
	add := func(path string, before, after any) {
		total++
		if len(list) < maxDifferences {
			list = append(list, Difference{Path: path, Before: jsonText(before), After: jsonText(after)})
		}
	}
	visitDifferences("", aTree, bTree, add)
	if !hasSameStoredBlocks(a, b) {
		diffBlocks(a.Blocks(), b.Blocks(), add)
	}
	return list, total, nil
}

// jsonText returns v as JSON, and the empty string for an absent value.
func jsonText(v any) string {
	if v == (absent{}) {
		return ""
	}
	data, err := json.Marshal(v)
	if err != nil {
		return fmt.Sprint(v)
	}
	return string(data)
}

// diffBlocks calls add, in prefix order, for each block that differs.
func diffBlocks(a, b []register.Block, add func(path string, before, after any)) {
	a, b = sortedBlocks(a), sortedBlocks(b)
	for len(a) > 0 || len(b) > 0 {
		order := 0
		switch {
		case len(a) == 0:
			order = 1
		case len(b) == 0:
			order = -1
		default:
			order = compareBlocks(a[0], b[0])
		}
		switch {
		case order < 0:
			add(blockPath(a[0].Prefix), a[0].Site, absent{})
			a = a[1:]
		case order > 0:
			add(blockPath(b[0].Prefix), absent{}, b[0].Site)
			b = b[1:]
		default:
			if a[0].Site != b[0].Site {
				add(blockPath(a[0].Prefix), a[0].Site, b[0].Site)
			}
			a, b = a[1:], b[1:]
		}
	}
}

func blockPath(p netip.Prefix) string { return "register.blocks[" + p.String() + "]" }

func sortedBlocks(blocks []register.Block) []register.Block {
	if slices.IsSortedFunc(blocks, compareBlocks) {
		return blocks
	}
	out := slices.Clone(blocks)
	slices.SortFunc(out, compareBlocks)
	return out
}

// Summary returns at most MaxWhatLines lines that describe the differences, for
// the history.
func Summary(list []Difference, total int) []string {
	var out []string
	for _, d := range list {
		if len(out) == MaxWhatLines-1 && total > MaxWhatLines {
			break
		}
		out = append(out, truncate(d.String(), MaxWhatLineBytes))
	}
	if rest := total - len(out); rest > 0 {
		out = append(out, fmt.Sprintf("and %d more", rest))
	}
	return out
}

// ConflictError means that a change was refused because another operator has
// changed the same values since the base version of the change. It describes both
// changes.
type ConflictError struct {
	Base    uint64
	Current uint64
	// Paths are the values that both changes set to different values. It is empty
	// if the changes only fail validation together, or if the base version is not
	// kept any more; Cause is then the error.
	Paths  []string
	Cause  error
	Mine   Meta
	MyDiff []Difference
	Theirs []Change
	// TheirDiff is the difference from the base to the current version.
	TheirDiff []Difference
}

func (e *ConflictError) Error() string {
	var b strings.Builder
	fmt.Fprintf(&b, "config: the change is based on version %d, but version %d is current", e.Base, e.Current)
	if len(e.Paths) > 0 {
		fmt.Fprintf(&b, "; both changed %s", strings.Join(e.Paths[:min(len(e.Paths), MaxWhatLines)], ", "))
	}
	if e.Cause != nil {
		fmt.Fprintf(&b, "; %v", e.Cause)
	}
	fmt.Fprintf(&b, "\nyours (%s, %s): %s", e.Mine.ChangeID, e.Mine.By, e.Mine.Why)
	writeDiff(&b, e.MyDiff)
	for _, c := range e.Theirs[max(0, len(e.Theirs)-MaxWhatLines):] {
		fmt.Fprintf(&b, "\ntheirs (version %d, %s, %s): %s", c.Version, c.ChangeID, c.By, c.Why)
	}
	writeDiff(&b, e.TheirDiff)
	return b.String()
}

// Unwrap returns the cause.
func (e *ConflictError) Unwrap() error { return e.Cause }

func writeDiff(b *strings.Builder, list []Difference) {
	for _, d := range list[:min(len(list), MaxWhatLines)] {
		fmt.Fprintf(b, "\n  %s", truncate(d.String(), MaxWhatLineBytes))
	}
	if len(list) > MaxWhatLines {
		fmt.Fprintf(b, "\n  and %d more", len(list)-MaxWhatLines)
	}
}

// Merge applies the change from base to mine on top of theirs. Changes to
// different values are combined; conflicts has the paths of the values that both
// changed in different ways.
func Merge(base, mine, theirs Content) (merged Content, conflicts []string, err error) {
	var trees [3]any
	for i, c := range []Content{base, mine, theirs} {
		if trees[i], err = toTree(c); err != nil {
			return Content{}, nil, err
		}
	}
	combined := merge("", trees[0], trees[1], trees[2], &conflicts)
	if merged, err = fromTree(combined); err != nil {
		return Content{}, nil, err
	}
	switch {
	case hasSameStoredBlocks(base, mine):
		merged.Kept, merged.Register.Blocks = theirs.Kept, theirs.Register.Blocks
	case hasSameStoredBlocks(base, theirs):
		merged.Kept, merged.Register.Blocks = mine.Kept, mine.Register.Blocks
	default:
		merged.Register.Blocks = mergeBlocks(base.Blocks(), mine.Blocks(), theirs.Blocks(), &conflicts)
	}
	return merged, conflicts, nil
}

// mergeBlocks applies the changes from base to mine on top of theirs and adds the
// paths of blocks that both changed in different ways to conflicts.
func mergeBlocks(base, mine, theirs []register.Block, conflicts *[]string) []register.Block {
	mineChanged := make(map[netip.Prefix]any)
	diffBlocks(base, mine, func(path string, _, after any) { mineChanged[prefixOf(path)] = after })
	if len(mineChanged) == 0 {
		return theirs
	}
	diffBlocks(base, theirs, func(path string, _, after any) {
		p := prefixOf(path)
		if mineSite, ok := mineChanged[p]; ok && mineSite != after {
			*conflicts = append(*conflicts, path)
		}
	})
	out := make([]register.Block, 0, len(theirs)+len(mineChanged))
	for _, b := range theirs {
		if _, ok := mineChanged[b.Prefix]; !ok {
			out = append(out, b)
		}
	}
	for p, site := range mineChanged {
		if name, ok := site.(string); ok {
			out = append(out, register.Block{Prefix: p, Site: name})
		}
	}
	slices.SortFunc(out, compareBlocks)
	return out
}

// prefixOf is the inverse of blockPath.
func prefixOf(path string) netip.Prefix {
	return netip.MustParsePrefix(strings.TrimSuffix(strings.TrimPrefix(path, "register.blocks["), "]"))
}

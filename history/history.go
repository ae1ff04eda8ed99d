// Package history orders positions in the log of a store that can be restored from an
// older copy. A restore ends the log at some revision and begins a new epoch, in which
// the revisions after the copy are given out again. A revision alone does not say which
// of two records is newer.
package history

import "cmp"

// Position is a position in the log of a store.
type Position struct {
	// Epoch counts the restores of the store. Zero stands for a store that doesn't tell.
	Epoch uint64
	// Revision counts the changes in the epoch, those of the copy included.
	Revision uint64
}

// Compare returns -1 if p is before q, 0 if they are equal and 1 if p is after q.
func (p Position) Compare(q Position) int {
	return cmp.Or(cmp.Compare(p.Epoch, q.Epoch), cmp.Compare(p.Revision, q.Revision))
}

// Before reports whether p is before q.
func (p Position) Before(q Position) bool { return p.Compare(q) < 0 }

// SameEpoch reports whether two answers of a store can be of the same epoch. An answer
// without an epoch can be of any.
func SameEpoch(a, b uint64) bool { return a == b || a == 0 || b == 0 }

// Package once runs a request with an idempotency key at most once.
//
// Keys hash into partitions. A partition has an owner and witnesses, named by a
// record in the store. The owner grants a claim on a key only after every
// witness has acknowledged it. A view change replaces the members of a
// partition. It first seals one member of the old view, which then neither
// grants nor acknowledges claims of that view. No claim of the old view can
// therefore be granted once the claims have been copied to the new members.
//
// The package has no I/O, no goroutines, no clock and no random source.
// Machine is not safe for concurrent use; package oncerpc locks it and does the I/O.
package once

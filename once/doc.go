// Package once makes sure that a request with an idempotency key runs at most
// once. Keys hash into partitions. A partition has an owner and witnesses, named
// by a record in the store. The owner grants a claim only after every witness
// has acknowledged it, and a view change first seals one member, so that no
// claim of the old view can be granted once its claims have been copied.
//
// The package has no I/O, no goroutines, no clock and no random source.
// Machine is not safe for concurrent use; package oncerpc locks and does the I/O.
package once

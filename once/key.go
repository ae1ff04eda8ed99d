package once

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
)

// Key is the 128-bit hash of a service name and an Idempotency-Key.
type Key [16]byte

// KeyOf returns the key of an Idempotency-Key within a service.
func KeyOf(service, idempotencyKey string) Key {
	// Without the length prefix, ("ab", "c") and ("a", "bc") would have the same key.
	buf := make([]byte, 0, 128)
	buf = binary.AppendUvarint(buf, uint64(len(service)))
	buf = append(buf, service...)
	buf = append(buf, idempotencyKey...)
	sum := sha256.Sum256(buf)
	return Key(sum[:16])
}

// String returns the key in hexadecimal.
func (k Key) String() string { return hex.EncodeToString(k[:]) }

// Partition returns the partition of the key, from 0 to partitions-1.
func (k Key) Partition(partitions int) int {
	return int(binary.BigEndian.Uint64(k[:8]) % uint64(partitions))
}

// indexHash returns the bits of the key that select its slot in the table's
// index. Partition uses the other bits.
func (k Key) indexHash() uint64 { return binary.LittleEndian.Uint64(k[8:]) }

// rankHash hashes a partition number and a name. All VMs rank candidates by it
// and thus agree. It is FNV-1a with a final avalanche, because FNV-1a alone gives
// similar names the same order in every partition.
func rankHash(n int, name string) uint64 {
	h := uint64(14695981039346656037)
	for i := 0; i < 8; i++ {
		h = (h ^ uint64(byte(n>>(8*i)))) * 1099511628211
	}
	for i := 0; i < len(name); i++ {
		h = (h ^ uint64(name[i])) * 1099511628211
	}
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	h ^= h >> 33
	h *= 0xc4ceb9fe1a85ec53
	return h ^ h>>33
}

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
	// The length prefix keeps ("ab", "c") and ("a", "bc") apart.
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

// slot returns the bits of the key that the table's index uses. They differ
// from those that select the partition.
func (k Key) slot() uint64 { return binary.LittleEndian.Uint64(k[8:]) }

// mix hashes a partition number and a name, for ranks that every VM computes
// alike (FNV-1a with a final avalanche, as FNV alone orders similar names alike).
func mix(n int, name string) uint64 {
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

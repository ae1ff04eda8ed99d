package crashguard

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"hash"
)

// HeadBytes is how much of a body enters a fingerprint.
const HeadBytes = 4096

// Fingerprint identifies a request and its resends on every VM. A cryptographic
// hash keeps a caller from making the requests of others match a crashing one.
type Fingerprint [16]byte

func (f Fingerprint) String() string { return hex.EncodeToString(f[:]) }

// MarshalText writes the fingerprint in hexadecimal.
func (f Fingerprint) MarshalText() ([]byte, error) { return []byte(f.String()), nil }

// UnmarshalText reads the form that MarshalText writes.
func (f *Fingerprint) UnmarshalText(text []byte) error {
	_, err := hex.Decode(f[:], text[:min(len(text), 2*len(f))])
	return err
}

// OfKey returns the fingerprint of a request with an idempotency key.
func OfKey(service, key string) Fingerprint {
	h := sha256.New()
	field(h, "key")
	field(h, service)
	field(h, key)
	return sum(h)
}

// OfRequest returns the fingerprint of a request without a key. length is the
// declared length of the body, -1 if there is none; head is the start of the
// body, of which the first 4096 bytes count.
func OfRequest(service, method, path, query string, length int64, head []byte) Fingerprint {
	h := sha256.New()
	field(h, "request")
	field(h, service)
	field(h, method)
	field(h, path)
	field(h, query)
	var n [8]byte
	binary.BigEndian.PutUint64(n[:], uint64(length))
	h.Write(n[:])
	h.Write(head[:min(len(head), HeadBytes)])
	return sum(h)
}

// field writes a string with its length, so that neighbouring fields cannot be
// confused.
func field(h hash.Hash, s string) {
	var n [4]byte
	binary.BigEndian.PutUint32(n[:], uint32(len(s)))
	h.Write(n[:])
	h.Write([]byte(s))
}

func sum(h hash.Hash) Fingerprint {
	var f Fingerprint
	copy(f[:], h.Sum(nil))
	return f
}

package crashguard

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"hash"
)

// MaxBodyBytes is how much of a body a fingerprint covers.
const MaxBodyBytes = 4096

// Fingerprint identifies a request and its resends on every VM. It is a cryptographic
// hash, so that a caller cannot craft a crashing request with the fingerprint of
// someone else's request.
type Fingerprint [16]byte

func (f Fingerprint) String() string { return hex.EncodeToString(f[:]) }

// MarshalText writes the fingerprint in hexadecimal.
func (f Fingerprint) MarshalText() ([]byte, error) { return []byte(f.String()), nil }

// UnmarshalText reads the form that MarshalText writes.
func (f *Fingerprint) UnmarshalText(text []byte) error {
	_, err := hex.Decode(f[:], text[:min(len(text), 2*len(f))])
	return err
}

// KeyFingerprint returns the fingerprint of a request with an idempotency key.
func KeyFingerprint(service, key string) Fingerprint {
	h := sha256.New()
	writeField(h, "key")
	writeField(h, service)
	writeField(h, key)
	return fingerprintOf(h)
}

// RequestFingerprint returns the fingerprint of a request without a key. length is
// the declared length of the body, or -1; head is the start of the body, of which the
// first MaxBodyBytes are used.
func RequestFingerprint(service, method, path, query string, length int64, head []byte) Fingerprint {
	h := sha256.New()
	writeField(h, "request")
	writeField(h, service)
	writeField(h, method)
	writeField(h, path)
	writeField(h, query)
	var n [8]byte
	binary.BigEndian.PutUint64(n[:], uint64(length))
	h.Write(n[:])
	h.Write(head[:min(len(head), MaxBodyBytes)])
	return fingerprintOf(h)
}

// writeField hashes a string with its length, so that moving bytes between adjacent
// fields changes the hash.
func writeField(h hash.Hash, s string) {
	var n [4]byte
	binary.BigEndian.PutUint32(n[:], uint32(len(s)))
	h.Write(n[:])
	h.Write([]byte(s))
}

func fingerprintOf(h hash.Hash) Fingerprint {
	var f Fingerprint
	copy(f[:], h.Sum(nil))
	return f
}

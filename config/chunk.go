package config

import (
	"bytes"
	"compress/flate"
	"io"
	"sync"

	"github.com/pkg/errors"
)

// maxRawBytes bounds the uncompressed size of one chunk. Writers cut chunks well
// below it, and readers reject more, so that a small chunk cannot expand without
// bound.
const maxRawBytes = 2 << 20

// cutRawBytes is the uncompressed size at which writers end a chunk. The stored
// size then stays below MaxChunkBytes even for incompressible content.
const cutRawBytes = 1000 << 10

// Chunk is an immutable part of a version: its reference and its stored bytes.
type Chunk struct {
	Ref  ChunkRef
	Data []byte
}

// Verify checks data against the size and hash of ref.
func Verify(ref ChunkRef, data []byte) error {
	if len(data) != ref.Bytes {
		return errors.Errorf("config: chunk %s has %d bytes, the head says %d", ref.Hash, len(data), ref.Bytes)
	}
	if HashOf(data) != ref.Hash {
		return errors.Errorf("config: chunk %s has another hash", ref.Hash)
	}
	return nil
}

var flateWriters = sync.Pool{New: func() any {
	w, err := flate.NewWriter(nil, flate.DefaultCompression)
	if err != nil {
		panic(err) // The level is a constant that flate accepts.
	}
	return w
}}

// pack compresses raw into one chunk.
func pack(s Section, raw []byte) (Chunk, error) {
	w := flateWriters.Get().(*flate.Writer)
	defer flateWriters.Put(w)
	var b bytes.Buffer
	w.Reset(&b)
	if _, err := w.Write(raw); err != nil {
		return Chunk{}, errors.Wrap(err, "config: compress")
	}
	if err := w.Close(); err != nil {
		return Chunk{}, errors.Wrap(err, "config: compress")
	}
	data := b.Bytes()
	if len(data) > MaxChunkBytes {
		return Chunk{}, errors.Errorf("config: chunk of %d bytes, at most %d", len(data), MaxChunkBytes)
	}
	return Chunk{Ref: ChunkRef{Section: s, Hash: HashOf(data), Bytes: len(data)}, Data: data}, nil
}

// packAll splits raw into pieces of cutRawBytes and compresses each into a chunk.
// Empty input gives one chunk.
func packAll(s Section, raw []byte) ([]Chunk, error) {
	var out []Chunk
	for isFirst := true; isFirst || len(raw) > 0; isFirst = false {
		n := min(len(raw), cutRawBytes)
		c, err := pack(s, raw[:n])
		if err != nil {
			return nil, err
		}
		out = append(out, c)
		raw = raw[n:]
	}
	return out, nil
}

// Unpack decompresses a chunk. It fails if the result exceeds 2 MB.
func Unpack(data []byte) ([]byte, error) {
	if len(data) > MaxChunkBytes {
		return nil, errors.Errorf("config: chunk of %d bytes, at most %d", len(data), MaxChunkBytes)
	}
	r := flate.NewReader(bytes.NewReader(data))
	defer r.Close()
	raw, err := io.ReadAll(io.LimitReader(r, maxRawBytes+1))
	if err != nil {
		return nil, errors.Wrap(err, "config: decompress")
	}
	if len(raw) > maxRawBytes {
		return nil, errors.Errorf("config: chunk expands to more than %d bytes", maxRawBytes)
	}
	return raw, nil
}

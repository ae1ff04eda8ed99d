package proxy

import (
	"io"
	"net/http"
	"slices"

	"github.com/pkg/errors"
)

// errNoMemory means that the memory for callers is used up.
var errNoMemory = errors.New("proxy: the memory for callers is used up")

// reservation is what one request holds of its connection's memory. It is used by one
// goroutine at a time.
type reservation struct {
	memory Memory
	held   int64
}

// reserve reserves n bytes. If mayWait is set, it may wait for a moment until there is room.
func (r *reservation) reserve(n int64, mayWait bool) bool {
	switch {
	case r.memory == nil:
		return true
	case mayWait && !r.memory.Reserve(n), !mayWait && !r.memory.TryReserve(n):
		return false
	}
	r.held += n
	return true
}

func (r *reservation) release(n int64) {
	if r.memory != nil && n > 0 {
		r.held -= n
		r.memory.Release(n)
	}
}

func (r *reservation) releaseAll() { r.release(r.held) }

const (
	// smallHeadBytes is the size up to which what an answer's head holds is part of the estimate
	// for a request. Usual heads have a few hundred bytes.
	smallHeadBytes = 4 << 10
	// fieldBytes is what a field costs beside its text.
	fieldBytes = 200
)

// headBytes estimates what the head of an answer holds until the answer ends: the parsed fields
// and the copy that is sent to the caller.
func headBytes(h http.Header) int64 {
	n := int64(0)
	for name, values := range h {
		for _, value := range values {
			n += fieldBytes + 2*int64(len(name)+len(value))
		}
	}
	return n
}

const (
	// minSegmentBytes and maxSegmentBytes bound the parts in which bodies are buffered. Each is
	// as large as all before it, so that few parts are needed and little is reserved in
	// advance.
	minSegmentBytes = 4 << 10
	maxSegmentBytes = 64 << 10
)

// segments is a buffered beginning of a body, in parts that were allocated as it arrived.
type segments struct {
	parts  [][]byte
	length int64
}

// first returns up to n bytes of the beginning; n is at most minSegmentBytes.
func (s *segments) first(n int) []byte {
	if len(s.parts) == 0 {
		return nil
	}
	return s.parts[0][:min(n, len(s.parts[0]))]
}

// readSegments reads up to limit bytes, or fewer at the end of source. What it holds stays
// reserved.
func readSegments(source io.Reader, limit int64, m *reservation, mayWait bool) (segments, error) {
	var s segments
	for s.length < limit {
		size := min(max(s.length, minSegmentBytes), maxSegmentBytes, limit-s.length)
		if !m.reserve(size, mayWait) {
			return s, errNoMemory
		}
		part := make([]byte, size)
		n, err := 0, error(nil)
		for n < len(part) && err == nil {
			var k int
			k, err = source.Read(part[n:])
			n += k
		}
		if n > 0 {
			s.parts = append(s.parts, part[:n])
			s.length += int64(n)
		}
		if errors.Is(err, io.EOF) {
			return s, nil
		}
		if err != nil {
			return s, err
		}
	}
	return s, nil
}

// join returns the bytes in one part.
func (s *segments) join() []byte {
	if len(s.parts) == 1 {
		return s.parts[0]
	}
	return slices.Concat(s.parts...)
}

// segmentReader reads segments from their start.
type segmentReader struct {
	s    *segments
	part int
	at   int
	read int64
}

// remaining returns the number of bytes that were not read yet.
func (r *segmentReader) remaining() int64 { return r.s.length - r.read }

func (r *segmentReader) Read(p []byte) (int, error) {
	if r.part >= len(r.s.parts) {
		return 0, io.EOF
	}
	part := r.s.parts[r.part]
	n := copy(p, part[r.at:])
	r.at += n
	r.read += int64(n)
	if r.at == len(part) {
		r.part, r.at = r.part+1, 0
	}
	return n, nil
}

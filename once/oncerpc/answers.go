package oncerpc

import (
	"fmt"

	"github.com/currantferry/currantferry/once"
	"github.com/currantferry/currantferry/verdict"
)

// Bounds of the kept answers: the size of one body, and the default for all.
const (
	MaxAnswerBytes      = 64 << 10
	DefaultMaxKeptBytes = 8 << 20
)

// Answer is the response to a request that ran.
type Answer struct {
	Status int
	Header map[string][]string
	Body   []byte
}

// size returns the approximate memory that the answer takes. The constants cover
// the overhead of maps and slices.
func (a *Answer) size() int {
	n := 256 + len(a.Body)
	for k, vs := range a.Header {
		n += 64 + len(k)
		for _, v := range vs {
			n += 16 + len(v)
		}
	}
	return n
}

// DoneError is the error of a claim whose request ran before. It unwraps to a
// *verdict.Error.
type DoneError struct {
	Err *verdict.Error
	// Status is the HTTP status of the request that ran.
	Status int
	// Answer is the kept answer. It is nil if the answer was too large to keep, is no
	// longer kept, or could not be fetched from the VM that ran the request.
	Answer *Answer
}

func (e *DoneError) Error() string { return fmt.Sprintf("%v with status %d", e.Err, e.Status) }

// Unwrap returns the wrapped *verdict.Error.
func (e *DoneError) Unwrap() error { return e.Err }

// answerCache keeps the latest answers. It evicts the oldest ones to stay within
// maxBytes.
type answerCache struct {
	maxBytes int
	byKey    map[once.Key]*Answer
	order    []once.Key
	bytes    int
}

func (c *answerCache) put(key once.Key, a *Answer) {
	c.drop(key)
	if a == nil || len(a.Body) > MaxAnswerBytes || a.size() > 2*MaxAnswerBytes {
		return
	}
	if c.byKey == nil {
		c.byKey = make(map[once.Key]*Answer)
	}
	c.byKey[key] = a
	c.order = append(c.order, key)
	c.bytes += a.size()
	for c.bytes > c.maxBytes {
		c.drop(c.order[0])
	}
}

// drop removes the answer of a key, if there is one. put calls it even for an
// answer that is not kept: the answer to an earlier use of the key must not be
// returned for a later one.
func (c *answerCache) drop(key once.Key) {
	a, ok := c.byKey[key]
	if !ok {
		return
	}
	delete(c.byKey, key)
	c.bytes -= a.size()
	for i, o := range c.order {
		if o == key {
			c.order = append(c.order[:i], c.order[i+1:]...)
			break
		}
	}
}

package oncerpc

import (
	"fmt"

	"github.com/currantferry/currantferry/once"
	"github.com/currantferry/currantferry/verdict"
)

// Bounds of the kept answers.
const (
	MaxAnswerBytes   = 64 << 10
	DefaultKeptBytes = 8 << 20
)

// Answer is the response of a request that ran.
type Answer struct {
	Status int
	Header map[string][]string
	Body   []byte
}

// size is what the answer counts towards the bound. The constants cover the
// map, slice and list overhead.
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

// DoneError says that the request ran before. It unwraps to a *verdict.Error.
type DoneError struct {
	Err    *verdict.Error
	Status int
	// Answer is the kept answer, or nil if it is no longer kept.
	Answer *Answer
}

func (e *DoneError) Error() string { return fmt.Sprintf("%v with status %d", e.Err, e.Status) }

// Unwrap returns the verdict.
func (e *DoneError) Unwrap() error { return e.Err }

// answers keeps the latest answers within its limit in bytes, oldest out first.
type answers struct {
	limit int
	byKey map[once.Key]*Answer
	order []once.Key
	bytes int
}

func (k *answers) put(key once.Key, a *Answer) {
	k.drop(key)
	if a == nil || len(a.Body) > MaxAnswerBytes || a.size() > 2*MaxAnswerBytes {
		return
	}
	if k.byKey == nil {
		k.byKey = make(map[once.Key]*Answer)
	}
	k.byKey[key] = a
	k.order = append(k.order, key)
	k.bytes += a.size()
	for k.bytes > k.limit {
		k.drop(k.order[0])
	}
}

// drop removes a key. An answer of an earlier use of the key must not outlive
// the later use.
func (k *answers) drop(key once.Key) {
	a, ok := k.byKey[key]
	if !ok {
		return
	}
	delete(k.byKey, key)
	k.bytes -= a.size()
	for i, o := range k.order {
		if o == key {
			k.order = append(k.order[:i], k.order[i+1:]...)
			break
		}
	}
}

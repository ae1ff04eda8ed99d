package once

import (
	"fmt"
	"time"

	"github.com/anishathalye/porcupine"

	"github.com/currantferry/currantferry/verdict"
)

// request is a local request and its operations in the history.
type request struct {
	key     Key
	id      int
	op      int
	granted func()
	release int
}

type opKind uint8

const (
	opClaim opKind = iota
	opRelease
	opDone
)

type opIn struct {
	kind opKind
	key  Key
	id   int
}

type opOut uint8

const (
	outUnknown opOut = iota
	outGranted
	outInProgress
	outDone
	outRefused
)

// history holds the operations for the linearizability check and, independently
// of them, the number of runs of each key.
type history struct {
	ops         []porcupine.Operation
	runs        map[Key]int
	outcomes    map[opOut]int
	lastRefusal verdict.Reason
	// unavailable counts the claims that found no owner although the store had
	// been up for 10 s.
	unavailable int
	// reasons counts the refusals by reason.
	reasons map[verdict.Reason]int
	ids     int
}

// model is the sequential specification of a key. Its state is 0 for a free key,
// -1 for a done one, and otherwise the ID of the request that holds the key.
var model = porcupine.Model{
	Partition: func(ops []porcupine.Operation) [][]porcupine.Operation {
		byKey := make(map[Key][]porcupine.Operation)
		for _, o := range ops {
			k := o.Input.(opIn).key
			byKey[k] = append(byKey[k], o)
		}
		out := make([][]porcupine.Operation, 0, len(byKey))
		for _, o := range byKey {
			out = append(out, o)
		}
		return out
	},
	Init: func() any { return 0 },
	Step: func(state, input, output any) (bool, any) {
		s, in := state.(int), input.(opIn)
		switch in.kind {
		case opRelease:
			return s == in.id, 0
		case opDone:
			return s == in.id, -1
		}
		switch output.(opOut) {
		case outGranted:
			return s == 0, in.id
		case outDone:
			return s == -1, s
		default:
			return true, s
		}
	},
	Equal: func(a, b any) bool { return a.(int) == b.(int) },
}

func (f *fleet) beginOp(in opIn) int {
	f.hist.ops = append(f.hist.ops, porcupine.Operation{
		Input: in, Output: outUnknown, Call: f.now.UnixNano(), Return: 1 << 62,
	})
	return len(f.hist.ops) - 1
}

func (f *fleet) finishOp(op int, out opOut) {
	o := &f.hist.ops[op]
	if o.Return != 1<<62 {
		f.failed = append(f.failed, fmt.Sprintf("request %v is answered twice", o.Input))
	}
	o.Output, o.Return = out, f.now.UnixNano()
}

// startClaim starts a local request for a key and calls granted if it is granted.
func (f *fleet) startClaim(n *node, key Key, granted func(*node, uint64)) {
	f.hist.ids++
	q := &request{key: key, id: f.hist.ids, release: -1}
	q.op = f.beginOp(opIn{opClaim, key, q.id})
	seq, eff := n.m.Claim(f.now, key, 1)
	q.granted = func() { granted(n, seq) }
	n.reqs[seq] = q
	n.apply(eff)
	if f.abandonProb > 0 && f.rnd.Float64() < f.abandonProb {
		n.doAs(time.Duration(f.rnd.IntN(600))*time.Millisecond, func() {
			if f.hist.ops[q.op].Return == 1<<62 {
				n.apply(n.m.Abandon(f.now, seq))
				f.finishOp(q.op, outRefused)
			}
		})
	}
}

func (f *fleet) answered(n *node, a Answer) {
	q := n.reqs[a.Seq]
	out := outRefused
	switch {
	case a.Err == nil:
		out = outGranted
	case a.Err.Reason == verdict.ReasonKeyInProgress:
		out = outInProgress
	case a.Err.Reason == verdict.ReasonKeyDone:
		out = outDone
	}
	if f.hist.outcomes == nil {
		f.hist.outcomes, f.hist.runs = make(map[opOut]int), make(map[Key]int)
		f.hist.reasons = make(map[verdict.Reason]int)
	}
	f.hist.outcomes[out]++
	if a.Err != nil {
		f.hist.reasons[a.Err.Reason]++
		f.hist.lastRefusal = a.Err.Reason
		if a.Err.Reason == verdict.ReasonKeyUnavailable && f.now.Sub(f.store.downUntil) > 10*time.Second {
			f.hist.unavailable++
		}
	}
	f.finishOp(q.op, out)
	if out == outGranted {
		q.granted()
	}
}

func (f *fleet) settled(n *node, seq uint64) {
	if q := n.reqs[seq]; q != nil && q.release >= 0 {
		f.finishOp(q.release, outUnknown)
	}
}

// runRequest simulates a granted request. The request runs and completes, runs
// with unknown outcome, or is released without a run.
func (f *fleet) runRequest(n *node, seq uint64) {
	q := n.reqs[seq]
	switch x := f.rnd.IntN(10); {
	case x < 3:
		n.doAs(time.Duration(f.rnd.IntN(20))*time.Millisecond, func() {
			q.release = f.beginOp(opIn{opRelease, q.key, q.id})
			n.apply(n.m.Release(f.now, seq))
		})
	case x < 4:
		f.hist.runs[q.key]++
		n.doAs(100*time.Millisecond, func() { n.apply(n.m.MarkUnknown(f.now, seq)) })
	default:
		f.hist.runs[q.key]++
		n.doAs(time.Duration(20+f.rnd.IntN(300))*time.Millisecond, func() {
			q.release = f.beginOp(opIn{opDone, q.key, q.id})
			n.apply(n.m.Done(f.now, seq, 200))
		})
	}
}

// verify returns the errors in the history: keys that ran twice, and operations
// that are not linearizable.
func (f *fleet) verify() []string {
	out := f.failed
	for k, n := range f.hist.runs {
		if n > 1 {
			out = append(out, fmt.Sprintf("key %s ran %d times", k, n))
		}
	}
	var ops []porcupine.Operation
	for _, o := range f.hist.ops {
		// A claim without an answer was not used, whatever state the owner has.
		if o.Input.(opIn).kind != opClaim || o.Output.(opOut) != outUnknown {
			ops = append(ops, o)
		}
	}
	if res := porcupine.CheckOperationsTimeout(model, ops, time.Minute); res != porcupine.Ok {
		out = append(out, fmt.Sprintf("history check: %s", res))
	}
	return out
}

package loadgen

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/pkg/errors"

	"github.com/currantferry/currantferry/caller"
	"github.com/currantferry/currantferry/standin"
	"github.com/currantferry/currantferry/verdict"
)

// slowThreshold is the latency from which an answer is counted as slow.
const slowThreshold = time.Second

// maxSamples bounds the failures that a result describes individually.
const maxSamples = 10

// tally collects the results of the requests of a run. The lock of the run guards it.
type tally struct {
	classes map[string]*classTally
	// refused counts final refusals by reason and verdict.
	refused map[refusal]int64
	// failed counts requests without any answer, by class and cause.
	failed map[string]int64
	// nonIdempotent holds the IDs of the requests that must not run twice.
	nonIdempotent []string
	// notRun holds, by request ID, the reason of each refusal with the verdict "not run".
	notRun         map[string]verdict.Reason
	wrong          int64
	truncated      int64
	sends          int64
	failureSamples []string
}

type classTally struct {
	sent, answered, slow int64
	// latency of correct answers in microseconds.
	latency *hdrhistogram.Histogram
	slowest time.Duration
}

type refusal struct {
	reason  verdict.Reason
	verdict string
}

func newTally(classes []class) tally {
	t := tally{
		classes: make(map[string]*classTally), refused: make(map[refusal]int64),
		failed: make(map[string]int64), notRun: make(map[string]verdict.Reason),
	}
	for i := range classes {
		t.classes[classes[i].name] = &classTally{latency: hdrhistogram.New(1, int64(2*maxTimeout/time.Microsecond), 3)}
	}
	return t
}

// record records the result of a request.
func (t *tally) record(c *class, id string, a *caller.Answer, err error, fault string, latency time.Duration) {
	ct := t.classes[c.name]
	ct.sent++
	if !c.idempotent {
		t.nonIdempotent = append(t.nonIdempotent, id)
	}
	if err != nil {
		t.failed[c.name+": "+errorCause(err)]++
		t.addSample("%s %s: no answer after %s: %v", c.name, id, latency.Round(time.Millisecond), err)
		return
	}
	t.sends += int64(a.Sends)
	if v, reason, refused := a.Refusal(); refused {
		t.refused[refusal{reason, v.String()}]++
		if v == verdict.NotRun {
			t.notRun[id] = reason
		}
		return
	}
	if fault != "" {
		t.wrong++
		if fault == faultTruncated {
			t.truncated++
		}
		t.addSample("%s %s: %s: status %d, %d bytes from %s", c.name, id, fault, a.Status, len(a.Body), a.VM)
		return
	}
	ct.answered++
	ct.slowest = max(ct.slowest, latency)
	if latency >= slowThreshold {
		ct.slow++
	}
	_ = ct.latency.RecordValue(max(1, min(latency.Microseconds(), ct.latency.HighestTrackableValue())))
}

func (t *tally) addSample(format string, args ...any) {
	if len(t.failureSamples) < maxSamples {
		t.failureSamples = append(t.failureSamples, fmt.Sprintf(format, args...))
	}
}

// Ways in which an answer does not match its request.
const (
	faultStatus    = "unexpected status"
	faultID        = "answer to another request"
	faultTruncated = "truncated answer that looked complete"
	faultLength    = "wrong length"
	faultContent   = "wrong content"
	faultBody      = "another body reached the upstream"
)

// checkAnswer checks that an answer matches its request. It returns the fault, or an empty
// string for a correct answer or a refusal.
func checkAnswer(a *caller.Answer, id string, sent []byte, size int) string {
	if _, _, refused := a.Refusal(); refused {
		return ""
	}
	switch {
	case a.Status != http.StatusOK:
		return faultStatus
	case a.Header.Get(standin.HeaderRequestID) != id:
		return faultID
	case len(a.Body) < size:
		return faultTruncated
	case len(a.Body) > size:
		return faultLength
	case !bytes.Equal(a.Body, standin.AnswerBody(id, size)):
		return faultContent
	case a.Header.Get(standin.HeaderBodySum) != bodySum(sent):
		return faultBody
	}
	return ""
}

// errorCause returns a name for the cause of an error. It contains no addresses, so that
// errors of the same cause are counted together.
func errorCause(err error) string {
	var op *net.OpError
	switch {
	case errors.Is(err, context.DeadlineExceeded):
		return "deadline"
	case errors.Is(err, context.Canceled):
		return "cancelled"
	case errors.As(err, &op):
		return op.Op
	default:
		return "connection lost"
	}
}

package once

import (
	"fmt"
	"testing"
	"time"

	"github.com/currantferry/currantferry/verdict"
)

var testRecord = Record{Epoch: 5, View: "x/1/1", Owner: Member{"owner", 1}, Witnesses: []Member{{"w1", 1}, {"w2", 1}}}

func newMember(m Member) *Machine {
	return New(simStart, Config{Self: m, Partitions: 1, PieceClaims: 2})
}

// installPiece returns an Install message with piece i of the copy for the view of
// testRecord.
func installPiece(to Member, i, of int) *Message {
	return &Message{
		Kind: KindInstall, FromInc: 1, ToInc: to.Incarnation, Epoch: 5, View: testRecord.View, Piece: i, Pieces: of,
		Claims: []Claim{{Key: Key{byte(i)}, State: StateGranted, Attempt: 1, Holder: "a", Incarnation: 1, Seq: 1}},
	}
}

func sealRequest(to Member, r *Record) *Message {
	return &Message{Kind: KindSeal, FromInc: 1, ToInc: to.Incarnation, Epoch: 5, View: testRecord.View, Record: r}
}

// A member that received none or only some of the claims of a view must not
// acknowledge anything in it, and must report itself as lost when it is sealed.
func TestMemberWithoutCompleteCopy(t *testing.T) {
	self := testRecord.Witnesses[0]
	for _, copied := range []int{0, 1} {
		m := newMember(self)
		for i := 0; i < copied; i++ {
			m.Step(simStart, "p", installPiece(self, i, 2))
		}
		m.Observe(simStart, testRecord)
		msg := Message{Kind: KindRecord, FromInc: 1, ToInc: 1, Epoch: 5, View: testRecord.View, Claim: Claim{Key: Key{9}, Attempt: 1}}
		if e := m.Step(simStart, "owner", &msg); e.Sends[0].Message.Result != ResultNotActive {
			t.Errorf("%d of 2 pieces: record answered %d", copied, e.Sends[0].Message.Result)
		}
		if e := m.Step(simStart, "p", sealRequest(self, &testRecord)); e.Sends[0].Message.Result != ResultLost {
			t.Errorf("%d of 2 pieces: seal answered %d", copied, e.Sends[0].Message.Result)
		}
	}
}

// A malformed piece must neither be acknowledged nor complete a copy.
func TestMalformedPieces(t *testing.T) {
	self := testRecord.Witnesses[0]
	for _, p := range [][2]int{{0, 0}, {2, 2}, {-1, 2}, {0, maxPieces + 1}} {
		m := newMember(self)
		if e := m.Step(simStart, "p", installPiece(self, p[0], p[1])); len(e.Sends) != 0 {
			t.Errorf("piece %d of %d is acknowledged", p[0], p[1])
		}
		if m.Observe(simStart, testRecord); m.parts[0].active {
			t.Errorf("piece %d of %d completes the copy", p[0], p[1])
		}
	}
}

// A member that has not received the record of its view yet must not be taken for
// lost. It activates its copy by the record in the seal message, and does not
// answer a seal message without the record.
func TestSealOfMemberThatMissedTheRecord(t *testing.T) {
	self := testRecord.Witnesses[0]
	m := newMember(self)
	m.Step(simStart, "p", installPiece(self, 0, 2))
	m.Step(simStart, "p", installPiece(self, 1, 2))
	if e := m.Step(simStart, "p", sealRequest(self, nil)); len(e.Sends) != 0 {
		t.Fatalf("without the record: answered %d", e.Sends[0].Message.Result)
	}
	e := m.Step(simStart, "p", sealRequest(self, &testRecord))
	if res := e.Sends[0].Message; res.Result != ResultSealed || len(res.Claims) != 2 {
		t.Fatalf("with the record: answered %d with %d claims", res.Result, len(res.Claims))
	}
	// The copy for a proposal that lost to another one is not used.
	other := testRecord
	other.View = "y/1/1"
	m = newMember(self)
	m.Step(simStart, "p", installPiece(self, 0, 1))
	m.Observe(simStart, other)
	if claims, _ := m.Usage(); claims != 0 || m.parts[0].active {
		t.Fatalf("%d claims of a losing proposal are held", claims)
	}
}

// A VM must not accept a grant that its previous incarnation asked for.
func TestReplyToPreviousIncarnation(t *testing.T) {
	m := New(simStart, Config{Self: Member{"entry", 2}, Partitions: 1})
	m.Observe(simStart, testRecord)
	k := KeyOf("s", "k")
	seq, _ := m.Claim(simStart, k, 1)
	reply := Message{Kind: KindClaim, Reply: true, FromInc: 1, ToInc: 1, Result: ResultGranted, Claim: Claim{Key: k, Seq: seq, Attempt: 1}}
	if e := m.Step(simStart, "owner", &reply); len(e.Answers) != 0 {
		t.Fatal("the reply to the previous incarnation was accepted")
	}
	reply.ToInc = 2
	if e := m.Step(simStart, "owner", &reply); len(e.Answers) != 1 || e.Answers[0].Err != nil {
		t.Fatal("the reply to the current incarnation was not accepted")
	}
}

// newOwner returns an active owner and a function that sends it the claim of a
// request for key 1.
func newOwner(t *testing.T) (*Machine, func(vm string, seq uint64) Effects) {
	t.Helper()
	m := newMember(testRecord.Owner)
	msg := installPiece(testRecord.Owner, 0, 1)
	msg.Claims = nil
	m.Step(simStart, "p", msg)
	m.Observe(simStart, testRecord)
	return m, func(vm string, seq uint64) Effects {
		return m.Step(simStart, vm, &Message{
			Kind: KindClaim, ID: seq, FromInc: 1, Epoch: 5, View: testRecord.View, Claim: Claim{Key: Key{1}, Fingerprint: 1, Seq: seq},
		})
	}
}

func ack(req Message) *Message {
	return &Message{Kind: KindRecord, Reply: true, FromInc: 1, ToInc: 1, Epoch: 5, View: req.View, Result: ResultAcked, Claim: req.Claim}
}

func claimReplies(e Effects) string {
	out := ""
	for _, s := range e.Sends {
		if s.Message.Kind == KindClaim && s.Message.Reply {
			out += fmt.Sprintf("%s:%d ", s.To, s.Message.Result)
		}
	}
	return out
}

// A late acknowledgement of an earlier attempt must not complete a later one, and
// an owner that was sealed must not grant when the last acknowledgement arrives.
func TestOnlyTheAcknowledgedAttemptIsGranted(t *testing.T) {
	m, claim := newOwner(t)
	first := claim("a", 1).Sends[0].Message
	m.Step(simStart, "a", &Message{Kind: KindRelease, FromInc: 1, Epoch: 5, View: testRecord.View, Claim: Claim{Key: Key{1}, Seq: 1}})
	second := claim("b", 1).Sends
	if len(second) < 2 || second[len(second)-1].Message.Claim.Attempt != 2 {
		t.Fatalf("the released key is not claimed again: %+v", second)
	}
	late := second[len(second)-1].Message
	m.Step(simStart, "w1", ack(late))
	if got := claimReplies(m.Step(simStart, "w2", ack(first))); got != "" {
		t.Fatalf("a late acknowledgement led to %q", got)
	}
	sealed := m.Step(simStart, "p", sealRequest(testRecord.Owner, &testRecord))
	for _, s := range sealed.Sends {
		for _, c := range s.Message.Claims {
			if c.State != StateReleased {
				t.Errorf("the copy shows a claim that was never granted as %s", c.State)
			}
		}
	}
	if got := claimReplies(m.Step(simStart, "w2", ack(late))); got != "" {
		t.Fatalf("the sealed owner answered %q", got)
	}
}

// A claim that a witness rejected because its table is full must be refused, and
// its key must be free for the next request.
func TestWitnessTableFull(t *testing.T) {
	m, claim := newOwner(t)
	req := claim("a", 1).Sends[0].Message
	m.Step(simStart, "w1", ack(req))
	full := ack(req)
	full.Result = ResultFull
	if got := claimReplies(m.Step(simStart, "w2", full)); got != fmt.Sprintf("a:%d ", ResultFull) {
		t.Fatalf("the claim was answered %q", got)
	}
	if got := claimReplies(m.Step(simStart, "w2", ack(req))); got != "" {
		t.Fatalf("the refused claim was answered again: %q", got)
	}
	if e := claim("b", 1); len(e.Sends) != 2 || e.Sends[0].Message.Claim.Attempt != 2 {
		t.Fatalf("the key is not free: %+v", e.Sends)
	}
}

// A VM must itself refuse a second request for a key that one of its requests is
// claiming, holds or has completed, because the second one does not reach the owner.
func TestSecondRequestOnOneVM(t *testing.T) {
	m := New(simStart, Config{Self: Member{"entry", 1}, Partitions: 1})
	m.Observe(simStart, testRecord)
	k := KeyOf("s", "k")
	seq, _ := m.Claim(simStart, k, 1)
	reason := func(fp uint64) verdict.Reason {
		_, e := m.Claim(simStart, k, fp)
		return e.Answers[0].Err.Reason
	}
	wantReason(t, reason(1), verdict.ReasonKeyInProgress)
	wantReason(t, reason(2), verdict.ReasonKeyReused)
	m.Step(simStart, "owner", &Message{Kind: KindClaim, Reply: true, FromInc: 1, ToInc: 1, Result: ResultGranted, Claim: Claim{Key: k, Seq: seq, Attempt: 1}})
	wantReason(t, reason(1), verdict.ReasonKeyInProgress)
	m.Done(simStart, seq, 200)
	wantReason(t, reason(1), verdict.ReasonKeyDone)
	// An unacknowledged completion is dropped after outcomeTimeout. From then on the
	// owner decides again.
	if e := m.Tick(simStart.Add(time.Minute)); len(e.Answers) != 0 || m.NumUnsettled() != 0 {
		t.Fatalf("answers %+v, %d open", e.Answers, m.NumUnsettled())
	}
}

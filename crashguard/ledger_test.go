package crashguard

import (
	"fmt"
	"testing"
	"time"
)

func second(s float64) time.Time {
	return time.Unix(1000, 0).Add(time.Duration(s * float64(time.Second)))
}

func process(id string) Process { return Process{ID: id, Born: 1} }

func requestNumber(n byte) Fingerprint { return Fingerprint{n} }

// Guards against a request that goes on crashing instances through other VMs.
// Pattern: its caller sends it again each second, each time to another VM.
func TestCrashingRequestIsRefusedEverywhere(t *testing.T) {
	vms := []*Ledger{NewLedger(LedgerConfig{}), NewLedger(LedgerConfig{}), NewLedger(LedgerConfig{})}
	crashed := 0
	for n := range 20 {
		now := second(float64(n))
		l := vms[n%len(vms)]
		if _, refused := l.Refuses(now, requestNumber(1)); refused {
			continue
		}
		crashed++
		instance := fmt.Sprint("i", crashed)
		l.Lost(now, requestNumber(1), process(instance))
		l.Died(now.Add(200*time.Millisecond), process(instance), EvidenceRefused)
		notes := l.Outbox(now.Add(400*time.Millisecond), 1, 8)
		for _, other := range vms {
			if other != l {
				other.Merge(now.Add(400*time.Millisecond), notes, false)
			}
		}
	}
	if crashed != DefaultLedgerDeaths {
		t.Errorf("%d instances crashed, want %d", crashed, DefaultLedgerDeaths)
	}
}

// Guards against refusing requests whose answers were lost by instances that live,
// that succeed elsewhere, or that died long ago.
func TestInnocentRequestsPass(t *testing.T) {
	l := NewLedger(LedgerConfig{})
	for n := range 10 {
		l.Lost(second(float64(n)), requestNumber(1), process(fmt.Sprint("i", n)))
	}
	if _, refused := l.Refuses(second(10), requestNumber(1)); refused {
		t.Error("refused though no instance died")
	}
	for n := range 6 {
		instance := fmt.Sprint("j", n)
		l.Lost(second(20+float64(n)), requestNumber(2), process(instance))
		l.Died(second(20.1+float64(n)), process(instance), EvidenceRefused)
		if n%2 == 1 {
			l.Succeeded(second(20.2+float64(n)), requestNumber(2))
		}
	}
	if _, refused := l.Refuses(second(26), requestNumber(2)); refused {
		t.Error("refused though it succeeded between the deaths")
	}
	const apart = 301.0
	for n := range 6 {
		instance := fmt.Sprint("k", n)
		l.Lost(second(100+apart*float64(n)), requestNumber(3), process(instance))
		l.Died(second(100.1+apart*float64(n)), process(instance), EvidenceRefused)
	}
	if _, refused := l.Refuses(second(101+5*apart), requestNumber(3)); refused {
		t.Error("refused for deaths that are long past")
	}
}

// Guards against a request that crashes instances for as long as its caller resends
// it slowly enough.
func TestSlowResendsAreRefused(t *testing.T) {
	l := NewLedger(LedgerConfig{})
	crashed := 0
	for n := range 25 {
		now := second(20 * float64(n))
		if _, refused := l.Refuses(now, requestNumber(1)); refused {
			continue
		}
		crashed++
		l.Lost(now, requestNumber(1), process(fmt.Sprint(n)))
		l.Died(now, process(fmt.Sprint(n)), EvidenceRefused)
	}
	if crashed != DefaultLedgerDeaths {
		t.Errorf("%d instances crashed in 500 s, want %d", crashed, DefaultLedgerDeaths)
	}
}

// Guards against forgetting a request that is refused when many others lost a process.
func TestCrowdedLedgerKeepsWhatIsRefused(t *testing.T) {
	l := NewLedger(LedgerConfig{MaxNotes: 8})
	for n := range DefaultLedgerDeaths {
		l.Merge(second(0), []LedgerNote{{Request: requestNumber(1), Process: process(fmt.Sprint(n))}}, false)
	}
	for n := range 100 {
		l.Merge(second(1), []LedgerNote{{Request: Fingerprint{byte(n), 1}, Process: process("x")}}, false)
	}
	if _, refused := l.Refuses(second(2), requestNumber(1)); !refused {
		t.Error("forgotten")
	}
}

// Guards against a death that shows late, and against one instance that counts
// several times.
func TestWhatCountsAsADeath(t *testing.T) {
	l := NewLedger(LedgerConfig{Deaths: 1})
	l.Lost(second(0), requestNumber(1), process("a"))
	l.Died(second(8.1), process("a"), EvidenceRecord)
	if _, refused := l.Refuses(second(8.1), requestNumber(1)); refused {
		t.Error("a death 8.1 s later counts, when its record would have lapsed before")
	}
	l.Lost(second(0), requestNumber(2), process("c"))
	l.Answered(second(0.5), process("c"))
	l.Died(second(1), process("c"), EvidenceRefused)
	if _, refused := l.Refuses(second(1), requestNumber(2)); refused {
		t.Error("counts though the process answered after it lost the request")
	}
	for n := range byte(togetherLeast) {
		l.Lost(second(9), requestNumber(10+n), process("b"))
	}
	if wait, refused := l.Refuses(second(10), requestNumber(10)); !refused || wait != DefaultLedgerExpiry-time.Second {
		t.Errorf("connections lost together: refused %v for %s", refused, wait)
	}
	two := NewLedger(LedgerConfig{Deaths: 2})
	for n := range 3 {
		two.Lost(second(float64(n)), requestNumber(1), process("a"))
		two.Died(second(float64(n)+0.1), process("a"), EvidenceRefused)
	}
	if _, refused := two.Refuses(second(4), requestNumber(1)); refused {
		t.Error("one process counts twice")
	}
}

// Guards against a request that crashes the few instances of a small service without
// end: each is back under its ID, with a later start, and dies again.
func TestProcessesUnderOneIDCountEach(t *testing.T) {
	l := NewLedger(LedgerConfig{})
	for born := range int64(DefaultLedgerDeaths) {
		if _, refused := l.Refuses(second(float64(born)), requestNumber(1)); refused {
			t.Errorf("refused after %d deaths", born)
		}
		l.Lost(second(float64(born)), requestNumber(1), Process{"a", born})
		l.Died(second(float64(born)+0.1), Process{"a", born}, EvidenceRecord)
	}
	if _, refused := l.Refuses(second(4), requestNumber(1)); !refused {
		t.Error("not refused after three processes of one instance died")
	}
}

// Guards against memory that grows with the requests.
func TestLedgerIsBounded(t *testing.T) {
	l := NewLedger(LedgerConfig{MaxNotes: 8})
	for n := range 100 {
		f := Fingerprint{byte(n), 1}
		l.Lost(second(float64(n)/10), f, process(fmt.Sprint("i", n)))
		l.Died(second(float64(n)/10), process(fmt.Sprint("i", n)), EvidenceRefused)
	}
	for n := range 100 {
		l.Merge(second(11), []LedgerNote{{Request: Fingerprint{byte(n), 2}, Age: time.Second}}, true)
	}
	if len(l.deaths) > 8 || len(l.losses) > 8 || len(l.dead) > 8 || len(l.cleared) > 8 || len(l.outbox) > 8 {
		t.Errorf("%d deaths, %d losses, %d dead processes, %d cleared, %d to tell", len(l.deaths), len(l.losses), len(l.dead), len(l.cleared), len(l.outbox))
	}
}

// Guards against deaths that are never counted: the record of a process lapses 4.5 s
// after it died, one that is back changes it after some seconds, and requests to a
// host that went silent end at their deadline, before or after that.
func TestDeathsThatShowLateCount(t *testing.T) {
	l := NewLedger(LedgerConfig{Deaths: 1})
	l.Lost(second(0), requestNumber(1), process("a"))
	l.Died(second(5.3), process("a"), EvidenceRecord)
	l.Unanswered(second(4), requestNumber(2), process("b"))
	l.Died(second(5), process("b"), EvidenceRecord)
	l.Died(second(5), process("c"), EvidenceRecord)
	l.Unanswered(second(7), requestNumber(3), process("c"))
	for n := byte(1); n <= 3; n++ {
		if _, refused := l.Refuses(second(8), requestNumber(n)); !refused {
			t.Errorf("request %d is not refused", n)
		}
	}
	for n := range byte(togetherLeast) {
		l.Unanswered(second(8), requestNumber(10+n), process("d"))
	}
	if _, refused := l.Refuses(second(8), requestNumber(10)); refused {
		t.Error("requests that were given up together show no death")
	}
}

// Guards against notes that are lost on their way, and against notes that go round
// for ever.
func TestNotesAreRepeatedAndPassedOnOnce(t *testing.T) {
	a, b := NewLedger(LedgerConfig{}), NewLedger(LedgerConfig{})
	a.Lost(second(0), requestNumber(1), process("x"))
	a.Died(second(0.1), process("x"), EvidenceRefused)
	for n := range 3 {
		notes := a.Outbox(second(1), 3, 8)
		if len(notes) != 1 || !notes[0].Local || notes[0].Age != time.Second {
			t.Fatalf("turn %d: %+v", n, notes)
		}
		b.Merge(second(1.1), notes, true)
	}
	if notes := a.Outbox(second(1), 3, 8); len(notes) != 0 {
		t.Errorf("a fourth time: %+v", notes)
	}
	if notes := b.Outbox(second(1.2), 1, 8); len(notes) != 1 || notes[0].Local {
		t.Errorf("passed on %+v", notes)
	}
	for n := range 5 {
		a.Lost(second(2), requestNumber(2), process(fmt.Sprint(n)))
		a.Died(second(2), process(fmt.Sprint(n)), EvidenceRefused)
	}
	if first, rest := a.Outbox(second(2), 1, 3), a.Outbox(second(2), 1, 3); len(first) != 3 || len(rest) != 2 {
		t.Errorf("%d and %d of 5 notes, 3 at a time", len(first), len(rest))
	}
}

// Guards against refusing a request everywhere that other VMs see succeed: each VM
// saw one of its instances die, as when a data centre loses power.
func TestSuccessElsewhereClears(t *testing.T) {
	vms := []*Ledger{NewLedger(LedgerConfig{}), NewLedger(LedgerConfig{}), NewLedger(LedgerConfig{})}
	share := func(now time.Time) {
		for _, from := range vms {
			notes := from.Outbox(now, 1, 8)
			for _, to := range vms {
				if to != from {
					to.Merge(now, notes, false)
				}
			}
		}
	}
	for n, l := range vms {
		l.Lost(second(0), requestNumber(1), process(fmt.Sprint(n)))
		l.Died(second(0.1), process(fmt.Sprint(n)), EvidenceRefused)
	}
	share(second(0.2))
	late := []LedgerNote{{Request: requestNumber(1), Process: process("0"), Age: 900 * time.Millisecond}}
	vms[0].Succeeded(second(0.5), requestNumber(1))
	share(second(0.6))
	vms[1].Merge(second(0.9), late, false)
	for n, l := range vms {
		if _, refused := l.Refuses(second(1), requestNumber(1)); refused || len(l.deaths) > 0 {
			t.Errorf("VM %d: refused %v, %d requests with deaths", n, refused, len(l.deaths))
		}
	}
}

// Guards against records that nobody writes, that all VMs write, or that stand for a
// request which has succeeded.
func TestRefusedRequestsAreRecordedOnce(t *testing.T) {
	saw, heard := NewLedger(LedgerConfig{}), NewLedger(LedgerConfig{})
	for n := range DefaultLedgerDeaths {
		saw.Lost(second(float64(n)), requestNumber(1), process(fmt.Sprint(n)))
		saw.Died(second(float64(n)), process(fmt.Sprint(n)), EvidenceRefused)
		heard.Merge(second(float64(n)), saw.Outbox(second(float64(n)), 1, 8), false)
	}
	due := func(l *Ledger, s float64) int { return len(l.Unrecorded(second(s), time.Second)) }
	if due(saw, 2.5) != 0 || due(saw, 3.1) != 1 || due(heard, 3.1) != 0 {
		t.Errorf("to be recorded %d at once, %d later, %d where it was only heard of", due(saw, 2.5), due(saw, 3.1), due(heard, 3.1))
	}
	started := NewLedger(LedgerConfig{})
	for _, l := range []*Ledger{saw, heard, started} {
		l.SetRecorded(requestNumber(1), true)
	}
	if _, refused := started.Refuses(second(4), requestNumber(1)); !refused || due(saw, 4) != 0 {
		t.Errorf("a VM that knows the record only: refused %v; %d to be recorded again", refused, due(saw, 4))
	}
	started.Succeeded(second(5), requestNumber(1))
	saw.Merge(second(5), started.Outbox(second(5), 1, 8), false)
	for _, l := range []*Ledger{saw, started} {
		if _, refused := l.Refuses(second(6), requestNumber(1)); refused {
			t.Error("refused after a success")
		}
	}
}

// Guards against a success that clears nothing since another one came just before it.
func TestEachSuccessClears(t *testing.T) {
	l := NewLedger(LedgerConfig{Deaths: 1})
	for _, s := range []float64{0, 0.4, 0.8} {
		l.Lost(second(s), requestNumber(1), process(fmt.Sprint(s)))
		l.Died(second(s), process(fmt.Sprint(s)), EvidenceRefused)
		l.Succeeded(second(s+0.2), requestNumber(1))
		if _, refused := l.Refuses(second(s+0.2), requestNumber(1)); refused {
			t.Errorf("refused after the success at %g", s+0.2)
		}
	}
}

// Guards against deaths of a process whose record was only away for a while, and against
// a request that was given up which changes what is known of others.
func TestLivingProcessesCountForNothing(t *testing.T) {
	l := NewLedger(LedgerConfig{Deaths: 1})
	l.Died(second(0), process("a"), EvidenceRecord)
	l.Answered(second(1), process("a"))
	l.Lost(second(2), requestNumber(1), process("a"))
	if _, refused := l.Refuses(second(2), requestNumber(1)); refused {
		t.Error("counts though the process answered after its record was gone")
	}
	l.Died(second(3), process("b"), EvidenceRefused)
	for n := range byte(togetherLeast) {
		l.Lost(second(3.05), requestNumber(10+n), process("c"))
		l.Unanswered(second(3.05), requestNumber(20+n), process("b"))
	}
	if _, refused := l.Refuses(second(3.1), requestNumber(10)); !refused {
		t.Error("connections lost together count for nothing")
	}
}

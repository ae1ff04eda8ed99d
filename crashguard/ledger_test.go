package crashguard

import (
	"fmt"
	"testing"
	"time"
)

func second(s float64) time.Time {
	return time.Unix(1000, 0).Add(time.Duration(s * float64(time.Second)))
}

func process(id string) Process { return Process{ID: id, StartMillis: 1} }

func requestNumber(n byte) Fingerprint { return Fingerprint{n} }

// A request that crashes instances must be refused by all VMs after a bounded number
// of crashes. Its caller resends it every second, each time to another VM.
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
		recordLoss(l, now, requestNumber(1), process(instance))
		l.RecordCrash(now.Add(200*time.Millisecond), process(instance), EvidenceRefused)
		reports := l.Outbox(now.Add(400*time.Millisecond), 1, 8)
		for _, other := range vms {
			if other != l {
				other.Merge(now.Add(400*time.Millisecond), reports, false)
			}
		}
	}
	if crashed != DefaultLedgerMaxCrashes {
		t.Errorf("%d instances crashed, want %d", crashed, DefaultLedgerMaxCrashes)
	}
}

// A request must not be refused because connections to live instances were lost, if
// it succeeds between crashes, or for crashes that are long past.
func TestInnocentRequestsPass(t *testing.T) {
	l := NewLedger(LedgerConfig{})
	for n := range 10 {
		recordLoss(l, second(float64(n)), requestNumber(1), process(fmt.Sprint("i", n)))
	}
	if _, refused := l.Refuses(second(10), requestNumber(1)); refused {
		t.Error("refused though no instance crashed")
	}
	for n := range 6 {
		instance := fmt.Sprint("j", n)
		recordLoss(l, second(20+float64(n)), requestNumber(2), process(instance))
		l.RecordCrash(second(20.1+float64(n)), process(instance), EvidenceRefused)
		if n%2 == 1 {
			l.RecordSuccess(second(20.2+float64(n)), requestNumber(2))
		}
	}
	if _, refused := l.Refuses(second(26), requestNumber(2)); refused {
		t.Error("refused though it succeeded between the crashes")
	}
	const apart = 301.0
	for n := range 6 {
		instance := fmt.Sprint("k", n)
		recordLoss(l, second(100+apart*float64(n)), requestNumber(3), process(instance))
		l.RecordCrash(second(100.1+apart*float64(n)), process(instance), EvidenceRefused)
	}
	if _, refused := l.Refuses(second(101+5*apart), requestNumber(3)); refused {
		t.Error("refused for crashes that are long past")
	}
}

// A request that crashes instances must be refused also if its caller resends it only
// every 20 s.
func TestSlowResendsAreRefused(t *testing.T) {
	l := NewLedger(LedgerConfig{})
	crashed := 0
	for n := range 25 {
		now := second(20 * float64(n))
		if _, refused := l.Refuses(now, requestNumber(1)); refused {
			continue
		}
		crashed++
		recordLoss(l, now, requestNumber(1), process(fmt.Sprint(n)))
		l.RecordCrash(now, process(fmt.Sprint(n)), EvidenceRefused)
	}
	if crashed != DefaultLedgerMaxCrashes {
		t.Errorf("%d instances crashed in 500 s, want %d", crashed, DefaultLedgerMaxCrashes)
	}
}

// A refused request must not be evicted by many requests that crashed one process
// each.
func TestFullLedgerKeepsRefusedRequests(t *testing.T) {
	l := NewLedger(LedgerConfig{MaxRequests: 8})
	for n := range DefaultLedgerMaxCrashes {
		l.Merge(second(0), []LedgerReport{{Request: requestNumber(1), Process: process(fmt.Sprint(n))}}, false)
	}
	for n := range 100 {
		l.Merge(second(1), []LedgerReport{{Request: Fingerprint{byte(n), 1}, Process: process("x")}}, false)
	}
	if _, refused := l.Refuses(second(2), requestNumber(1)); !refused {
		t.Error("the refused request was evicted")
	}
}

// Evidence that comes after ConfirmWindow, or that a later answer contradicts, must
// not be counted. Several connections lost at once are evidence by themselves. A
// process is counted at most once.
func TestCrashEvidence(t *testing.T) {
	l := NewLedger(LedgerConfig{MaxCrashes: 1})
	recordLoss(l, second(0), requestNumber(1), process("a"))
	l.RecordCrash(second(8.1), process("a"), EvidenceRecord)
	if _, refused := l.Refuses(second(8.1), requestNumber(1)); refused {
		t.Error("evidence after 8.1 s is counted, though the record would have expired before")
	}
	recordLoss(l, second(0), requestNumber(2), process("c"))
	l.RecordAnswer(second(0.5), process("c"))
	l.RecordCrash(second(1), process("c"), EvidenceRefused)
	if _, refused := l.Refuses(second(1), requestNumber(2)); refused {
		t.Error("a crash is counted though the process answered after the loss")
	}
	for n := range byte(minSimultaneousLosses) {
		recordLoss(l, second(9), requestNumber(10+n), process("b"))
	}
	if wait, refused := l.Refuses(second(10), requestNumber(10)); !refused || wait != DefaultLedgerTTL-time.Second {
		t.Errorf("connections lost at once: refused %v for %s", refused, wait)
	}
	two := NewLedger(LedgerConfig{MaxCrashes: 2})
	for n := range 3 {
		recordLoss(two, second(float64(n)), requestNumber(1), process("a"))
		two.RecordCrash(second(float64(n)+0.1), process("a"), EvidenceRefused)
	}
	if _, refused := two.Refuses(second(4), requestNumber(1)); refused {
		t.Error("one process is counted twice")
	}
}

// Processes under the same ID are counted separately. Otherwise a request could crash
// the few instances of a small service without end, since each restarts under its ID
// and crashes again.
func TestProcessesOfOneInstanceAreCountedSeparately(t *testing.T) {
	l := NewLedger(LedgerConfig{})
	for startTime := range int64(DefaultLedgerMaxCrashes) {
		if _, refused := l.Refuses(second(float64(startTime)), requestNumber(1)); refused {
			t.Errorf("refused after %d crashes", startTime)
		}
		recordLoss(l, second(float64(startTime)), requestNumber(1), Process{"a", startTime})
		l.RecordCrash(second(float64(startTime)+0.1), Process{"a", startTime}, EvidenceRecord)
	}
	if _, refused := l.Refuses(second(4), requestNumber(1)); !refused {
		t.Error("not refused after three processes of one instance crashed")
	}
}

// The ledger's memory must not grow with the number of requests.
func TestLedgerIsBounded(t *testing.T) {
	l := NewLedger(LedgerConfig{MaxRequests: 8})
	for n := range 100 {
		f := Fingerprint{byte(n), 1}
		recordLoss(l, second(float64(n)/10), f, process(fmt.Sprint("i", n)))
		l.RecordCrash(second(float64(n)/10), process(fmt.Sprint("i", n)), EvidenceRefused)
	}
	for n := range 100 {
		l.Merge(second(11), []LedgerReport{{Request: Fingerprint{byte(n), 2}, Age: time.Second}}, true)
	}
	if len(l.crashes) > 8 || len(l.losses) > 8 || len(l.crashed) > 8 || len(l.cleared) > 8 || len(l.outbox) > 8 {
		t.Errorf("%d requests with crashes, %d losses, %d crashed processes, %d cleared, %d in the outbox", len(l.crashes), len(l.losses), len(l.crashed), len(l.cleared), len(l.outbox))
	}
}

// Late evidence must be counted. The record of a process expires 4.5 s after its
// crash, a restarted process replaces it after some seconds, and requests to an
// unreachable host end at their deadline, before or after that.
func TestLateCrashEvidenceIsCounted(t *testing.T) {
	l := NewLedger(LedgerConfig{MaxCrashes: 1})
	recordLoss(l, second(0), requestNumber(1), process("a"))
	l.RecordCrash(second(5.3), process("a"), EvidenceRecord)
	l.RecordUnanswered(second(4), requestNumber(2), process("b"))
	l.RecordCrash(second(5), process("b"), EvidenceRecord)
	l.RecordCrash(second(5), process("c"), EvidenceRecord)
	l.RecordUnanswered(second(7), requestNumber(3), process("c"))
	for n := byte(1); n <= 3; n++ {
		if _, refused := l.Refuses(second(8), requestNumber(n)); !refused {
			t.Errorf("request %d is not refused", n)
		}
	}
	for n := range byte(minSimultaneousLosses) {
		l.RecordUnanswered(second(8), requestNumber(10+n), process("d"))
	}
	if _, refused := l.Refuses(second(8), requestNumber(10)); refused {
		t.Error("requests that were abandoned at once are no evidence of a crash")
	}
}

// Reports must be sent several times, since datagrams get lost, and be forwarded only
// once, so that they do not circulate for ever.
func TestReportsAreRepeatedAndForwardedOnce(t *testing.T) {
	a, b := NewLedger(LedgerConfig{}), NewLedger(LedgerConfig{})
	recordLoss(a, second(0), requestNumber(1), process("x"))
	a.RecordCrash(second(0.1), process("x"), EvidenceRefused)
	for n := range 3 {
		reports := a.Outbox(second(1), 3, 8)
		if len(reports) != 1 || !reports[0].Local || reports[0].Age != time.Second {
			t.Fatalf("round %d: %+v", n, reports)
		}
		b.Merge(second(1.1), reports, true)
	}
	if reports := a.Outbox(second(1), 3, 8); len(reports) != 0 {
		t.Errorf("a fourth time: %+v", reports)
	}
	if reports := b.Outbox(second(1.2), 1, 8); len(reports) != 1 || reports[0].Local {
		t.Errorf("forwarded %+v", reports)
	}
	for n := range 5 {
		recordLoss(a, second(2), requestNumber(2), process(fmt.Sprint(n)))
		a.RecordCrash(second(2), process(fmt.Sprint(n)), EvidenceRefused)
	}
	if first, rest := a.Outbox(second(2), 1, 3), a.Outbox(second(2), 1, 3); len(first) != 3 || len(rest) != 2 {
		t.Errorf("%d and %d of 5 reports, 3 at a time", len(first), len(rest))
	}
}

// A success at one VM must clear the request at all VMs. Each VM observed the crash of
// one instance that ran it, as when a data centre loses power.
func TestSuccessElsewhereClears(t *testing.T) {
	vms := []*Ledger{NewLedger(LedgerConfig{}), NewLedger(LedgerConfig{}), NewLedger(LedgerConfig{})}
	exchangeReports := func(now time.Time) {
		for _, from := range vms {
			reports := from.Outbox(now, 1, 8)
			for _, to := range vms {
				if to != from {
					to.Merge(now, reports, false)
				}
			}
		}
	}
	for n, l := range vms {
		recordLoss(l, second(0), requestNumber(1), process(fmt.Sprint(n)))
		l.RecordCrash(second(0.1), process(fmt.Sprint(n)), EvidenceRefused)
	}
	exchangeReports(second(0.2))
	late := []LedgerReport{{Request: requestNumber(1), Process: process("0"), Age: 900 * time.Millisecond}}
	vms[0].RecordSuccess(second(0.5), requestNumber(1))
	exchangeReports(second(0.6))
	vms[1].Merge(second(0.9), late, false)
	for n, l := range vms {
		if _, refused := l.Refuses(second(1), requestNumber(1)); refused || len(l.crashes) > 0 {
			t.Errorf("VM %d: refused %v, %d requests with crashes", n, refused, len(l.crashes))
		}
	}
}

// A refused request must be recorded at once by the VM that observed its last crash, later by
// one that observed another, never by those that received reports, and a success must end the
// refusal.
func TestRefusedRequestsAreRecordedOnce(t *testing.T) {
	observer, first, receiver := NewLedger(LedgerConfig{}), NewLedger(LedgerConfig{}), NewLedger(LedgerConfig{})
	due := func(l *Ledger, s float64) int { return len(l.Unrecorded(second(s), time.Second)) }
	for n := range DefaultLedgerMaxCrashes {
		if due(observer, 1.5) != 0 {
			t.Errorf("to be recorded after %d crashes", n)
		}
		now, from := second(float64(n)), observer
		if n == 0 {
			from = first
		}
		recordLoss(from, now, requestNumber(1), process(fmt.Sprint(n)))
		from.RecordCrash(now, process(fmt.Sprint(n)), EvidenceRefused)
		reports := from.Outbox(now, 1, 8)
		for _, l := range []*Ledger{observer, first, receiver} {
			l.Merge(now, reports, false)
		}
	}
	if due(observer, 2) != 1 || due(first, 2.5) != 0 || due(first, 3.1) != 1 || due(receiver, 3.1) != 0 {
		t.Errorf("to be recorded: %d at once; %d and, later, %d at the VM that observed the first crash; %d at the one that received reports",
			due(observer, 2), due(first, 2.5), due(first, 3.1), due(receiver, 3.1))
	}
	started := NewLedger(LedgerConfig{})
	for _, l := range []*Ledger{observer, receiver, started} {
		l.SetRecorded(requestNumber(1), true)
	}
	if _, refused := started.Refuses(second(4), requestNumber(1)); !refused || due(observer, 4) != 0 {
		t.Errorf("a VM that has only the record: refused %v; %d to be recorded again", refused, due(observer, 4))
	}
	started.RecordSuccess(second(5), requestNumber(1))
	observer.Merge(second(5), started.Outbox(second(5), 1, 8), false)
	for _, l := range []*Ledger{observer, started} {
		if _, refused := l.Refuses(second(6), requestNumber(1)); refused {
			t.Error("refused after a success")
		}
	}
}

// Crashes that several VMs observe in the same moment must be recorded at once by one of them
// at least. Reports take some time, so each VM takes the others' crashes for later than its own.
func TestCrashesOfOneMomentAreRecordedAtOnce(t *testing.T) {
	const delay = 0.005
	for _, gap := range []float64{0, 0.002, 0.05, 0.3} {
		var ledgers [3]*Ledger
		for n := range ledgers {
			ledgers[n] = NewLedger(LedgerConfig{})
			at := second(1 + float64(n)*gap)
			recordLoss(ledgers[n], at, requestNumber(1), process(fmt.Sprint(n)))
			ledgers[n].RecordCrash(at, process(fmt.Sprint(n)), EvidenceRefused)
		}
		due := 0
		for n, l := range ledgers {
			for k := range ledgers {
				if k != n {
					l.Merge(second(1+float64(k)*gap+delay), []LedgerReport{{Request: requestNumber(1), Process: process(fmt.Sprint(k))}}, false)
				}
			}
			due += len(l.Unrecorded(second(1.7), time.Second))
		}
		if due == 0 {
			t.Errorf("crashes %g s apart are recorded by none of the VMs that observed them", gap)
		}
	}
}

// A success must clear the request also if another success came shortly before it.
func TestEachSuccessClears(t *testing.T) {
	l := NewLedger(LedgerConfig{MaxCrashes: 1})
	for _, s := range []float64{0, 0.4, 0.8} {
		recordLoss(l, second(s), requestNumber(1), process(fmt.Sprint(s)))
		l.RecordCrash(second(s), process(fmt.Sprint(s)), EvidenceRefused)
		l.RecordSuccess(second(s+0.2), requestNumber(1))
		if _, refused := l.Refuses(second(s+0.2), requestNumber(1)); refused {
			t.Errorf("refused after the success at %g", s+0.2)
		}
	}
}

// An answer of a process discards the evidence of its deleted record. An abandoned
// request at a crashed process must not discard the losses of other processes.
func TestAnswersOverrideCrashEvidence(t *testing.T) {
	l := NewLedger(LedgerConfig{MaxCrashes: 1})
	l.RecordCrash(second(0), process("a"), EvidenceRecord)
	l.RecordAnswer(second(1), process("a"))
	recordLoss(l, second(2), requestNumber(1), process("a"))
	if _, refused := l.Refuses(second(2), requestNumber(1)); refused {
		t.Error("a crash is counted though the process answered after its record was deleted")
	}
	l.RecordCrash(second(3), process("b"), EvidenceRefused)
	for n := range byte(minSimultaneousLosses) {
		recordLoss(l, second(3.05), requestNumber(10+n), process("c"))
		l.RecordUnanswered(second(3.05), requestNumber(20+n), process("b"))
	}
	if _, refused := l.Refuses(second(3.1), requestNumber(10)); !refused {
		t.Error("connections lost at once are not counted")
	}
}

// recordLoss records a single lost connection.
func recordLoss(l *Ledger, at time.Time, f Fingerprint, p Process) {
	l.RecordLosses([]Loss{{Request: f, Process: p, At: at}})
}

// Connections that are lost at once must not count as crashes if several instances lose
// them or accept new ones: the links of this VM failed.
func TestLossesOfSeveralInstancesAreNoCrashes(t *testing.T) {
	for instances, refused := range map[int]bool{1: true, 2: false, 5: false} {
		l := NewLedger(LedgerConfig{MaxCrashes: 1})
		var lost []Loss
		for k := range instances {
			for n := range minSimultaneousLosses {
				at := second(0.01 * float64(n+k))
				lost = append(lost, Loss{Request: requestNumber(byte(n)), Process: process(fmt.Sprint("i", k)), At: at})
			}
		}
		l.RecordLosses(lost)
		if _, got := l.Refuses(second(1), requestNumber(0)); got != refused {
			t.Errorf("%d instances: refused %t, want %t", instances, got, refused)
		}
	}
	l := NewLedger(LedgerConfig{MaxCrashes: 1})
	lost := []Loss{{Request: requestNumber(0), Process: process("a"), At: second(0), Reconnected: true}}
	for n := range minSimultaneousLosses {
		lost = append(lost, Loss{Request: requestNumber(0), Process: process("a"), At: second(0.001 * float64(n+1))})
	}
	l.RecordLosses(lost)
	if _, refused := l.Refuses(second(1), requestNumber(0)); refused {
		t.Error("a crash is counted though the instance accepted a new connection")
	}
}

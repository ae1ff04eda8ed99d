package abuse

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/currantferry/currantferry/internal/testkit"
	"github.com/currantferry/currantferry/inventory"
	"github.com/currantferry/currantferry/platform"
	"github.com/currantferry/currantferry/platform/standin"
)

const (
	// endlessCallers is the number of requests that get an endless answer at the same time.
	endlessCallers = 200
	// maxEndlessBytes is when an endless answer ends by itself: together the answers of a test
	// are many times as long as the memory of the VM.
	maxEndlessBytes = 16 << 20
	// endlessDeadline is the deadline of these requests.
	endlessDeadline = 3 * time.Second
)

// endless counts what faulty instances send.
type endless struct {
	open, connections, bytes, most atomic.Int64
	// pause is the time between two parts, if not zero.
	pause time.Duration
}

// write writes a beginning and then repeats a part until the VM closes the connection.
func (e *endless) write(w io.Writer, beginning, part string) {
	e.open.Add(1)
	defer e.open.Add(-1)
	e.connections.Add(1)
	block := strings.Repeat(part, max(1, 16<<10/len(part)))
	n, err := io.WriteString(w, beginning)
	sent := int64(n)
	for err == nil && sent < maxEndlessBytes {
		time.Sleep(e.pause)
		n, err = io.WriteString(w, block)
		sent += int64(n)
	}
	e.bytes.Add(sent)
	for {
		most := e.most.Load()
		if sent <= most || e.most.CompareAndSwap(most, sent) {
			return
		}
	}
}

// endlessForm is an endless answer to the request with the ID %s. isBody says that it is
// passed on to a caller as it arrives.
type endlessForm struct {
	beginning, part string
	isBody          bool
}

const (
	okHead      = "HTTP/1.1 200 OK\r\nX-Currantferry-Request-Id: %s\r\n"
	chunkedHead = okHead + "Transfer-Encoding: chunked\r\n\r\n"
	chunk       = "400\r\n"
)

var (
	// manyFields and longField nearly fill the largest head that is accepted.
	manyFields = strings.Repeat(shortField, 15_900)
	longField  = "Long: " + strings.Repeat("x", 63_000) + "\r\n"
	oneChunk   = chunk + strings.Repeat("x", 0x400) + "\r\n"
)

var endlessForms = map[string]endlessForm{
	"no answer":                      {"", "z", false},
	"one field":                      {okHead + "Long: ", "x", false},
	"fields":                         {okHead, shortField, false},
	"interim answers":                {"", "HTTP/1.1 102 Processing\r\n\r\n", false},
	"interim answers with fields":    {"", "HTTP/1.1 102 Processing\r\n" + strings.Repeat(shortField, 200) + "\r\n", false},
	"switched protocol":              {"HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\nConnection: Upgrade\r\n\r\n", "x", false},
	"answer to another":              {"HTTP/1.1 200 OK\r\nX-Currantferry-Request-Id: other\r\nContent-Length: 1000000000000\r\n\r\n", "x", false},
	"refusal":                        {"HTTP/1.1 503 Full\r\nX-Currantferry-Request-Id: %s\r\nX-Currantferry-Not-Executed: 1\r\nTransfer-Encoding: chunked\r\n\r\n", oneChunk, false},
	"misdirected":                    {"HTTP/1.1 421 Misdirected Request\r\nX-Currantferry-Request-Id: %s\r\n\r\n", "x", false},
	"length":                         {okHead + "Content-Length: 1000000000000\r\n\r\n", "x", true},
	"no length":                      {okHead + "\r\n", "x", true},
	"chunks":                         {chunkedHead, oneChunk, true},
	"small chunks":                   {chunkedHead, "1\r\nx\r\n", true},
	"chunk extension":                {chunkedHead + "1;", "x", false},
	"trailers":                       {chunkedHead + oneChunk + "0\r\n", shortField, false},
	"many fields before body":        {okHead + manyFields + "Content-Length: 1000000000000\r\n\r\n", "x", true},
	"long field before body":         {okHead + longField + "Content-Length: 1000000000000\r\n\r\n", "x", true},
	"failure with many fields":       {"HTTP/1.1 500 Failed\r\n" + manyFields + "\r\n", "x", true},
	"many fields, interim, and body": {"HTTP/1.1 102 Processing\r\n" + manyFields[:len(manyFields)/2] + "\r\n" + okHead + "\r\n", "x", true},
}

// startEndless starts a VM whose instances answer the requests of the crowd without end.
func startEndless(t *testing.T, form endlessForm, instances int) (*vm, *endless) {
	t.Helper()
	v := startVMWith(t, memoryMB, instances, endlessCallers, fmt.Sprintf("[callers]\nconnections = %d\n", maxCallers))
	e := new(endless)
	for _, i := range v.instances {
		i.SetBehaviour(func(id string) standin.Behaviour {
			if !strings.HasPrefix(id, "crowd") {
				return standin.Behaviour{}
			}
			return standin.Behaviour{Write: func(w io.Writer) { e.write(w, strings.ReplaceAll(form.beginning, "%s", id), form.part) }}
		})
	}
	return v, e
}

// askEndless sends the request of a caller that doesn't read its answer.
func askEndless(deadline time.Duration) func(c net.Conn, n int) {
	return func(c net.Conn, n int) {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetReadBuffer(4 << 10)
		}
		write(c, start("GET", "/reads/", n), fmt.Sprintf("X-Currantferry-Deadline-Ms: %d\r\n\r\n", deadline.Milliseconds()))
	}
}

// awaitEnd waits until the VM has closed the connections of all endless answers. The time is
// several deadlines long, so that a VM that never closes them fails the test; it is no target.
func (e *endless) awaitEnd(t *testing.T) {
	t.Helper()
	for end := time.Now().Add(ordinaryTimeout); e.open.Load() > 0; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%d of %d endless answers are still taken", e.open.Load(), e.connections.Load())
		}
	}
}

// Instances that send bytes without end, in a head or in a body, must not fill the memory of
// the VM that called them, also when the callers don't read, and the answers must end by the
// deadlines of their requests. Other callers must be served meanwhile.
func TestEndlessAnswers(t *testing.T) {
	for name, form := range endlessForms {
		t.Run(name, func(t *testing.T) {
			v, e := startEndless(t, form, 2)
			var group crowd
			defer group.leave()
			group.join(v.caller, endlessCallers, askEndless(endlessDeadline))
			mb, descriptors := v.observe(1500 * time.Millisecond)
			v.check(mb, descriptors, maxCallers+2*endlessCallers)
			v.awaitOrdinary("beside")
			e.awaitEnd(t)
			t.Logf("%d answers, %d MB, longest %d KB", e.connections.Load(), e.bytes.Load()>>20, e.most.Load()>>10)
			if e.connections.Load() == 0 {
				t.Error("no instance was asked")
			}
			if !form.isBody && e.most.Load() >= maxEndlessBytes {
				t.Errorf("%d bytes were taken of an answer that is none", e.most.Load())
			}
			group.leave()
			v.awaitOrdinary("after")
			v.check(v.peakMB(), v.numDescriptors(), maxCallers+2*endlessCallers)
		})
	}
}

// Answers without end of many instances at once, with the largest heads that are accepted, must not
// fill the memory either: what is kept of a head until the answer ends counts.
func TestEndlessAnswersOfManyInstances(t *testing.T) {
	const instances, callers = 8, 450
	for _, name := range []string{"long field before body", "chunks", "length"} {
		t.Run(name, func(t *testing.T) {
			v, e := startEndless(t, endlessForms[name], instances)
			var group crowd
			defer group.leave()
			group.join(v.caller, callers, askEndless(endlessDeadline))
			mb, descriptors := v.observe(1500 * time.Millisecond)
			t.Logf("%d answers", e.connections.Load())
			v.check(mb, descriptors, maxCallers+callers)
			v.awaitOrdinary("beside")
			e.awaitEnd(t)
			v.check(v.peakMB(), v.numDescriptors(), maxCallers+callers)
		})
	}
}

// Bodies without end that callers read must end after the deadlines of their requests, also when
// they arrive slowly.
func TestEndlessBodiesEndAtDeadline(t *testing.T) {
	for _, name := range []string{"length", "chunks", "no length"} {
		t.Run(name, func(t *testing.T) {
			v, e := startEndless(t, endlessForms[name], 2)
			// At 0.8 MB/s they would last for 20 s.
			e.pause = 20 * time.Millisecond
			var group crowd
			defer group.leave()
			group.join(v.caller, 20, func(c net.Conn, n int) {
				askEndless(endlessDeadline)(c, n)
				_, _ = io.Copy(io.Discard, c)
			})
			v.observe(500 * time.Millisecond)
			e.awaitEnd(t)
			t.Logf("%d answers, longest %d KB", e.connections.Load(), e.most.Load()>>10)
			if e.connections.Load() == 0 || e.most.Load() > maxEndlessBytes/2 {
				t.Errorf("%d KB were taken of one of %d answers", e.most.Load()>>10, e.connections.Load())
			}
			v.awaitOrdinary("after")
		})
	}
}

// Requests without end at the port for other VMs, with the key of VMs and without, must not fill
// the memory: a process at the address of a VM need not be one.
func TestEndlessRequestsPassedOn(t *testing.T) {
	for _, hasKey := range []bool{false, true} {
		for name, form := range map[string][2]string{
			"head":            {"", shortField},
			"field":           {"Long: ", "x"},
			"body":            {"Content-Length: 1000000000\r\n\r\n", "x"},
			"chunks":          {"Transfer-Encoding: chunked\r\n\r\n", oneChunk},
			"chunk extension": {"Transfer-Encoding: chunked\r\n\r\n1;", "x"},
			"trailers":        {"Transfer-Encoding: chunked\r\n\r\n0\r\n", shortField},
		} {
			t.Run(fmt.Sprintf("%s, key %t", name, hasKey), func(t *testing.T) {
				const size, maxBytes = 40, 8 << 20
				v := startVM(t)
				key := "wrong"
				if hasKey {
					key = v.transitKey()
				}
				var group crowd
				defer group.leave()
				group.join(v.peer, size, func(c net.Conn, n int) {
					ok := write(c, start("POST", "/orders/", n), fmt.Sprintf("Currantferry-Transit: %d\r\nCurrantferry-Transit-Key: %s\r\n", n, key),
						"Currantferry-Transit-Left-Ms: 2000\r\nCurrantferry-Transit-Attempts: 1\r\n", form[0])
					_ = ok && repeat(c, form[1], maxBytes/len(form[1]))
				})
				mb, descriptors := v.observe(crowdPeriod)
				v.check(mb, descriptors, maxPeerCallers+size)
				v.awaitOrdinary("beside")
			})
		}
	}
}

// Answers without end must not hold a stop beyond its bound, stop_grace, with callers that read
// and with callers that don't.
func TestEndlessAnswersDoNotHoldStop(t *testing.T) {
	for _, name := range []string{"length", "chunks", "no length", "fields"} {
		t.Run(name, func(t *testing.T) {
			v, e := startEndless(t, endlessForms[name], 2)
			// At 0.8 MB/s the answers last until the deadline.
			e.pause = 20 * time.Millisecond
			var group crowd
			defer group.leave()
			const deadline = 20 * time.Second
			group.join(v.caller, 20, askEndless(deadline))
			group.join(v.caller, 20, func(c net.Conn, n int) {
				askEndless(deadline)(c, 1000+n)
				_, _ = io.Copy(io.Discard, c)
			})
			v.observe(500 * time.Millisecond)
			began := time.Now()
			v.signal(syscall.SIGTERM)
			v.observe(stopTimeout)
			if v.isAlive() {
				t.Fatal("the process did not end")
			}
			t.Logf("ended after %s, %d answers, %d MB", time.Since(began), e.connections.Load(), e.bytes.Load()>>20)
			// The bound is 3 s; the rest is for a machine that is busy.
			if took := time.Since(began); took > deadline/2 {
				t.Errorf("ended after %s, with requests that end after %s", took, deadline)
			}
			if state := v.cmd.ProcessState; !state.Exited() {
				t.Errorf("the process ended by %v", state)
			}
		})
	}
}

// Connections on which bytes arrive before a request was sent, or after an answer, must cost no
// memory and no request: probes open and keep connections that nobody reads.
func TestEndlessBytesOnIdleConnections(t *testing.T) {
	v := startVMWith(t, memoryMB, 2, endlessCallers, "")
	e := new(endless)
	// An instance that answers and goes on to write, and one that writes at once.
	v.instances[0].SetBehaviour(func(id string) standin.Behaviour {
		if !strings.HasPrefix(id, "crowd") {
			return standin.Behaviour{}
		}
		return standin.Behaviour{Write: func(w io.Writer) {
			e.write(w, strings.ReplaceAll(okHead, "%s", id)+"Content-Length: 2\r\n\r\nok", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nno")
		}}
	})
	l, err := net.Listen("tcp", testkit.UniqueLoopbackIP()+":0")
	if err != nil {
		t.Fatal(err)
	}
	var group crowd
	defer group.leave()
	defer l.Close()
	group.wg.Go(func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			group.wg.Go(func() { defer c.Close(); e.write(c, "", "z") })
		}
	})
	v.store.RegisterAt(v.instances[1], l.Addr().String(), "shop", "zone-1", "ready")
	for range 3 {
		group.join(v.caller, endlessCallers, askEndless(endlessDeadline))
		mb, descriptors := v.observe(700 * time.Millisecond)
		v.check(mb, descriptors, maxCallers+2*endlessCallers)
	}
	v.awaitOrdinary("beside")
	t.Logf("%d connections, %d MB, longest %d KB", e.connections.Load(), e.bytes.Load()>>20, e.most.Load()>>10)
	if e.most.Load() >= maxEndlessBytes {
		t.Errorf("%d bytes were taken of one connection without a request", e.most.Load())
	}
	e.awaitEnd(t)
}

// transitKey returns the key that VMs state when they pass a request on to this one.
func (v *vm) transitKey() string {
	v.t.Helper()
	ctx, cancel := context.WithTimeout(v.t.Context(), ordinaryTimeout)
	defer cancel()
	a, err := platform.NewStore(v.store.Address()).List(ctx, "vm/")
	if err != nil || len(a.Records) != 1 {
		v.t.Fatalf("%d records of VMs, %v", len(a.Records), err)
	}
	var record inventory.VM
	if err := json.Unmarshal(a.Records[0].Value, &record); err != nil || record.TransitKey == "" {
		v.t.Fatalf("no key, %v", err)
	}
	return record.TransitKey
}

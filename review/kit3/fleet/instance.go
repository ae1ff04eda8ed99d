//go:build review

package fleet

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/currantferry/currantferry/platform/standin"
)

// Figures of cold instances at the site rolpers. CrashRate is the number of requests in one second
// at which a cold instance crashes here: well above ColdPerS.
const (
	ColdPerS  = 16.0
	ColdOver  = 1.5
	ColdSlack = 5.0
	ColdTime  = 3 * time.Second
	CrashRate = 2.25 * ColdPerS
	// Slots is the number of requests that an instance runs at the same time.
	Slots = 9
)

// Arrival is a request that reached an instance.
type Arrival struct {
	ID string
	At time.Time
}

// Instance is a stand-in of an instance. Cold work takes twice as long. Its health path tells how
// long it is cold.
type Instance struct {
	ID, zone string
	work     time.Duration
	store    *standin.Store
	l        net.Listener
	slots    chan struct{}
	born     int64
	// Limit, unless empty, is the Server-Limit that all answers name. It is set before the
	// instance is registered.
	Limit string

	mu        sync.Mutex
	coldFrom  time.Time
	coldUntil time.Time
	arrivals  []Arrival
	conns     map[net.Conn]bool
	crashedAt time.Time
	seq       int
}

// StartInstance starts an instance that is not registered yet.
func StartInstance(store *standin.Store, id, zone string, work time.Duration, born time.Time) (*Instance, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	i := &Instance{
		ID: id, zone: zone, work: work, store: store, l: l, slots: make(chan struct{}, Slots), conns: make(map[net.Conn]bool), born: born.UnixMilli(),
	}
	go i.accept()
	return i, nil
}

// Close ends the instance.
func (i *Instance) Close() { i.l.Close() }

// BecomeCold makes the instance cold for ColdTime.
func (i *Instance) BecomeCold() {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.coldFrom = time.Now()
	i.coldUntil = i.coldFrom.Add(ColdTime)
}

// Cold returns when the instance was cold, what reached it and when it crashed, if it did.
func (i *Instance) Cold() (from, until time.Time, arrivals []Arrival, crashedAt time.Time) {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.coldFrom, i.coldUntil, i.arrivals, i.crashedAt
}

// Report writes the entry of the instance.
func (i *Instance) Report() {
	i.mu.Lock()
	i.seq++
	entry := map[string]any{
		"address": i.l.Addr().String(), "born": i.born,
		"info":   map[string]any{"service": "proefbank", "version": "v1", "zone": i.zone, "maxConcurrency": Slots},
		"status": map[string]any{"state": "ready", "seq": i.seq, "coldRemainingS": max(0, time.Until(i.coldUntil)).Seconds()},
	}
	i.mu.Unlock()
	i.store.Put("servers/"+i.ID, entry)
}

// Unregister removes the entry.
func (i *Instance) Unregister() { i.store.Delete("servers/" + i.ID) }

func (i *Instance) accept() {
	for {
		c, err := i.l.Accept()
		if err != nil {
			return
		}
		i.mu.Lock()
		i.conns[c] = true
		i.mu.Unlock()
		go i.serve(c)
	}
}

func (i *Instance) serve(c net.Conn) {
	defer c.Close()
	br := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		if !i.handle(c, r) {
			return
		}
	}
}

func (i *Instance) handle(c net.Conn, r *http.Request) bool {
	id := r.Header.Get("X-Currantferry-Request-Id")
	i.mu.Lock()
	head := fmt.Sprintf("X-Currantferry-Instance-Load: %d,0,%d,100\r\n", len(i.slots), Slots)
	if r.URL.Path == "/health" {
		cold := max(0, time.Until(i.coldUntil)).Milliseconds()
		i.mu.Unlock()
		_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Currantferry-Instance-Id: %s\r\n%sX-Currantferry-Cold-Ms: %d\r\nContent-Length: 0\r\n\r\n", i.ID, head, cold)
		return err == nil
	}
	if e := r.Header.Get("X-Currantferry-Expect-Instance"); e != "" && e != i.ID {
		i.mu.Unlock()
		_, err := fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\nX-Currantferry-Request-Id: %s\r\nContent-Length: 0\r\n\r\n", id)
		return err == nil
	}
	if i.Limit != "" {
		head += "Server-Limit: " + i.Limit + "\r\n"
	}
	now := time.Now()
	i.arrivals = append(i.arrivals, Arrival{id, now})
	isCold := now.Before(i.coldUntil)
	if isCold && i.crashedAt.IsZero() && i.recent(now) > CrashRate {
		i.crashedAt = now
		i.l.Close()
		for conn := range i.conns {
			reset(conn)
		}
	}
	hasCrashed := !i.crashedAt.IsZero()
	i.mu.Unlock()
	if hasCrashed {
		return false
	}
	i.slots <- struct{}{}
	took := i.work
	if isCold {
		took *= 2
	}
	time.Sleep(took)
	<-i.slots
	body := "done " + id
	_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Currantferry-Request-Id: %s\r\nX-Currantferry-Response-Stamp: %s.%s\r\n%sContent-Length: %d\r\n\r\n%s", id, i.ID, id, head, len(body), body)
	return err == nil
}

// recent returns the number of requests of the last second since the instance became cold. The
// caller holds the lock.
func (i *Instance) recent(now time.Time) float64 {
	n := 0
	for k := len(i.arrivals) - 1; k >= 0 && now.Sub(i.arrivals[k].At) < time.Second && !i.arrivals[k].At.Before(i.coldFrom); k-- {
		n++
	}
	return float64(n)
}

// MostInSecond returns the largest number of requests that were sent and reached an instance inside
// one second while it was cold, by the rule FAILBACK, and when that second began.
func MostInSecond(record *Record, i *Instance, sentAt func(id string) time.Time) (most int, at time.Time) {
	from, until, arrivals, crashedAt := i.Cold()
	var inCold []Arrival
	for _, a := range arrivals {
		if !a.At.Before(from) && !a.At.After(until) {
			inCold = append(inCold, a)
			record.LogAt(a.At, "%s reaches %s, which is cold", a.ID, i.ID)
		}
	}
	for _, first := range inCold {
		begin, count := sentAt(first.ID), 0
		for _, a := range inCold {
			if !sentAt(a.ID).Before(begin) && a.At.Sub(begin) <= time.Second {
				count++
			}
		}
		if count > most {
			most, at = count, begin
		}
	}
	if !crashedAt.IsZero() {
		record.LogAt(crashedAt, "%s crashes: more than %.0f requests in a second, it tolerates %.0f", i.ID, CrashRate, ColdPerS)
	}
	return most, at
}

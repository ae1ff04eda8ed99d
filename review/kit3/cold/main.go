//go:build review

// Cold plays a case in which an instance becomes cold while the platform's store is down. It
// counts the requests that the instance gets, by the rule FAILBACK.
package main

import (
	"bufio"
	"context"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/currantferry/currantferry/platform/standin"
	"github.com/currantferry/currantferry/review/kit3/fleet"
)

const (
	// coldPerS, coldOver, coldSlack and coldTime are those of the site rolpers.
	coldPerS  = 16.0
	coldOver  = 1.5
	coldSlack = 5.0
	coldTime  = 3 * time.Second
	// crashRate is the number of requests in one second at which a cold instance crashes: well
	// above coldPerS.
	crashRate = 2.5 * coldPerS
	// outage is the longest platform_down among the site's troubles.
	outage       = 4500 * time.Millisecond
	numInstances = 4
	// ratePerS keeps the instances three quarters busy.
	ratePerS = 75 * numInstances
	slots    = 9
	work     = 90 * time.Millisecond
	// Times from the start of traffic.
	outageAt = 8 * time.Second
	coldAt   = 9 * time.Second
	endAt    = 15 * time.Second
)

type arrival struct {
	id string
	at time.Time
}

// instance is a stand-in of an instance. Its health path tells how long it is cold.
type instance struct {
	id    string
	store *standin.Store
	l     net.Listener
	slots chan struct{}

	mu        sync.Mutex
	coldUntil time.Time
	arrivals  []arrival
	runs      map[string]bool
	conns     map[net.Conn]bool
	crashedAt time.Time
	seq       int
	born      int64
}

func (i *instance) remaining() time.Duration { return max(0, time.Until(i.coldUntil)) }

// report writes the entry of the instance.
func (i *instance) report() {
	i.mu.Lock()
	i.seq++
	entry := map[string]any{
		"address": i.l.Addr().String(), "born": i.born,
		"info":   map[string]any{"service": "proefbank", "version": "v1", "zone": "rotterdam-a", "maxConcurrency": slots},
		"status": map[string]any{"state": "ready", "seq": i.seq, "coldRemainingS": i.remaining().Seconds()},
	}
	i.mu.Unlock()
	i.store.Put("servers/"+i.id, entry)
}

func (i *instance) accept() {
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

func (i *instance) serve(c net.Conn) {
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

func (i *instance) handle(c net.Conn, r *http.Request) bool {
	id := r.Header.Get("X-Currantferry-Request-Id")
	i.mu.Lock()
	head := fmt.Sprintf("X-Currantferry-Instance-Load: %d,0,%d,100\r\n", len(i.slots), slots)
	if r.URL.Path == "/health" {
		cold := i.remaining().Milliseconds()
		i.mu.Unlock()
		_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Currantferry-Instance-Id: %s\r\n%sX-Currantferry-Cold-Ms: %d\r\nContent-Length: 0\r\n\r\n", i.id, head, cold)
		return err == nil
	}
	if e := r.Header.Get("X-Currantferry-Expect-Instance"); e != "" && e != i.id {
		i.mu.Unlock()
		_, err := fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\nX-Currantferry-Request-Id: %s\r\nContent-Length: 0\r\n\r\n", id)
		return err == nil
	}
	now := time.Now()
	i.arrivals = append(i.arrivals, arrival{id, now})
	isCold := now.Before(i.coldUntil)
	recent := 0
	for k := len(i.arrivals) - 1; k >= 0 && now.Sub(i.arrivals[k].at) < time.Second; k-- {
		if !i.arrivals[k].at.Before(i.coldUntil.Add(-coldTime)) {
			recent++
		}
	}
	if isCold && float64(recent) > crashRate && i.crashedAt.IsZero() {
		i.crashedAt = now
		i.l.Close()
		for conn := range i.conns {
			if t, ok := conn.(*net.TCPConn); ok {
				_ = t.SetLinger(0)
			}
			conn.Close()
		}
	}
	if !i.crashedAt.IsZero() {
		i.mu.Unlock()
		return false
	}
	i.mu.Unlock()
	i.slots <- struct{}{}
	i.mu.Lock()
	i.runs[id] = true
	i.mu.Unlock()
	took := work
	if isCold {
		took *= 2
	}
	time.Sleep(took)
	<-i.slots
	body := "done " + id
	_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Currantferry-Request-Id: %s\r\nX-Currantferry-Response-Stamp: %s.%s\r\n%sContent-Length: %d\r\n\r\n%s", id, i.id, id, head, len(body), body)
	return err == nil
}

type sent struct {
	at     time.Time
	order  bool
	status int
	text   string
}

func main() {
	path := flag.String("record", "record.txt", "the record")
	flag.Parse()
	hasTrouble := os.Getenv("TROUBLE") != "0"
	record, err := fleet.NewRecord(*path)
	if err != nil {
		fmt.Println(err)
		os.Exit(2)
	}
	os.Exit(play(record, hasTrouble))
}

func play(record *fleet.Record, hasTrouble bool) int {
	defer record.Close()
	dir, err := os.MkdirTemp("", "review-cold-")
	if err != nil {
		fleet.Fail(record, "%v", err)
	}
	defer os.RemoveAll(dir)
	store, err := standin.StartStore("127.0.0.1:0")
	if err != nil {
		fleet.Fail(record, "%v", err)
	}
	defer store.Close()
	store.Configure(standin.Configuration(7, "proefbank", 1200*time.Millisecond, coldPerS, 7))
	var instances []*instance
	for n := range numInstances {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			fleet.Fail(record, "%v", err)
		}
		defer l.Close()
		i := &instance{
			id: fmt.Sprintf("i-%d", n), store: store, l: l, slots: make(chan struct{}, slots), runs: make(map[string]bool),
			conns: make(map[net.Conn]bool), born: time.Now().UnixMilli() - 60_000,
		}
		go i.accept()
		i.report()
		instances = append(instances, i)
	}
	var vms []*fleet.VM
	for n, zone := range []string{"rotterdam-a", "rotterdam-a", "amsterdam-b"} {
		v, err := fleet.NewVM(dir, fmt.Sprintf("edge-%d", n), zone, store.Address())
		if err == nil {
			err = v.Start()
		}
		if err != nil {
			fleet.Fail(record, "%v", err)
		}
		defer v.Kill()
		vms = append(vms, v)
	}
	for _, v := range vms {
		if !v.AwaitReady() {
			fleet.Fail(record, "%s is not ready", v.ID)
		}
	}
	time.Sleep(4 * time.Second)
	addresses, _, err := standin.Lookup(context.Background(), http.DefaultClient, vms[0].Lookup, "randstad", "rotterdam-a")
	if err != nil || len(addresses) != len(vms) {
		fleet.Fail(record, "the directory names %v: %v", addresses, err)
	}
	record.Logf("traffic begins, %d requests a second; the directory names %v", ratePerS, addresses)
	began := time.Now()
	cold := instances[0]
	var group sync.WaitGroup
	group.Go(func() { disturb(record, store, cold, began, hasTrouble) })
	requests := send(record, addresses, began)
	group.Wait()
	return judge(record, cold, requests)
}

// disturb makes the store silent, unless there is no trouble, and the instance cold.
func disturb(record *fleet.Record, store *standin.Store, cold *instance, began time.Time, hasTrouble bool) {
	time.Sleep(time.Until(began.Add(outageAt)))
	if hasTrouble {
		store.SetFault(standin.StoreFault{NotAnswering: true})
		record.Logf("the platform's store is down")
	}
	time.Sleep(time.Until(began.Add(coldAt)))
	cold.mu.Lock()
	cold.coldUntil = time.Now().Add(coldTime)
	cold.mu.Unlock()
	record.Logf("%s becomes cold for %v; its health path says so", cold.id, coldTime)
	if !hasTrouble {
		cold.report()
		record.Logf("its entry in the store says so")
		return
	}
	time.Sleep(time.Until(began.Add(outageAt + outage)))
	store.SetFault(standin.StoreFault{})
	record.Logf("the platform's store is back")
	if cold.crashedAt.IsZero() {
		cold.report()
		record.Logf("the entry of %s is written", cold.id)
	} else {
		store.Delete("servers/" + cold.id)
	}
}

// send sends requests at an even rate, alternating between reads and orders.
func send(record *fleet.Record, addresses []string, began time.Time) map[string]*sent {
	client := &http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 200, IdleConnTimeout: 10 * time.Second}}
	var mu sync.Mutex
	requests := make(map[string]*sent)
	var group sync.WaitGroup
	for n := 0; ; n++ {
		at := began.Add(time.Duration(n) * time.Second / ratePerS)
		if at.After(began.Add(endAt)) {
			break
		}
		time.Sleep(time.Until(at))
		call := standin.Call{ID: fmt.Sprintf("r%05d", n), Order: n%2 == 1, Body: "crew list", Timeout: 2 * time.Second}
		s := &sent{at: time.Now(), order: call.Order}
		mu.Lock()
		requests[call.ID] = s
		mu.Unlock()
		group.Go(func() {
			req, err := call.Request(context.Background(), addresses[n%len(addresses)])
			if err != nil {
				s.text = err.Error()
				return
			}
			res, err := client.Do(req)
			if err != nil {
				s.text = err.Error()
				return
			}
			body, _ := io.ReadAll(res.Body)
			res.Body.Close()
			s.status, s.text = res.StatusCode, strings.TrimSpace(string(body))
		})
	}
	group.Wait()
	ids := make([]string, 0, len(requests))
	for id := range requests {
		ids = append(ids, id)
	}
	sort.Strings(ids)
	for _, id := range ids {
		s := requests[id]
		if s.at.After(began.Add(outageAt - time.Second)) {
			record.LogAt(s.at, "%s sent (order: %t), answered %d %s", id, s.order, s.status, s.text)
		}
	}
	return requests
}

// judge checks FAILBACK: the requests that were sent and arrived inside one second while the
// instance was cold.
func judge(record *fleet.Record, cold *instance, requests map[string]*sent) int {
	cold.mu.Lock()
	defer cold.mu.Unlock()
	from := cold.coldUntil.Add(-coldTime)
	warm := 0
	var inCold []arrival
	for _, a := range cold.arrivals {
		switch {
		case a.at.Before(from) && a.at.After(from.Add(-time.Second)):
			warm++
		case !a.at.Before(from) && !a.at.After(cold.coldUntil):
			inCold = append(inCold, a)
			record.LogAt(a.at, "%s reaches %s, which is cold", a.id, cold.id)
		}
	}
	most, mostAt := 0, from
	for _, first := range inCold {
		begin := requests[first.id].at
		count := 0
		for _, a := range inCold {
			if !requests[a.id].at.Before(begin) && a.at.Sub(begin) <= time.Second {
				count++
			}
		}
		if count > most {
			most, mostAt = count, begin
		}
	}
	if warm < 30 {
		fleet.Fail(record, "%d requests reached the instance in the second before", warm)
	}
	lost, refused := 0, 0
	for id, s := range requests {
		if s.status != http.StatusOK && s.status != http.StatusServiceUnavailable {
			record.LogAt(s.at, "%s got no answer of an instance: %d %s", id, s.status, s.text)
			if s.order {
				lost++
			}
		}
		if s.status == http.StatusServiceUnavailable {
			refused++
		}
	}
	if !cold.crashedAt.IsZero() {
		record.LogAt(cold.crashedAt, "%s crashes: more than %.0f requests in a second, it tolerates %.0f", cold.id, crashRate, coldPerS)
	}
	allowed := coldPerS*coldOver + coldSlack
	text := fmt.Sprintf("FAILBACK: %d requests in one second reached the cold instance, %.0f are allowed; %d orders lost; %d requests refused; crashed: %t", most, allowed, lost, refused, !cold.crashedAt.IsZero())
	record.LogAt(mostAt, "%s", text)
	fmt.Println(text)
	if float64(most) > allowed {
		return 1
	}
	return 0
}

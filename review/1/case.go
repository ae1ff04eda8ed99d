//go:build review

// Command 1 cuts a third of the instances off for some seconds, and counts whether the
// orders for their service are served again after the cut.
package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/currantferry/currantferry/platform/standin"
	"github.com/currantferry/currantferry/review/harness"
)

const (
	host = "portal.example"
	// readsPrefix is the route of the first configuration, ordersPrefix the one that is
	// added later.
	readsPrefix, ordersPrefix = "/reads/", "/pickups/"
	// numCatalogue instances serve the reads, numPickup the orders. The latter are cut off for
	// cutTime, a share of 0.33 of all instances.
	numCatalogue, numPickup = 8, 4
	cutTime                 = 5500 * time.Millisecond
	// steadyAfter is the time after the cut from which requests are counted, countTime how
	// long they are.
	steadyAfter = 10 * time.Second
	countTime   = 15 * time.Second
	// minRequests and minShare are the figures of the rule.
	minRequests = 20
	minShare    = 0.25
)

// link is the path from the VMs to an instance, which can be cut.
type link struct {
	address string
	target  string

	mu       sync.Mutex
	isCut    bool
	listener net.Listener
	conns    map[net.Conn]bool
}

func newLink(w *harness.World, target string) *link {
	l := &link{address: w.NewIP() + ":0", target: target, conns: make(map[net.Conn]bool)}
	l.open()
	return l
}

func (l *link) open() {
	listener, err := net.Listen("tcp", l.address)
	harness.Must(err)
	l.mu.Lock()
	l.isCut, l.listener, l.address = false, listener, listener.Addr().String()
	l.mu.Unlock()
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go l.forward(c)
		}
	}()
}

func (l *link) forward(in net.Conn) {
	out, err := net.Dial("tcp", l.target)
	if err != nil {
		in.Close()
		return
	}
	l.mu.Lock()
	isCut := l.isCut
	if !isCut {
		l.conns[in], l.conns[out] = true, true
	}
	l.mu.Unlock()
	if isCut {
		in.Close()
		out.Close()
		return
	}
	go func() { _, _ = io.Copy(out, in); out.Close(); in.Close() }()
	_, _ = io.Copy(in, out)
	out.Close()
	in.Close()
	l.mu.Lock()
	delete(l.conns, in)
	delete(l.conns, out)
	l.mu.Unlock()
}

// cut refuses new connections and resets the present ones.
func (l *link) cut() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.isCut = true
	l.listener.Close()
	for c := range l.conns {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
		c.Close()
	}
}

// configuration has the route for reads and, from version 2 on, that for orders.
func configuration(version int) map[string]any {
	c := standin.Configuration(version, "catalogue", 2*time.Second, 16)
	routes, _ := c["routes"].(map[string]any)
	rows := []any{[]any{"reads", host, readsPrefix, "idempotent", 2.0, 0.5, 2, "catalogue", 2, false, []string{}, nil}}
	if version > 1 {
		rows = append(rows, []any{"pickups", host, ordersPrefix, "non_idempotent", 2.0, 0.5, 1, "pickup", 2, false, []string{}, nil})
	}
	routes["rows"] = rows
	services, _ := c["services"].(map[string]any)
	services["rows"] = []any{
		[]any{"catalogue", "/health", 390, "h1", false, 3.0, 16.0},
		[]any{"pickup", "/health", 390, "h1", false, 3.0, 16.0},
	}
	return c
}

type counts struct{ sent, served int }

type state struct {
	w *harness.World

	mu    sync.Mutex
	total map[string]*counts
}

func (s *state) call(v *harness.VM, caller int, prefix string, stop <-chan struct{}) {
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(100 * time.Millisecond):
		}
		method, body := http.MethodGet, ""
		if prefix == ordersPrefix {
			method, body = http.MethodPost, "a pallet"
		}
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		id := fmt.Sprintf("%s-%s-%d-%d", strings.Trim(prefix, "/"), v.ID, caller, n)
		req, err := http.NewRequestWithContext(ctx, method, "http://"+v.Caller+prefix+id, strings.NewReader(body))
		harness.Must(err)
		req.GetBody = nil
		req.Host = host
		req.Header.Set("X-Currantferry-Request-Id", id)
		req.Header.Set("X-Currantferry-Deadline-Ms", "2000")
		status := 0
		if res, err := client.Do(req); err == nil {
			_, _ = io.Copy(io.Discard, res.Body)
			res.Body.Close()
			status = res.StatusCode
		}
		cancel()
		s.w.Logf("%s: status %d", id, status)
		s.mu.Lock()
		s.total[prefix].sent++
		if status == http.StatusOK {
			s.total[prefix].served++
		}
		s.mu.Unlock()
	}
}

// take returns the counts since the last call.
func (s *state) take() (reads, orders counts) {
	s.mu.Lock()
	defer s.mu.Unlock()
	reads, orders = *s.total[readsPrefix], *s.total[ordersPrefix]
	s.total = map[string]*counts{readsPrefix: {}, ordersPrefix: {}}
	return reads, orders
}

func main() {
	s := &state{w: harness.New(os.Args[1]), total: map[string]*counts{readsPrefix: {}, ordersPrefix: {}}}
	behave := func(string) standin.Behaviour { return standin.Behaviour{Work: 20 * time.Millisecond} }
	var links []*link
	zones := []string{"north-1", "south-1"}
	for k := range numCatalogue {
		i, err := standin.StartInstance(s.w.NewIP()+":0", fmt.Sprint("i-catalogue-", k), 9, 27, behave)
		harness.Must(err)
		s.w.Store.Register(i, "catalogue", zones[k%2], "ready")
	}
	for k := range numPickup {
		i, err := standin.StartInstance(s.w.NewIP()+":0", fmt.Sprint("i-pickup-", k), 4, 12, behave)
		harness.Must(err)
		links = append(links, newLink(s.w, i.Address()))
		s.w.Store.RegisterAt(i, links[k].address, "pickup", zones[k%2], "ready")
	}
	s.w.Store.Configure(configuration(1))
	var vms []*harness.VM
	for k, zone := range zones {
		v := s.w.NewVM(fmt.Sprint("vm-", k), zone, harness.Settings{})
		v.Start()
		vms = append(vms, v)
	}
	s.w.AwaitReady(vms...)
	time.Sleep(2 * time.Second)
	s.w.Store.Configure(configuration(2))
	s.w.Sayf("the route %s is added", ordersPrefix)
	time.Sleep(5 * time.Second)

	stop := make(chan struct{})
	for _, v := range vms {
		for c := range 3 {
			go s.call(v, c, readsPrefix, stop)
			go s.call(v, c, ordersPrefix, stop)
		}
	}
	time.Sleep(5 * time.Second)
	reads, orders := s.take()
	s.w.Sayf("before the cut: %d of %d reads and %d of %d orders are served", reads.served, reads.sent, orders.served, orders.sent)
	if harness.Trouble() {
		for _, l := range links {
			l.cut()
		}
		s.w.Sayf("the instances of the orders are cut off")
		time.Sleep(cutTime)
		for _, l := range links {
			l.open()
		}
		s.w.Sayf("the cut has ended after %s", cutTime)
	}
	time.Sleep(steadyAfter)
	s.take()
	time.Sleep(countTime)
	reads, orders = s.take()
	close(stop)
	s.w.Sayf("from %s to %s after it: %d of %d reads and %d of %d orders are served", steadyAfter, steadyAfter+countTime, reads.served, reads.sent, orders.served, orders.sent)
	share := func(c counts) float64 { return float64(c.served) / float64(max(c.sent, 1)) }
	s.w.End(orders.sent >= minRequests && reads.sent >= minRequests && share(orders) < minShare*share(reads))
}

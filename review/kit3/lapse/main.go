//go:build review

// Lapse plays a case in which the platform's store turns most entry VMs of a region away for longer
// than their records last, and an empty instance is added. It counts the requests that the instance
// gets while it is cold, by the rule FAILBACK.
package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
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
	// numVMs is the number of machines of randstad at the site rolpers, numAway that of those
	// which the store turns away: a third of the site's twelve, for turnedAway at most.
	numVMs       = 5
	numAway      = 4
	turnedAway   = 9 * time.Second
	numInstances = 3
	numClients   = 60
	// ratePerS is a tenth more than the three instances serve, which is why one is added.
	ratePerS = 330
	work     = 90 * time.Millisecond
	// Times from the start of traffic.
	awayAt = 6 * time.Second
	joinAt = awayAt + 6800*time.Millisecond
	endAt  = awayAt + 11*time.Second
)

// client is a client of the platform. It asks one of the nearest VMs where to connect.
type client struct {
	directory []string
	mu        sync.Mutex
	addresses []string
	until     time.Time
}

// address returns an address drawn from the directory's newest answer.
func (c *client) address() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if time.Now().After(c.until) {
		for _, node := range c.directory {
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			addresses, ttl, err := standin.Lookup(ctx, http.DefaultClient, node, "randstad", "rotterdam-a")
			cancel()
			if err == nil && len(addresses) > 0 {
				c.addresses, c.until = addresses, time.Now().Add(ttl)
				break
			}
		}
	}
	if len(c.addresses) == 0 {
		return ""
	}
	return c.addresses[rand.IntN(len(c.addresses))]
}

type sent struct {
	at     time.Time
	order  bool
	vm     string
	status int
	text   string
}

func main() {
	path := flag.String("record", "record.txt", "the record")
	flag.Parse()
	record, err := fleet.NewRecord(*path)
	if err != nil {
		fmt.Println(err)
		os.Exit(2)
	}
	os.Exit(play(record, os.Getenv("TROUBLE") != "0"))
}

func play(record *fleet.Record, hasTrouble bool) int {
	defer record.Close()
	dir, err := os.MkdirTemp("", "review-lapse-")
	if err != nil {
		fleet.Fail(record, "%v", err)
	}
	defer os.RemoveAll(dir)
	store, err := standin.StartStore("127.0.0.1:0")
	if err != nil {
		fleet.Fail(record, "%v", err)
	}
	defer store.Close()
	store.Configure(standin.Configuration(7, "proefbank", 1200*time.Millisecond, fleet.ColdPerS, 7))
	for n := range numInstances {
		i, err := fleet.StartInstance(store, fmt.Sprintf("i-%d", n), "rotterdam-a", work, time.Now().Add(-time.Minute))
		if err != nil {
			fleet.Fail(record, "%v", err)
		}
		defer i.Close()
		i.Report()
	}
	var vms []*fleet.VM
	var links []*fleet.Link
	for n := range numVMs {
		link, err := fleet.NewLink(store.Address())
		if err != nil {
			fleet.Fail(record, "%v", err)
		}
		defer link.Close()
		v, err := fleet.NewVM(dir, fmt.Sprintf("edge-%d", n), []string{"rotterdam-a", "amsterdam-b"}[n%2], link.Address())
		if err == nil {
			err = v.Start()
		}
		if err != nil {
			fleet.Fail(record, "%v", err)
		}
		defer v.Kill()
		vms, links = append(vms, v), append(links, link)
	}
	for _, v := range vms {
		if !v.AwaitReady() {
			fleet.Fail(record, "%s is not ready", v.ID)
		}
	}
	time.Sleep(4 * time.Second)
	if n := len(store.Keys("vm/")); n != numVMs {
		fleet.Fail(record, "%d VMs are registered", n)
	}
	record.Logf("traffic begins, %d requests a second", ratePerS)
	began := time.Now()
	added := make(chan *fleet.Instance, 1)
	go disturb(record, store, links, began, hasTrouble, added)
	requests := send(record, vms, began)
	return judge(record, <-added, requests)
}

// disturb turns VMs away, unless there is no trouble, and adds an instance.
func disturb(record *fleet.Record, store *standin.Store, links []*fleet.Link, began time.Time, hasTrouble bool, added chan<- *fleet.Instance) {
	time.Sleep(time.Until(began.Add(awayAt)))
	if hasTrouble {
		for _, link := range links[:numAway] {
			link.Cut(true)
		}
		record.Logf("the store turns edge-0 to edge-%d away, by resets", numAway-1)
	}
	time.Sleep(time.Until(began.Add(joinAt)))
	record.Logf("records of VMs in the store: %v", store.Keys("vm/"))
	i, err := fleet.StartInstance(store, "i-new", "rotterdam-a", work, time.Now())
	if err != nil {
		fleet.Fail(record, "%v", err)
	}
	i.BecomeCold()
	i.Report()
	record.Logf("i-new is added, cold for %v; its entry says so", fleet.ColdTime)
	added <- i
	time.Sleep(time.Until(began.Add(awayAt + turnedAway)))
	for _, link := range links {
		link.Cut(false)
	}
	record.Logf("the store serves all VMs")
}

// send sends requests at an even rate from clients drawn at random, alternating between reads and
// orders.
func send(record *fleet.Record, vms []*fleet.VM, began time.Time) map[string]*sent {
	var clients []*client
	for n := range numClients {
		c := new(client)
		for k := range 3 {
			c.directory = append(c.directory, vms[(n+k)%len(vms)].Lookup)
		}
		clients = append(clients, c)
	}
	web := &http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 200, IdleConnTimeout: 10 * time.Second}}
	requests := make(map[string]*sent)
	var group sync.WaitGroup
	for n := 0; ; n++ {
		at := began.Add(time.Duration(n) * time.Second / ratePerS)
		if at.After(began.Add(endAt)) {
			break
		}
		time.Sleep(time.Until(at))
		call := standin.Call{ID: fmt.Sprintf("r%05d", n), Order: n%2 == 1, Body: "crew list", Timeout: 2 * time.Second}
		s := &sent{order: call.Order, at: time.Now()}
		requests[call.ID] = s
		c := clients[rand.IntN(len(clients))]
		group.Go(func() {
			s.vm = c.address()
			s.at = time.Now()
			req, err := call.Request(context.Background(), s.vm)
			if err != nil {
				s.text = err.Error()
				return
			}
			res, err := web.Do(req)
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
		if s := requests[id]; s.at.After(began.Add(joinAt - time.Second)) {
			record.LogAt(s.at, "%s sent to %s (order: %t), answered %d %s", id, s.vm, s.order, s.status, s.text)
		}
	}
	return requests
}

func judge(record *fleet.Record, i *fleet.Instance, requests map[string]*sent) int {
	defer i.Close()
	most, at := fleet.MostInSecond(record, i, func(id string) time.Time { return requests[id].at })
	lost, refused := 0, 0
	for id, s := range requests {
		switch {
		case s.status == http.StatusServiceUnavailable:
			refused++
		case s.status != http.StatusOK:
			record.LogAt(s.at, "%s got no answer of an instance: %d %s", id, s.status, s.text)
			if s.order {
				lost++
			}
		}
	}
	if most == 0 {
		fleet.Fail(record, "no request reached the new instance")
	}
	_, _, _, crashedAt := i.Cold()
	allowed := fleet.ColdPerS*fleet.ColdOver + fleet.ColdSlack
	text := fmt.Sprintf("FAILBACK: %d requests in one second reached the cold instance, %.0f are allowed; %d orders lost; %d requests refused; crashed: %t", most, allowed, lost, refused, !crashedAt.IsZero())
	record.LogAt(at, "%s", text)
	fmt.Println(text)
	if float64(most) > allowed {
		return 1
	}
	return 0
}

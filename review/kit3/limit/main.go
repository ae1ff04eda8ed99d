//go:build review

// Limit plays a case in which the platform's store turns most entry VMs of a region away for longer
// than their records last, while an instance names a limit. It counts the requests that the instance
// gets in 4 s, by the rule LIMIT.
package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net/http"
	"os"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/currantferry/currantferry/platform/standin"
	"github.com/currantferry/currantferry/rendezvous"
	"github.com/currantferry/currantferry/review/kit3/fleet"
)

const (
	// numVMs is the number of machines of randstad at the site rolpers, of which the store turns
	// all but one away, a third of the site's twelve, for turnedAway at most.
	numVMs       = 5
	turnedAway   = 9 * time.Second
	numInstances = 4
	numClients   = 60
	ratePerS     = 330
	work         = 90 * time.Millisecond
	// Times from the start of traffic.
	awayAt = 12 * time.Second
	endAt  = awayAt + 11*time.Second
	// limit is the requests a second that the instance takes from all machines together. The rule
	// binds from stableWindow on after it was first named, and counts in each window.
	limit        = 20.0
	stableWindow = 4 * time.Second
	window       = 4 * time.Second
	// passedOn is how long before a machine must have passed on an answer with the limit.
	passedOn = 500 * time.Millisecond
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
	var limited *fleet.Instance
	for n := range numInstances {
		i, err := fleet.StartInstance(store, fmt.Sprintf("i-%d", n), "rotterdam-a", work, time.Now().Add(-time.Minute))
		if err != nil {
			fleet.Fail(record, "%v", err)
		}
		defer i.Close()
		if n == 0 {
			i.Limit = strconv.FormatFloat(limit, 'f', -1, 64)
			limited = i
		}
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
	// The VM that the store goes on serving is the one that ranks last among those which share limits.
	kept := lastRanked(vms)
	go disturb(record, store, vms, links, kept, began, hasTrouble)
	requests := send(record, vms, began)
	return judge(record, limited, requests, began)
}

// lastRanked returns the VM that ranks last by package entry's order of coordinators.
func lastRanked(vms []*fleet.VM) int {
	last, lowest := 0, math.Inf(1)
	for n, v := range vms {
		score := rendezvous.Score(rendezvous.Mix(xxhash.Sum64String("limits:randstad")^xxhash.Sum64String(v.ID)), 1)
		if score < lowest {
			last, lowest = n, score
		}
	}
	return last
}

// disturb turns VMs away, unless there is no trouble.
func disturb(record *fleet.Record, store *standin.Store, vms []*fleet.VM, links []*fleet.Link, kept int, began time.Time, hasTrouble bool) {
	time.Sleep(time.Until(began.Add(awayAt)))
	if hasTrouble {
		for n, link := range links {
			link.Cut(n != kept)
		}
		record.Logf("the store turns all VMs but %s away, by resets", vms[kept].ID)
	}
	time.Sleep(time.Until(began.Add(awayAt + turnedAway)))
	record.Logf("records of VMs in the store: %v", store.Keys("vm/"))
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
		if s := requests[id]; s.at.After(began.Add(awayAt - time.Second)) {
			record.LogAt(s.at, "%s sent to %s (order: %t), answered %d %s", id, s.vm, s.order, s.status, s.text)
		}
	}
	return requests
}

// judge counts the requests that reached the instance in each window.
func judge(record *fleet.Record, i *fleet.Instance, requests map[string]*sent, began time.Time) int {
	_, _, arrivals, _ := i.Cold()
	if len(arrivals) < 50 {
		fleet.Fail(record, "%d requests reached the instance", len(arrivals))
	}
	first := make(map[string]time.Time)
	var counted []fleet.Arrival
	for _, a := range arrivals {
		vm := requests[a.ID].vm
		if from, ok := first[vm]; ok && a.At.Sub(from) >= passedOn {
			counted = append(counted, a)
		} else if !ok {
			// The answer is passed on some time later, which counts to the system's favour.
			first[vm] = a.At.Add(3 * work)
		}
	}
	binding := arrivals[0].At.Add(stableWindow)
	most, at := 0, began
	for k, a := range counted {
		if a.At.Before(binding) {
			continue
		}
		count := 0
		for _, b := range counted[k:] {
			if b.At.Sub(a.At) > window {
				break
			}
			count++
		}
		if count > most {
			most, at = count, a.At
		}
	}
	for _, a := range counted {
		if d := a.At.Sub(at); d >= 0 && d <= window {
			record.LogAt(a.At, "%s reaches %s, sent to %s", a.ID, i.ID, requests[a.ID].vm)
		}
	}
	allowed := 1.5*limit*window.Seconds() + 5
	text := fmt.Sprintf("LIMIT: %d requests in 4 s reached the instance that names %g a second, %g are allowed", most, limit, allowed)
	record.LogAt(at, "%s", text)
	fmt.Println(text)
	if float64(most) > allowed {
		return 1
	}
	return 0
}

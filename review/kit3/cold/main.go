//go:build review

// Cold plays a case in which an instance becomes cold while the platform's store is down. It
// counts the requests that the instance gets, by the rule FAILBACK.
package main

import (
	"context"
	"flag"
	"fmt"
	"io"
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
	// outage is the longest platform_down among the site's troubles.
	outage       = 4500 * time.Millisecond
	numInstances = 4
	// ratePerS keeps the instances at 0.86 of what they serve.
	ratePerS = 86 * numInstances
	work     = 90 * time.Millisecond
	// Times from the start of traffic.
	outageAt = 8 * time.Second
	coldAt   = 9 * time.Second
	endAt    = 15 * time.Second
)

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
	store.Configure(standin.Configuration(7, "proefbank", 1200*time.Millisecond, fleet.ColdPerS, 7))
	var instances []*fleet.Instance
	for n := range numInstances {
		i, err := fleet.StartInstance(store, fmt.Sprintf("i-%d", n), "rotterdam-a", work, time.Now().Add(-time.Minute))
		if err != nil {
			fleet.Fail(record, "%v", err)
		}
		defer i.Close()
		i.Report()
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
func disturb(record *fleet.Record, store *standin.Store, cold *fleet.Instance, began time.Time, hasTrouble bool) {
	time.Sleep(time.Until(began.Add(outageAt)))
	if hasTrouble {
		store.SetFault(standin.StoreFault{NotAnswering: true})
		record.Logf("the platform's store is down")
	}
	time.Sleep(time.Until(began.Add(coldAt)))
	cold.BecomeCold()
	record.Logf("%s becomes cold for %v; its health path says so", cold.ID, fleet.ColdTime)
	if !hasTrouble {
		cold.Report()
		record.Logf("its entry in the store says so")
		return
	}
	time.Sleep(time.Until(began.Add(outageAt + outage)))
	store.SetFault(standin.StoreFault{})
	record.Logf("the platform's store is back")
	if _, _, _, crashedAt := cold.Cold(); !crashedAt.IsZero() {
		cold.Unregister()
		return
	}
	cold.Report()
	record.Logf("the entry of %s is written", cold.ID)
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
func judge(record *fleet.Record, cold *fleet.Instance, requests map[string]*sent) int {
	most, at := fleet.MostInSecond(record, cold, func(id string) time.Time { return requests[id].at })
	from, _, arrivals, crashedAt := cold.Cold()
	warm := 0
	for _, a := range arrivals {
		if a.At.Before(from) && a.At.After(from.Add(-time.Second)) {
			warm++
		}
	}
	if warm < 30 {
		fleet.Fail(record, "%d requests reached the instance in the second before", warm)
	}
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
	allowed := fleet.ColdPerS*fleet.ColdOver + fleet.ColdSlack
	text := fmt.Sprintf("FAILBACK: %d requests in one second reached the cold instance, %.0f are allowed; %d orders lost; %d requests refused; crashed: %t", most, allowed, lost, refused, !crashedAt.IsZero())
	record.LogAt(at, "%s", text)
	fmt.Println(text)
	if float64(most) > allowed {
		return 1
	}
	return 0
}

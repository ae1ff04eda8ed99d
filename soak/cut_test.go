package soak

import (
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/currantferry/currantferry/internal/testkit"
)

const (
	// The platform requires that VMs which are cut off from all instances serve, from
	// cutDelay after the cut began, at least minCutShare of what the others serve, unless
	// at most maxCutFailures and one in cutFailureRatio of their first tries fail.
	cutDelay        = 4 * time.Second
	minCutShare     = 2.0 / 3
	maxCutFailures  = 10
	cutFailureRatio = 50
	// transitTime is how long after a cut a VM may still pass requests on.
	transitTime = 3 * time.Second
)

// linksFile is added to the daemon: its links to instances can then be cut or slowed by a file.
const linksFile = `package main

import (
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/currantferry/currantferry/internal/testkit"
)

var links = new(testkit.Links)

func init() {
	go func() {
		cut := testkit.NoCut
		for last := ""; ; time.Sleep(20 * time.Millisecond) {
			data, err := os.ReadFile(os.Getenv("CURRANTFERRY_SOAK_LINKS"))
			text := strings.TrimSpace(string(data))
			if err != nil || text == "" || text == last {
				continue
			}
			last = text
			var kind testkit.CutKind
			var speed testkit.Speed
			if _, err := fmt.Sscan(text, &kind, &speed.OpenDelay, &speed.BytesPerSecond); err != nil {
				panic(err)
			}
			links.SetSpeed(speed)
			if kind != cut {
				links.Cut(kind)
			}
			cut = kind
		}
	}()
}
`

// withLinks returns the source files with which the links of the daemon of the source tree at
// root can be cut or slowed.
func withLinks(root string) (map[string]string, error) {
	const entry, old = "cmd/currantferryd/entry.go", "entry.Options{Settings: s,"
	source, err := os.ReadFile(filepath.Join(root, entry))
	if err != nil {
		return nil, err
	}
	// An earlier version may lack some of what the present links can do.
	const testLinks = "internal/testkit/links.go"
	present, err := os.ReadFile(filepath.Join("..", testLinks))
	if err != nil {
		return nil, err
	}
	changed, err := replaceOnce(string(source), old, "entry.Options{Dial: links.Dial, Settings: s,")
	return map[string]string{entry: changed, "cmd/currantferryd/soaklinks.go": linksFile, testLinks: string(present)}, err
}

// cutFromInstances cuts up to half of the VMs off from all instances for some seconds,
// unless such a cut is in progress.
func (w *world) cutFromInstances() {
	kind := testkit.CutKind(1 + w.rng.IntN(int(testkit.NumCutKinds)-1))
	count := 1 + w.rng.IntN(max(1, len(w.vms)/2))
	chosen := w.rng.Perm(len(w.vms))[:count]
	duration := cutDelay + time.Duration(1000+w.rng.IntN(3000))*time.Millisecond
	w.mu.Lock()
	busy := w.isCutting
	w.isCutting = true
	w.mu.Unlock()
	if busy {
		return
	}
	for _, n := range chosen {
		w.addFault(w.vms[n], duration+faultMargin)
		w.setLinks(w.vms[n], kind)
	}
	w.restores.Go(func() {
		time.Sleep(duration)
		for _, n := range chosen {
			w.setLinks(w.vms[n], testkit.NoCut)
		}
		w.mu.Lock()
		w.isCutting = false
		w.mu.Unlock()
	})
}

// setLinks cuts the links of a VM to the instances, or heals them.
func (w *world) setLinks(v *vm, kind testkit.CutKind) {
	w.mu.Lock()
	defer w.mu.Unlock()
	v.linksCut = kind
	w.writeLinksLocked(v)
	if kind == testkit.NoCut {
		v.cutSince, v.healedAt = time.Time{}, time.Now()
	} else {
		v.cutSince = time.Now()
	}
}

// writeLinksLocked writes the file by which the links of a VM are cut or slowed. The lock is
// held.
func (w *world) writeLinksLocked(v *vm) {
	text := fmt.Sprintln(int(v.linksCut), int64(v.linksSpeed.OpenDelay), v.linksSpeed.BytesPerSecond)
	if err := os.WriteFile(v.links+".new", []byte(text), 0o600); err != nil {
		w.t.Error(err)
		return
	}
	if err := os.Rename(v.links+".new", v.links); err != nil {
		w.t.Error(err)
	}
}

// underservedCuts reports VMs that were cut off from all instances and served their callers
// worse than the others did meanwhile. The lock is held.
func (w *world) underservedCuts() []string {
	var asked, served [2]float64
	for _, r := range w.requests {
		if !r.informed || r.version > 0 || strings.HasPrefix(r.id, crashPrefix) || !r.isDuringCut {
			continue
		}
		class := 0
		if r.isCut {
			class = 1
		}
		asked[class]++
		if r.status == http.StatusOK {
			served[class]++
		}
	}
	if asked[0] == 0 || asked[1] == 0 || asked[1]-served[1] <= maxCutFailures+asked[1]/cutFailureRatio {
		return nil
	}
	if served[1]/asked[1] >= minCutShare*served[0]/asked[0] {
		return nil
	}
	return []string{fmt.Sprintf("VMs cut off from all instances served %.0f of %.0f requests, the others %.0f of %.0f", served[1], asked[1], served[0], asked[0])}
}

// passedOn returns the IDs of the requests that VMs passed on to each other, by their logs.
// A VM with a doubt about its links passes on what it can't place, also without a cut.
func (w *world) passedOn() map[string]bool {
	out := make(map[string]bool)
	for n := range w.vms {
		data, err := os.ReadFile(filepath.Join(w.dir, fmt.Sprintf("vm-%d.log", n)))
		if err != nil {
			continue
		}
		for _, line := range strings.Split(string(data), "\n") {
			if !strings.Contains(line, `"via":"`) && !strings.Contains(line, `"instance":"vm-`) {
				continue
			}
			if _, rest, found := strings.Cut(line, `"request":"`); found {
				id, _, _ := strings.Cut(rest, `"`)
				out[id] = true
			}
		}
	}
	return out
}

// Package soak runs the real entry VMs as separate processes on loopback, injects
// faults from outside them, and checks the promises from what callers and
// instances see.
//
// CURRANTFERRY_SEED sets the seed, CURRANTFERRY_ROUNDS the number of seeds,
// CURRANTFERRY_SOAK_SECONDS the length of one and CURRANTFERRY_SOAK_VMS the number
// of VMs. Regression seeds stand in regressionSeeds.
package soak

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"testing"
	"time"

	"github.com/currantferry/currantferry/platform/standin"
)

// regressionSeeds are seeds that failed once, each with its cause. They were drawn
// for the faults of their time; a later change of the faults changes their days.
var regressionSeeds = []uint64{
	3009, // one port was given to two listeners of a VM
	7009, // the test's relay closed connections in order when it cut them
	// an instance that crashed and came back said that it leaves before its record came,
	// and the word counted for its former process
	14026,
}

const (
	defaultSeed    = 1
	defaultRounds  = 2
	defaultSeconds = 8
)

func setting(t *testing.T, name string, usual uint64) uint64 {
	t.Helper()
	text := os.Getenv(name)
	if text == "" {
		return usual
	}
	v, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		t.Fatalf("%s: %v", name, err)
	}
	return v
}

// buildDaemon builds the program under test once.
func buildDaemon(t *testing.T) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "currantferryd")
	build := exec.Command("go", "build", "-o", path, "../cmd/currantferryd")
	if out, err := build.CombinedOutput(); err != nil {
		t.Fatalf("%v\n%s", err, out)
	}
	return path
}

// Guards against broken promises under kills, pauses, planned stops, cuts, silence
// and resets towards store and instances, and changes that overlap.
func TestSoak(t *testing.T) {
	daemon := buildDaemon(t)
	length := time.Duration(setting(t, "CURRANTFERRY_SOAK_SECONDS", defaultSeconds)) * time.Second
	fleet := sizeFor(int(setting(t, "CURRANTFERRY_SOAK_VMS", uint64(usualSize.vms))))
	seeds := append([]uint64(nil), regressionSeeds...)
	first := setting(t, "CURRANTFERRY_SEED", defaultSeed)
	for n := range setting(t, "CURRANTFERRY_ROUNDS", defaultRounds) {
		seeds = append(seeds, first+n)
	}
	for _, seed := range seeds {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			w := newWorld(t, daemon, seed, fleet)
			w.play(length, w.drawKinds())
			w.check()
		})
	}
}

// Guards against checks that notice nothing: each takes a world in which one
// promise is broken on purpose.
func TestChecksBite(t *testing.T) {
	for name, breach := range map[string]func(w *world){
		"ran twice": func(w *world) {
			w.note(&sent{id: "x", order: true, status: 200, body: "ran x"})
			w.extraRuns["x"] = 2
		},
		"refused and ran": func(w *world) {
			w.note(&sent{id: "x", order: true, status: 503})
			w.extraRuns["x"] = 1
		},
		"another answer": func(w *world) { w.note(&sent{id: "x", status: 200, body: "ran y" + padding}) },
		"half an answer": func(w *world) { w.note(&sent{id: "x", status: 200, body: "ran x"}) },
		"leaving instance used": func(w *world) {
			w.vms = []*vm{{number: 0}}
			w.note(&sent{id: "x", status: 200, body: "ran x" + padding, leaving: "i", began: w.began})
			w.note(&sent{id: "y", status: 200, body: "ran y" + padding, began: w.began.Add(leavingLimit + time.Second)})
			w.addArrivals(t, "i", standin.Arrival{ID: "y", At: w.began.Add(leavingLimit + time.Second)})
		},
		"crashes without end": func(w *world) {
			w.vms = []*vm{{number: 0}}
			runs := make([]standin.Run, 0, 7)
			for n := range 7 {
				id := fmt.Sprint("crash-1-", n)
				w.note(&sent{id: id, status: 502, informed: true})
				runs = append(runs, standin.Run{ID: id, At: w.began.Add(time.Duration(n) * 5 * time.Second)})
			}
			w.addRuns(t, "i", runs...)
		},
		"asked to wait and used": func(w *world) {
			w.vms = []*vm{{number: 0}}
			arrivals := []standin.Arrival{{ID: "x", At: w.began, Wait: 3 * time.Second}}
			for n := range 4 {
				id := fmt.Sprint("y", n)
				w.note(&sent{id: id, status: 200, body: "ran " + id + padding})
				arrivals = append(arrivals, standin.Arrival{ID: id, At: w.began.Add(time.Second)})
			}
			w.note(&sent{id: "x", status: 200, body: "ran x" + padding})
			w.addArrivals(t, "i", arrivals...)
		},
		"planned stop felt":   func(w *world) { w.note(&sent{id: "x", cut: true, calm: true, vm: 0}) },
		"held past its limit": func(w *world) { w.note(&sent{id: "x", status: 504, calm: true, took: 5 * time.Second}) },
	} {
		t.Run(name, func(t *testing.T) {
			w := emptyWorld(1)
			breach(w)
			if faults := w.faults(); len(faults) == 0 {
				t.Error("not noticed")
			}
		})
	}
}

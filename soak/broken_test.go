package soak

import (
	"encoding/json"
	"maps"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"
)

// brokenBuild is a daemon with one mistake in its source.
type brokenBuild struct {
	// file of the repository, and the text in it that is replaced.
	file, old, with string
	// kinds of faults under which the mistake shows.
	kinds []faultKind
	// noticed is part of the fault that must be reported.
	noticed string
}

var brokenBuilds = map[string]brokenBuild{
	"orders are sent again after a lost answer": {
		file: "verdict/verdict.go", old: "(idempotent && v == MayHaveRun)", with: "v == MayHaveRun",
		kinds: []faultKind{changeRoutes}, noticed: "ran 2 times",
	},
	"a lost answer counts as not run": {
		file: "platform/protocol.go", old: "case e.Verdict != verdict.NotRun && status != http.StatusGatewayTimeout:\n\t\treturn http.StatusBadGateway",
		with:  "case e.Verdict != verdict.NotRun && status != http.StatusGatewayTimeout:\n\t\treturn http.StatusServiceUnavailable",
		kinds: []faultKind{changeRoutes}, noticed: "was refused with 503 and ran",
	},
	"answers that end early are passed on as whole": {
		file: "proxy/answer.go", old: "if _, err := io.ReadFull(res.Body, held); err != nil {", with: "if _, err := io.ReadFull(res.Body, held); false {",
		kinds: []faultKind{changeRoutes}, noticed: "got \"ran ",
	},
	"a planned stop cuts requests off": {
		file: "entry/stop.go", old: "\tn.leaving.Store(true)", with: "\tn.close()\n\tn.leaving.Store(true)",
		// Rare stops: a VM that was started lately is not judged.
		kinds: []faultKind{stopVM, changeRoutes, changeRoutes, changeRoutes, changeRoutes, changeRoutes}, noticed: "cut off request",
	},
	"routes' timeouts do not bind": {
		file: "proxy/exchange.go", old: "if routed.Timeout > 0 &&", with: "if false &&",
		kinds: []faultKind{changeRoutes}, noticed: "held request",
	},
	"older routes replace newer ones": {
		file: "inventory/inventory.go", old: "if v.routes != nil && c.Routes.Version <= v.routes.Version {", with: "if v.routes != nil && c.Routes.Version == v.routes.Version {",
		kinds: []faultKind{restoreRoutes}, noticed: "although it had it before",
	},
	"new routes are ignored": {
		file: "inventory/inventory.go", old: "if v.routes != nil && c.Routes.Version <= v.routes.Version {", with: "if v.routes != nil {",
		kinds: []faultKind{changeRoutes}, noticed: "although it was written",
	},
	"draining instances get new work": {
		file: "inventory/view.go", old: " || i.Draining {", with: " {",
		kinds: []faultKind{drainInstance}, noticed: "after its drain began",
	},
	"evacuated data centres get new work": {
		file: "inventory/view.go", old: "return evacuation == nil || !evacuation.removedAt.IsZero()", with: "return evacuation == nil || i.Slots > 0",
		kinds: []faultKind{evacuate}, noticed: "after it was to be empty",
	},
	"instances that said they leave get new work": {
		file: "platform/protocol.go", old: "res.Header.Get(headerLeaving) == leavingValue", with: "res.Header.Get(headerLeaving) == leavingValue && res == nil",
		kinds: []faultKind{leaveUnregistered}, noticed: "after the VM had passed on that it leaves",
	},
	"requests that crash instances are sent on": {
		file: "entry/selector.go", old: "s.ledger.Refuses(now, fingerprint); refused {", with: "s.ledger.Refuses(now, fingerprint); refused && wait < 0 {",
		// Rare requests of this kind: several would leave no instance to crash.
		kinds: append(slices.Repeat([]faultKind{changeRoutes}, 9), crashInstances), noticed: "later than 4s after the third",
	},
	"instances that asked to wait get new work": {
		file: "availability/availability.go", old: "w.Wait = time.Duration(seconds * float64(time.Second))", with: "w.Wait = 0 * time.Duration(seconds)",
		kinds: []faultKind{askToWait}, noticed: "though it had asked to wait",
	},
	"retries have no budget": {
		file: "budget/retry.go", old: "if s.tokens < 1-roundingTolerance || c.tokens < 1-roundingTolerance {", with: "if false {",
		kinds: []faultKind{overloadInstances}, noticed: "were sent to instances for",
	},
}

// brokenSeconds is the time with faults for a broken build: longer than it takes
// until VMs count as informed, plus the longest of the platform's bounds.
const brokenSeconds = 14

// defaultBroken is how many broken builds are played unless all are asked for.
const defaultBroken = 2

// Guards against promises whose breach the soak would not notice: each of them is
// broken in a daemon built for it. CURRANTFERRY_SOAK_BROKEN is the number of builds
// that are played, drawn by the seed; 100 plays all.
func TestBrokenBuildsAreNoticed(t *testing.T) {
	seed := setting(t, "CURRANTFERRY_SEED", defaultSeed)
	names := slices.Sorted(maps.Keys(brokenBuilds))
	rand.New(rand.NewPCG(seed, 12)).Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
	for _, name := range names[:min(len(names), int(setting(t, "CURRANTFERRY_SOAK_BROKEN", defaultBroken)))] {
		b := brokenBuilds[name]
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w := newWorld(t, b.build(t), seed, usualSize)
			w.play(brokenSeconds*time.Second, b.kinds)
			faults := w.faults()
			for _, f := range faults {
				if strings.Contains(f, b.noticed) {
					t.Logf("noticed: %s", f)
					return
				}
			}
			t.Errorf("not noticed; %d other faults: %q", len(faults), faults[:min(len(faults), 5)])
		})
	}
}

// Guards against broken builds that can't be built any more, and are not noticed as long
// as the seed draws others.
func TestBrokenBuildsApply(t *testing.T) {
	for name, b := range brokenBuilds {
		source, err := os.ReadFile(filepath.Join("..", b.file))
		if err != nil {
			t.Fatal(err)
		}
		if n := strings.Count(string(source), b.old); n != 1 {
			t.Errorf("%s: %s has the text to replace %d times, not once", name, b.file, n)
		}
	}
}

// build builds the daemon with the mistake, and leaves the source as it is.
func (b *brokenBuild) build(t *testing.T) string {
	t.Helper()
	path, err := filepath.Abs(filepath.Join("..", b.file))
	if err != nil {
		t.Fatal(err)
	}
	source, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if n := strings.Count(string(source), b.old); n != 1 {
		t.Fatalf("%s has the text to replace %d times, not once", b.file, n)
	}
	dir := t.TempDir()
	write := func(name string, data []byte) string {
		file := filepath.Join(dir, name)
		if err := os.WriteFile(file, data, 0o600); err != nil {
			t.Fatal(err)
		}
		return file
	}
	changed := write("changed.go", []byte(strings.Replace(string(source), b.old, b.with, 1)))
	replace, err := json.Marshal(map[string]map[string]string{"Replace": {path: changed}})
	if err != nil {
		t.Fatal(err)
	}
	daemon := filepath.Join(dir, "currantferryd")
	build := exec.Command("go", "build", "-overlay", write("overlay.json", replace), "-o", daemon, "../cmd/currantferryd")
	if out, err := build.CombinedOutput(); err != nil {
		t.Fatalf("%v\n%s", err, out)
	}
	return daemon
}

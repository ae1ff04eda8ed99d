package soak

import (
	"encoding/json"
	"fmt"
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

// brokenBuild is a daemon that is built with one deliberate defect in its source.
type brokenBuild struct {
	// file is a path in the repository. The text old in it is replaced by with.
	file, old, with string
	// kinds are the faults that expose the defect.
	kinds []faultKind
	// noticed is a part of the violation that must be reported.
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
		file: "proxy/answer.go", old: "if _, err := io.ReadFull(res.Body, buf); err != nil {", with: "if _, err := io.ReadFull(res.Body, buf); false {",
		kinds: []faultKind{changeRoutes}, noticed: "got \"ran ",
	},
	"a planned stop cuts requests off": {
		file: "entry/stop.go", old: "\tn.finishCallers()", with: "\tn.close()\n\tn.finishCallers()",
		// Stops are rare because a VM that started recently is not checked.
		kinds: []faultKind{stopVM, changeRoutes, changeRoutes, changeRoutes, changeRoutes, changeRoutes}, noticed: "cut off request",
	},
	"a planned stop gives up what instances work on": {
		file: "entry/stop.go", old: "context.WithDeadline(context.Background(), end)", with: "context.WithDeadline(context.Background(), started)",
		kinds: []faultKind{stopBusyVM}, noticed: "lost: ",
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
		file: "inventory/view.go", old: "return !evacuation.removedAt.IsZero() && !isUnknown", with: "return i.Slots > 0 || isUnknown",
		kinds: []faultKind{evacuate}, noticed: "after it was to be empty",
	},
	"instances that said they leave get new work": {
		file: "platform/protocol.go", old: "res.Header.Get(headerLeaving) == leavingValue", with: "res.Header.Get(headerLeaving) == leavingValue && res == nil",
		kinds: []faultKind{leaveInAnswers}, noticed: "after the VM had passed on that it leaves",
	},
	"requests that crash instances are sent on": {
		file: "entry/selector.go", old: "s.ledger.Refuses(now, fingerprint); refused {", with: "s.ledger.Refuses(now, fingerprint); refused && wait < 0 {",
		// Such requests are rare because several of them would crash every instance.
		kinds: append(slices.Repeat([]faultKind{changeRoutes}, 9), crashInstances), noticed: "later than 4s after the third",
	},
	"instances that asked to wait get new work": {
		file: "availability/availability.go", old: "n.Wait = time.Duration(seconds * float64(time.Second))", with: "n.Wait = 0 * time.Duration(seconds)",
		kinds: []faultKind{askToWait}, noticed: "though it had asked to wait",
	},
	"limits that instances name are ignored": {
		file: "platform/protocol.go", old: "availability.ParseLimit(res.Header[headerLimit])", with: "availability.ParseLimit(nil)",
		kinds: []faultKind{nameLimits}, noticed: "though it had named a limit",
	},
	"tokens of a limit are used more than once": {
		file: "quotalease/holding.go", old: "h.batches[0].tokens--", with: "h.batches[0].tokens -= 0",
		kinds: []faultKind{nameLimits}, noticed: "though it had named a limit",
	},
	"restores of the store are not noticed": {
		file: "platform/store.go", old: `res.Header.Get(headerEpoch); text != ""`, with: `res.Header.Get(headerEpoch); text == "-"`,
		kinds: []faultKind{restoreStore, reloadVM, reloadVM, reloadVM}, noticed: "although it was written",
	},
	"VMs that reach no instance keep their requests": {
		file: "transit/reach.go", old: "	case Isolated:\n		return true", with: "	case Isolated:\n		return false",
		kinds: []faultKind{cutFromInstances, reloadVM, reloadVM}, noticed: "VMs cut off from all instances served",
	},
	"retries have no budget": {
		file: "budget/retry.go", old: "if s.tokens < 1-roundingTolerance || c.tokens < 1-roundingTolerance {", with: "if false {",
		kinds: []faultKind{overloadInstances}, noticed: "were sent to instances for",
	},
}

// brokenBuildSeconds is the duration of the faults for a broken build. It exceeds the
// time after which requests count as informed plus the longest of the platform's bounds.
const brokenBuildSeconds = 14

// defaultBrokenBuilds is how many broken builds run if CURRANTFERRY_SOAK_BROKEN is not
// set.
const defaultBrokenBuilds = 2

// The soak must report a violation of each guarantee. Each case builds a daemon that
// violates one of them. CURRANTFERRY_SOAK_BROKEN is the number of builds that run, drawn
// by the seed; 100 runs all.
func TestBrokenBuildsAreNoticed(t *testing.T) {
	seed := envUint(t, "CURRANTFERRY_SEED", defaultSeed)
	names := slices.Sorted(maps.Keys(brokenBuilds))
	rand.New(rand.NewPCG(seed, 12)).Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
	for _, name := range names[:min(len(names), int(envUint(t, "CURRANTFERRY_SOAK_BROKEN", defaultBrokenBuilds)))] {
		b := brokenBuilds[name]
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			fleet := defaultSize
			if slices.Contains(b.kinds, stopBusyVM) {
				fleet = plannedStopsSize
			}
			w := newWorld(t, []string{b.build(t)}, seed, fleet)
			w.run(brokenBuildSeconds*time.Second, b.kinds)
			violations := w.violations()
			for _, v := range violations {
				if strings.Contains(v, b.noticed) {
					t.Logf("noticed: %s", v)
					return
				}
			}
			t.Errorf("not noticed; %d other violations: %q", len(violations), violations[:min(len(violations), 5)])
		})
	}
}

// A change of the source can make the text of a broken build impossible to replace.
// TestBrokenBuildsAreNoticed reports that only for the builds that the seed draws.
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

// replaceOnce replaces a text that must occur once.
func replaceOnce(source, old, with string) (string, error) {
	if n := strings.Count(source, old); n != 1 {
		return "", fmt.Errorf("the text to replace occurs %d times, not once: %s", n, old)
	}
	return strings.Replace(source, old, with, 1), nil
}

// build builds the daemon with the defect and returns its path.
func (b *brokenBuild) build(t *testing.T) string {
	t.Helper()
	sources, err := withLinks("..")
	if err != nil {
		t.Fatal(err)
	}
	source, err := os.ReadFile(filepath.Join("..", b.file))
	if err != nil {
		t.Fatal(err)
	}
	if sources[b.file], err = replaceOnce(string(source), b.old, b.with); err != nil {
		t.Fatal(err)
	}
	return buildWith(t, "..", sources)
}

// buildWith builds the daemon of the source tree at root with other contents of some source
// files, by their paths there, through an overlay that leaves the files as they are.
func buildWith(t *testing.T, root string, sources map[string]string) string {
	t.Helper()
	dir := t.TempDir()
	write := func(name, data string) string {
		file := filepath.Join(dir, name)
		if err := os.WriteFile(file, []byte(data), 0o600); err != nil {
			t.Fatal(err)
		}
		return file
	}
	overlay := make(map[string]string)
	for path, source := range sources {
		original, err := filepath.Abs(filepath.Join(root, path))
		if err != nil {
			t.Fatal(err)
		}
		overlay[original] = write(fmt.Sprintf("source-%d.go", len(overlay)), source)
	}
	replace, err := json.Marshal(map[string]map[string]string{"Replace": overlay})
	if err != nil {
		t.Fatal(err)
	}
	daemon := filepath.Join(dir, "currantferryd")
	build := exec.Command("go", "build", "-overlay", write("overlay.json", string(replace)), "-o", daemon, "./cmd/currantferryd")
	build.Dir = root
	if out, err := build.CombinedOutput(); err != nil {
		t.Fatalf("%v\n%s", err, out)
	}
	return daemon
}

package soak

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"testing"
	"time"
)

// production returns a copy of the source tree of the version in production, which the deploy
// file names. It skips the test if the history of this clone lacks that commit.
func production(t *testing.T) string {
	t.Helper()
	deploy, err := os.ReadFile("../deploy/system.toml")
	if err != nil {
		t.Fatal(err)
	}
	match := regexp.MustCompile(`(?m)^production = "([0-9a-f]+)"$`).FindSubmatch(deploy)
	if match == nil {
		t.Fatal("deploy/system.toml names no version in production")
	}
	commit, dir := string(match[1]), t.TempDir()
	if err := exec.Command("git", "-C", "..", "cat-file", "-e", commit+"^{commit}").Run(); err != nil {
		t.Skipf("the history of this clone lacks the version in production, %s: no upgrade was played", commit)
	}
	archive := filepath.Join(dir, "source.tar")
	if out, err := exec.Command("git", "-C", "..", "archive", "-o", archive, commit).CombinedOutput(); err != nil {
		t.Fatalf("%v\n%s", err, out)
	}
	if out, err := exec.Command("tar", "-xf", archive, "-C", dir).CombinedOutput(); err != nil {
		t.Fatalf("%v\n%s", err, out)
	}
	return dir
}

const (
	// defaultUpgradeRounds is the number of seeds of TestUpgrade.
	defaultUpgradeRounds = 1
	// numReplacements is how often replacing a VM is drawn beside the kinds of a seed.
	numReplacements = 4
)

// The guarantees to callers must hold while VMs of the version in production and of the present
// one run side by side. A VM changes its version with each start, forward and back, after
// SIGTERM or a kill, while other faults overlap.
func TestUpgrade(t *testing.T) {
	builds := []string{buildTree(t, production(t)), buildDaemon(t)}
	duration := time.Duration(envUint(t, "CURRANTFERRY_SOAK_SECONDS", defaultSeconds)) * time.Second
	first := envUint(t, "CURRANTFERRY_SEED", defaultSeed)
	for n := range envUint(t, "CURRANTFERRY_ROUNDS", defaultUpgradeRounds) {
		seed := first + n
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			w := newWorld(t, builds, seed, defaultSize)
			kinds := w.drawKinds()
			for range numReplacements {
				kinds = append(kinds, stopVM)
			}
			w.run(duration, append(kinds, killVM))
			w.check()
		})
	}
}

package testkit

import (
	"os"
	"strconv"
	"testing"
)

// Seed returns the seed of a randomised test: that of the variable CURRANTFERRY_SEED, or the
// given one. A test that fails must report it.
func Seed(t testing.TB, defaultSeed uint64) uint64 {
	t.Helper()
	return variable(t, "CURRANTFERRY_SEED", defaultSeed)
}

// Rounds returns the number of rounds of a randomised test: that of the variable
// CURRANTFERRY_ROUNDS, or the given one.
func Rounds(t testing.TB, defaultRounds int) int {
	t.Helper()
	return int(variable(t, "CURRANTFERRY_ROUNDS", uint64(defaultRounds)))
}

func variable(t testing.TB, name string, defaultValue uint64) uint64 {
	t.Helper()
	text := os.Getenv(name)
	if text == "" {
		return defaultValue
	}
	value, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		t.Fatalf("%s: %v", name, err)
	}
	return value
}

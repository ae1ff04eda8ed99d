package testkit

import (
	"os"
	"reflect"
	"regexp"
	"strings"
	"testing"
)

// statesPage lists the states in which a VM sends less, relative to a package.
const statesPage = "../docs/STATES.md"

var (
	stateRow  = regexp.MustCompile("(?m)^\\| `([^`]+)` \\|(.*)\\|$")
	notStates = regexp.MustCompile(`(?s)Not states: (.*?)\n\n`)
	quoted    = regexp.MustCompile("`([^`]+)`")
)

// CheckStates fails the test if a field of a structure is missing on the page of states, or if
// one is listed there as a state without its begin, its end and its longest time. name is the
// structure's name on the page.
func CheckStates(t *testing.T, name string, structure any) {
	t.Helper()
	data, err := os.ReadFile(statesPage)
	if err != nil {
		t.Fatal(err)
	}
	listed := make(map[string]bool)
	for _, row := range stateRow.FindAllStringSubmatch(string(data), -1) {
		listed[row[1]] = true
		if !strings.HasPrefix(row[1], name+".") || strings.Contains(row[2], ", see `") {
			continue
		}
		columns := strings.Split(row[2], "|")
		if len(columns) != 4 {
			t.Errorf("%s: %d columns", row[1], len(columns))
			continue
		}
		for k, column := range []string{"state", "begins", "ends", "longest"} {
			if strings.TrimSpace(columns[k]) == "" {
				t.Errorf("%s: column %q is empty", row[1], column)
			}
		}
	}
	for _, list := range notStates.FindAllStringSubmatch(string(data), -1) {
		for _, field := range quoted.FindAllStringSubmatch(list[1], -1) {
			listed[field[1]] = true
		}
	}
	fields := reflect.TypeOf(structure)
	known := make(map[string]bool)
	for k := range fields.NumField() {
		field := name + "." + fields.Field(k).Name
		known[field] = true
		if !listed[field] {
			t.Errorf("%s is missing in %s: say what begins and what ends it, or that it is no state", field, statesPage)
		}
	}
	for field := range listed {
		if strings.HasPrefix(field, name+".") && !known[field] {
			t.Errorf("%s lists %s, which is gone", statesPage, field)
		}
	}
}

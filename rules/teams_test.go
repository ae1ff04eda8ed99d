package rules

import (
	"strings"
	"testing"
)

// Rules must be rejected if no team could change teams any more, or if a hash could
// never match or belongs to two teams. A token must be matched to its own team.
func TestTeams(t *testing.T) {
	ops := Team{Name: "ops", Platform: true, TokenHashes: []string{HashToken("a"), HashToken("b")}}
	press := Team{Name: "press", TokenHashes: []string{HashToken("c")}}
	r := &Rules{Teams: []Team{ops, press}}
	if errs := r.Validate(); len(errs) > 0 {
		t.Fatal(errs)
	}
	for token, want := range map[string]string{"a": "ops", "b": "ops", "c": "press", "d": "", "": "", HashToken("a"): ""} {
		got := ""
		if team := r.TeamOf(token); team != nil {
			got = team.Name
		}
		if got != want {
			t.Errorf("token %q: team %q, want %q", token, got, want)
		}
	}
	for want, teams := range map[string][]Team{
		"nobody could change teams": {press},
		"used twice":                {ops, ops},
		"not a SHA-256 hash":        {ops, {Name: "x", TokenHashes: []string{strings.ToUpper(HashToken("e"))}}},
		"at most 16":                {ops, {Name: "x", TokenHashes: make([]string, 17)}},
	} {
		if errs := (&Rules{Teams: teams}).Validate(); !strings.Contains(errs.Error(), want) {
			t.Errorf("no %q in %v", want, errs)
		}
	}
}

package report

import (
	"strings"
	"testing"
	"time"
)

// Guards against lines that a small screen breaks, and against lost words.
func TestTextFitsWidth(t *testing.T) {
	r := Report{
		Name: "rolregister", At: time.Unix(0, 0), Version: 12,
		Risks:   []Risk{{What: "region noord has no upstreams and " + strings.Repeat("x", 100), Until: "14:00"}},
		Moves:   []Move{{What: "proefbank: 5 % of randstad to noord", Why: "drain of amsterdam-b, planned by ann for maintenance of the switches"}},
		Planned: []string{strings.Repeat("word ", 30)},
		Refused: map[string]int64{"key-in-progress": 2, strings.Repeat("long", 20): 1},
		Facts:   []Fact{{"run twice", "0"}},
	}
	text := r.Text()
	for _, l := range strings.Split(text, "\n") {
		if len(l) > Width {
			t.Errorf("%d columns: %q", len(l), l)
		}
	}
	if strings.Count(text, "word") != 30 || strings.Count(text, "x") < 100 || !strings.Contains(text, "AT RISK: YES") {
		t.Errorf("words were lost:\n%s", text)
	}
}

package report

import (
	"strings"
	"testing"
	"time"
	"unicode/utf8"
)

// No line may exceed MaxColumns, because a small screen would wrap it again, and wrapping
// must not lose any text.
func TestTextFitsWidth(t *testing.T) {
	r := Report{
		Name: "rolregister", At: time.Unix(0, 0), Version: 12,
		Risks:   []Risk{{What: "region noord has no upstreams and " + strings.Repeat("x", 100), Until: "14:00"}},
		Moves:   []Move{{What: "proefbank: 5 % of randstad to noord", Why: "drain of amsterdam-b, planned by ann for maintenance of the switches"}},
		Planned: []string{strings.Repeat("word ", 30)},
		Refused: map[string]int64{"key-in-progress": 2, strings.Repeat("long", 20): 1},
		Facts:   []Fact{{"run twice", "0"}},
		Slow:    []string{"proefbank-rotterdam-a-1: 9 in flight from this VM, slower than the others"},
		Stuck:   []string{strings.Repeat("é", 90)},
		Store:   "no answer for 34 s; the last configuration stays in force and changes are refused",
	}
	text := r.Text()
	for _, l := range strings.Split(text, "\n") {
		if utf8.RuneCountInString(l) > MaxColumns || !utf8.ValidString(l) {
			t.Errorf("%d columns: %q", len(l), l)
		}
	}
	if strings.Count(text, "word") != 30 || strings.Count(text, "x") < 100 || strings.Count(text, "é") != 90 ||
		!strings.Contains(text, "AT RISK: YES") || !strings.Contains(text, "SLOW UPSTREAMS") || !strings.Contains(text, "STORE: no answer") {
		t.Errorf("words were lost:\n%s", text)
	}
}

// Package report renders what operators read on a phone: what moved, why, and
// whether anything is at risk.
package report

import (
	"fmt"
	"sort"
	"strings"
	"time"
)

// Width is the most columns of a line of text.
const Width = 44

// Report is everything on the one screen.
type Report struct {
	Name    string    `json:"name"`
	At      time.Time `json:"at"`
	Version uint64    `json:"config_version"`
	// Risks is empty when nothing is at risk.
	Risks   []Risk   `json:"risks"`
	Moves   []Move   `json:"moves"`
	Planned []string `json:"planned"`
	// Answered counts whole answers; Refused and Retried count by reason.
	Answered int64            `json:"answered"`
	Refused  map[string]int64 `json:"refused"`
	Retried  map[string]int64 `json:"retried"`
	// Facts are further counts, such as requests run twice.
	Facts []Fact `json:"facts"`
}

// Risk is one thing that may go wrong.
type Risk struct {
	What  string `json:"what"`
	Until string `json:"until,omitempty"`
}

// Move is one shift of traffic.
type Move struct {
	What string `json:"what"`
	Why  string `json:"why"`
}

// Fact is a named count.
type Fact struct {
	Name  string `json:"name"`
	Value string `json:"value"`
}

// Text renders the report in lines of at most Width columns.
func (r *Report) Text() string {
	var b strings.Builder
	line(&b, "%s  %s  config %d", r.Name, r.At.UTC().Format("15:04:05 UTC"), r.Version)
	b.WriteString(strings.Repeat("-", Width) + "\n")
	r.textRisks(&b)
	section(&b, "MOVED", len(r.Moves))
	for _, m := range r.Moves {
		bullet(&b, m.What)
		indent(&b, "why: "+m.Why)
	}
	section(&b, "PLANNED", len(r.Planned))
	for _, p := range r.Planned {
		bullet(&b, p)
	}
	line(&b, "ANSWERED %d", r.Answered)
	counts(&b, "REFUSED", r.Refused)
	counts(&b, "RETRIED", r.Retried)
	for _, f := range r.Facts {
		row(&b, f.Name, f.Value)
	}
	return b.String()
}

func (r *Report) textRisks(b *strings.Builder) {
	if len(r.Risks) == 0 {
		line(b, "AT RISK: no")
		return
	}
	line(b, "AT RISK: YES")
	for _, risk := range r.Risks {
		bullet(b, risk.What)
		if risk.Until != "" {
			indent(b, "until "+risk.Until)
		}
	}
}

func section(b *strings.Builder, title string, n int) {
	if n == 0 {
		line(b, "%s: nothing", title)
		return
	}
	line(b, "%s", title)
}

func counts(b *strings.Builder, title string, m map[string]int64) {
	var sum int64
	reasons := make([]string, 0, len(m))
	for reason, n := range m {
		sum += n
		if n > 0 {
			reasons = append(reasons, reason)
		}
	}
	line(b, "%s %d", title, sum)
	sort.Strings(reasons)
	for _, reason := range reasons {
		row(b, "  "+reason, fmt.Sprint(m[reason]))
	}
}

// row puts a value at the right margin.
func row(b *strings.Builder, name, value string) {
	space := Width - len(name) - len(value)
	if space < 1 {
		line(b, "%s", name)
		line(b, "  %s", value)
		return
	}
	b.WriteString(name + strings.Repeat(" ", space) + value + "\n")
}

func line(b *strings.Builder, format string, args ...any) {
	wrap(b, fmt.Sprintf(format, args...), "", "  ")
}

func bullet(b *strings.Builder, text string) { wrap(b, text, "* ", "  ") }
func indent(b *strings.Builder, text string) { wrap(b, text, "  ", "    ") }

// wrap breaks text at spaces; words longer than a line are cut.
func wrap(b *strings.Builder, text, first, rest string) {
	current := first
	empty := true
	for _, word := range strings.Fields(text) {
		for len(current)+len(word)+1 > Width {
			if !empty {
				b.WriteString(strings.TrimRight(current, " ") + "\n")
				current, empty = rest, true
				continue
			}
			room := Width - len(current)
			if len(word) <= room {
				break
			}
			b.WriteString(current + word[:room] + "\n")
			word, current = word[room:], rest
		}
		if !empty {
			current += " "
		}
		current += word
		empty = false
	}
	if !empty {
		b.WriteString(current + "\n")
	}
}

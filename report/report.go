// Package report renders what operators read on a phone: what moved, why, and
// whether anything is at risk.
package report

import (
	"fmt"
	"sort"
	"strings"
	"time"
	"unicode/utf8"
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
	// Slow upstreams get no ordinary work; Stuck drains make no progress;
	// Crashing are requests that crash upstreams; Stale is data that is too old,
	// with its age.
	Slow     []string `json:"slow"`
	Stuck    []string `json:"stuck_drains"`
	Crashing []string `json:"crashing"`
	Stale    []string `json:"stale"`
	// Store is the state of the store in words. Empty leaves it out.
	Store string `json:"store,omitempty"`
	// Lines are shown as curves on the page.
	Lines []Line `json:"lines,omitempty"`
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
	// From, To and Amount say the same in parts. Empty where What says it all.
	From   string `json:"from,omitempty"`
	To     string `json:"to,omitempty"`
	Amount string `json:"amount,omitempty"`
}

// Sentence is the move in one line.
func (m Move) Sentence() string {
	if m.From == "" {
		return m.What
	}
	return m.What + ": " + m.Amount + " from " + m.From + " to " + m.To
}

// Line is a measured value over time.
type Line struct {
	Name string `json:"name"`
	Unit string `json:"unit"`
	// Every is the time between two points.
	Every time.Duration `json:"every_ns"`
	// Points are oldest first.
	Points []float64 `json:"points"`
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
		bullet(&b, m.Sentence())
		indent(&b, "why: "+m.Why)
	}
	section(&b, "PLANNED", len(r.Planned))
	for _, p := range r.Planned {
		bullet(&b, p)
	}
	if r.Store != "" {
		line(&b, "STORE: %s", r.Store)
	}
	for _, l := range r.lists() {
		if len(l.Items) == 0 {
			continue
		}
		line(&b, "%s", strings.ToUpper(l.Title))
		for _, item := range l.Items {
			bullet(&b, item)
		}
	}
	line(&b, "ANSWERED %d", r.Answered)
	counts(&b, "REFUSED", r.Refused)
	counts(&b, "RETRIED", r.Retried)
	for _, f := range r.Facts {
		row(&b, f.Name, f.Value)
	}
	return b.String()
}

// list is a titled list of sentences.
type list struct {
	Title string
	Items []string
}

func (r *Report) lists() []list {
	return []list{
		{"Slow upstreams", r.Slow},
		{"Stuck drains", r.Stuck},
		{"Requests that crash upstreams", r.Crashing},
		{"Stale data", r.Stale},
	}
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
	space := Width - columns(name) - columns(value)
	if space < 1 {
		line(b, "%s", name)
		line(b, "  %s", value)
		return
	}
	b.WriteString(name + strings.Repeat(" ", space) + value + "\n")
}

func columns(s string) int { return utf8.RuneCountInString(s) }

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
		for columns(current)+columns(word)+1 > Width {
			if !empty {
				b.WriteString(strings.TrimRight(current, " ") + "\n")
				current, empty = rest, true
				continue
			}
			room := Width - columns(current)
			runes := []rune(word)
			if len(runes) <= room {
				break
			}
			b.WriteString(current + string(runes[:room]) + "\n")
			word, current = string(runes[room:]), rest
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

// Package report renders the status report that operators read on a phone: which
// traffic was moved and why, and whether anything is at risk.
package report

import (
	"fmt"
	"sort"
	"strings"
	"time"
	"unicode/utf8"
)

// MaxColumns is the maximum number of columns of a line of text.
const MaxColumns = 44

// Report is the content of the status report, which is shown on one screen.
type Report struct {
	Name    string    `json:"name"`
	At      time.Time `json:"at"`
	Version uint64    `json:"config_version"`
	// Risks is empty if nothing is at risk.
	Risks   []Risk   `json:"risks"`
	Moves   []Move   `json:"moves"`
	Planned []string `json:"planned"`
	// Answered is the number of complete responses. Refused and Retried are numbers
	// of requests by reason.
	Answered int64            `json:"answered"`
	Refused  map[string]int64 `json:"refused"`
	Retried  map[string]int64 `json:"retried"`
	// Slow lists upstreams that get no regular requests because they are slow; Stuck
	// lists drains without progress; Crashing lists requests that crash upstreams;
	// Stale lists data that is too old, with its age.
	Slow     []string `json:"slow"`
	Stuck    []string `json:"stuck_drains"`
	Crashing []string `json:"crashing"`
	Stale    []string `json:"stale"`
	// Store describes the state of the store. Empty means that it is not known;
	// Text then omits it.
	Store string `json:"store,omitempty"`
	// Lines are shown as curves on the page and are not part of Text.
	Lines []Series `json:"lines,omitempty"`
	// Facts are further counts, for example of requests that were run twice.
	Facts []Fact `json:"facts"`
}

// Risk is one risk to the service.
type Risk struct {
	What string `json:"what"`
	// Until is the condition that ends the risk. Empty if there is none.
	Until string `json:"until,omitempty"`
}

// Move is one shift of traffic and its reason.
type Move struct {
	What string `json:"what"`
	Why  string `json:"why"`
	// From, To and Amount describe the move in parts, and What is then its subject.
	// They are empty if What is the complete description.
	From   string `json:"from,omitempty"`
	To     string `json:"to,omitempty"`
	Amount string `json:"amount,omitempty"`
}

// Sentence returns the description of the move, without the reason.
func (m Move) Sentence() string {
	if m.From == "" {
		return m.What
	}
	return m.What + ": " + m.Amount + " from " + m.From + " to " + m.To
}

// Series is a time series of a measured value.
type Series struct {
	Name string `json:"name"`
	Unit string `json:"unit"`
	// Interval is the interval between two points.
	Interval time.Duration `json:"every_ns"`
	// Points are the values, oldest first.
	Points []float64 `json:"points"`
}

// Fact is a named count.
type Fact struct {
	Name  string `json:"name"`
	Value string `json:"value"`
}

// Text renders the report in lines of at most MaxColumns columns.
func (r *Report) Text() string {
	var b strings.Builder
	writeLine(&b, "%s  %s  config %d", r.Name, r.At.UTC().Format("15:04:05 UTC"), r.Version)
	b.WriteString(strings.Repeat("-", MaxColumns) + "\n")
	r.writeRisks(&b)
	writeSection(&b, "MOVED", len(r.Moves))
	for _, m := range r.Moves {
		writeBullet(&b, m.Sentence())
		writeIndented(&b, "why: "+m.Why)
	}
	writeSection(&b, "PLANNED", len(r.Planned))
	for _, p := range r.Planned {
		writeBullet(&b, p)
	}
	if r.Store != "" {
		writeLine(&b, "STORE: %s", r.Store)
	}
	for _, l := range r.troubleLists() {
		if len(l.Items) == 0 {
			continue
		}
		writeLine(&b, "%s", strings.ToUpper(l.Title))
		for _, item := range l.Items {
			writeBullet(&b, item)
		}
	}
	writeLine(&b, "ANSWERED %d", r.Answered)
	writeCounts(&b, "REFUSED", r.Refused)
	writeCounts(&b, "RETRIED", r.Retried)
	for _, f := range r.Facts {
		writeRow(&b, f.Name, f.Value)
	}
	return b.String()
}

// titledList is a list of texts with a title.
type titledList struct {
	Title string
	Items []string
}

func (r *Report) troubleLists() []titledList {
	return []titledList{
		{"Slow upstreams", r.Slow},
		{"Stuck drains", r.Stuck},
		{"Requests that crash upstreams", r.Crashing},
		{"Stale data", r.Stale},
	}
}

func (r *Report) writeRisks(b *strings.Builder) {
	if len(r.Risks) == 0 {
		writeLine(b, "AT RISK: no")
		return
	}
	writeLine(b, "AT RISK: YES")
	for _, risk := range r.Risks {
		writeBullet(b, risk.What)
		if risk.Until != "" {
			writeIndented(b, "until "+risk.Until)
		}
	}
}

// writeSection writes the title of a section, and "nothing" if it has no items.
func writeSection(b *strings.Builder, title string, n int) {
	if n == 0 {
		writeLine(b, "%s: nothing", title)
		return
	}
	writeLine(b, "%s", title)
}

// writeCounts writes the sum of m and the counts that are not zero, by reason.
func writeCounts(b *strings.Builder, title string, m map[string]int64) {
	var sum int64
	reasons := make([]string, 0, len(m))
	for reason, n := range m {
		sum += n
		if n > 0 {
			reasons = append(reasons, reason)
		}
	}
	writeLine(b, "%s %d", title, sum)
	sort.Strings(reasons)
	for _, reason := range reasons {
		writeRow(b, "  "+reason, fmt.Sprint(m[reason]))
	}
}

// writeRow writes a name and a value at the right margin, on two lines if they do
// not fit on one.
func writeRow(b *strings.Builder, name, value string) {
	space := MaxColumns - columnCount(name) - columnCount(value)
	if space < 1 {
		writeLine(b, "%s", name)
		writeLine(b, "  %s", value)
		return
	}
	b.WriteString(name + strings.Repeat(" ", space) + value + "\n")
}

func columnCount(s string) int { return utf8.RuneCountInString(s) }

func writeLine(b *strings.Builder, format string, args ...any) {
	writeWrapped(b, fmt.Sprintf(format, args...), "", "  ")
}

func writeBullet(b *strings.Builder, text string)   { writeWrapped(b, text, "* ", "  ") }
func writeIndented(b *strings.Builder, text string) { writeWrapped(b, text, "  ", "    ") }

// writeWrapped writes text in lines of at most MaxColumns columns. It breaks lines at
// spaces and splits words that are longer than a line.
func writeWrapped(b *strings.Builder, text, firstIndent, restIndent string) {
	current := firstIndent
	isEmpty := true
	for _, word := range strings.Fields(text) {
		for columnCount(current)+columnCount(word)+1 > MaxColumns {
			if !isEmpty {
				b.WriteString(strings.TrimRight(current, " ") + "\n")
				current, isEmpty = restIndent, true
				continue
			}
			room := MaxColumns - columnCount(current)
			runes := []rune(word)
			if len(runes) <= room {
				break
			}
			b.WriteString(current + string(runes[:room]) + "\n")
			word, current = string(runes[room:]), restIndent
		}
		if !isEmpty {
			current += " "
		}
		current += word
		isEmpty = false
	}
	if !isEmpty {
		b.WriteString(current + "\n")
	}
}

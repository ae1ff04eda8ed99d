package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"strconv"
	"strings"
	"time"
	"unicode/utf8"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"

	"github.com/currantferry/currantferry/admin"
)

// defaultWidth is the number of columns if the output is not a terminal and
// COLUMNS is not set.
const defaultWidth = 100

// terminalWidth returns the number of columns of the terminal that w writes to.
func terminalWidth(w io.Writer) int {
	if f, ok := w.(*os.File); ok {
		if size, err := unix.IoctlGetWinsize(int(f.Fd()), unix.TIOCGWINSZ); err == nil && size.Col > 0 {
			return int(size.Col)
		}
	}
	if n, err := strconv.Atoi(os.Getenv("COLUMNS")); err == nil && n > 0 {
		return n
	}
	return defaultWidth
}

// printTable prints rows in columns that fit the terminal. The last column is
// wrapped. If that leaves it too narrow, each row is printed as a block of lines.
func (e *env) printTable(header []string, rows [][]string) {
	widths := make([]int, len(header))
	for _, row := range append([][]string{header}, rows...) {
		for i, cell := range row {
			widths[i] = max(widths[i], utf8.RuneCountInString(cell))
		}
	}
	last := len(header) - 1
	leftWidth := 0
	for _, w := range widths[:last] {
		leftWidth += w + 2
	}
	const minLastWidth = 16
	if leftWidth+min(widths[last], minLastWidth) > e.width {
		e.printRecords(header, rows)
		return
	}
	lastWidth := max(minLastWidth, e.width-leftWidth)
	for _, row := range append([][]string{header}, rows...) {
		var b strings.Builder
		for i, cell := range row[:last] {
			b.WriteString(cell + strings.Repeat(" ", widths[i]+2-utf8.RuneCountInString(cell)))
		}
		for i, line := range wrap(row[last], lastWidth) {
			if i > 0 {
				b.WriteString("\n" + strings.Repeat(" ", leftWidth))
			}
			b.WriteString(line)
		}
		fmt.Fprintln(e.out, strings.TrimRight(b.String(), " "))
	}
}

// printRecords prints each row as a block with a line or more for each column.
func (e *env) printRecords(header []string, rows [][]string) {
	for _, row := range rows {
		for i, cell := range row {
			indent := "  "
			if i == 0 {
				indent = ""
			}
			for _, line := range wrap(header[i]+" "+cell, max(8, e.width-len(indent))) {
				fmt.Fprintln(e.out, indent+line)
			}
		}
	}
}

// wrap breaks text into lines of at most width characters: at spaces, and within
// words that are longer than a line.
func wrap(text string, width int) []string {
	lines := []string{}
	current := ""
	for _, word := range strings.Fields(text) {
		if current != "" && utf8.RuneCountInString(current)+1+utf8.RuneCountInString(word) > width {
			lines = append(lines, current)
			current = ""
		}
		if current != "" {
			current += " "
		}
		current += word
		for runes := []rune(current); len(runes) > width; runes = []rune(current) {
			lines = append(lines, string(runes[:width]))
			current = string(runes[width:])
		}
	}
	return append(lines, current)
}

// progressLine shows the progress of a wait. On a terminal it rewrites one line;
// otherwise it prints a line whenever the text changes.
type progressLine struct {
	w        io.Writer
	terminal bool
	text     string
}

func (e *env) newProgressLine() *progressLine {
	f, ok := e.err.(*os.File)
	if ok {
		_, err := unix.IoctlGetWinsize(int(f.Fd()), unix.TIOCGWINSZ)
		ok = err == nil
	}
	return &progressLine{w: e.err, terminal: ok}
}

func (p *progressLine) show(text string) {
	switch {
	case text == p.text:
	case p.terminal:
		fmt.Fprintf(p.w, "\r\x1b[K%s", text)
	default:
		fmt.Fprintln(p.w, text)
	}
	p.text = text
}

func (p *progressLine) end() {
	if p.terminal && p.text != "" {
		fmt.Fprintln(p.w)
	}
}

// longPollTimeout is how long the VM may delay the response to a request for a
// change's progress.
const longPollTimeout = 2 * time.Second

// waitInForce waits until a version is in force on all VMs.
func (e *env) waitInForce(ctx context.Context, version uint64) error {
	ctx, cancel := context.WithTimeout(ctx, e.waitLimit)
	defer cancel()
	line := e.newProgressLine()
	defer line.end()
	path := fmt.Sprintf("/v1/changes/%d/progress?wait_ms=%d", version, longPollTimeout.Milliseconds())
	for {
		var p admin.Progress
		_, err := e.client.Get(ctx, path, &p)
		switch {
		case err == nil && p.Total > 0 && len(p.Lagging) == 0:
			line.show(p.Text)
			if e.json {
				return e.printJSON(p)
			}
			return nil
		case err == nil:
			line.show(p.Text)
		default:
			line.show(firstLine(err))
		}
		if !sleep(ctx, longPollTimeout/4) {
			return errors.Wrapf(errWait, "version %d is accepted, but not known to be in force on all VMs after %s (%s); see: currantferry changes progress %d",
				version, e.waitLimit, line.text, version)
		}
	}
}

// waitDrained waits until a drain has finished or ended.
func (e *env) waitDrained(ctx context.Context, id string) error {
	ctx, cancel := context.WithTimeout(ctx, e.waitLimit)
	defer cancel()
	line := e.newProgressLine()
	defer line.end()
	for {
		var d admin.Drains
		_, err := e.client.Get(ctx, "/v1/drains", &d)
		text, done := describeDrain(d, id)
		if err != nil {
			text, done = firstLine(err), false
		}
		line.show(text)
		if done {
			return nil
		}
		if !sleep(ctx, longPollTimeout/4) {
			return errors.Wrapf(errWait, "drain %s has not finished after %s (%s); see the report for what it waits for", id, e.waitLimit, text)
		}
	}
}

// describeDrain returns a text with the state of a drain, and whether it has
// finished or ended.
func describeDrain(d admin.Drains, id string) (text string, done bool) {
	for _, row := range d.Drains {
		switch {
		case row.ID != id:
		case row.State == "planned":
			return "drain " + id + " starts at " + row.Start.UTC().Format(time.RFC3339), false
		case row.State == "ended":
			return "drain " + id + " has ended", true
		case row.State == "finished":
			return "drain " + id + " finished: nothing in flight", true
		case len(row.Unknown) > 0:
			return fmt.Sprintf("drain %s: %d in flight, unknown on %s", id, row.InFlight, strings.Join(row.Unknown[:min(3, len(row.Unknown))], ", ")), false
		case row.Stuck:
			return fmt.Sprintf("drain %s is stuck with %d in flight", id, row.InFlight), false
		default:
			return fmt.Sprintf("drain %s: %d in flight", id, row.InFlight), false
		}
	}
	return "drain " + id + " is not in force yet", false
}

func firstLine(err error) string {
	text, _, _ := strings.Cut(err.Error(), "\n")
	return text
}

// sleep waits for d, and reports false if ctx ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

package report

import (
	"bytes"
	_ "embed" // For the page's template.
	"fmt"
	"html/template"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// Size of a curve in its own units; the page scales it to the screen.
const (
	lineWidth  = 320
	lineHeight = 48
)

// HTML renders the report as one page without scripts, images or links to other
// resources.
func HTML(r *Report) ([]byte, error) {
	var b bytes.Buffer
	if err := page.Execute(&b, r); err != nil {
		return nil, errors.Wrap(err, "report: page")
	}
	return b.Bytes(), nil
}

// Lists are the titled lists of the page.
func (r *Report) Lists() []list { return r.lists() } //nolint:revive // The template needs a method, and callers need no type.

// Last returns the newest value in words.
func (l Line) Last() string {
	if len(l.Points) == 0 {
		return "no data"
	}
	return number(l.Points[len(l.Points)-1]) + " " + l.Unit
}

// Most returns the greatest value in words.
func (l Line) Most() string { return number(l.most()) + " " + l.Unit }

// Least returns the smallest value in words.
func (l Line) Least() string {
	if len(l.Points) == 0 {
		return "no data"
	}
	return number(slices.Min(l.Points)) + " " + l.Unit
}

// Span returns how much time the points cover.
func (l Line) Span() string { return (time.Duration(len(l.Points)) * l.Every).String() }

func (l Line) most() float64 {
	top := 0.0
	for _, v := range l.Points {
		top = max(top, v)
	}
	return top
}

// Polyline returns the points of the curve in SVG units.
func (l Line) Polyline() string {
	top := max(l.most(), 1e-9)
	var b strings.Builder
	for i, v := range l.Points {
		x := 0.0
		if len(l.Points) > 1 {
			x = lineWidth * float64(i) / float64(len(l.Points)-1)
		}
		y := 1 + (lineHeight-2)*(1-max(0, v)/top)
		fmt.Fprintf(&b, "%.1f,%.1f ", x, y)
	}
	return strings.TrimSpace(b.String())
}

func number(v float64) string {
	if v >= 100 || v == float64(int64(v)) {
		return fmt.Sprintf("%.0f", v)
	}
	return fmt.Sprintf("%.1f", v)
}

func clock(t time.Time) string { return t.UTC().Format("15:04:05 UTC") }

func sum(m map[string]int64) int64 {
	var n int64
	for _, v := range m {
		n += v
	}
	return n
}

//go:embed page.html
var pageSource string

var page = template.Must(template.New("report").Funcs(template.FuncMap{"clock": clock, "sum": sum}).Parse(pageSource))

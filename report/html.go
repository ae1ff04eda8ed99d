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

// Size of a curve in SVG units, as in the viewBox of page.html. The page scales it
// to the screen.
const (
	curveWidth  = 320
	curveHeight = 48
)

// HTML renders the report as one page that has no scripts and loads no images or
// other resources.
func HTML(r *Report) ([]byte, error) {
	var b bytes.Buffer
	if err := pageTemplate.Execute(&b, r); err != nil {
		return nil, errors.Wrap(err, "report: page")
	}
	return b.Bytes(), nil
}

// Lists returns the lists of the section "Trouble" of the page.
func (r *Report) Lists() []titledList { return r.troubleLists() } //nolint:revive // The template needs a method, and callers need no type.

// Last returns the newest value with its unit, or "no data".
func (s Series) Last() string {
	if len(s.Points) == 0 {
		return "no data"
	}
	return formatNumber(s.Points[len(s.Points)-1]) + " " + s.Unit
}

// Max returns the greatest value with its unit, at least zero.
func (s Series) Max() string { return formatNumber(s.maxPoint()) + " " + s.Unit }

// Min returns the smallest value with its unit, or "no data".
func (s Series) Min() string {
	if len(s.Points) == 0 {
		return "no data"
	}
	return formatNumber(slices.Min(s.Points)) + " " + s.Unit
}

// Span returns the time that the points cover.
func (s Series) Span() string { return (time.Duration(len(s.Points)) * s.Interval).String() }

// maxPoint returns the greatest value, at least zero.
func (s Series) maxPoint() float64 {
	maxValue := 0.0
	for _, v := range s.Points {
		maxValue = max(maxValue, v)
	}
	return maxValue
}

// Polyline returns the points of the curve as SVG coordinates. The vertical axis
// starts at zero.
func (s Series) Polyline() string {
	maxValue := max(s.maxPoint(), 1e-9)
	var b strings.Builder
	for i, v := range s.Points {
		x := 0.0
		if len(s.Points) > 1 {
			x = curveWidth * float64(i) / float64(len(s.Points)-1)
		}
		y := 1 + (curveHeight-2)*(1-max(0, v)/maxValue)
		fmt.Fprintf(&b, "%.1f,%.1f ", x, y)
	}
	return strings.TrimSpace(b.String())
}

// formatNumber formats v without decimals if it is whole or at least 100, and with
// one decimal otherwise.
func formatNumber(v float64) string {
	if v >= 100 || v == float64(int64(v)) {
		return fmt.Sprintf("%.0f", v)
	}
	return fmt.Sprintf("%.1f", v)
}

func formatTime(t time.Time) string { return t.UTC().Format("15:04:05 UTC") }

func sum(m map[string]int64) int64 {
	var n int64
	for _, v := range m {
		n += v
	}
	return n
}

//go:embed page.html
var pageSource string

var pageTemplate = template.Must(template.New("report").Funcs(template.FuncMap{"clock": formatTime, "sum": sum}).Parse(pageSource))

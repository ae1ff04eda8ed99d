package loadgen

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/currantferry/currantferry/internal/httpanswer"
	"github.com/currantferry/currantferry/standin"
)

// Result is the result of a run.
type Result struct {
	Workload string  `json:"workload"`
	Seed     uint64  `json:"seed"`
	Rate     float64 `json:"rate"`
	// Seconds from the first intended send to the last answer.
	Seconds float64 `json:"seconds"`
	Classes []Class `json:"classes"`
	// Refused counts final refusals. The keys have the form "REASON (VERDICT)".
	Refused map[string]int64 `json:"refused"`
	// Failed counts requests that no VM answered. The keys have the form "CLASS: CAUSE".
	Failed map[string]int64 `json:"failed"`
	// Sends counts the sends, including resends, of all requests that got an answer or a
	// refusal.
	Sends int64 `json:"sends"`
	// Wrong counts answers that do not match their request. Truncated counts those of them
	// that were too short although their end looked complete.
	Wrong     int64 `json:"wrong"`
	Truncated int64 `json:"truncated"`
	// RanTwice lists the requests that ran twice although they must not. FalseNotRun lists
	// those that were refused as "not run" although they ran.
	RanTwice    []string `json:"doubled"`
	FalseNotRun []string `json:"false_not_run"`
	// Compared is the number of control pages on which the two lists are based.
	// MissingPages lists the pages that did not answer.
	Compared     int      `json:"compared"`
	MissingPages []string `json:"missing"`
	// Samples describes the first failed requests and wrong answers.
	Samples []string `json:"samples"`
}

// Class is the result of one class of requests. Latencies are measured from the intended
// send time to the complete answer.
type Class struct {
	Name     string  `json:"name"`
	Sent     int64   `json:"sent"`
	Answered int64   `json:"answered"`
	P50      float64 `json:"p50_ms"`
	P90      float64 `json:"p90_ms"`
	P99      float64 `json:"p99_ms"`
	P999     float64 `json:"p999_ms"`
	Max      float64 `json:"max_ms"`
	// Slow counts answers that took a second or longer.
	Slow int64 `json:"slow"`
}

const controlTimeout = 10 * time.Second

// collectRuns returns, by request, the instances on which the requests of this run started,
// according to the control pages that answer.
func (r *run) collectRuns(ctx context.Context) (runsByKey map[string][]string, missing []string) {
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	client := &http.Client{Transport: httpanswer.NewTransport(&http.Transport{DialContext: r.dialer.DialContext})}
	defer client.CloseIdleConnections()
	runsByKey = make(map[string][]string)
	for _, address := range r.options.Control {
		page, err := readRuns(ctx, client, address, r.prefix)
		if err != nil {
			missing = append(missing, fmt.Sprintf("%s: %v", address, err))
			continue
		}
		for key, instances := range page {
			runsByKey[key] = append(runsByKey[key], instances...)
		}
	}
	return runsByKey, missing
}

// readRuns reads the runs of requests with the prefix from one control page.
func readRuns(ctx context.Context, c *http.Client, address, prefix string) (map[string][]string, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+standin.ControlKeys+"?prefix="+url.QueryEscape(prefix), nil)
	if err != nil {
		return nil, err
	}
	res, err := c.Do(req)
	if err != nil {
		return nil, err
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return nil, errors.Errorf("status %d", res.StatusCode)
	}
	var page map[string][]string
	return page, json.NewDecoder(res.Body).Decode(&page)
}

func (r *run) result(runs map[string][]string, missing []string, took time.Duration) *Result {
	t := &r.tally
	out := &Result{
		Workload: r.options.Workload, Seed: r.options.Seed, Rate: r.options.Rate, Seconds: took.Seconds(),
		Refused: make(map[string]int64), Failed: t.failed, Sends: t.sends, Wrong: t.wrong, Truncated: t.truncated,
		Compared: len(r.options.Control) - len(missing), MissingPages: missing, Samples: t.failureSamples,
	}
	for _, c := range r.classes {
		ct := t.classes[c.name]
		at := func(q float64) float64 { return float64(ct.latency.ValueAtQuantile(q)) / 1000 }
		out.Classes = append(out.Classes, Class{
			Name: c.name, Sent: ct.sent, Answered: ct.answered, P50: at(50), P90: at(90), P99: at(99), P999: at(99.9),
			Max: float64(ct.slowest.Microseconds()) / 1000, Slow: ct.slow,
		})
	}
	for f, n := range t.refused {
		out.Refused[fmt.Sprintf("%s (%s)", f.reason, f.verdict)] = n
	}
	for _, id := range t.nonIdempotent {
		if len(runs[id]) > 1 {
			out.RanTwice = append(out.RanTwice, fmt.Sprintf("%s on %s", id, strings.Join(runs[id], ", ")))
		}
	}
	for id, reason := range t.notRun {
		if len(runs[id]) > 0 {
			out.FalseNotRun = append(out.FalseNotRun, fmt.Sprintf("%s (%s) on %s", id, reason, strings.Join(runs[id], ", ")))
		}
	}
	slices.Sort(out.FalseNotRun)
	return out
}

// Violations describes the guarantees that were violated during the run.
func (r *Result) Violations() []string {
	var violations []string
	add := func(n int, violation string) {
		if n > 0 {
			violations = append(violations, fmt.Sprintf("%d %s", n, violation))
		}
	}
	add(int(r.Wrong), "answers were wrong or truncated")
	add(len(r.RanTwice), "requests ran twice")
	add(len(r.FalseNotRun), "requests were refused as not run and ran")
	return violations
}

// Text renders the result for a terminal.
func (r *Result) Text() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s, %g requests/s, seed %d, %.1f s\n\n", r.Workload, r.Rate, r.Seed, r.Seconds)
	fmt.Fprintf(&b, "%-8s %8s %9s %9s %9s %9s %9s %9s %6s\n", "class", "sent", "answered", "p50 ms", "p90 ms", "p99 ms", "p99.9 ms", "max ms", "> 1 s")
	for _, c := range r.Classes {
		fmt.Fprintf(&b, "%-8s %8d %9d %9.1f %9.1f %9.1f %9.1f %9.1f %6d\n", c.Name, c.Sent, c.Answered, c.P50, c.P90, c.P99, c.P999, c.Max, c.Slow)
	}
	counts := func(title string, m map[string]int64) {
		names := make([]string, 0, len(m))
		for name := range m {
			names = append(names, name)
		}
		slices.Sort(names)
		for _, name := range names {
			fmt.Fprintf(&b, "%s %-40s %8d\n", title, name, m[name])
		}
	}
	b.WriteString("\n")
	counts("refused", r.Refused)
	counts("failed ", r.Failed)
	fmt.Fprintf(&b, "sends %d, wrong %d, truncated %d\n", r.Sends, r.Wrong, r.Truncated)
	if r.Compared+len(r.MissingPages) > 0 {
		fmt.Fprintf(&b, "run twice %d, refused as not run and ran %d (from %d control pages, %d did not answer)\n",
			len(r.RanTwice), len(r.FalseNotRun), r.Compared, len(r.MissingPages))
	}
	for _, list := range [][]string{r.RanTwice, r.FalseNotRun, r.Samples, r.MissingPages} {
		for i, line := range list {
			if i == maxSamples {
				break
			}
			fmt.Fprintf(&b, "  %s\n", line)
		}
	}
	for _, line := range r.Violations() {
		fmt.Fprintf(&b, "BROKEN: %s\n", line)
	}
	return b.String()
}

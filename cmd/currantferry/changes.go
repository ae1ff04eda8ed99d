package main

import (
	"context"
	"flag"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/currantferry/currantferry/admin"
	"github.com/currantferry/currantferry/rules"
)

// singleArg returns the only argument, or a usage error that names what is
// needed.
func singleArg(args []string, what string) (string, error) {
	if len(args) != 1 || args[0] == "" {
		return "", errors.Wrap(errUsage, what+" is needed")
	}
	return args[0], nil
}

func drainCommand() *command {
	return newCommand("drain", "take instances, data centres, regions or entry VMs out of service",
		action{name: "add", synopsis: "add a drain, at once or planned", remote: true, change: true, setup: drainAdd},
		action{name: "cancel", args: "ID", synopsis: "cancel a drain; the target returns by ramp", remote: true, change: true, setup: drainCancel},
		action{name: "list", synopsis: "list the drains with their work in flight", remote: true, setup: drainList},
	)
}

func drainAdd(f *flag.FlagSet) runFunc {
	var d rules.Drain
	f.StringVar(&d.ID, "id", "", "ID of the drain (default KIND-TARGET)")
	kind := f.String("kind", "instance", "instance, data-centre, region or vm")
	f.StringVar(&d.Target, "target", "", "what to drain")
	start := f.String("start", "", "when new work stops, RFC 3339 (default at once)")
	end := f.String("end", "", "when the target returns, RFC 3339 (default when the drain is cancelled)")
	return func(ctx context.Context, e *env, _ []string) error {
		if d.Target == "" {
			return errors.Wrap(errUsage, "-target is needed")
		}
		d.Kind = rules.TargetKind(*kind)
		if d.ID == "" {
			d.ID = *kind + "-" + d.Target
		}
		for text, at := range map[*string]*time.Time{start: &d.Start, end: &d.End} {
			if *text == "" {
				continue
			}
			var err error
			if *at, err = time.Parse(time.RFC3339, *text); err != nil {
				return errors.Wrapf(errUsage, "%q is not a time such as 2026-03-01T14:00:00Z", *text)
			}
		}
		if err := e.send(ctx, http.MethodPost, "/v1/drains", d); err != nil || !e.wait {
			return err
		}
		return e.waitDrained(ctx, d.ID)
	}
}

func drainCancel(*flag.FlagSet) runFunc {
	return func(ctx context.Context, e *env, args []string) error {
		id, err := singleArg(args, "the ID of the drain")
		if err != nil {
			return err
		}
		return e.send(ctx, http.MethodDelete, "/v1/drains/"+url.PathEscape(id), nil)
	}
}

func drainList(*flag.FlagSet) runFunc {
	return func(ctx context.Context, e *env, _ []string) error {
		var d admin.Drains
		return e.get(ctx, "/v1/drains", &d, func() {
			rows := make([][]string, 0, len(d.Drains))
			for _, r := range d.Drains {
				inFlight := strconv.Itoa(r.InFlight)
				switch {
				case r.State == "planned" || r.State == "ended":
					inFlight = "-"
				case len(r.Unknown) > 0:
					inFlight = "at least " + inFlight
				case r.Stuck:
					inFlight += " stuck"
				}
				rows = append(rows, []string{r.ID, string(r.Kind), r.Target, r.State, inFlight, formatSpan(r.Start, r.End), r.Reason})
			}
			e.printTable([]string{"DRAIN", "KIND", "TARGET", "STATE", "IN FLIGHT", "WHEN", "REASON"}, rows)
		})
	}
}

// formatSpan formats the time span of a drain.
func formatSpan(start, end time.Time) string {
	text := "at once"
	if !start.IsZero() {
		text = "from " + start.UTC().Format("01-02 15:04")
	}
	if !end.IsZero() {
		text += " to " + end.UTC().Format("01-02 15:04")
	}
	return text
}

func capCommand() *command {
	return newCommand("cap", "bound how much traffic a plan shifts between regions",
		action{name: "set", args: "SERVICE", synopsis: "set the cap of a service, or of * for all without one", remote: true, change: true, setup: capSet},
		action{name: "list", synopsis: "list the caps in force", remote: true, setup: capList},
	)
}

func capSet(f *flag.FlagSet) runFunc {
	var c rules.Cap
	f.Float64Var(&c.StepPercent, "step", 0, "most that one plan moves, in % of the service's traffic; 0 means 5")
	f.Float64Var(&c.MinutePercent, "minute", 0, "most that is moved within 60 s, in %; 0 means 10")
	f.Float64Var(&c.FailoverPercent, "failover", 0, "most that other regions take over when a region is lost, in %; 0 means 34")
	return func(ctx context.Context, e *env, args []string) error {
		service, err := singleArg(args, "the service, or *,")
		if err != nil {
			return err
		}
		c.Service = service
		return e.send(ctx, http.MethodPut, "/v1/caps/"+url.PathEscape(service), c)
	}
}

func capList(*flag.FlagSet) runFunc {
	return func(ctx context.Context, e *env, _ []string) error {
		var body struct {
			Version  uint64             `json:"version"`
			Services []admin.ServiceRow `json:"services"`
		}
		return e.get(ctx, "/v1/services", &body, func() {
			rows := make([][]string, 0, len(body.Services))
			percent := func(v float64) string { return strconv.FormatFloat(v, 'g', -1, 64) + " %" }
			for _, s := range body.Services {
				rows = append(rows, []string{s.Name, percent(s.Cap.StepPercent), percent(s.Cap.MinutePercent), percent(s.Cap.FailoverPercent), s.Team})
			}
			e.printTable([]string{"SERVICE", "STEP", "MINUTE", "FAILOVER", "TEAM"}, rows)
		})
	}
}

func changesCommand() *command {
	return newCommand("changes", "history of the configuration",
		action{name: "list", isDefault: true, synopsis: "who changed what, when and why; the latest first", remote: true, setup: changesList},
		action{name: "diff", args: "VERSION", synopsis: "differences of a version from the one before, or from -from", remote: true, setup: changesDiff},
		action{name: "progress", args: "VERSION", synopsis: "on how many VMs a version is in force", remote: true, setup: changesProgress},
		action{name: "rollforward", args: "VERSION", synopsis: "make the content of an earlier version the next version", remote: true, change: true, setup: changesRollForward},
	)
}

func changesList(f *flag.FlagSet) runFunc {
	limit := f.Int("n", 20, "most changes to list")
	return func(ctx context.Context, e *env, _ []string) error {
		var c admin.Changes
		return e.get(ctx, fmt.Sprintf("/v1/changes?limit=%d", *limit), &c, func() {
			rows := make([][]string, 0, len(c.Changes))
			for _, r := range c.Changes {
				what := r.Why
				for _, w := range r.What {
					what += "; " + w
				}
				rows = append(rows, []string{strconv.FormatUint(r.Version, 10), r.At.UTC().Format("01-02 15:04:05"), r.By, what})
			}
			e.printTable([]string{"VERSION", "AT (UTC)", "BY", "WHY AND WHAT"}, rows)
		})
	}
}

// versionArg returns the only argument, which must be a version number.
func versionArg(args []string) (string, error) {
	text, err := singleArg(args, "a version")
	if err != nil {
		return "", err
	}
	if _, err := strconv.ParseUint(text, 10, 64); err != nil {
		return "", errors.Wrapf(errUsage, "%q is not a version, see: currantferry changes list", text)
	}
	return text, nil
}

func changesDiff(f *flag.FlagSet) runFunc {
	from := f.Uint64("from", 0, "other version (default the one before)")
	return func(ctx context.Context, e *env, args []string) error {
		version, err := versionArg(args)
		if err != nil {
			return err
		}
		path := "/v1/changes/" + version + "/diff"
		if *from > 0 {
			path += "?from=" + strconv.FormatUint(*from, 10)
		}
		var d admin.DiffBody
		return e.get(ctx, path, &d, func() {
			fmt.Fprintf(e.out, "version %d to %d: %d differences\n", d.From, d.To, d.Total)
			for _, x := range d.Diff {
				e.printParagraph(x.String())
			}
		})
	}
}

func changesProgress(*flag.FlagSet) runFunc {
	return func(ctx context.Context, e *env, args []string) error {
		version, err := versionArg(args)
		if err != nil {
			return err
		}
		var p admin.Progress
		return e.get(ctx, "/v1/changes/"+version+"/progress", &p, func() {
			fmt.Fprintf(e.out, "version %d: ", p.Version)
			e.printParagraph(p.Text)
		})
	}
}

func changesRollForward(*flag.FlagSet) runFunc {
	return func(ctx context.Context, e *env, args []string) error {
		version, err := versionArg(args)
		if err != nil {
			return err
		}
		return e.send(ctx, http.MethodPost, "/v1/changes/"+version+"/rollforward", nil)
	}
}

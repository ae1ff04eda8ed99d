package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"strings"
	"syscall"

	"github.com/google/subcommands"

	"github.com/currantferry/currantferry/loadgen"
)

// loadCommand sends a workload to entry VMs and checks every answer.
type loadCommand struct {
	options        loadgen.Options
	entry, control string
	json           bool
}

func (*loadCommand) Name() string     { return "load" }
func (*loadCommand) Synopsis() string { return "drive entry VMs with a deployment's workload" }

func (*loadCommand) Usage() string {
	return "load -entry IP:PORT[,...] [-workload rolregister|abtropf] [-rate N] [-duration D] [-seed N]\n" +
		"     [-control IP:PORT[,...]] [-timeout D] [-work-scale F] [-remote] [-json]\n" +
		"  Exit status 1 if an answer was wrong, doubled or truncated, or if a request was refused as not run and ran.\n"
}

func (c *loadCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.options.Workload, "workload", "rolregister", "deployment: "+strings.Join(loadgen.Workloads(), " or "))
	f.StringVar(&c.entry, "entry", "", "caller addresses of entry VMs")
	f.StringVar(&c.control, "control", "", "control pages of stand-in upstreams, empty to compare no runs")
	f.Float64Var(&c.options.Rate, "rate", 100, "requests/s, sent at their times whatever becomes of others")
	f.DurationVar(&c.options.Duration, "duration", loadgen.DefaultDuration, "how long to send")
	f.DurationVar(&c.options.Timeout, "timeout", loadgen.DefaultTimeout, "deadline of a request over all sends")
	f.Float64Var(&c.options.WorkScale, "work-scale", 1, "factor on service times, for fleets with few slots")
	f.Uint64Var(&c.options.Seed, "seed", 1, "seed of arrivals, classes, sizes and service times")
	f.BoolVar(&c.options.Remote, "remote", false, "allow addresses beyond loopback")
	f.BoolVar(&c.json, "json", false, "print the result as JSON")
}

func (c *loadCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	c.options.Entry, c.options.Control = splitList(c.entry), splitList(c.control)
	result, err := loadgen.Run(ctx, c.options)
	if err != nil {
		fmt.Fprintln(os.Stderr, "load:", err)
		return subcommands.ExitUsageError
	}
	if c.json {
		printJSON(result)
	} else {
		fmt.Print(result.Text())
	}
	if len(result.Violations()) > 0 {
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

func splitList(text string) []string {
	return strings.FieldsFunc(text, func(r rune) bool { return r == ',' || r == ' ' })
}

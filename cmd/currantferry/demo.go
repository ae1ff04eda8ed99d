package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"log/slog"
	"os"
	"time"

	"github.com/google/subcommands"

	"github.com/currantferry/currantferry/demo"
)

// demoCommand runs the whole system in this process.
type demoCommand struct {
	options demo.Options
	json    bool
	verbose bool
}

func (*demoCommand) Name() string     { return "demo" }
func (*demoCommand) Synopsis() string { return "run the whole system in one process, with failures" }

func (*demoCommand) Usage() string {
	return "demo [-seed N] [-duration D] [-json] [-v]\n  Exit status 0 if every promise held, 1 if one was broken.\n"
}

func (c *demoCommand) SetFlags(f *flag.FlagSet) {
	f.Uint64Var(&c.options.Seed, "seed", 1, "seed of the traffic")
	f.DurationVar(&c.options.Duration, "duration", 15*time.Second, "how long to send traffic, at least 8s")
	f.BoolVar(&c.json, "json", false, "print the report as JSON")
	f.BoolVar(&c.verbose, "v", false, "log the events of all VMs to standard error")
}

func (c *demoCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if c.verbose {
		c.options.Log = slog.New(slog.NewTextHandler(os.Stderr, nil))
	}
	result, err := demo.Run(ctx, c.options)
	if err != nil {
		fmt.Fprintln(os.Stderr, "demo:", err)
		return subcommands.ExitFailure
	}
	if c.json {
		encoder := json.NewEncoder(os.Stdout)
		encoder.SetIndent("", "  ")
		_ = encoder.Encode(result)
	} else {
		fmt.Print(result.Report.Text())
	}
	if len(result.Broken) > 0 {
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

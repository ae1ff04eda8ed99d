package main

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"flag"
	"fmt"
	"log/slog"
	"maps"
	"os"
	"os/signal"
	"slices"
	"syscall"
	"time"

	"github.com/google/subcommands"

	"github.com/currantferry/currantferry/demo"
)

// demoCommand runs a fleet of entry VMs with stand-ins in this process.
type demoCommand struct {
	options demo.Options
	json    bool
	verbose bool
	hold    bool
}

func (*demoCommand) Name() string     { return "demo" }
func (*demoCommand) Synopsis() string { return "run the whole system in one process, with failures" }

func (*demoCommand) Usage() string {
	return "demo [-seed N] [-duration D] [-hold] [-json] [-v]\n  Exit status 0 if every promise held, 1 if one was broken.\n"
}

func (c *demoCommand) SetFlags(f *flag.FlagSet) {
	f.Uint64Var(&c.options.Seed, "seed", 1, "seed of the traffic")
	f.DurationVar(&c.options.Duration, "duration", 15*time.Second, "how long to send traffic, at least 8s")
	f.BoolVar(&c.json, "json", false, "print the report as JSON")
	f.BoolVar(&c.hold, "hold", false, "keep the fleet up after the run until Ctrl-C, and print its addresses")
	f.BoolVar(&c.verbose, "v", false, "log the events of all VMs to standard error")
}

func (c *demoCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if c.verbose {
		c.options.Log = slog.New(slog.NewTextHandler(os.Stderr, nil))
	}
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if c.hold {
		c.options.Hold = func(f *demo.Fleet, r *demo.Result) {
			c.print(r)
			token := rand.Text()
			if err := f.SetToken(ctx, token); err != nil {
				fmt.Fprintln(os.Stderr, "demo: no token set:", err)
				token = ""
			}
			c.printAddresses(f.Addresses(), token)
			<-ctx.Done()
		}
	}
	result, err := demo.Run(ctx, c.options)
	if err != nil {
		fmt.Fprintln(os.Stderr, "demo:", err)
		return subcommands.ExitFailure
	}
	if !c.hold {
		c.print(result)
	}
	if len(result.Violations) > 0 {
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

func (c *demoCommand) print(result *demo.Result) {
	if c.json {
		printJSON(result)
	} else {
		fmt.Print(result.Report.Text())
	}
}

func (c *demoCommand) printAddresses(a demo.Addresses, token string) {
	a.Token = token
	if c.json {
		printJSON(a)
		return
	}
	fmt.Println("\nThe fleet stays up. Ctrl-C ends it.")
	for _, id := range slices.Sorted(maps.Keys(a.VMs)) {
		vm := a.VMs[id]
		fmt.Printf("%s caller=%s dns=%s admin=%s\n", id, vm.Caller, vm.DNS, vm.Admin)
	}
	fmt.Printf("stand-ins control=%s store=%s\n", a.Control, a.Store)
	if token != "" {
		fmt.Printf("changes need this token: export CURRANTFERRY_TOKEN=%s\n", token)
	}
}

func printJSON(v any) {
	encoder := json.NewEncoder(os.Stdout)
	encoder.SetIndent("", "  ")
	_ = encoder.Encode(v)
}

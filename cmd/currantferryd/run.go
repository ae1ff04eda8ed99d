package main

import (
	"context"
	"flag"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"github.com/google/subcommands"

	"github.com/currantferry/currantferry/event"
	"github.com/currantferry/currantferry/node"
	"github.com/currantferry/currantferry/settings"
	"github.com/currantferry/currantferry/store/kvhttp"
)

// checkCommand validates a settings file.
type checkCommand struct{ config string }

func (*checkCommand) Name() string     { return "check" }
func (*checkCommand) Synopsis() string { return "validate a settings file without starting" }
func (*checkCommand) Usage() string {
	return "check -config FILE\n  Exit status 0 if the file is valid, 1 if not.\n"
}

func (c *checkCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.config, "config", "", "settings file (INI)")
}

func (c *checkCommand) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	if c.config == "" {
		fmt.Fprintln(os.Stderr, "check: -config FILE is needed")
		return subcommands.ExitUsageError
	}
	if _, err := settings.Load(c.config); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitFailure
	}
	fmt.Printf("%s: valid\n", c.config)
	return subcommands.ExitSuccess
}

// runCommand runs an entry VM that uses a store over HTTP.
type runCommand struct{ config string }

func (*runCommand) Name() string     { return "run" }
func (*runCommand) Synopsis() string { return "run the entry VM until SIGTERM or SIGINT" }
func (*runCommand) Usage() string {
	return "run -config FILE\n  SIGTERM or SIGINT stop gracefully, within [node] stop_timeout.\n"
}

func (c *runCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.config, "config", "", "settings file (INI)")
}

func (c *runCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if c.config == "" {
		fmt.Fprintln(os.Stderr, "run: -config FILE is needed")
		return subcommands.ExitUsageError
	}
	s, err := settings.Load(c.config)
	if err != nil {
		event.SettingsInvalid.Log(slog.Default(), "file", c.config)
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitFailure
	}
	if err := run(ctx, s); err != nil {
		fmt.Fprintln(os.Stderr, "currantferryd:", err)
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

func run(ctx context.Context, s *settings.Settings) error {
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	addresses := make([]string, len(s.Store.Addresses))
	for i, a := range s.Store.Addresses {
		addresses[i] = a.String()
	}
	client, err := kvhttp.New(kvhttp.Options{Addresses: addresses, Timeout: s.Store.Timeout})
	if err != nil {
		return err
	}
	defer client.Close()
	n, err := node.Start(node.Options{Settings: s, Store: client, Lister: client, Log: newLogger(s.Log)})
	if err != nil {
		return err
	}
	fmt.Printf("caller=%s peer=%s admin=%s dns=%s\n", n.CallerAddress(), n.PeerAddress(), n.AdminAddress(), n.DNSAddress())
	<-ctx.Done()
	// From here on, a second signal terminates the process at once.
	stop()
	stopCtx, cancel := context.WithTimeout(context.Background(), s.Node.StopTimeout)
	defer cancel()
	if unfinished := n.Stop(stopCtx); unfinished > 0 {
		return fmt.Errorf("stop: %d requests were cut off after %s", unfinished, s.Node.StopTimeout)
	}
	return nil
}

func newLogger(l settings.Log) *slog.Logger {
	var level slog.Level
	// settings.Load accepts only level names that slog knows.
	_ = level.UnmarshalText([]byte(l.Level))
	options := &slog.HandlerOptions{Level: level}
	if l.Format == "json" {
		return slog.New(slog.NewJSONHandler(os.Stderr, options))
	}
	return slog.New(slog.NewTextHandler(os.Stderr, options))
}

package main

import (
	"context"
	"flag"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/google/subcommands"

	"github.com/currantferry/currantferry/entry"
	"github.com/currantferry/currantferry/event"
	"github.com/currantferry/currantferry/platform"
)

// entryCommand runs an entry VM on the users' platform.
type entryCommand struct {
	config string
	check  bool
}

func (*entryCommand) Name() string     { return "entry" }
func (*entryCommand) Synopsis() string { return "run an entry VM on the users' platform until SIGTERM" }

func (*entryCommand) Usage() string {
	return `entry [-config FILE] [-check]
  Without -config, the file is the one that the platform names. SIGTERM stops
  gracefully, SIGHUP reads the settings again. -check only validates the file.
`
}

func (c *entryCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.config, "config", "", "settings file (INI)")
	f.BoolVar(&c.check, "check", false, "validate the settings and exit")
}

func (c *entryCommand) Execute(_ context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	path := c.config
	if path == "" {
		path = platform.SettingsFile(os.Getenv)
	}
	if path == "" {
		fmt.Fprintln(os.Stderr, "entry: -config FILE is needed")
		return subcommands.ExitUsageError
	}
	logWriter := event.NewBounded(os.Stdout, event.BoundedOptions{})
	defer logWriter.Flush(flushTimeout)
	log := slog.New(slog.NewJSONHandler(logWriter, &slog.HandlerOptions{Level: slog.LevelDebug}))
	s, err := entry.LoadSettings(path)
	if err != nil {
		event.SettingsInvalid.Log(log, "file", path, "error", err)
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitFailure
	}
	if c.check {
		fmt.Printf("%s: valid\n", path)
		return subcommands.ExitSuccess
	}
	if err := runEntry(path, s, log); err != nil {
		fmt.Fprintln(os.Stderr, "currantferryd:", err)
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

const (
	// heapFraction is the fraction of a VM's memory above which the garbage
	// collector runs more often. The rest is for stacks, kernel buffers and bursts.
	heapFraction = 0.6
	// settingsPollInterval is how often the settings file is checked for changes.
	settingsPollInterval = time.Second
	// flushTimeout bounds the wait for the last log lines before exit.
	flushTimeout = 100 * time.Millisecond
	mebibyte     = 1 << 20
	// gcPercent is the garbage, in percent of the live heap, that triggers a
	// collection. It is below Go's default of 100, because an entry VM uses only a
	// tenth of its processor, while its size depends on its peak memory use.
	gcPercent = 50
)

func runEntry(path string, s *entry.Settings, log *slog.Logger) error {
	if s.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(heapFraction * s.MemoryMB * mebibyte))
	}
	debug.SetGCPercent(gcPercent)
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	client := platform.NewStore(s.Store.String())
	n, err := entry.Start(entry.Options{Settings: s, Log: log, Platform: entry.Platform{
		Source: client, Registry: client, Decode: platform.Decode, Protocol: platform.Protocol{}, Health: client,
		ServeReady: platform.ServeReady, ServeLookup: platform.ServeLookup,
	}})
	if err != nil {
		return err
	}
	reader := entry.NewSettingsReader(path, log)
	settingsTicker := time.NewTicker(settingsPollInterval)
	defer settingsTicker.Stop()
	for {
		select {
		case <-settingsTicker.C:
			reader.Poll(n)
		case sig := <-signals:
			if sig == syscall.SIGHUP {
				reader.Read(n)
				continue
			}
			if unfinished := n.Stop(); unfinished > 0 {
				return fmt.Errorf("stop: %d requests were cut off after %s", unfinished, s.StopGrace)
			}
			return nil
		}
	}
}

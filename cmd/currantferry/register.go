package main

import (
	"context"
	"crypto/rand"
	"flag"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/google/subcommands"
	"github.com/pkg/errors"

	"github.com/currantferry/currantferry/config"
	"github.com/currantferry/currantferry/configstore"
	"github.com/currantferry/currantferry/register"
	"github.com/currantferry/currantferry/rules"
	"github.com/currantferry/currantferry/store"
	"github.com/currantferry/currantferry/store/kvhttp"
)

// registerCommand imports an asset register.
type registerCommand struct {
	store    string
	file     string
	by, why  string
	changeID string
	timeout  time.Duration
}

func (*registerCommand) Name() string     { return "register" }
func (*registerCommand) Synopsis() string { return "import or check an asset register" }
func (*registerCommand) Usage() string {
	return "register check  -file FILE\n" +
		"register import -file FILE -store IP:PORT[,IP:PORT] -by NAME -why TEXT [-change-id ID]\n" +
		"  The rules in force are kept. A repeated import with the same change ID has no further effect.\n"
}

func (c *registerCommand) SetFlags(*flag.FlagSet) {}

func (c *registerCommand) flags(action string) *flag.FlagSet {
	f := flag.NewFlagSet("register "+action, flag.ContinueOnError)
	f.StringVar(&c.store, "store", "", "addresses of the platform's store")
	f.StringVar(&c.file, "file", "", "asset register (JSON)")
	f.StringVar(&c.by, "by", os.Getenv("USER"), "who makes the change")
	f.StringVar(&c.why, "why", "", "reason of the change")
	f.StringVar(&c.changeID, "change-id", rand.Text(), "identifies the change when it is repeated")
	f.DurationVar(&c.timeout, "timeout", 10*time.Second, "bound on the import")
	return f
}

func (c *registerCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	action := f.Arg(0)
	if action != "import" && action != "check" {
		fmt.Fprint(os.Stderr, c.Usage())
		return subcommands.ExitUsageError
	}
	if err := c.flags(action).Parse(f.Args()[1:]); err != nil {
		return subcommands.ExitUsageError
	}
	data, err := os.ReadFile(c.file)
	if err != nil {
		fmt.Fprintln(os.Stderr, "register:", err)
		return subcommands.ExitFailure
	}
	parsed, err := register.Parse(data)
	if err != nil {
		fmt.Fprintf(os.Stderr, "%s is not a valid register:\n%v\n", c.file, err)
		return subcommands.ExitFailure
	}
	if action == "check" {
		fmt.Printf("%s: valid, %d services\n", c.file, len(parsed.Services))
		return subcommands.ExitSuccess
	}
	version, err := c.publish(ctx, parsed)
	if err != nil {
		fmt.Fprintln(os.Stderr, "register import:", err)
		return subcommands.ExitFailure
	}
	fmt.Printf("accepted as version %d\n", version)
	return subcommands.ExitSuccess
}

// publish writes the register as the next version, with the rules in force.
func (c *registerCommand) publish(ctx context.Context, r *register.Register) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	client, err := kvhttp.New(kvhttp.Options{Addresses: strings.Split(c.store, ",")})
	if err != nil {
		return 0, err
	}
	defer client.Close()
	return publishRegister(ctx, client, r, config.Meta{ChangeID: c.changeID, By: c.by, At: time.Now(), Why: c.why})
}

func publishRegister(ctx context.Context, s store.Store, r *register.Register, m config.Meta) (uint64, error) {
	publisher := configstore.New(s, configstore.Options{})
	content := config.Content{Register: r, Rules: new(rules.Rules)}
	var base uint64
	current, err := publisher.Load(ctx)
	if err != nil && !errors.Is(err, configstore.ErrNoVersion) {
		return 0, err
	}
	if err == nil {
		base = current.Head.Version
		content.Rules = current.Rules
	}
	result, err := publisher.Publish(ctx, base, content, m)
	return result.Version, err
}

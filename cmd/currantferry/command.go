package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/google/subcommands"
	"github.com/pkg/errors"

	"github.com/currantferry/currantferry/admin"
	"github.com/currantferry/currantferry/adminclient"
)

// Exit codes, which docs/OPERATIONS.md describes.
const (
	exitFailure     = subcommands.ExitFailure    // 1
	exitUsage       = subcommands.ExitUsageError // 2
	exitDenied      = 3
	exitConflict    = 4
	exitUnavailable = 5
	exitWait        = 6
	exitConfirm     = 7
	exitNotFound    = 8
)

// Errors that determine the exit code.
var (
	errUsage = errors.New("usage")
	errWait  = errors.New("wait limit reached")
)

// action is a second-level subcommand, such as "add" of "drain".
type action struct {
	// name is empty for commands with a single action.
	name     string
	args     string
	synopsis string
	// remote adds the flags of the administration API, change those of a change.
	// remoteOptional means that the action also works without a VM.
	remote, change, remoteOptional bool
	// isDefault is set on a command's first action if it runs when the command
	// line names none.
	isDefault bool
	setup     func(f *flag.FlagSet) runFunc
}

// command is a subcommand with actions.
type command struct {
	name, synopsis string
	actions        []action
	// out and err are standard output and standard error, except in tests.
	out, err io.Writer

	// defaultEnv and defaultRun belong to the default action.
	defaultEnv *env
	defaultRun runFunc
}

// runFunc runs an action with its arguments.
type runFunc func(ctx context.Context, e *env, args []string) error

func newCommand(name, synopsis string, actions ...action) *command {
	return &command{name: name, synopsis: synopsis, actions: actions, out: os.Stdout, err: os.Stderr}
}

var _ subcommands.Command = (*command)(nil)

// Name implements subcommands.Command.
func (c *command) Name() string { return c.name }

// Synopsis implements subcommands.Command.
func (c *command) Synopsis() string { return c.synopsis }

// Usage implements subcommands.Command.
func (c *command) Usage() string {
	var b strings.Builder
	for _, a := range c.actions {
		fmt.Fprintf(&b, "%s\n  %s\n", strings.Join(strings.Fields(c.name+" "+a.name+" [flags] "+a.args), " "), a.synopsis)
	}
	b.WriteString("  Flags of an action: currantferry " + c.name + " ACTION -help\n")
	return b.String()
}

// SetFlags implements subcommands.Command. It adds the flags of the default
// action only; Execute parses those of the named ones.
func (c *command) SetFlags(f *flag.FlagSet) {
	if a := c.defaultAction(); a != nil {
		c.defaultEnv = c.env()
		c.defaultRun = c.defaultEnv.addFlags(a, f)
	}
}

// defaultAction returns the action that runs when the command line names none, or
// nil.
func (c *command) defaultAction() *action {
	if a := &c.actions[0]; a.name == "" || a.isDefault {
		return a
	}
	return nil
}

// Execute implements subcommands.Command.
func (c *command) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if a := c.defaultAction(); a != nil && (a.name == "" || f.NArg() == 0) {
		return c.report(c.defaultEnv.run(ctx, a, c.defaultRun, f.Args()))
	}
	for i := range c.actions {
		a := &c.actions[i]
		if a.name != f.Arg(0) {
			continue
		}
		e := c.env()
		flags := flag.NewFlagSet(c.name+" "+a.name, flag.ContinueOnError)
		flags.SetOutput(c.err)
		run := e.addFlags(a, flags)
		args, err := parseMixed(flags, f.Args()[1:])
		if errors.Is(err, flag.ErrHelp) {
			return subcommands.ExitSuccess
		}
		if err != nil {
			return exitUsage
		}
		return c.report(e.run(ctx, a, run, args))
	}
	fmt.Fprint(c.err, c.Usage())
	return exitUsage
}

// parseMixed lets flags follow arguments, as in "drain cancel ID -why TEXT".
func parseMixed(f *flag.FlagSet, args []string) ([]string, error) {
	var rest []string
	for {
		if err := f.Parse(args); err != nil {
			return nil, err
		}
		if f.NArg() == 0 {
			return rest, nil
		}
		rest = append(rest, f.Arg(0))
		args = f.Args()[1:]
	}
}

func (c *command) env() *env { return &env{out: c.out, err: c.err, width: terminalWidth(c.out)} }

// report prints an error and returns the exit code.
func (c *command) report(err error) subcommands.ExitStatus {
	if err == nil {
		return subcommands.ExitSuccess
	}
	if errors.Is(err, errUsage) {
		fmt.Fprintf(c.err, "currantferry %s: %v\n%s", c.name, err, c.Usage())
		return exitUsage
	}
	fmt.Fprintf(c.err, "currantferry %s: %v\n", c.name, err)
	var p *admin.Problem
	if errors.As(err, &p) {
		printProblem(c.err, p)
	}
	return exitCode(err)
}

func printProblem(w io.Writer, p *admin.Problem) {
	if p.Conflict != nil {
		fmt.Fprintf(w, "  yours, based on version %d (%s):\n", p.Conflict.Base, p.Conflict.Mine.By)
		for _, d := range p.Conflict.MyDiff {
			fmt.Fprintln(w, "    "+d.String())
		}
		for _, t := range p.Conflict.Theirs {
			fmt.Fprintf(w, "  theirs, version %d (%s): %s\n", t.Version, t.By, t.Why)
		}
		for _, d := range p.Conflict.TheirDiff {
			fmt.Fprintln(w, "    "+d.String())
		}
	}
	if p.Impact != nil {
		for _, d := range p.Impact.Dropped {
			fmt.Fprintln(w, "  drops "+d)
		}
	}
	if p.Next != "" {
		fmt.Fprintln(w, p.Next)
	}
}

// exitCode returns the exit code for an error other than errUsage.
func exitCode(err error) subcommands.ExitStatus {
	var p *admin.Problem
	var u *adminclient.UnreachableError
	switch {
	case errors.Is(err, errWait):
		return exitWait
	case errors.As(err, &u):
		return exitUnavailable
	case !errors.As(err, &p):
		return exitFailure
	case p.Impact != nil:
		return exitConfirm
	}
	switch p.Status {
	case http.StatusUnauthorized, http.StatusForbidden:
		return exitDenied
	case http.StatusConflict, http.StatusPreconditionFailed, http.StatusPreconditionRequired:
		return exitConflict
	case http.StatusNotFound:
		return exitNotFound
	case http.StatusServiceUnavailable:
		return exitUnavailable
	}
	return exitFailure
}

// env has the outputs, the parsed flags and the client of an action.
type env struct {
	out, err io.Writer
	width    int
	json     bool
	client   *adminclient.Client
	options  adminclient.Options

	change adminclient.Change
	// timeout bounds a request with its resends, waitLimit the wait that follows
	// if wait is set.
	timeout   time.Duration
	wait      bool
	waitLimit time.Duration
}

// addFlags adds the flags of an action and returns its runFunc.
func (e *env) addFlags(a *action, f *flag.FlagSet) runFunc {
	f.BoolVar(&e.json, "json", false, "print JSON")
	if a.remote {
		f.StringVar(&e.options.Address, "admin", os.Getenv("CURRANTFERRY_ADMIN"), "admin listener of any VM, IP:PORT or https://IP:PORT (CURRANTFERRY_ADMIN)")
		f.StringVar(&e.options.Token, "token", "", "token of a team (CURRANTFERRY_TOKEN)")
		f.StringVar(&e.options.CAFile, "ca", "", "file with the certificate authority of https:// addresses")
		f.DurationVar(&e.timeout, "timeout", 30*time.Second, "bound on the request and its resends")
	}
	if a.change {
		f.StringVar(&e.change.ID, "change-id", "", "change ID, to send a change again (default random)")
		f.Uint64Var(&e.change.Base, "base", 0, "version that the change is based on (default the current one)")
		f.StringVar(&e.change.By, "by", os.Getenv("USER"), "who makes the change")
		f.StringVar(&e.change.Why, "why", "", "reason of the change")
		f.BoolVar(&e.wait, "wait", false, "wait until the change is in force on all VMs, and a drain has finished")
		f.DurationVar(&e.waitLimit, "wait-limit", 10*time.Minute, "bound on -wait")
	}
	return a.setup(f)
}

func (e *env) run(ctx context.Context, a *action, run runFunc, args []string) error {
	if a.remote && (e.options.Address != "" || !a.remoteOptional) {
		if e.options.Token == "" {
			e.options.Token = os.Getenv("CURRANTFERRY_TOKEN")
		}
		e.options.OnResend = e.printResend
		var err error
		if e.client, err = adminclient.New(e.options); err != nil {
			return errors.Wrap(errUsage, err.Error())
		}
	}
	return run(ctx, e, args)
}

func (e *env) printResend(text string) { fmt.Fprintln(e.err, text) }

// requestContext returns a context with the timeout of a request and its resends.
func (e *env) requestContext(ctx context.Context) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, e.timeout)
}

// get decodes the response for a path into v and prints it as JSON, or calls show.
func (e *env) get(ctx context.Context, path string, v any, show func()) error {
	ctx, cancel := e.requestContext(ctx)
	defer cancel()
	if _, err := e.client.Get(ctx, path, v); err != nil {
		return err
	}
	if e.json {
		return e.printJSON(v)
	}
	show()
	return nil
}

func (e *env) printJSON(v any) error {
	encoder := json.NewEncoder(e.out)
	encoder.SetIndent("", "  ")
	return encoder.Encode(v)
}

// send makes a change, prints its outcome and, with -wait, waits until the change
// is in force on all VMs.
func (e *env) send(ctx context.Context, method, path string, body any) error {
	if e.change.Why == "" {
		return errors.Wrap(errUsage, "-why is needed: the reason stays in the history")
	}
	data, ok := body.([]byte)
	if !ok && body != nil {
		var err error
		if data, err = json.Marshal(body); err != nil {
			return err
		}
	}
	requestCtx, cancel := e.requestContext(ctx)
	defer cancel()
	if e.change.Base == 0 {
		var err error
		if e.change.Base, err = e.client.Get(requestCtx, "/v1/caps", nil); err != nil {
			return err
		}
	}
	out, err := e.client.Send(requestCtx, method, path, data, e.change)
	if err != nil {
		return err
	}
	if e.json && !e.wait {
		return e.printJSON(out)
	}
	if !e.json {
		fmt.Fprintf(e.out, "accepted as version %d%s\n", out.Version, outcomeSuffix(out))
	}
	if e.wait {
		return e.waitInForce(ctx, out.Version)
	}
	return nil
}

func outcomeSuffix(a admin.Accepted) string {
	switch {
	case a.Resent:
		return " (had been accepted before)"
	case a.Merged:
		return " (merged with other changes)"
	}
	return ""
}

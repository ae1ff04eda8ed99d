package main

import (
	"context"
	"flag"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/google/subcommands"

	"github.com/currantferry/currantferry/standin"
	storestandin "github.com/currantferry/currantferry/store/standin"
)

// waitForSignal waits for SIGTERM or SIGINT.
func waitForSignal(ctx context.Context) {
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	<-ctx.Done()
}

// reportFailure prints an error and returns the exit status.
func reportFailure(err error) subcommands.ExitStatus {
	fmt.Fprintln(os.Stderr, "standin:", err)
	return subcommands.ExitFailure
}

// storeCommand runs a stand-in for the store.
type storeCommand struct{ listen string }

func (*storeCommand) Name() string     { return "store" }
func (*storeCommand) Synopsis() string { return "run a stand-in for the platform's store" }
func (*storeCommand) Usage() string    { return "store -listen IP:PORT\n" }
func (c *storeCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.listen, "listen", "127.0.0.1:0", "address, port 0 for any")
}

func (c *storeCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	l, err := net.Listen("tcp", c.listen)
	if err != nil {
		return reportFailure(err)
	}
	server := &http.Server{Handler: storestandin.New().Handler(), ReadHeaderTimeout: 10 * time.Second}
	go func() { _ = server.Serve(l) }()
	fmt.Printf("store=%s\n", l.Addr())
	waitForSignal(ctx)
	_ = server.Close()
	return subcommands.ExitSuccess
}

// upstreamCommand runs a stand-in for one upstream instance.
type upstreamCommand struct {
	options standin.UpstreamOptions
	control string
}

func (*upstreamCommand) Name() string     { return "upstream" }
func (*upstreamCommand) Synopsis() string { return "run a stand-in for one upstream instance" }
func (*upstreamCommand) Usage() string {
	return "upstream -id ID -listen IP:PORT [-control IP:PORT]\n  The control address serves /runs?key=KEY, /keys?prefix=P and PUT /fault.\n"
}

func (c *upstreamCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.options.ID, "id", "upstream", "instance ID")
	f.StringVar(&c.options.Address, "listen", "127.0.0.1:0", "address, port 0 for any")
	f.IntVar(&c.options.Slots, "slots", 9, "requests that run at once")
	f.DurationVar(&c.options.WorkTime, "work", 5*time.Millisecond, "service time of a request that states none")
	f.StringVar(&c.control, "control", "", "address of the control page, empty for none")
}

func (c *upstreamCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	u, err := standin.StartUpstream(c.options)
	if err != nil {
		return reportFailure(err)
	}
	defer u.Close()
	fmt.Printf("upstream=%s\n", u.Address())
	if c.control != "" {
		l, err := net.Listen("tcp", c.control)
		if err != nil {
			return reportFailure(err)
		}
		server := &http.Server{Handler: standin.ControlHandler(u), ReadHeaderTimeout: 10 * time.Second}
		defer server.Close()
		go func() { _ = server.Serve(l) }()
		fmt.Printf("control=%s\n", l.Addr())
	}
	waitForSignal(ctx)
	return subcommands.ExitSuccess
}

// vmsCommand sets the list of VMs of a store stand-in.
type vmsCommand struct{ store, list string }

func (*vmsCommand) Name() string     { return "vms" }
func (*vmsCommand) Synopsis() string { return "set the list of VMs of a store stand-in" }
func (*vmsCommand) Usage() string    { return "vms -store IP:PORT -list JSON\n" }
func (c *vmsCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.store, "store", "", "address of the stand-in")
	f.StringVar(&c.list, "list", "[]", "VMs as a JSON array")
}

func (c *vmsCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	req, err := http.NewRequestWithContext(ctx, http.MethodPut, "http://"+c.store+"/standin/vms", strings.NewReader(c.list))
	if err != nil {
		return reportFailure(err)
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return reportFailure(err)
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return reportFailure(fmt.Errorf("the stand-in answered %s", res.Status))
	}
	return subcommands.ExitSuccess
}

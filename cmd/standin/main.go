// Command standin runs stand-ins for what surrounds the system: the platform's
// store, or one upstream instance. It is for tests and trials.
package main

import (
	"context"
	"flag"
	"os"

	"github.com/google/subcommands"
)

func main() {
	subcommands.Register(subcommands.HelpCommand(), "")
	subcommands.Register(new(storeCommand), "")
	subcommands.Register(new(upstreamCommand), "")
	subcommands.Register(new(vmsCommand), "")
	flag.Parse()
	os.Exit(int(subcommands.Execute(context.Background())))
}

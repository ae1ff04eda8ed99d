// Command standin runs stand-ins for external dependencies, for tests and trials:
// the platform's store, or an upstream instance.
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

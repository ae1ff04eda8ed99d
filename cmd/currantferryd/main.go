// Command currantferryd is the daemon that runs on each entry VM.
package main

import (
	"context"
	"flag"
	"os"

	"github.com/google/subcommands"
)

func main() {
	subcommands.Register(subcommands.HelpCommand(), "")
	subcommands.Register(subcommands.FlagsCommand(), "")
	subcommands.Register(new(runCommand), "")
	subcommands.Register(new(checkCommand), "")
	subcommands.Register(new(entryCommand), "")
	flag.Parse()
	os.Exit(int(subcommands.Execute(context.Background())))
}

// Command currantferry is the operators' command.
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
	subcommands.Register(new(demoCommand), "")
	subcommands.Register(new(loadCommand), "")
	subcommands.Register(new(registerCommand), "")
	flag.Parse()
	os.Exit(int(subcommands.Execute(context.Background())))
}

// Command currantferry is the command line of operators. It uses the
// administration API of an entry VM, and also runs a demo and load tests.
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
	for _, c := range commands() {
		subcommands.Register(c, "")
	}
	flag.Parse()
	os.Exit(int(subcommands.Execute(context.Background())))
}

// commands returns all subcommands other than help and flags.
func commands() []subcommands.Command {
	return []subcommands.Command{
		registerCommand(), drainCommand(), capCommand(), changesCommand(),
		statusCommand(), reportCommand(), explainCommand(), configCommand(),
		new(demoCommand), new(loadCommand), traceCommand(), versionCommand(), completionCommand(),
	}
}

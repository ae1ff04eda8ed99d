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
	for _, c := range commands() {
		subcommands.Register(c, "")
	}
	flag.Parse()
	os.Exit(int(subcommands.Execute(context.Background())))
}

func commands() []subcommands.Command {
	return []subcommands.Command{
		registerCommand(), drainCommand(), capCommand(), changesCommand(),
		statusCommand(), reportCommand(), explainCommand(), configCommand(),
		new(demoCommand), new(loadCommand), traceCommand(), versionCommand(), completionCommand(),
	}
}

package main

import (
	"context"
	"flag"
	"fmt"
	"sort"
	"strings"

	"github.com/pkg/errors"
)

func completionCommand() *command {
	return newCommand("completion", "print the completion of a shell", action{
		name: "bash", synopsis: "print it for bash: source <(currantferry completion bash)",
		setup: func(*flag.FlagSet) runFunc {
			return func(_ context.Context, e *env, args []string) error {
				if len(args) > 0 {
					return errors.Wrap(errUsage, "no arguments are taken")
				}
				_, err := fmt.Fprint(e.out, bashCompletion())
				return err
			}
		},
	})
}

// bashCompletion generates the script from the commands, actions and flags.
func bashCompletion() string {
	names := []string{"help", "flags"}
	var cases strings.Builder
	for _, c := range commands() {
		names = append(names, c.Name())
		group, ok := c.(*command)
		if !ok {
			f := flag.NewFlagSet(c.Name(), flag.ContinueOnError)
			c.SetFlags(f)
			fmt.Fprintf(&cases, "    %q) words=%q ;;\n", c.Name()+" ", flagWords(f))
			continue
		}
		var actions []string
		for i := range group.actions {
			a := &group.actions[i]
			f := flag.NewFlagSet(c.Name(), flag.ContinueOnError)
			group.env().addFlags(a, f)
			if a.name == "" {
				fmt.Fprintf(&cases, "    %q*) words=%q ;;\n", c.Name()+" ", flagWords(f))
				continue
			}
			actions = append(actions, a.name)
			fmt.Fprintf(&cases, "    %q) words=%q ;;\n", c.Name()+" "+a.name, flagWords(f))
		}
		if len(actions) > 0 {
			fmt.Fprintf(&cases, "    %q*) words=%q ;;\n", c.Name()+" ", strings.Join(actions, " "))
		}
	}
	sort.Strings(names)
	return fmt.Sprintf(`# bash completion for currantferry
_currantferry() {
  local words current="${COMP_WORDS[COMP_CWORD]}"
  case "${COMP_WORDS[COMP_CWORD-1]}" in
    -file|-ca|-settings|-rules|-register) COMPREPLY=($(compgen -f -- "$current")); return ;;
  esac
  if [ "$COMP_CWORD" -eq 1 ]; then
    COMPREPLY=($(compgen -W %q -- "$current")); return
  fi
  local action=""
  [ "$COMP_CWORD" -gt 2 ] && action="${COMP_WORDS[2]}"
  case "${COMP_WORDS[1]} $action" in
%s  esac
  COMPREPLY=($(compgen -W "$words" -- "$current"))
}
complete -F _currantferry currantferry
`, strings.Join(names, " "), cases.String())
}

func flagWords(f *flag.FlagSet) string {
	var out []string
	f.VisitAll(func(x *flag.Flag) { out = append(out, "-"+x.Name) })
	return strings.Join(out, " ")
}

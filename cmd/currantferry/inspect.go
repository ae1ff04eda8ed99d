package main

import (
	"context"
	"flag"
	"fmt"
	"net/http"
	"net/url"
	"os"
	"runtime/debug"
	"strings"

	"github.com/pkg/errors"

	"github.com/currantferry/currantferry/admin"
	"github.com/currantferry/currantferry/node"
	"github.com/currantferry/currantferry/report"
	"github.com/currantferry/currantferry/rules"
	"github.com/currantferry/currantferry/settings"
)

func statusCommand() *command {
	return newCommand("status", "state of one VM and of the others as it sees them", action{
		synopsis: "print the state of the VM behind -admin", remote: true,
		setup: func(*flag.FlagSet) runFunc {
			return func(ctx context.Context, e *env, _ []string) error {
				var s node.Status
				return e.get(ctx, "/v1/status", &s, func() { e.printStatus(&s) })
			}
		},
	})
}

func (e *env) printStatus(s *node.Status) {
	state := "takes callers"
	switch {
	case s.Leaving:
		state = "leaving"
	case !s.Ready:
		state = "not ready: its configuration is not confirmed"
	}
	fmt.Fprintf(e.out, "%s: %s\nconfiguration %d, plan %d, %d in flight\n", s.VM, state, s.Version, s.Plan, s.InFlight)
	rows := make([][]string, 0, len(s.Members))
	for _, m := range s.Members {
		rows = append(rows, []string{m.ID, m.DataCentre, m.State})
	}
	e.printTable([]string{"VM", "DATA CENTRE", "STATE"}, rows)
}

func reportCommand() *command {
	return newCommand("report", "what moved, why, and whether anything is at risk", action{
		synopsis: "print the report of the VM behind -admin in 44 columns", remote: true,
		setup: func(*flag.FlagSet) runFunc {
			return func(ctx context.Context, e *env, _ []string) error {
				var r report.Report
				return e.get(ctx, "/v1/report", &r, func() { fmt.Fprint(e.out, r.Text()) })
			}
		},
	})
}

func explainCommand() *command {
	return newCommand("explain", "why a caller, or a request to a service, goes where it goes", action{
		synopsis: "list the candidates with the reason for or against each", remote: true,
		setup: func(f *flag.FlagSet) runFunc {
			caller := f.String("caller", "", "IP address or block of callers")
			service := f.String("service", "", "service")
			return func(ctx context.Context, e *env, _ []string) error {
				if *caller == "" && *service == "" {
					return errors.Wrap(errUsage, "-caller or -service is needed")
				}
				q := url.Values{"caller": {*caller}, "service": {*service}}
				var x admin.Explanation
				return e.get(ctx, "/v1/explain?"+q.Encode(), &x, func() { e.printExplanation(&x) })
			}
		},
	})
}

func (e *env) printExplanation(x *admin.Explanation) {
	if x.Caller != "" {
		block, site := "no block", "no site"
		if x.Block != "" {
			block, site = "block "+x.Block, "site "+x.Site
		}
		fmt.Fprintf(e.out, "caller %s: %s, %s\n", x.Caller, block, site)
		e.printCandidates("ENTRY VM", x.EntryVMs)
	}
	if x.Service != "" {
		fmt.Fprintf(e.out, "service %s from %s\n", x.Service, x.VM)
		e.printCandidates("REGION", x.Regions)
		e.printCandidates("INSTANCE", x.Instances)
	}
}

func (e *env) printCandidates(title string, list []admin.Candidate) {
	rows := make([][]string, 0, len(list))
	for _, c := range list {
		chosen := "no"
		if c.Chosen {
			chosen = "yes"
		}
		rows = append(rows, []string{c.Name, c.Place, chosen, c.Reason})
	}
	e.printTable([]string{title, "PLACE", "USED", "WHY"}, rows)
}

func configCommand() *command {
	return newCommand("config", "check files; show and set rules; repair the store",
		action{name: "check", synopsis: "check a daemon's settings, rules or a register without a VM", setup: configCheck},
		action{name: "rules", synopsis: "print the rules in force", remote: true, setup: configRules},
		action{name: "set-rules", synopsis: "make a file the rules in force, teams included", remote: true, change: true, setup: configSetRules},
		action{name: "restore", synopsis: "write the version in force back to a store that holds an older one", remote: true, change: true, setup: configRestore},
	)
}

func configRules(*flag.FlagSet) runFunc {
	return func(ctx context.Context, e *env, _ []string) error {
		// JSON, also without -json, because set-rules reads this output.
		e.json = true
		return e.get(ctx, "/v1/rules", new(rules.Rules), nil)
	}
}

func configSetRules(f *flag.FlagSet) runFunc {
	file := f.String("file", "", "rules (JSON)")
	return func(ctx context.Context, e *env, _ []string) error {
		data, err := os.ReadFile(*file)
		if err != nil {
			return err
		}
		return e.send(ctx, http.MethodPut, "/v1/rules", data)
	}
}

func configRestore(*flag.FlagSet) runFunc {
	return func(ctx context.Context, e *env, _ []string) error {
		return e.send(ctx, http.MethodPost, "/v1/store/restore", nil)
	}
}

func configCheck(f *flag.FlagSet) runFunc {
	files := []struct {
		file  *string
		kind  string
		check func(file string) error
	}{
		{f.String("settings", "", "settings of a daemon (INI)"), "settings", func(file string) error {
			_, err := settings.Load(file)
			return err
		}},
		{f.String("rules", "", "rules (JSON)"), "rules", func(file string) error {
			data, err := os.ReadFile(file)
			if err == nil {
				_, err = rules.Parse(data)
			}
			return err
		}},
		{f.String("register", "", "asset register (JSON)"), "register", func(file string) error {
			_, _, err := readRegister(file)
			return err
		}},
	}
	return func(_ context.Context, e *env, _ []string) error {
		checked := make(map[string]string)
		numInvalid := 0
		for _, c := range files {
			if *c.file == "" {
				continue
			}
			checked[*c.file] = "valid"
			if err := c.check(*c.file); err != nil {
				checked[*c.file] = err.Error()
				numInvalid++
			}
			if !e.json {
				fmt.Fprintf(e.out, "%s: %s\n", *c.file, checked[*c.file])
			}
		}
		if len(checked) == 0 {
			return errors.Wrap(errUsage, "-settings, -rules or -register is needed")
		}
		if e.json {
			if err := e.printJSON(checked); err != nil {
				return err
			}
		}
		if numInvalid > 0 {
			return errors.Errorf("%d of %d files have faults; correct the fields named above", numInvalid, len(checked))
		}
		return nil
	}
}

func versionCommand() *command {
	return newCommand("version", "print the version of this command", action{
		synopsis: "print the version of this command",
		setup: func(*flag.FlagSet) runFunc {
			return func(_ context.Context, e *env, _ []string) error {
				v := map[string]string{"version": "unknown"}
				if info, ok := debug.ReadBuildInfo(); ok {
					v["version"], v["go"] = info.Main.Version, info.GoVersion
					for _, s := range info.Settings {
						if strings.HasPrefix(s.Key, "vcs.") {
							v[s.Key] = s.Value
						}
					}
				}
				if e.json {
					return e.printJSON(v)
				}
				fmt.Fprintf(e.out, "currantferry %s %s (%s)\n", v["version"], v["vcs.revision"], v["go"])
				return nil
			}
		},
	})
}

package main

import (
	"context"
	"crypto/rand"
	"flag"
	"fmt"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/currantferry/currantferry/admin"
	"github.com/currantferry/currantferry/config"
	"github.com/currantferry/currantferry/configstore"
	"github.com/currantferry/currantferry/register"
	"github.com/currantferry/currantferry/rules"
	"github.com/currantferry/currantferry/store"
	"github.com/currantferry/currantferry/store/kvhttp"
)

func registerCommand() *command {
	return newCommand("register", "import, show, compare or check the asset register",
		action{name: "check", synopsis: "check a file without a VM", setup: registerCheck},
		action{name: "diff", synopsis: "what an import of a file would change", remote: true, setup: registerDiff},
		action{
			name: "import", remote: true, change: true, remoteOptional: true, setup: registerImport,
			synopsis: "make a file the register in force; with -store into an empty store before any VM runs",
		},
		action{name: "show", synopsis: "print the register in force", remote: true, setup: registerShow},
	)
}

// readRegister reads and validates a register, and returns it with the bytes of
// the file.
func readRegister(file string) ([]byte, *register.Register, error) {
	if file == "" {
		return nil, nil, errors.Wrap(errUsage, "-file is needed")
	}
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, nil, err
	}
	parsed, err := register.Parse(data)
	if err != nil {
		return nil, nil, errors.Errorf("%s is not a valid register:\n%v\nCorrect these fields; docs/REGISTER.md describes them", file, err)
	}
	return data, parsed, nil
}

func fileFlag(f *flag.FlagSet) *string { return f.String("file", "", "asset register (JSON)") }

func registerCheck(f *flag.FlagSet) runFunc {
	file := fileFlag(f)
	return func(_ context.Context, e *env, _ []string) error {
		_, parsed, err := readRegister(*file)
		if err != nil {
			return err
		}
		if e.json {
			return e.printJSON(map[string]any{"valid": true, "services": len(parsed.Services)})
		}
		fmt.Fprintf(e.out, "%s: valid, %d services\n", *file, len(parsed.Services))
		return nil
	}
}

func registerDiff(f *flag.FlagSet) runFunc {
	file := fileFlag(f)
	return func(ctx context.Context, e *env, _ []string) error {
		data, _, err := readRegister(*file)
		if err != nil {
			return err
		}
		ctx, cancel := e.requestContext(ctx)
		defer cancel()
		var impact admin.Impact
		if err := e.client.Post(ctx, "/v1/register/preview", data, &impact); err != nil {
			return err
		}
		if e.json {
			return e.printJSON(impact)
		}
		e.printImpact(&impact)
		return nil
	}
}

func (e *env) printImpact(i *admin.Impact) {
	if i.Total == 0 {
		fmt.Fprintln(e.out, "no difference")
		return
	}
	for _, d := range i.Diff {
		e.printParagraph(d.String())
	}
	if rest := i.Total - len(i.Diff); rest > 0 {
		fmt.Fprintf(e.out, "and %d more\n", rest)
	}
	for _, m := range i.Moves {
		e.printParagraph("moves: " + m)
	}
	if i.BlocksMoved > 0 || i.BlocksBefore != i.BlocksAfter {
		e.printParagraph(fmt.Sprintf("client blocks: %d before, %d after, %d get another site", i.BlocksBefore, i.BlocksAfter, i.BlocksMoved))
	}
	for _, d := range i.Dropped {
		e.printParagraph("needs -confirm: " + d)
	}
}

func (e *env) printParagraph(text string) {
	for i, line := range wrap(text, e.width-2) {
		if i > 0 {
			line = "  " + line
		}
		fmt.Fprintln(e.out, line)
	}
}

func registerShow(f *flag.FlagSet) runFunc {
	blocks := f.Bool("blocks", true, "include the client blocks; without them the output is no complete register")
	return func(ctx context.Context, e *env, _ []string) error {
		path := "/v1/register"
		if !*blocks {
			path += "?blocks=false"
		}
		// JSON, also without -json, because import reads this output.
		e.json = true
		return e.get(ctx, path, new(register.Register), nil)
	}
}

func registerImport(f *flag.FlagSet) runFunc {
	file := fileFlag(f)
	addresses := f.String("store", "", "addresses of the platform's store, for the first import into an empty store")
	confirm := f.Bool("confirm", false, "accept an import that drops more than 20 % of the slots of a service or region, or of the client blocks")
	return func(ctx context.Context, e *env, _ []string) error {
		data, parsed, err := readRegister(*file)
		if err != nil {
			return err
		}
		if *addresses != "" {
			return e.bootstrap(ctx, *addresses, parsed)
		}
		if e.client == nil {
			return errors.Wrap(errUsage, "-admin IP:PORT is needed, or -store for the first import into an empty store")
		}
		path := "/v1/register"
		if *confirm {
			path += "?confirm=true"
		}
		return e.send(ctx, http.MethodPut, path, data)
	}
}

// bootstrap writes the register directly to the store, without a VM.
func (e *env) bootstrap(ctx context.Context, addresses string, r *register.Register) error {
	ctx, cancel := e.requestContext(ctx)
	defer cancel()
	client, err := kvhttp.New(kvhttp.Options{Addresses: strings.Split(addresses, ",")})
	if err != nil {
		return err
	}
	defer client.Close()
	id := e.change.ID
	if id == "" {
		id = rand.Text()
	}
	version, err := publishRegister(ctx, client, r, config.Meta{ChangeID: id, By: e.change.By, At: time.Now(), Why: e.change.Why})
	if err != nil {
		return errors.WithMessagef(err, "import into the store; send it again with -change-id %s", id)
	}
	if e.json {
		return e.printJSON(admin.Accepted{Version: version, ChangeID: id})
	}
	fmt.Fprintf(e.out, "accepted as version %d\n", version)
	return nil
}

// publishRegister writes the register as the next version, with the rules of the
// store's current version, if any.
func publishRegister(ctx context.Context, s store.Store, r *register.Register, m config.Meta) (uint64, error) {
	publisher := configstore.New(s, configstore.Options{})
	content := config.Content{Register: r, Rules: new(rules.Rules)}
	var base uint64
	current, err := publisher.Load(ctx)
	if err != nil && !errors.Is(err, configstore.ErrNoVersion) {
		return 0, err
	}
	if err == nil {
		base = current.Head.Version
		content.Rules = current.Rules
	}
	result, err := publisher.Publish(ctx, base, content, m)
	return result.Version, err
}

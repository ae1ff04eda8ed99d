package main

import (
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
	"unicode/utf8"

	"github.com/google/subcommands"

	"github.com/currantferry/currantferry/admin"
	"github.com/currantferry/currantferry/demo"
	"github.com/currantferry/currantferry/report"
	"github.com/currantferry/currantferry/rules"
	storestandin "github.com/currantferry/currantferry/store/standin"
)

// run executes a command line and returns its output and exit code.
func run(t *testing.T, args ...string) (stdout, stderr string, code int) {
	t.Helper()
	var out, errOut bytes.Buffer
	f := flag.NewFlagSet("currantferry", flag.ContinueOnError)
	commander := subcommands.NewCommander(f, "currantferry")
	for _, c := range commands() {
		if group, ok := c.(*command); ok {
			group.out, group.err = &out, &errOut
		}
		commander.Register(c, "")
	}
	if err := f.Parse(args); err != nil {
		t.Fatal(err)
	}
	status := commander.Execute(t.Context())
	return out.String(), errOut.String(), int(status)
}

// expect runs a command line, checks the exit code and that the output contains
// the texts, and returns standard output.
func expect(t *testing.T, code int, texts []string, args ...string) string {
	t.Helper()
	out, errOut, got := run(t, args...)
	if got != code {
		t.Errorf("%v: exit code %d, want %d\n%s%s", args, got, code, out, errOut)
	}
	for _, text := range texts {
		if !strings.Contains(out+errOut, text) {
			t.Errorf("%v: no %q in\n%s%s", args, text, out, errOut)
		}
	}
	return out
}

// Each command must work against a running fleet, fit its output to the terminal,
// and return the exit code that scripts rely on.
func TestCommandsAgainstFleet(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
	defer cancel()
	fleet, err := demo.StartFleet(ctx, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	defer fleet.Close()
	t.Setenv("CURRANTFERRY_ADMIN", fleet.Node("vm-1").AdminAddress())
	t.Setenv("COLUMNS", "60")
	why := []string{"-why", "test", "-by", "ann"}
	withReason := func(args ...string) []string { return append(args, why...) }

	expect(t, 0, []string{"vm-1: takes callers", "serving"}, "status")
	expect(t, 0, []string{"accepted as version 2", "in force on 3 of 3"}, withReason("cap", "set", "proefbank", "-step", "7", "-wait")...)
	expect(t, 4, []string{"yours, based on version 1 (local:ann)", "theirs, version 2", "Read the current version"}, withReason("cap", "set", "proefbank", "-step", "8", "-base", "1")...)
	expect(t, 4, []string{"stale"}, withReason("cap", "set", "proefbank", "-base", "77")...)
	expect(t, 0, []string{"accepted as version 3", "finished: nothing in flight"}, withReason("drain", "add", "-target", "proefbank-rotterdam-a-1", "-wait")...)
	expect(t, 0, []string{"proefbank-rotterdam-a-1", "finished"}, "drain", "list")
	expect(t, 8, []string{"no drain other"}, withReason("drain", "cancel", "other")...)
	for _, line := range strings.Split(expect(t, 0, []string{"drained", "plan"}, "explain", "-caller", "192.0.2.0/24", "-service", "proefbank"), "\n") {
		if utf8.RuneCountInString(line) > 60 {
			t.Errorf("%d columns of 60: %q", utf8.RuneCountInString(line), line)
		}
	}
	for _, line := range strings.Split(expect(t, 0, []string{"AT RISK", "STORE: answers"}, "report"), "\n") {
		if utf8.RuneCountInString(line) > report.MaxColumns {
			t.Errorf("%d columns: %q", utf8.RuneCountInString(line), line)
		}
	}
	expect(t, 0, []string{"local:ann", "+ rules.caps"}, "changes")
	expect(t, 0, []string{"2 to 3"}, "changes", "diff", "3")

	file := filepath.Join(t.TempDir(), "register.json")
	current := expect(t, 0, nil, "register", "show")
	if err := os.WriteFile(file, []byte(current), 0o600); err != nil {
		t.Fatal(err)
	}
	expect(t, 0, []string{"no difference"}, "register", "diff", "-file", file)
	fleet.Register.Services = fleet.Register.Services[:1]
	truncated, _ := json.Marshal(fleet.Register)
	if err := os.WriteFile(file, truncated, 0o600); err != nil {
		t.Fatal(err)
	}
	expect(t, 7, []string{"drops service rolinname from 54 to 0 slots", "confirm=true"}, withReason("register", "import", "-file", file)...)
	expect(t, 0, []string{"accepted as version 4"}, withReason("changes", "rollforward", "1")...)

	expect(t, 0, []string{"accepted as version 4"}, withReason("config", "restore")...)
	if err := os.WriteFile(file, []byte(`{"teams":[{"name":"ops","platform":true,"token_sha256":["`+rules.HashToken("t0")+`"]}]}`), 0o600); err != nil {
		t.Fatal(err)
	}
	expect(t, 0, []string{"accepted as version 5"}, withReason("config", "set-rules", "-file", file)...)
	expect(t, 3, []string{"CURRANTFERRY_TOKEN"}, withReason("cap", "set", "proefbank")...)
	t.Setenv("CURRANTFERRY_TOKEN", "t0")
	expect(t, 0, []string{"accepted as version 6"}, withReason("cap", "set", "proefbank")...)

	fleet.Store.SetFault(storestandin.Fault{Down: true})
	expect(t, 5, []string{"The store does not answer", "-change-id"}, withReason("cap", "set", "proefbank", "-timeout", "2500ms")...)
}

// Exit codes must also be right for errors that the fleet of
// TestCommandsAgainstFleet does not cause: a refused token, a wait that reaches its
// limit, an unreachable VM, and wrong flags or files.
func TestExitCodes(t *testing.T) {
	var answer func(w http.ResponseWriter, r *http.Request)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { answer(w, r) }))
	defer server.Close()
	t.Setenv("CURRANTFERRY_ADMIN", "")
	adminArgs := []string{"-admin", server.URL, "-why", "test"}
	answer = func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusUnauthorized)
		_ = json.NewEncoder(w).Encode(admin.Problem{Status: 401, Text: "A change needs a token.", Next: "Set CURRANTFERRY_TOKEN."})
	}
	expect(t, 3, []string{"needs a token", "Set CURRANTFERRY_TOKEN"}, append([]string{"cap", "set", "x"}, adminArgs...)...)
	answer = func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("ETag", `"1"`)
		if strings.HasSuffix(r.URL.Path, "/progress") {
			_ = json.NewEncoder(w).Encode(admin.Progress{Version: 2, InForce: 1, Total: 2, Lagging: []string{"vm-2"}, Text: "in force on 1 of 2; lagging: vm-2"})
			return
		}
		_ = json.NewEncoder(w).Encode(admin.Accepted{Version: 2})
	}
	expect(t, 6, []string{"lagging: vm-2", "changes progress 2"}, append([]string{"cap", "set", "x", "-wait", "-wait-limit", "50ms"}, adminArgs...)...)
	server.Close()
	expect(t, 5, []string{"use another VM"}, "status", "-admin", server.URL)
	expect(t, 2, []string{"set -admin IP:PORT"}, "status")
	expect(t, 2, []string{"-why is needed"}, "cap", "set", "x", "-admin", server.URL)
	expect(t, 2, []string{"drain add"}, "drain", "remove")
	file := filepath.Join(t.TempDir(), "bad.json")
	if err := os.WriteFile(file, []byte(`{"retry_percent":500}`), 0o600); err != nil {
		t.Fatal(err)
	}
	expect(t, 1, []string{"retry_percent: 500 is outside 0 to 100"}, "config", "check", "-rules", file)
	expect(t, 0, []string{"complete -F _currantferry", "rollforward"}, "completion", "bash")
}

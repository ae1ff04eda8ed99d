package settings

import (
	"flag"
	"fmt"
	"net/netip"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"
)

var update = flag.Bool("update", false, "write docs/SETTINGS.md from the code")

const docsFile = "../docs/SETTINGS.md"

// docs/SETTINGS.md must match the table of keys.
func TestKeysMatchDocs(t *testing.T) {
	want := render()
	if *update {
		if err := os.WriteFile(docsFile, []byte(want), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	got, err := os.ReadFile(docsFile)
	if err != nil {
		t.Fatal(err)
	}
	if string(got) != want {
		t.Fatal("docs/SETTINGS.md differs from the code; run: go test ./settings -update")
	}
}

// render returns the content of docs/SETTINGS.md.
func render() string {
	var b strings.Builder
	b.WriteString("# Settings of currantferryd\n\nAn INI file. Unknown sections and keys are rejected, and all errors are reported at once. Comments start\n")
	b.WriteString("with `;` or `#`. Written by `go test ./settings -update`.\n")
	section := ""
	for _, k := range Keys() {
		if k.Section != section {
			section = k.Section
			fmt.Fprintf(&b, "\n## [%s]\n\n| key | unit | default | accepted | zero or empty | meaning |\n|---|---|---|---|---|---|\n", section)
		}
		defaultText := k.Default
		if k.Required {
			defaultText = "required"
		} else if defaultText == "" {
			defaultText = "empty"
		}
		fmt.Fprintf(&b, "| `%s` | %s | %s | %s | %s | %s |\n", k.Name, k.Unit, defaultText, k.Range, k.Zero, k.Meaning)
	}
	return b.String()
}

// The daemon must accept its own defaults.
func TestDefaultsAreAccepted(t *testing.T) {
	for _, k := range Keys() {
		if k.Default == "" {
			continue
		}
		if err := k.set(new(Settings), k.Default); err != nil {
			t.Errorf("[%s] %s = %s: %v", k.Section, k.Name, k.Default, err)
		}
	}
	d := Default()
	if d.Lookup.TTL != 5*time.Second || d.Request.MaxBody != 4*gib || d.Request.MaxHeaderBytes != 64*kib || d.Once.Partitions != 16 {
		t.Errorf("%+v", d)
	}
}

// The daemon must accept the example files, since users copy them.
func TestExamples(t *testing.T) {
	for file, want := range map[string]VM{
		"../examples/rolregister.ini": {"rol-rotterdam-1", "randstad", "rotterdam-a"},
		"../examples/abtropf.ini":     {"abt-donau-1-1", "donauraum", "donau-1"},
	} {
		s, err := Load(file)
		if err != nil {
			t.Errorf("%s: %v", file, err)
			continue
		}
		if s.VM != want || len(s.Peers.Seeds) != 5 || s.Listen.AdvertisePeer != s.Listen.Peer || s.Lookup.Zone == "" {
			t.Errorf("%s: %+v", file, s)
		}
	}
}

const valid = `
[vm]
id = vm-1
region = randstad
data_centre = rotterdam-a
[store]
addresses = 127.0.0.1:8500, [::1]:8500
`

// Values must be parsed as written: comments, empty values, zero, units, % and # in paths.
func TestParse(t *testing.T) {
	s, err := Parse("f.ini", []byte(valid+`
[listen]
caller = 0.0.0.0:80   ; every address
advertise_caller = 192.0.2.1:80
dns =
[request]
max_body = 0
keep_answers_bytes = 16MiB
[tls]
caller_cert = /etc/%(x)s.pem
caller_key = /etc/a#b.key
[lookup]
zone = Lookup.Example
`))
	if err != nil {
		t.Fatal(err)
	}
	if s.Listen.Caller != netip.MustParseAddrPort("0.0.0.0:80") || s.Listen.AdvertiseCaller != netip.MustParseAddrPort("192.0.2.1:80") ||
		s.Listen.DNS.IsValid() || s.Request.MaxBody != 0 || s.Request.KeepAnswersBytes != 16*mib || s.Lookup.Zone != "lookup.example." ||
		s.TLS.CallerCert != "/etc/%(x)s.pem" || s.TLS.CallerKey != "/etc/a#b.key" || len(s.Store.Addresses) != 2 {
		t.Errorf("%+v", s)
	}
}

// All errors in a file must be reported, each with its place and the accepted values.
func TestErrors(t *testing.T) {
	for _, c := range []struct{ text, want string }{
		{"[lookup]\nttl = 0s", `f.ini: [lookup] ttl = "0s": out of range; accepted: 1s to 1m`},
		{"[lookup]\nttl = five", `[lookup] ttl = "five": not a duration`},
		{"[lookup]\nttl =", `[lookup] ttl = "": not a duration`},
		{"[lookup]\nttl = 5s\nttl = 6s", `given 2 times; accepted: once`},
		{"[lookup]\nttl = 5s\n[lookup]\nttl = 5s", `given 2 times; accepted: once`},
		{"[lookup]\nmax_concurent = 5", `unknown key; did you mean max_concurrent?`},
		{"[lookup]\nheartbeat = 5s", `unknown key; did you mean [peers] heartbeat?`},
		{"[lookups]\nttl = 5s", `f.ini: [lookups]: unknown section; did you mean [lookup]?`},
		{"[quite other]\nttl = 5s", `unknown section; known are vm, listen, store`},
		{"[Lookup]\nttl = 5s", `did you mean [lookup]?`},
		{"[listen]\ncaller = localhost:80", `not an IP address and port; accepted: IP address`},
		{"[listen]\ncaller = 127.0.0.1:0", `not an IP address and port`},
		{"[listen]\npeer = [::]:80", `[listen] advertise_peer = "": the listener is on every address ([::]:80)`},
		{"[listen]\npeer = 127.0.0.1:80\nadmin = 127.0.0.1:80", `[listen] admin = "127.0.0.1:80": already used by peer`},
		{"[listen]\ndns = 127.0.0.1:53", `[lookup] zone = "": needed because [listen] dns is on`},
		{"[peers]\nseeds = 127.0.0.1:80,", `"" is not an IP address and port`},
		{"[request]\nmax_body = 4GB", `not a size in bytes`},
		{"[request]\nmax_body = 9999999999GiB", `not a size in bytes`},
		{"[request]\nmax_body = -1", `out of range; accepted: 0 to 1TiB`},
		{"[node]\nlookup_grace = 1s", `accepted: at least [lookup] ttl, which is 5s`},
		{"[tls]\npeer_cert = a\npeer_key = b", `[tls] peer_ca = "": needed because peer_key is given`},
		{"[log]\nlevel = trace", `accepted: debug, info, warn, error`},
		{"[lookup]\nzone = .", `not a DNS name`},
	} {
		_, err := Parse("f.ini", []byte(valid+c.text))
		var errs Errors
		if !errors.As(err, &errs) || len(errs) != 1 || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%q: %v\nwant %s", c.text, err, c.want)
		}
	}
	_, err := Parse("f.ini", []byte("ttl = 5s\n[vm]\nid = UPPER\n[log]\nlevl = x\n"))
	var errs Errors
	// The errors are: key before a section, id, region, data_centre, store addresses, levl.
	if !errors.As(err, &errs) || len(errs) != 6 {
		t.Errorf("%d errors, want 6: %v", len(errs), err)
	}
	if _, err := Parse("f.ini", []byte("[vm\n")); err == nil || !strings.Contains(err.Error(), "f.ini: ") {
		t.Errorf("syntax error: %v", err)
	}
}

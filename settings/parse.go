package settings

import (
	"fmt"
	"net/netip"
	"strings"

	"gopkg.in/ini.v1"
)

// Error is one fault of a file.
type Error struct {
	File string
	// Section and Key are empty where the fault is not in a key.
	Section string
	Key     string
	Value   string
	// Accepted is the accepted range, or empty where it does not apply.
	Accepted string
	Text     string
}

func (e Error) Error() string {
	var b strings.Builder
	b.WriteString(e.File)
	if e.Section != "" {
		fmt.Fprintf(&b, ": [%s]", e.Section)
	}
	if e.Key != "" {
		fmt.Fprintf(&b, " %s = %q", e.Key, e.Value)
	}
	b.WriteString(": " + e.Text)
	if e.Accepted != "" {
		b.WriteString("; accepted: " + e.Accepted)
	}
	return b.String()
}

// Errors is every fault of a file.
type Errors []Error

func (e Errors) Error() string {
	lines := make([]string, len(e))
	for i := range e {
		lines[i] = e[i].Error()
	}
	return strings.Join(lines, "\n")
}

type parser struct {
	path     string
	settings *Settings
	errs     Errors
}

func (p *parser) fail(e Error) {
	e.File = p.path
	p.errs = append(p.errs, e)
}

func find(section, key string) *Key {
	for i := range keys {
		if keys[i].Section == section && keys[i].Name == key {
			return &keys[i]
		}
	}
	return nil
}

func sectionNames() []string {
	var out []string
	for i := range keys {
		if len(out) == 0 || out[len(out)-1] != keys[i].Section {
			out = append(out, keys[i].Section)
		}
	}
	return out
}

func (p *parser) section(section *ini.Section) {
	name := section.Name()
	if name == ini.DefaultSection {
		for _, k := range section.Keys() {
			p.fail(Error{Key: k.Name(), Value: k.Value(), Text: "key before the first section"})
		}
		return
	}
	known := false
	for _, s := range sectionNames() {
		known = known || s == name
	}
	if !known {
		p.fail(Error{Section: name, Text: "unknown section" + suggest(name, sectionNames(), "[%s]")})
		return
	}
	for _, k := range section.Keys() {
		p.key(name, k)
	}
}

func (p *parser) key(section string, k *ini.Key) {
	// Value is the raw text; String would expand %(name)s.
	value := k.Value()
	known := find(section, k.Name())
	if known == nil {
		p.fail(Error{Section: section, Key: k.Name(), Value: value, Text: "unknown key" + suggestKey(section, k.Name())})
		return
	}
	if n := len(k.ValueWithShadows()); n > 1 {
		p.fail(Error{Section: section, Key: k.Name(), Value: value, Text: fmt.Sprintf("given %d times", n), Accepted: "once"})
		return
	}
	if err := known.set(p.settings, value); err != nil {
		p.fail(Error{Section: section, Key: k.Name(), Value: value, Text: err.Error(), Accepted: known.Range})
	}
}

// missing reports the required keys that the file does not give.
func (p *parser) missing(file *ini.File) {
	for i := range keys {
		if k := &keys[i]; k.Required && !file.Section(k.Section).HasKey(k.Name) {
			p.fail(Error{Section: k.Section, Key: k.Name, Text: "missing", Accepted: k.Range})
		}
	}
}

// cross checks keys against one another.
func (p *parser) cross() {
	s := p.settings
	p.advertised("advertise_caller", s.Listen.Caller, s.Listen.AdvertiseCaller)
	p.advertised("advertise_peer", s.Listen.Peer, s.Listen.AdvertisePeer)
	if s.Listen.DNS.IsValid() && s.Lookup.Zone == "" {
		p.fail(Error{Section: "lookup", Key: "zone", Text: "needed because [listen] dns is on", Accepted: find("lookup", "zone").Range})
	}
	if s.Node.LookupGrace < s.Lookup.TTL {
		p.fail(Error{
			Section: "node", Key: "lookup_grace", Value: short(s.Node.LookupGrace),
			Text:     "callers keep using the VM for as long as they may keep an answer",
			Accepted: fmt.Sprintf("at least [lookup] ttl, which is %s", short(s.Lookup.TTL)),
		})
	}
	p.together("caller_cert", s.TLS.CallerCert, "caller_key", s.TLS.CallerKey)
	p.together("admin_cert", s.TLS.AdminCert, "admin_key", s.TLS.AdminKey)
	p.together("peer_cert", s.TLS.PeerCert, "peer_key", s.TLS.PeerKey, "peer_ca", s.TLS.PeerCA)
	p.distinct()
}

// advertised checks that others can reach a listener by its address.
func (p *parser) advertised(key string, listen, advertise netip.AddrPort) {
	a := advertise
	if !a.IsValid() {
		a = listen
	}
	if listen.IsValid() && a.Addr().IsUnspecified() {
		value := ""
		if advertise.IsValid() {
			value = advertise.String()
		}
		p.fail(Error{
			Section: "listen", Key: key, Value: value,
			Text: fmt.Sprintf("the listener is on every address (%s), which others cannot connect to", listen), Accepted: addressRange,
		})
	}
}

// together checks that all or none of some keys are given. Pairs are name and
// value.
func (p *parser) together(pairs ...string) {
	given, absent := "", ""
	for i := 0; i < len(pairs); i += 2 {
		if pairs[i+1] != "" {
			given = pairs[i]
		} else {
			absent = pairs[i]
		}
	}
	if given != "" && absent != "" {
		p.fail(Error{Section: "tls", Key: absent, Text: "needed because " + given + " is given", Accepted: "a PEM file"})
	}
}

// distinct checks that no two TCP listeners share an address.
func (p *parser) distinct() {
	l := &p.settings.Listen
	seen := make(map[netip.AddrPort]string)
	for _, x := range []struct {
		key  string
		addr netip.AddrPort
	}{{"caller", l.Caller}, {"peer", l.Peer}, {"admin", l.Admin}, {"dns", l.DNS}} {
		if !x.addr.IsValid() {
			continue
		}
		if other, ok := seen[x.addr]; ok {
			p.fail(Error{Section: "listen", Key: x.key, Value: x.addr.String(), Text: "already used by " + other, Accepted: "an address of its own"})
		}
		seen[x.addr] = x.key
	}
}

// suggestKey names the closest key, of the same section or else of any.
func suggestKey(section, name string) string {
	var same []string
	for i := range keys {
		if keys[i].Section == section {
			same = append(same, keys[i].Name)
		} else if keys[i].Name == name {
			return fmt.Sprintf("; did you mean [%s] %s?", keys[i].Section, name)
		}
	}
	return suggest(name, same, "%s")
}

// suggest names the word closest to name, if one is close.
func suggest(name string, words []string, format string) string {
	best, bestDistance := "", 1+max(2, len(name)/3)
	for _, w := range words {
		if d := distance(name, w); d < bestDistance {
			best, bestDistance = w, d
		}
	}
	if best == "" {
		return "; known are " + strings.Join(words, ", ")
	}
	return "; did you mean " + fmt.Sprintf(format, best) + "?"
}

// distance is the number of insertions, removals and replacements of bytes that
// turn a into b.
func distance(a, b string) int {
	row := make([]int, len(b)+1)
	for j := range row {
		row[j] = j
	}
	for i := range len(a) {
		diagonal := row[0]
		row[0] = i + 1
		for j := range len(b) {
			cost := 1
			if a[i] == b[j] {
				cost = 0
			}
			next := min(row[j]+1, row[j+1]+1, diagonal+cost)
			diagonal, row[j+1] = row[j+1], next
		}
	}
	return row[len(b)]
}

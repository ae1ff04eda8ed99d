package settings

import (
	"fmt"
	"net/netip"
	"strings"

	"gopkg.in/ini.v1"
)

// Error is one error in a file.
type Error struct {
	File string
	// Section and Key are empty if the error is not in a section or key.
	Section string
	Key     string
	Value   string
	// Accepted describes the accepted values. It is empty if that does not apply.
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

// Errors holds all errors in a file.
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

func (p *parser) addError(e Error) {
	e.File = p.path
	p.errs = append(p.errs, e)
}

func findKey(section, key string) *Key {
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

func (p *parser) parseSection(section *ini.Section) {
	name := section.Name()
	if name == ini.DefaultSection {
		for _, k := range section.Keys() {
			p.addError(Error{Key: k.Name(), Value: k.Value(), Text: "key before the first section"})
		}
		return
	}
	isKnown := false
	for _, s := range sectionNames() {
		isKnown = isKnown || s == name
	}
	if !isKnown {
		p.addError(Error{Section: name, Text: "unknown section" + suggest(name, sectionNames(), "[%s]")})
		return
	}
	for _, k := range section.Keys() {
		p.parseKey(name, k)
	}
}

func (p *parser) parseKey(section string, k *ini.Key) {
	// Value returns the raw text; String would expand %(name)s.
	value := k.Value()
	definition := findKey(section, k.Name())
	if definition == nil {
		p.addError(Error{Section: section, Key: k.Name(), Value: value, Text: "unknown key" + suggestKey(section, k.Name())})
		return
	}
	if n := len(k.ValueWithShadows()); n > 1 {
		p.addError(Error{Section: section, Key: k.Name(), Value: value, Text: fmt.Sprintf("given %d times", n), Accepted: "once"})
		return
	}
	if err := definition.set(p.settings, value); err != nil {
		p.addError(Error{Section: section, Key: k.Name(), Value: value, Text: err.Error(), Accepted: definition.Range})
	}
}

// checkRequired adds an error for each required key that the file does not contain.
func (p *parser) checkRequired(file *ini.File) {
	for i := range keys {
		if k := &keys[i]; k.Required && !file.Section(k.Section).HasKey(k.Name) {
			p.addError(Error{Section: k.Section, Key: k.Name, Text: "missing", Accepted: k.Range})
		}
	}
}

// checkAcrossKeys checks the conditions that involve several keys.
func (p *parser) checkAcrossKeys() {
	s := p.settings
	p.checkAdvertised("advertise_caller", s.Listen.Caller, s.Listen.AdvertiseCaller)
	p.checkAdvertised("advertise_peer", s.Listen.Peer, s.Listen.AdvertisePeer)
	if s.Listen.DNS.IsValid() && s.Lookup.Zone == "" {
		p.addError(Error{Section: "lookup", Key: "zone", Text: "needed because [listen] dns is on", Accepted: findKey("lookup", "zone").Range})
	}
	if s.Node.LookupGrace < s.Lookup.TTL {
		p.addError(Error{
			Section: "node", Key: "lookup_grace", Value: shortDuration(s.Node.LookupGrace),
			Text:     "callers keep using the VM for as long as they may keep an answer",
			Accepted: fmt.Sprintf("at least [lookup] ttl, which is %s", shortDuration(s.Lookup.TTL)),
		})
	}
	p.checkGivenTogether("caller_cert", s.TLS.CallerCert, "caller_key", s.TLS.CallerKey)
	p.checkGivenTogether("admin_cert", s.TLS.AdminCert, "admin_key", s.TLS.AdminKey)
	p.checkGivenTogether("peer_cert", s.TLS.PeerCert, "peer_key", s.TLS.PeerKey, "peer_ca", s.TLS.PeerCA)
	p.checkDistinct()
}

// checkAdvertised checks that the advertised address of a listener, or else its own, is one
// to which others can connect.
func (p *parser) checkAdvertised(key string, listen, advertise netip.AddrPort) {
	a := advertise
	if !a.IsValid() {
		a = listen
	}
	if listen.IsValid() && a.Addr().IsUnspecified() {
		value := ""
		if advertise.IsValid() {
			value = advertise.String()
		}
		p.addError(Error{
			Section: "listen", Key: key, Value: value,
			Text: fmt.Sprintf("the listener is on every address (%s), which others cannot connect to", listen), Accepted: addressRange,
		})
	}
}

// checkGivenTogether checks that either all or none of some keys of [tls] have a value. pairs
// holds the name and the value of each key in turn.
func (p *parser) checkGivenTogether(pairs ...string) {
	given, absent := "", ""
	for i := 0; i < len(pairs); i += 2 {
		if pairs[i+1] != "" {
			given = pairs[i]
		} else {
			absent = pairs[i]
		}
	}
	if given != "" && absent != "" {
		p.addError(Error{Section: "tls", Key: absent, Text: "needed because " + given + " is given", Accepted: "a PEM file"})
	}
}

// checkDistinct checks that no two listeners share an address.
func (p *parser) checkDistinct() {
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
			p.addError(Error{Section: "listen", Key: x.key, Value: x.addr.String(), Text: "already used by " + other, Accepted: "an address of its own"})
		}
		seen[x.addr] = x.key
	}
}

// suggestKey returns a hint with the key of the same name in another section, or else with
// the most similar key of the section.
func suggestKey(section, name string) string {
	var sameSection []string
	for i := range keys {
		if keys[i].Section == section {
			sameSection = append(sameSection, keys[i].Name)
		} else if keys[i].Name == name {
			return fmt.Sprintf("; did you mean [%s] %s?", keys[i].Section, name)
		}
	}
	return suggest(name, sameSection, "%s")
}

// suggest returns a hint with the word most similar to name, or with all words if none is
// similar enough.
func suggest(name string, words []string, format string) string {
	best, bestDistance := "", 1+max(2, len(name)/3)
	for _, w := range words {
		if d := editDistance(name, w); d < bestDistance {
			best, bestDistance = w, d
		}
	}
	if best == "" {
		return "; known are " + strings.Join(words, ", ")
	}
	return "; did you mean " + fmt.Sprintf(format, best) + "?"
}

// editDistance is the Levenshtein distance of a and b in bytes.
func editDistance(a, b string) int {
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

package admin

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/netip"
	"slices"
	"strings"

	"github.com/currantferry/currantferry/config"
	"github.com/currantferry/currantferry/register"
	"github.com/currantferry/currantferry/rules"
)

// identity is the authenticated sender of a request.
type identity struct {
	// name is the team's name, or "local" for a loopback address if no teams are
	// configured.
	name string
	// platform means that the identity may change everything.
	platform bool
}

// identify authenticates a request: by its token, or by its loopback address if
// no teams are configured.
func identify(r *http.Request, ruleSet *rules.Rules) (identity, error) {
	if len(ruleSet.Teams) == 0 {
		from, err := netip.ParseAddrPort(r.RemoteAddr)
		if err != nil || !from.Addr().Unmap().IsLoopback() {
			return identity{}, newProblem(http.StatusForbidden, "No teams are configured, so only the loopback address of a VM may make changes.",
				"Make the change on the VM itself, or add teams to the rules there.")
		}
		return identity{name: "local", platform: true}, nil
	}
	token, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok || token == "" {
		return identity{}, newProblem(http.StatusUnauthorized, "A change needs a token.", "Send it as Authorization: Bearer TOKEN, or set CURRANTFERRY_TOKEN.")
	}
	team := ruleSet.TeamOf(token)
	if team == nil {
		return identity{}, newProblem(http.StatusUnauthorized, "The token belongs to no team.", "Check the token; it may have been replaced.")
	}
	return identity{name: team.Name, platform: team.Platform}, nil
}

// canSeeTokenHashes reports whether the sender of a request may change everything, which
// is required to read the hashes of tokens.
func canSeeTokenHashes(r *http.Request, ruleSet *rules.Rules) bool {
	who, err := identify(r, ruleSet)
	return err == nil && who.platform
}

// checkPermission checks that a team changes only services that it owns. The
// owner is checked in the content before and after the change and in current,
// the version in force, which may assign a service to another team.
func checkPermission(who identity, current *config.Snapshot, before, after config.Content) error {
	if who.platform {
		return nil
	}
	owns := func(service string) bool {
		for _, r := range []*register.Register{current.Register, before.Register} {
			if s := r.Service(service); s == nil || s.Team != who.name {
				return false
			}
		}
		s := after.Register.Service(service)
		return s == nil || s.Team == who.name
	}
	denied := func(what string) error {
		return newProblem(http.StatusForbidden, "Team "+who.name+" may not change "+what+".", "Ask the team that owns it, or a platform team.")
	}
	for _, name := range changedServices(before.Register, after.Register) {
		if !owns(name) {
			return denied("service " + name)
		}
	}
	// A change that keeps the stored client blocks cannot alter them, so they are
	// not compared.
	if before.Kept == after.Kept && before.Kept != nil {
		before.Kept, after.Kept = nil, nil
	}
	if !equalJSON(withoutServices(before), withoutServices(after)) {
		return denied("regions, links, sites or client blocks")
	}
	for _, service := range changedCaps(before.Rules, after.Rules) {
		if !owns(service) {
			return denied("the cap of " + service)
		}
	}
	for _, d := range changedDrains(before.Rules, after.Rules) {
		service := serviceOfInstance(before.Register, d.Target)
		if d.Kind != rules.TargetInstance || !owns(service) {
			return denied("drains of " + string(d.Kind) + " " + d.Target)
		}
	}
	a, b := *before.Rules, *after.Rules
	a.Caps, a.Drains, b.Caps, b.Drains = nil, nil, nil, nil
	if !equalJSON(a, b) {
		return denied("teams or budgets")
	}
	return nil
}

// withoutServices returns the register without its services, and with its client
// blocks sorted, so that their order does not matter in a comparison.
func withoutServices(c config.Content) *register.Register {
	r := *c.Register
	r.Services = nil
	r.Blocks = slices.Clone(c.Blocks())
	slices.SortFunc(r.Blocks, func(a, b register.Block) int {
		if order := a.Prefix.Addr().Compare(b.Prefix.Addr()); order != 0 {
			return order
		}
		return a.Prefix.Bits() - b.Prefix.Bits()
	})
	return &r
}

// equalJSON compares the JSON encodings, in which absent and empty optional
// fields are equal.
func equalJSON(a, b any) bool {
	x, err1 := json.Marshal(a)
	y, err2 := json.Marshal(b)
	return err1 == nil && err2 == nil && bytes.Equal(x, y)
}

// changedKeys returns the keys of the elements that were added, changed or
// removed between two lists.
func changedKeys[T any](a, b []T, key func(*T) string) []string {
	old := make(map[string]*T, len(a))
	for i := range a {
		old[key(&a[i])] = &a[i]
	}
	var out []string
	for i := range b {
		k := key(&b[i])
		if o, ok := old[k]; !ok || !equalJSON(o, &b[i]) {
			out = append(out, k)
		}
		delete(old, k)
	}
	for i := range a {
		if _, removed := old[key(&a[i])]; removed {
			out = append(out, key(&a[i]))
		}
	}
	return out
}

func changedServices(a, b *register.Register) []string {
	return changedKeys(a.Services, b.Services, func(s *register.Service) string { return s.Name })
}

func changedCaps(a, b *rules.Rules) []string {
	return changedKeys(a.Caps, b.Caps, func(c *rules.Cap) string { return c.Service })
}

// changedDrains returns the drains that differ, each as it is in a and in b.
func changedDrains(a, b *rules.Rules) []rules.Drain {
	var out []rules.Drain
	for _, id := range changedKeys(a.Drains, b.Drains, func(d *rules.Drain) string { return d.ID }) {
		for _, list := range [][]rules.Drain{a.Drains, b.Drains} {
			for _, d := range list {
				if d.ID == id {
					out = append(out, d)
				}
			}
		}
	}
	return out
}

// serviceOfInstance returns the service that an instance belongs to, or "".
func serviceOfInstance(r *register.Register, instance string) string {
	for i := range r.Services {
		for j := range r.Services[i].Instances {
			if r.Services[i].Instances[j].ID == instance {
				return r.Services[i].Name
			}
		}
	}
	return ""
}

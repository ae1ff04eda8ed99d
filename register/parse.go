package register

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"strings"

	"github.com/pkg/errors"
)

// Accepted ranges of the register's fields.
const (
	MaxTimeoutMillis  = 10 * 60 * 1000
	MaxPriority       = 9
	MaxSlots          = 10_000
	MaxConnections    = 100_000
	MaxInstances      = 100_000
	MaxNameLength     = 63
	MaxOneWayMillis   = 10_000
	MaxLinkBitsPerSec = int64(100e12)
)

// FieldError is one fault of an imported register.
type FieldError struct {
	// Line in the input, from 1. Zero means that it is not known.
	Line  int
	Field string
	Text  string
}

func (e FieldError) Error() string {
	if e.Line > 0 {
		return fmt.Sprintf("line %d: %s: %s", e.Line, e.Field, e.Text)
	}
	return e.Field + ": " + e.Text
}

// Errors is every fault that Parse found.
type Errors []FieldError

func (e Errors) Error() string {
	lines := make([]string, len(e))
	for i := range e {
		lines[i] = e[i].Error()
	}
	return strings.Join(lines, "\n")
}

// Parse reads the JSON form and validates it. The error is an Errors with every
// fault where the input is valid JSON of the right types.
func Parse(data []byte) (*Register, error) {
	r := new(Register)
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	if err := dec.Decode(r); err != nil {
		return nil, decodeError(data, dec.InputOffset(), err)
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return nil, Errors{{Line: lineAt(data, dec.InputOffset()), Field: "register", Text: "data after the end of the object"}}
	}
	if errs := r.Validate(); len(errs) > 0 {
		locate(data, errs)
		return nil, errs
	}
	return r, nil
}

func decodeError(data []byte, offset int64, err error) error {
	field := "register"
	var syntax *json.SyntaxError
	var typed *json.UnmarshalTypeError
	switch {
	case errors.As(err, &syntax):
		offset = syntax.Offset
	case errors.As(err, &typed):
		offset = typed.Offset
		field = typed.Field
	}
	return Errors{{Line: lineAt(data, offset), Field: field, Text: err.Error()}}
}

func lineAt(data []byte, offset int64) int {
	offset = min(max(offset, 0), int64(len(data)))
	return 1 + bytes.Count(data[:offset], []byte("\n"))
}

// Validate returns every fault of the register.
func (r *Register) Validate() Errors {
	v := &validator{r: r, dataCentres: make(map[string]bool), regions: make(map[string]bool)}
	v.places()
	v.links()
	v.services()
	v.sites()
	return v.errs
}

type validator struct {
	r           *Register
	dataCentres map[string]bool
	regions     map[string]bool
	errs        Errors
}

func (v *validator) fail(field, format string, args ...any) {
	v.errs = append(v.errs, FieldError{Field: field, Text: fmt.Sprintf(format, args...)})
}

func (v *validator) name(field, name string) {
	if name == "" || len(name) > MaxNameLength || strings.Trim(name, "abcdefghijklmnopqrstuvwxyz0123456789-") != "" {
		v.fail(field, "%q is not a name of 1 to %d lower-case letters, digits and hyphens", name, MaxNameLength)
	}
}

func (v *validator) inRange(field string, value, low, high int64) {
	if value < low || value > high {
		v.fail(field, "%d is outside %d to %d", value, low, high)
	}
}

func (v *validator) places() {
	if len(v.r.Regions) == 0 {
		v.fail("regions", "at least one region is needed")
	}
	for i, region := range v.r.Regions {
		field := fmt.Sprintf("regions[%d]", i)
		v.name(field+".name", region.Name)
		if v.regions[region.Name] {
			v.fail(field+".name", "region %q appears twice", region.Name)
		}
		v.regions[region.Name] = true
		if len(region.DataCentres) == 0 {
			v.fail(field+".data_centres", "at least one data centre is needed")
		}
		for j, dc := range region.DataCentres {
			dcField := fmt.Sprintf("%s.data_centres[%d].name", field, j)
			v.name(dcField, dc.Name)
			if v.dataCentres[dc.Name] {
				v.fail(dcField, "data centre %q appears twice", dc.Name)
			}
			v.dataCentres[dc.Name] = true
		}
	}
}

func (v *validator) links() {
	seen := make(map[[2]string]bool)
	for i, l := range v.r.Links {
		field := fmt.Sprintf("links[%d]", i)
		v.knownRegion(field+".a", l.A)
		v.knownRegion(field+".b", l.B)
		if l.A == l.B {
			v.fail(field+".b", "a link joins two different regions")
		}
		pair := [2]string{min(l.A, l.B), max(l.A, l.B)}
		if seen[pair] {
			v.fail(field, "the link between %q and %q appears twice", l.A, l.B)
		}
		seen[pair] = true
		v.inRange(field+".bits_per_second", l.BitsPerSecond, 1, MaxLinkBitsPerSec)
		if l.OneWayMillis < 0 || l.OneWayMillis > MaxOneWayMillis {
			v.fail(field+".one_way_ms", "%g is outside 0 to %d", l.OneWayMillis, MaxOneWayMillis)
		}
	}
}

func (v *validator) knownRegion(field, name string) {
	if !v.regions[name] {
		v.fail(field, "region %q is not in regions", name)
	}
}

func (v *validator) services() {
	names := make(map[string]bool)
	ids := make(map[string]bool)
	for i := range v.r.Services {
		s := &v.r.Services[i]
		field := fmt.Sprintf("services[%d]", i)
		v.name(field+".name", s.Name)
		if names[s.Name] {
			v.fail(field+".name", "service %q appears twice", s.Name)
		}
		names[s.Name] = true
		v.inRange(field+".timeout_ms", int64(s.TimeoutMillis), 0, MaxTimeoutMillis)
		v.inRange(field+".priority", int64(s.Priority), 0, MaxPriority)
		v.inRange(field+".instances", int64(len(s.Instances)), 0, MaxInstances)
		v.routes(field, s.Routes)
		for j := range s.Instances {
			instance := &s.Instances[j]
			instanceField := fmt.Sprintf("%s.instances[%d]", field, j)
			if ids[instance.ID] {
				v.fail(instanceField+".id", "instance %q appears twice", instance.ID)
			}
			ids[instance.ID] = true
			v.instance(instanceField, instance)
		}
	}
}

func (v *validator) routes(field string, routes []Route) {
	for i, route := range routes {
		routeField := fmt.Sprintf("%s.routes[%d]", field, i)
		switch route.Method {
		case "", http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut, http.MethodPatch, http.MethodDelete, http.MethodOptions:
		default:
			v.fail(routeField+".method", "%q is not an HTTP method", route.Method)
		}
		if !strings.HasPrefix(route.Prefix, "/") {
			v.fail(routeField+".prefix", "%q does not start with /", route.Prefix)
		}
		if route.Class != "" && route.Class != "short" && route.Class != "long" {
			v.fail(routeField+".class", "%q is neither short nor long", route.Class)
		}
	}
}

func (v *validator) instance(field string, i *Instance) {
	v.name(field+".id", i.ID)
	if _, err := netip.ParseAddrPort(i.Address); err != nil {
		v.fail(field+".address", "%q is not an IP address and port", i.Address)
	}
	if !v.dataCentres[i.DataCentre] {
		v.fail(field+".data_centre", "data centre %q is not in regions", i.DataCentre)
	}
	v.inRange(field+".slots", int64(i.Slots), 1, MaxSlots)
	v.inRange(field+".max_connections", int64(i.MaxConnections), 0, MaxConnections)
}

func (v *validator) sites() {
	sites := make(map[string]bool, len(v.r.Sites))
	for i, s := range v.r.Sites {
		field := fmt.Sprintf("sites[%d]", i)
		v.name(field+".name", s.Name)
		if sites[s.Name] {
			v.fail(field+".name", "site %q appears twice", s.Name)
		}
		sites[s.Name] = true
		for j, dc := range s.DataCentres {
			if !v.dataCentres[dc] {
				v.fail(fmt.Sprintf("%s.data_centres[%d]", field, j), "data centre %q is not in regions", dc)
			}
		}
	}
	blocks := make(map[netip.Prefix]bool, len(v.r.Blocks))
	for i, b := range v.r.Blocks {
		field := fmt.Sprintf("blocks[%d]", i)
		if !b.Prefix.IsValid() || b.Prefix != b.Prefix.Masked() {
			v.fail(field+".prefix", "%q is not a prefix without host bits", b.Prefix)
		}
		if blocks[b.Prefix] {
			v.fail(field+".prefix", "block %s appears twice", b.Prefix)
		}
		blocks[b.Prefix] = true
		if !sites[b.Site] {
			v.fail(field+".site", "site %q is not in sites", b.Site)
		}
	}
}

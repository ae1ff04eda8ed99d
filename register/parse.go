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

// FieldError is an error in one field of an imported register.
type FieldError struct {
	// Line is the line in the input, from 1. Zero means that it is not known.
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

// Errors is the list of all errors found by Parse or Validate.
type Errors []FieldError

func (e Errors) Error() string {
	lines := make([]string, len(e))
	for i := range e {
		lines[i] = e[i].Error()
	}
	return strings.Join(lines, "\n")
}

// Parse decodes a register from JSON and validates it. Errors are of type Errors.
// For input that decodes, they include all errors that Validate finds, with their
// lines; otherwise only the first syntax or type error.
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
		setLines(data, errs)
		return nil, errs
	}
	return r, nil
}

// decodeError converts an error of the JSON decoder at offset to an Errors.
func decodeError(data []byte, offset int64, err error) error {
	field := "register"
	var syntaxError *json.SyntaxError
	var typeError *json.UnmarshalTypeError
	switch {
	case errors.As(err, &syntaxError):
		offset = syntaxError.Offset
	case errors.As(err, &typeError):
		offset = typeError.Offset
		field = typeError.Field
	}
	return Errors{{Line: lineAt(data, offset), Field: field, Text: err.Error()}}
}

// lineAt returns the number of the line that contains the byte at offset.
func lineAt(data []byte, offset int64) int {
	offset = min(max(offset, 0), int64(len(data)))
	return 1 + bytes.Count(data[:offset], []byte("\n"))
}

// Validate returns all errors in the register.
func (r *Register) Validate() Errors {
	v := &validator{r: r, dataCentres: make(map[string]bool), regions: make(map[string]bool)}
	v.checkRegions()
	v.checkLinks()
	v.checkServices()
	v.checkSites()
	return v.errs
}

// validator checks a register and collects the errors.
type validator struct {
	r           *Register
	dataCentres map[string]bool
	regions     map[string]bool
	errs        Errors
}

func (v *validator) addError(field, format string, args ...any) {
	v.errs = append(v.errs, FieldError{Field: field, Text: fmt.Sprintf(format, args...)})
}

func (v *validator) checkName(field, name string) {
	if name == "" || len(name) > MaxNameLength || strings.Trim(name, "abcdefghijklmnopqrstuvwxyz0123456789-") != "" {
		v.addError(field, "%q is not a name of 1 to %d lower-case letters, digits and hyphens", name, MaxNameLength)
	}
}

func (v *validator) checkRange(field string, value, low, high int64) {
	if value < low || value > high {
		v.addError(field, "%d is outside %d to %d", value, low, high)
	}
}

func (v *validator) checkRegions() {
	if len(v.r.Regions) == 0 {
		v.addError("regions", "at least one region is needed")
	}
	for i, region := range v.r.Regions {
		field := fmt.Sprintf("regions[%d]", i)
		v.checkName(field+".name", region.Name)
		if v.regions[region.Name] {
			v.addError(field+".name", "region %q appears twice", region.Name)
		}
		v.regions[region.Name] = true
		if len(region.DataCentres) == 0 {
			v.addError(field+".data_centres", "at least one data centre is needed")
		}
		for j, dc := range region.DataCentres {
			dcField := fmt.Sprintf("%s.data_centres[%d].name", field, j)
			v.checkName(dcField, dc.Name)
			if v.dataCentres[dc.Name] {
				v.addError(dcField, "data centre %q appears twice", dc.Name)
			}
			v.dataCentres[dc.Name] = true
		}
	}
}

func (v *validator) checkLinks() {
	seen := make(map[[2]string]bool)
	for i, l := range v.r.Links {
		field := fmt.Sprintf("links[%d]", i)
		v.checkRegionExists(field+".a", l.A)
		v.checkRegionExists(field+".b", l.B)
		if l.A == l.B {
			v.addError(field+".b", "a link joins two different regions")
		}
		pair := [2]string{min(l.A, l.B), max(l.A, l.B)}
		if seen[pair] {
			v.addError(field, "the link between %q and %q appears twice", l.A, l.B)
		}
		seen[pair] = true
		v.checkRange(field+".bits_per_second", l.BitsPerSecond, 1, MaxLinkBitsPerSec)
		if l.OneWayMillis < 0 || l.OneWayMillis > MaxOneWayMillis {
			v.addError(field+".one_way_ms", "%g is outside 0 to %d", l.OneWayMillis, MaxOneWayMillis)
		}
	}
}

func (v *validator) checkRegionExists(field, name string) {
	if !v.regions[name] {
		v.addError(field, "region %q is not in regions", name)
	}
}

func (v *validator) checkServices() {
	names := make(map[string]bool)
	ids := make(map[string]bool)
	for i := range v.r.Services {
		s := &v.r.Services[i]
		field := fmt.Sprintf("services[%d]", i)
		v.checkName(field+".name", s.Name)
		if names[s.Name] {
			v.addError(field+".name", "service %q appears twice", s.Name)
		}
		names[s.Name] = true
		v.checkRange(field+".timeout_ms", int64(s.TimeoutMillis), 0, MaxTimeoutMillis)
		v.checkRange(field+".priority", int64(s.Priority), 0, MaxPriority)
		v.checkRange(field+".instances", int64(len(s.Instances)), 0, MaxInstances)
		v.checkRoutes(field, s.Routes)
		for j := range s.Instances {
			instance := &s.Instances[j]
			instanceField := fmt.Sprintf("%s.instances[%d]", field, j)
			if ids[instance.ID] {
				v.addError(instanceField+".id", "instance %q appears twice", instance.ID)
			}
			ids[instance.ID] = true
			v.checkInstance(instanceField, instance)
		}
	}
}

func (v *validator) checkRoutes(field string, routes []Route) {
	for i, route := range routes {
		routeField := fmt.Sprintf("%s.routes[%d]", field, i)
		switch route.Method {
		case "", http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut, http.MethodPatch, http.MethodDelete, http.MethodOptions:
		default:
			v.addError(routeField+".method", "%q is not an HTTP method", route.Method)
		}
		if !strings.HasPrefix(route.Prefix, "/") {
			v.addError(routeField+".prefix", "%q does not start with /", route.Prefix)
		}
		if route.Class != "" && route.Class != "short" && route.Class != "long" {
			v.addError(routeField+".class", "%q is neither short nor long", route.Class)
		}
	}
}

func (v *validator) checkInstance(field string, i *Instance) {
	v.checkName(field+".id", i.ID)
	if _, err := netip.ParseAddrPort(i.Address); err != nil {
		v.addError(field+".address", "%q is not an IP address and port", i.Address)
	}
	if !v.dataCentres[i.DataCentre] {
		v.addError(field+".data_centre", "data centre %q is not in regions", i.DataCentre)
	}
	v.checkRange(field+".slots", int64(i.Slots), 1, MaxSlots)
	v.checkRange(field+".max_connections", int64(i.MaxConnections), 0, MaxConnections)
}

func (v *validator) checkSites() {
	sites := make(map[string]bool, len(v.r.Sites))
	for i, s := range v.r.Sites {
		field := fmt.Sprintf("sites[%d]", i)
		v.checkName(field+".name", s.Name)
		if sites[s.Name] {
			v.addError(field+".name", "site %q appears twice", s.Name)
		}
		sites[s.Name] = true
		for j, dc := range s.DataCentres {
			if !v.dataCentres[dc] {
				v.addError(fmt.Sprintf("%s.data_centres[%d]", field, j), "data centre %q is not in regions", dc)
			}
		}
	}
	blocks := make(map[netip.Prefix]bool, len(v.r.Blocks))
	for i, b := range v.r.Blocks {
		field := fmt.Sprintf("blocks[%d]", i)
		if !b.Prefix.IsValid() || b.Prefix != b.Prefix.Masked() {
			v.addError(field+".prefix", "%q is not a prefix without host bits", b.Prefix)
		}
		if blocks[b.Prefix] {
			v.addError(field+".prefix", "block %s appears twice", b.Prefix)
		}
		blocks[b.Prefix] = true
		if !sites[b.Site] {
			v.addError(field+".site", "site %q is not in sites", b.Site)
		}
	}
}

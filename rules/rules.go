// Package rules models the operators' settings on top of the asset register: caps on
// traffic shifts, drains, retry and hedge budgets, and the teams that may change the
// configuration.
package rules

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"
	"time"
)

// Rules is one snapshot of the operators' rules. It is immutable.
type Rules struct {
	Caps   []Cap   `json:"caps,omitempty"`
	Drains []Drain `json:"drains,omitempty"`
	// RetryPercent bounds retries as a percentage of requests. Zero means 10.
	RetryPercent float64 `json:"retry_percent,omitempty"`
	// HedgePercent bounds hedged reads as a percentage of requests.
	// Zero means 2, negative turns hedging off.
	HedgePercent float64 `json:"hedge_percent,omitempty"`
	// HeadroomPercent is the percentage of each region's slots and of each link
	// that traffic from other regions may not use. Zero means 10.
	HeadroomPercent float64 `json:"headroom_percent,omitempty"`
	// Teams may change the configuration through the administration API. If empty,
	// only clients on a VM's loopback address may.
	Teams []Team `json:"teams,omitempty"`
}

// AnyService is the service of a cap for every service without a cap of its own.
const AnyService = "*"

// Cap limits how much of a service's traffic is shifted between regions.
// Percentages are of the service's whole traffic.
type Cap struct {
	Service string `json:"service"`
	// StepPercent bounds what one plan shifts. Zero means 5.
	StepPercent float64 `json:"step_percent,omitempty"`
	// MinutePercent bounds what is shifted within any 60 s. Zero means 10.
	MinutePercent float64 `json:"minute_percent,omitempty"`
	// FailoverPercent is the allowance agreed in advance for the loss of a region.
	// It bounds what other regions take over at once. Zero means 34.
	FailoverPercent float64 `json:"failover_percent,omitempty"`
}

// Defaults that replace zero values.
const (
	DefaultRetryPercent    = 10
	DefaultHedgePercent    = 2
	DefaultHeadroomPercent = 10
	DefaultStepPercent     = 5
	DefaultMinutePercent   = 10
	DefaultFailoverPercent = 34
)

// TargetKind is the kind of a drain's target.
type TargetKind string

// Kinds of drain targets.
const (
	TargetInstance   TargetKind = "instance"
	TargetDataCentre TargetKind = "data-centre"
	TargetRegion     TargetKind = "region"
	TargetVM         TargetKind = "vm"
)

// Drain takes a target out of service.
type Drain struct {
	ID     string     `json:"id"`
	Kind   TargetKind `json:"kind"`
	Target string     `json:"target"`
	// Start is when new work stops. The zero time means at once.
	Start time.Time `json:"start,omitzero"`
	// End is when the drain ends and the ramp of its target starts. The zero time
	// means that the drain lasts until it is cancelled.
	End    time.Time `json:"end,omitzero"`
	Reason string    `json:"reason,omitempty"`
	By     string    `json:"by,omitempty"`
}

// IsActive reports whether the drain is in effect at now.
func (d *Drain) IsActive(now time.Time) bool {
	return !now.Before(d.Start) && (d.End.IsZero() || now.Before(d.End))
}

// Cap returns the cap of a service with defaults filled in.
func (r *Rules) Cap(service string) Cap {
	c := Cap{Service: service}
	for i := range r.Caps {
		if r.Caps[i].Service == service {
			c = r.Caps[i]
			break
		}
		if r.Caps[i].Service == AnyService {
			c = r.Caps[i]
			c.Service = service
		}
	}
	c.StepPercent = orDefault(c.StepPercent, DefaultStepPercent)
	c.MinutePercent = orDefault(c.MinutePercent, DefaultMinutePercent)
	c.FailoverPercent = orDefault(c.FailoverPercent, DefaultFailoverPercent)
	return c
}

// Retry returns the retry budget as a fraction of requests.
func (r *Rules) Retry() float64 { return orDefault(r.RetryPercent, DefaultRetryPercent) / 100 }

// Hedge returns the hedge budget as a fraction of requests.
func (r *Rules) Hedge() float64 {
	return max(0, orDefault(r.HedgePercent, DefaultHedgePercent)) / 100
}

// Headroom returns the fraction of each region's slots and of each link that traffic
// from other regions may not use.
func (r *Rules) Headroom() float64 {
	return orDefault(r.HeadroomPercent, DefaultHeadroomPercent) / 100
}

func orDefault(v, def float64) float64 {
	if v == 0 {
		return def
	}
	return v
}

// Errors lists the faults of invalid rules.
type Errors []string

func (e Errors) Error() string { return strings.Join(e, "\n") }

// Parse decodes rules from JSON and validates them.
func Parse(data []byte) (*Rules, error) {
	r := new(Rules)
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	if err := dec.Decode(r); err != nil {
		return nil, Errors{"rules: " + err.Error()}
	}
	if errs := r.Validate(); len(errs) > 0 {
		return nil, errs
	}
	return r, nil
}

// Validate returns every fault of the rules, each with the name of its field and, for
// a number, the accepted range.
func (r *Rules) Validate() Errors {
	var errs Errors
	check := func(field string, v, minValue, maxValue float64) {
		if v < minValue || v > maxValue {
			errs = append(errs, fmt.Sprintf("%s: %g is outside %g to %g", field, v, minValue, maxValue))
		}
	}
	check("retry_percent", r.RetryPercent, 0, 100)
	check("hedge_percent", r.HedgePercent, -1, 3)
	check("headroom_percent", r.HeadroomPercent, 0, 90)
	seen := make(map[string]bool)
	for i, c := range r.Caps {
		field := fmt.Sprintf("caps[%d]", i)
		if c.Service == "" || seen[c.Service] {
			errs = append(errs, field+".service: empty or named twice")
		}
		seen[c.Service] = true
		check(field+".step_percent", c.StepPercent, 0, 100)
		check(field+".minute_percent", c.MinutePercent, 0, 100)
		check(field+".failover_percent", c.FailoverPercent, 0, 100)
	}
	ids := make(map[string]bool)
	for i := range r.Drains {
		errs = append(errs, r.Drains[i].validate(fmt.Sprintf("drains[%d]", i), ids)...)
	}
	return append(errs, r.validateTeams()...)
}

// validate returns the faults of a drain and adds its ID to ids.
func (d *Drain) validate(field string, ids map[string]bool) Errors {
	var errs Errors
	if d.ID == "" || ids[d.ID] {
		errs = append(errs, field+".id: empty or used twice")
	}
	ids[d.ID] = true
	switch d.Kind {
	case TargetInstance, TargetDataCentre, TargetRegion, TargetVM:
	default:
		errs = append(errs, fmt.Sprintf("%s.kind: %q is not instance, data-centre, region or vm", field, d.Kind))
	}
	if d.Target == "" {
		errs = append(errs, field+".target: empty")
	}
	if !d.End.IsZero() && !d.End.After(d.Start) {
		errs = append(errs, field+".end: not after start")
	}
	return errs
}

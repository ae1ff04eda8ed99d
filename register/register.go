// Package register models the asset register: the inventory of places, links,
// services and instances that the system follows.
package register

import (
	"net/netip"
	"time"
)

// Register is one snapshot of the inventory. It is immutable after Parse.
type Register struct {
	// Name of the deployment, for reports.
	Name     string    `json:"name"`
	Regions  []Region  `json:"regions"`
	Links    []Link    `json:"links"`
	Services []Service `json:"services"`
	Sites    []Site    `json:"sites,omitempty"`
	Blocks   []Block   `json:"blocks,omitempty"`
}

// Region is a group of data centres with short links between them.
type Region struct {
	Name        string       `json:"name"`
	DataCentres []DataCentre `json:"data_centres"`
}

// DataCentre is a place with entry VMs and upstream instances.
type DataCentre struct {
	Name string `json:"name"`
}

// Link joins a pair of regions, with the same capacity each way.
type Link struct {
	A string `json:"a"`
	B string `json:"b"`
	// BitsPerSecond is the capacity each way for all traffic.
	BitsPerSecond int64 `json:"bits_per_second"`
	// OneWayMillis is the latency of one direction in milliseconds.
	OneWayMillis float64 `json:"one_way_ms"`
}

// Service is a set of instances that answer the same requests.
type Service struct {
	Name string `json:"name"`
	// Team owns the service in the administration API. Empty means the
	// platform's operators.
	Team string `json:"team,omitempty"`
	// TimeoutMillis is the deadline of a request that states none.
	// Zero means 10,000 ms.
	TimeoutMillis int `json:"timeout_ms,omitempty"`
	// Priority orders services when capacity is short, 0 to 9, 9 first.
	Priority  int        `json:"priority,omitempty"`
	Routes    []Route    `json:"routes,omitempty"`
	Instances []Instance `json:"instances"`
}

// DefaultTimeout is the deadline of a request where neither caller nor service
// states one.
const DefaultTimeout = 10 * time.Second

// Timeout returns the service's default deadline.
func (s *Service) Timeout() time.Duration {
	if s.TimeoutMillis <= 0 {
		return DefaultTimeout
	}
	return time.Duration(s.TimeoutMillis) * time.Millisecond
}

// Route refines how requests below a path are treated. The longest matching
// prefix wins; a route with a method goes before one without.
type Route struct {
	// Method is an HTTP method. Empty means any.
	Method string `json:"method,omitempty"`
	Prefix string `json:"prefix"`
	// Class is "short" or "long". Empty leaves it to declared length and
	// observed service time.
	Class string `json:"class,omitempty"`
	// Idempotent overrides the method's meaning. Nil means that GET, HEAD
	// and OPTIONS are idempotent and nothing else.
	Idempotent *bool `json:"idempotent,omitempty"`
	// RequireKey refuses requests without an Idempotency-Key.
	RequireKey bool `json:"require_key,omitempty"`
}

// Instance is one upstream process.
type Instance struct {
	ID string `json:"id"`
	// Address is an IP address and port.
	Address    string `json:"address"`
	DataCentre string `json:"data_centre"`
	// Slots is how many requests the instance runs at the same time.
	Slots int `json:"slots"`
	// MaxConnections bounds connections to the instance from all entry VMs.
	// Zero means 400.
	MaxConnections int `json:"max_connections,omitempty"`
}

// DefaultMaxConnections is the connection limit of an instance that states none.
const DefaultMaxConnections = 400

// Connections returns the connection limit.
func (i *Instance) Connections() int {
	if i.MaxConnections <= 0 {
		return DefaultMaxConnections
	}
	return i.MaxConnections
}

// Site is a place to which client blocks belong. DataCentres are in order of
// preference; data centres that are not named follow by region.
type Site struct {
	Name        string   `json:"name"`
	DataCentres []string `json:"data_centres"`
}

// Block assigns the clients of a prefix to a site.
type Block struct {
	Prefix netip.Prefix `json:"prefix"`
	Site   string       `json:"site"`
}

// RegionOf returns the region of a data centre, or "" if there is none.
func (r *Register) RegionOf(dataCentre string) string {
	for i := range r.Regions {
		for _, dc := range r.Regions[i].DataCentres {
			if dc.Name == dataCentre {
				return r.Regions[i].Name
			}
		}
	}
	return ""
}

// Service returns the named service, or nil.
func (r *Register) Service(name string) *Service {
	for i := range r.Services {
		if r.Services[i].Name == name {
			return &r.Services[i]
		}
	}
	return nil
}

// Link returns the link between two regions, or nil.
func (r *Register) Link(a, b string) *Link {
	for i := range r.Links {
		l := &r.Links[i]
		if (l.A == a && l.B == b) || (l.A == b && l.B == a) {
			return l
		}
	}
	return nil
}

// RegionNames returns the regions in the order of the register.
func (r *Register) RegionNames() []string {
	names := make([]string, len(r.Regions))
	for i := range r.Regions {
		names[i] = r.Regions[i].Name
	}
	return names
}

// DataCentreNames returns the data centres in the order of the register.
func (r *Register) DataCentreNames() []string {
	var names []string
	for i := range r.Regions {
		for _, dc := range r.Regions[i].DataCentres {
			names = append(names, dc.Name)
		}
	}
	return names
}

// Slots returns the sum of a service's slots in a region.
func (r *Register) Slots(service, region string) int {
	s := r.Service(service)
	if s == nil {
		return 0
	}
	sum := 0
	for i := range s.Instances {
		if r.RegionOf(s.Instances[i].DataCentre) == region {
			sum += s.Instances[i].Slots
		}
	}
	return sum
}

// Package register models the asset register: the inventory of regions, data
// centres, links, services, instances and client sites that the system uses.
package register

import (
	"net/netip"
	"time"
)

// Register is one snapshot of the inventory. It is immutable after Parse.
type Register struct {
	// Name is the name of the deployment, for reports.
	Name     string    `json:"name"`
	Regions  []Region  `json:"regions"`
	Links    []Link    `json:"links"`
	Services []Service `json:"services"`
	Sites    []Site    `json:"sites,omitempty"`
	Blocks   []Block   `json:"blocks,omitempty"`
}

// Region is a group of data centres with low latency between them.
type Region struct {
	Name        string       `json:"name"`
	DataCentres []DataCentre `json:"data_centres"`
}

// DataCentre is a location with entry VMs and upstream instances.
type DataCentre struct {
	Name string `json:"name"`
}

// Link connects a pair of regions with the same capacity in both directions.
type Link struct {
	A string `json:"a"`
	B string `json:"b"`
	// BitsPerSecond is the capacity of each direction for all traffic.
	BitsPerSecond int64 `json:"bits_per_second"`
	// OneWayMillis is the latency of one direction in milliseconds.
	OneWayMillis float64 `json:"one_way_ms"`
}

// Service is a set of instances that can all answer the same requests.
type Service struct {
	Name string `json:"name"`
	// Team is the owner of the service in the administration API. Empty means
	// the platform's operators.
	Team string `json:"team,omitempty"`
	// TimeoutMillis is the timeout of a request that specifies none. Zero means
	// 10,000 ms.
	TimeoutMillis int `json:"timeout_ms,omitempty"`
	// Priority decides which services are served first when capacity is short,
	// from 0 to 9; 9 is served first.
	Priority  int        `json:"priority,omitempty"`
	Routes    []Route    `json:"routes,omitempty"`
	Instances []Instance `json:"instances"`
}

// DefaultTimeout is the timeout of a request for which neither the caller nor the
// service specifies one.
const DefaultTimeout = 10 * time.Second

// Timeout returns the timeout of requests that specify none.
func (s *Service) Timeout() time.Duration {
	if s.TimeoutMillis <= 0 {
		return DefaultTimeout
	}
	return time.Duration(s.TimeoutMillis) * time.Millisecond
}

// Route sets how requests below a path are handled. The longest matching prefix
// applies; a route with a method takes precedence over one without.
type Route struct {
	// Method is an HTTP method. Empty means any.
	Method string `json:"method,omitempty"`
	Prefix string `json:"prefix"`
	// Class is "short" or "long". Empty means that the class follows from the
	// declared length and the observed service time.
	Class string `json:"class,omitempty"`
	// Idempotent overrides whether the method is treated as idempotent. Nil means
	// that only GET, HEAD and OPTIONS are.
	Idempotent *bool `json:"idempotent,omitempty"`
	// RequireKey rejects requests without an Idempotency-Key.
	RequireKey bool `json:"require_key,omitempty"`
}

// Instance is one upstream process.
type Instance struct {
	ID string `json:"id"`
	// Address is an IP address and port.
	Address    string `json:"address"`
	DataCentre string `json:"data_centre"`
	// Slots is how many requests the instance processes concurrently.
	Slots int `json:"slots"`
	// MaxConnections bounds the connections from all entry VMs to the instance
	// together. Zero means 400.
	MaxConnections int `json:"max_connections,omitempty"`
}

// DefaultMaxConnections is the connection limit of an instance that specifies none.
const DefaultMaxConnections = 400

// ConnectionLimit returns the connection limit of the instance.
func (i *Instance) ConnectionLimit() int {
	if i.MaxConnections <= 0 {
		return DefaultMaxConnections
	}
	return i.MaxConnections
}

// Site is a location of clients; client blocks are assigned to it. DataCentres is
// in order of preference; data centres that it does not list follow by region.
type Site struct {
	Name        string   `json:"name"`
	DataCentres []string `json:"data_centres"`
}

// Block assigns the clients with addresses in a prefix to a site.
type Block struct {
	Prefix netip.Prefix `json:"prefix"`
	Site   string       `json:"site"`
}

// RegionOf returns the name of the region of a data centre, or "" if the data
// centre is unknown.
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

// RegionNames returns the names of the regions in the order of the register.
func (r *Register) RegionNames() []string {
	names := make([]string, len(r.Regions))
	for i := range r.Regions {
		names[i] = r.Regions[i].Name
	}
	return names
}

// DataCentreNames returns the names of the data centres in the order of the
// register.
func (r *Register) DataCentreNames() []string {
	var names []string
	for i := range r.Regions {
		for _, dc := range r.Regions[i].DataCentres {
			names = append(names, dc.Name)
		}
	}
	return names
}

// Slots returns the total number of slots of a service in a region.
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

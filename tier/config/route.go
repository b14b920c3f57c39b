package config

import (
	"encoding/json"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Route maps the requests of one host name and path prefix to groups of upstreams. If
// several routes of a host name match, the one with the longest prefix applies.
type Route struct {
	// Name is unique among the routes.
	Name string
	// HostName is the Host header of the requests, without a port.
	HostName string
	// Prefix is the path prefix of the requests; it begins and ends with a slash.
	Prefix string
	// Repeatable is false for requests that must run at most once.
	Repeatable bool `json:",omitempty"`
	// MaxAttempts limits the upstreams that may run one request, counted per shard; 1 or
	// more.
	MaxAttempts int
	// TimeLimit is the longest time that a request may take; above 0.
	TimeLimit Duration
	// Objective is the latency within which an answer has its full value; above 0.
	Objective Duration
	// Priority is the rank of the requests; 0 is the most urgent.
	Priority int `json:",omitempty"`
	// Group is the single target group; empty with Split or Gather.
	Group string `json:",omitempty"`
	// Split distributes the requests among groups; empty with Group or Gather.
	Split []WeightedGroup `json:",omitempty"`
	// Gather sends each request to one upstream of each of many groups; nil with Group or
	// Split.
	Gather *Gather `json:",omitempty"`
	// Homes are the regions in which requests may be relayed and run, without duplicates;
	// empty for all regions.
	Homes []string `json:",omitempty"`
	// Fault says why a route of a translated document cannot be applied; nil if it can. Its
	// requests are refused.
	Fault *Error `json:"-"`
}

// WeightedGroup is a group of a split with its weight.
type WeightedGroup struct {
	Group string
	// Weight is relative to the sum of all weights; 0 or more.
	Weight float64
}

// Gather says how the answers of many groups, the shards, are merged into one.
type Gather struct {
	// Groups are the shards, without duplicates.
	Groups []string
	// Top is the number of greatest records that the answer holds; 1 or more.
	Top int
	// Coverage is the lowest fraction of shards, 0 to 1, that suffices for an answer.
	Coverage float64
}

// Group is a set of interchangeable upstreams. The directory says which upstreams belong
// to it.
type Group struct {
	Name string
	// Connections is the number of connections that each upstream accepts from all
	// callers together.
	Connections int
	// HealthPath is the path at which an upstream reports its health.
	HealthPath string `json:",omitempty"`
	// Warmup is how long an upstream is cold after it starts under traffic; 0 or more.
	Warmup Duration `json:",omitempty"`
	// ColdRate is the number of requests per second that a cold upstream can handle from
	// all hosts together; 0 for no limit.
	ColdRate float64 `json:",omitempty"`
}

// Limits bound what callers of routes may send. The built-in bounds apply to fields that are 0.
type Limits struct {
	// Header and Body are in bytes. Header bounds the fields of a head, and its first line.
	Header int64 `json:",omitempty"`
	Body   int64 `json:",omitempty"`
	// HeaderTime limits the time from the first byte of a head to its end, Idle the time between
	// requests.
	HeaderTime Duration `json:",omitempty"`
	Idle       Duration `json:",omitempty"`
}

// countTargets counts the kinds of targets that the route has; it needs exactly one.
func (r *Route) countTargets() int {
	n := 0
	for _, given := range []bool{r.Group != "", len(r.Split) > 0, r.Gather != nil} {
		if given {
			n++
		}
	}
	return n
}

// Targets returns the groups that a request of the route may go to.
func (r *Route) Targets() []string {
	switch {
	case r.Gather != nil:
		return r.Gather.Groups
	case len(r.Split) > 0:
		out := make([]string, 0, len(r.Split))
		for _, w := range r.Split {
			out = append(out, w.Group)
		}
		return out
	default:
		return []string{r.Group}
	}
}

// Digest returns a hash of the route's settings. It is equal on hosts that have the same
// settings.
func (r *Route) Digest() uint64 {
	text, err := json.Marshal(r)
	if err != nil {
		return 0 // unreachable: a decoded route can be encoded
	}
	return xxhash.Sum64(text)
}

// Class returns the settings for decisions about the route's requests.
func (r *Route) Class() Class {
	c := DefaultClass()
	c.Name = r.Name
	c.Deadline, c.MaxDeadline, c.Margin = r.TimeLimit, r.TimeLimit, 0
	c.Choice, c.Admission, c.HedgeQuantile = "LeastLatency", "None", routeHedgeQuantile
	c.Patience = r.Objective - min(ResponseReserve, r.Objective/responseReserveDivisor)
	c.MaxInFlight = maxRouteInFlight
	if r.Gather != nil {
		c.Coverage = r.Gather.Coverage
	}
	return c
}

const (
	// responseReserveDivisor limits ResponseReserve to a fifth of a short objective.
	responseReserveDivisor = 5
	// routeHedgeQuantile is the latency quantile after which a call of a route is hedged.
	// It is lower than that of a class, because the hedges of a route are limited by its
	// retry budget, and a call to a paused upstream is best replaced early.
	routeHedgeQuantile = 0.95
	// ResponseReserve is the part of an objective that is reserved for merging and
	// returning the answer.
	ResponseReserve = Duration(18 * time.Millisecond)
	// maxRouteInFlight limits the concurrent requests of a route per host, so that their
	// bodies fit into the memory of a small host.
	maxRouteInFlight = 2000
)

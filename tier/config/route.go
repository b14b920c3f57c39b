package config

import (
	"encoding/json"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Route maps the requests of one host name and path prefix to upstreams that
// the directory lists. Of the routes of a host name the one with the longest
// matching prefix applies.
type Route struct {
	// Name is unique among the routes.
	Name string
	// HostName is what the Host header of a request must be, without a port.
	HostName string
	// Prefix begins the path of a request; it begins and ends with a slash.
	Prefix string
	// Repeatable is false for requests that must run at most once.
	Repeatable bool `json:",omitempty"`
	// MaxAttempts is the most upstreams that may run one request, counted for
	// each shard; 1 or more.
	MaxAttempts int
	// TimeLimit is the longest time that a request is held; above 0.
	TimeLimit Duration
	// Objective is the time within which an answer has its full worth; above 0.
	Objective Duration
	// Priority is the rank of the requests, 0 the most urgent.
	Priority int `json:",omitempty"`
	// Group names the one group that answers; empty with Split or Gather.
	Group string `json:",omitempty"`
	// Split divides the requests between groups; empty with Group or Gather.
	Split []WeightedGroup `json:",omitempty"`
	// Gather asks one upstream of each of many groups; nil with Group or Split.
	Gather *Gather `json:",omitempty"`
	// Homes are the regions in which requests may be carried out and run, none
	// twice; empty for all regions.
	Homes []string `json:",omitempty"`
}

// WeightedGroup is one group of a split.
type WeightedGroup struct {
	Group string
	// Weight is the group's part of the sum of all weights; 0 or more.
	Weight float64
}

// Gather says how the answers of many groups, the shards, become one.
type Gather struct {
	// Groups are the shards, none twice.
	Groups []string
	// Top is how many records, the greatest, the answer has; 1 or more.
	Top int
	// Coverage is the least share of shards, 0 to 1, that makes an answer.
	Coverage float64
}

// Group is a set of upstreams any of which answers as well as another. Which
// upstreams belong to it the directory says.
type Group struct {
	Name string
	// Connections is how many connections each upstream takes from all callers.
	Connections int
	// HealthPath is where an upstream tells whether it is well.
	HealthPath string `json:",omitempty"`
	// Warmup is how long an upstream is cold after a start during traffic; 0 or more.
	Warmup Duration `json:",omitempty"`
	// ColdRate is how many requests per second a cold upstream can handle from all
	// hosts together; 0 for no limit.
	ColdRate float64 `json:",omitempty"`
}

// Limits bound what a caller of routes may send. Only Body is applied; the others are
// kept since documents have them, and the built-in bounds apply in their place.
type Limits struct {
	// Header and Body are in bytes; 0 for the built-in bounds.
	Header int64 `json:",omitempty"`
	Body   int64 `json:",omitempty"`
	// HeaderTime is the longest time for a request's header, Idle for a pause
	// between requests.
	HeaderTime Duration `json:",omitempty"`
	Idle       Duration `json:",omitempty"`
}

// Targets lists the groups that a request of the route may go to.
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

// Digest names the route's settings: hosts that know the same of a route have the
// same digest of it.
func (r *Route) Digest() uint64 {
	text, err := json.Marshal(r)
	if err != nil {
		return 0 // a route was decoded from JSON, so it has a text
	}
	return xxhash.Sum64(text)
}

// Class returns the settings of the decisions about the route's requests.
func (r *Route) Class() Class {
	c := DefaultClass()
	c.Name = r.Name
	c.Deadline, c.MaxDeadline, c.Margin = r.TimeLimit, r.TimeLimit, 0
	c.Choice, c.Admission, c.HedgeQuantile = "LeastLatency", "None", routeHedgeQuantile
	c.Patience = r.Objective - min(ResponseReserve, r.Objective/reserveDivisor)
	c.MaxInFlight = routeInFlight
	if r.Gather != nil {
		c.Coverage = r.Gather.Coverage
	}
	return c
}

const (
	// reserveDivisor limits ResponseReserve to a fifth of a short objective.
	reserveDivisor = 5
	// routeHedgeQuantile is the latency quantile after which a call of a route is hedged.
	// It is lower than a class's own, because a route's hedges are limited by its retry
	// budget and a call to a paused upstream is cheapest replaced early.
	routeHedgeQuantile = 0.95
	// ResponseReserve is the least time kept back from an objective for the merge and for
	// the answer to reach its caller.
	ResponseReserve = Duration(18 * time.Millisecond)
	// routeInFlight bounds the requests of one route in one host, so that their bodies fit
	// into the memory of a small host.
	routeInFlight = 2000
)

package config

import (
	"cmp"
	"encoding/json"
	"slices"
	"strings"
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
	Split []Weighted `json:",omitempty"`
	// Gather asks one upstream of each of many groups; nil with Group or Split.
	Gather *Gather `json:",omitempty"`
	// Homes are the regions in which requests may be carried out and run, none
	// twice; empty for all regions.
	Homes []string `json:",omitempty"`
}

// Weighted is one group of a split.
type Weighted struct {
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
	// ColdRate is how many requests a second a cold upstream bears from all hosts
	// together; 0 for no bound.
	ColdRate float64 `json:",omitempty"`
}

// Limits bound what a caller of routes may send.
type Limits struct {
	// Header and Body are in bytes; 0 for the built-in bounds.
	Header int64 `json:",omitempty"`
	Body   int64 `json:",omitempty"`
	// HeaderTime is the longest time for a request's header, Idle for a pause
	// between requests; 0 for the built-in bounds.
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

// Shards names the groups that are shards of any route. It is not to be changed.
func (x *Index) Shards() map[string]bool { return x.shards }

// shards names the groups that are shards of any route.
func (d *Document) shards() map[string]bool {
	out := map[string]bool{}
	for i := range d.Routes {
		if d.Routes[i].Gather == nil {
			continue
		}
		for _, g := range d.Routes[i].Gather.Groups {
			out[g] = true
		}
	}
	return out
}

// Class returns the settings of the decisions about the route's requests.
func (r *Route) Class() Class {
	c := DefaultClass()
	c.Name = r.Name
	c.Deadline, c.MaxDeadline, c.Margin = r.TimeLimit, r.TimeLimit, 0
	c.Choice, c.Admission, c.HedgeQuantile = "LeastLatency", "None", routeHedgeQuantile
	c.Patience = r.Objective - min(ResponseReserve, r.Objective/5)
	c.MaxInFlight = routeInFlight
	if r.Gather != nil {
		c.Coverage = r.Gather.Coverage
	}
	return c
}

const (
	// routeHedgeQuantile is lower than a class's own: the budget of repeats is
	// the bound, and a pause of an upstream is cheapest left early.
	routeHedgeQuantile = 0.95
	// ResponseReserve is kept back from an objective at least for the way of the
	// answer to its caller: connection, links, merge. With 12 ms worth was level
	// (10 runs of a day in simulated time).
	ResponseReserve = Duration(18 * time.Millisecond)
	// routeInFlight bounds the requests of one route in one host, so that their
	// bodies fit into the memory of a small host.
	routeInFlight = 2000
)

func (c *checker) routes() error {
	d := c.doc
	if err := names("/Groups", len(d.Groups), func(i int) string { return d.Groups[i].Name }); err != nil {
		return err
	}
	if err := names("/Routes", len(d.Routes), func(i int) string { return d.Routes[i].Name }); err != nil {
		return err
	}
	groups := map[string]bool{}
	for i := range d.Groups {
		if d.Groups[i].Connections < 1 {
			return fault(KindValue, place("/Groups", i, "Connections"), "out of range", "use 1 or more")
		}
		if err := checkWarmup(&d.Groups[i], i); err != nil {
			return err
		}
		groups[d.Groups[i].Name] = true
	}
	seen := map[string]string{}
	for i := range d.Routes {
		r := &d.Routes[i]
		if err := checkRoute(r, groups, i); err != nil {
			return err
		}
		key := r.HostName + " " + r.Prefix
		if other, ok := seen[key]; ok {
			return fault(KindDuplicate, place("/Routes", i, "Prefix"), "host name and prefix of "+other, "give each route its own")
		}
		seen[key] = r.Name
	}
	return nil
}

// maxColdRate is more requests a second than one upstream takes.
const maxColdRate = 1e6

func checkWarmup(g *Group, i int) error {
	if g.Warmup < 0 || g.Warmup > maxDeadline {
		return fault(KindValue, place("/Groups", i, "Warmup"), "out of range", "use 0 to 10m")
	}
	if g.ColdRate >= 0 && g.ColdRate <= maxColdRate {
		return nil
	}
	return fault(KindValue, place("/Groups", i, "ColdRate"), "out of range", "use 0 for no bound, or up to 1000000 requests a second")
}

// checkHomes finds regions that have no proper name or stand twice.
func checkHomes(r *Route, i int) error {
	for n, h := range r.Homes {
		if h == "" {
			return fault(KindValue, place("/Routes", i, "Homes"), "a region without a name", "name a region, or leave Homes out for all regions")
		}
		if slices.Contains(r.Homes[:n], h) {
			return fault(KindDuplicate, place("/Routes", i, "Homes"), "region "+h+" stands twice", "name each region once")
		}
	}
	return nil
}

func checkRoute(r *Route, groups map[string]bool, i int) error {
	targets := 0
	for _, given := range []bool{r.Group != "", len(r.Split) > 0, r.Gather != nil} {
		if given {
			targets++
		}
	}
	rules := []struct {
		ok             bool
		field, problem string
		remedy         string
	}{
		{r.HostName != "", "HostName", "missing", "give the host name of the requests"},
		{strings.HasPrefix(r.Prefix, "/") && strings.HasSuffix(r.Prefix, "/"), "Prefix", "no path prefix", "begin and end it with a slash"},
		{r.MaxAttempts >= 1, "MaxAttempts", "out of range", "use 1 or more"},
		{r.TimeLimit > 0 && r.TimeLimit <= maxDeadline, "TimeLimit", "out of range", "use above 0 and at most 10m"},
		{r.Objective > 0 && r.Objective <= maxDeadline, "Objective", "out of range", "use above 0 and at most 10m"},
		{targets == 1, "Group", "not exactly one target", "give one of Group, Split and Gather"},
		{weightsOK(r.Split), "Split", "bad weights", "use weights of 0 or more, one of them above 0"},
		{r.Gather == nil || r.Gather.Top >= 1, "Gather/Top", "out of range", "use 1 or more"},
		{r.Gather == nil || r.Gather.Coverage >= 0 && r.Gather.Coverage <= 1, "Gather/Coverage", "out of range", "use 0 to 1"},
		{r.Gather == nil || len(r.Gather.Groups) > 0, "Gather/Groups", "no shards", "name at least one group"},
		{r.Gather == nil || r.Repeatable, "Repeatable", "a gather that is not repeatable", "make it repeatable: parts may be asked twice"},
	}
	for _, u := range rules {
		if !u.ok {
			return fault(KindValue, place("/Routes", i, u.field), u.problem, u.remedy)
		}
	}
	targetsOf := r.Targets()
	for n, g := range targetsOf {
		if !groups[g] {
			return fault(KindReference, place("/Routes", i, "Group"), "unknown group "+g, "declare the group or correct the name")
		}
		if slices.Contains(targetsOf[:n], g) {
			return fault(KindDuplicate, place("/Routes", i, "Group"), "group "+g+" stands twice", "name each group once")
		}
	}
	return checkHomes(r, i)
}

func weightsOK(split []Weighted) bool {
	if len(split) == 0 {
		return true
	}
	sum := 0.0
	for _, w := range split {
		if w.Weight < 0 {
			return false
		}
		sum += w.Weight
	}
	return sum > 0
}

// routed is a route with what is derived from it once.
type routed struct {
	route *Route
	class Class
}

// routeTable finds routes by host name, longest prefix first.
type routeTable map[string][]routed

func newRouteTable(d *Document) routeTable {
	t := routeTable{}
	for i := range d.Routes {
		r := &d.Routes[i]
		host := strings.ToLower(r.HostName)
		t[host] = append(t[host], routed{route: r, class: r.Class()})
	}
	for _, rs := range t {
		slices.SortFunc(rs, func(a, b routed) int {
			return cmp.Compare(len(b.route.Prefix), len(a.route.Prefix))
		})
	}
	return t
}

// Route finds the route of a host name and path with its class; nil if there
// is none. Neither is to be changed.
func (x *Index) Route(hostName, path string) (*Route, *Class) {
	rs := x.routes[strings.ToLower(hostName)]
	for i := range rs {
		if strings.HasPrefix(path, rs[i].route.Prefix) {
			return rs[i].route, &rs[i].class
		}
	}
	return nil, nil
}

// RouteNamed finds a route by name; nil if there is none.
func (x *Index) RouteNamed(name string) *Route { return x.named[name] }

// Group finds a group by name; nil if there is none.
func (x *Index) Group(name string) *Group { return x.groups[name] }

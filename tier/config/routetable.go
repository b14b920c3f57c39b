package config

import (
	"cmp"
	"slices"
	"strings"
)

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

package config

import (
	"cmp"
	"fmt"
	"slices"
	"sort"
	"strings"
)

// Index is an accepted document with look-ups. It does not change.
type Index struct {
	// Edition is how new the document is; its revision is the platform's.
	Edition
	// Digest names the bytes of the document.
	Digest string
	// Text is the document as published.
	Text []byte
	// Document is the decoded text; it is not changed.
	Document  *Document
	classes   map[string]*Class
	upstreams map[string]*Upstream
	services  map[string]*Service
	hosts     map[string]*Host
	groups    map[string]*Group
	routes    routeTable
	named     map[string]*Route
	shards    map[string]bool
}

// Accept decodes and checks a published document.
func Accept(text []byte, e Edition) (*Index, error) {
	d, err := Decode(text)
	if err != nil {
		return nil, err
	}
	if err := Check(d, e.Revision); err != nil {
		return nil, err
	}
	return newIndex(d, text, e), nil
}

func newIndex(d *Document, text []byte, e Edition) *Index {
	return &Index{
		Edition: e, Digest: digest(text), Text: text, Document: d,
		classes:   index(d.Classes),
		upstreams: index(d.Upstreams),
		services:  index(d.Services),
		hosts:     index(d.Hosts),
		groups:    index(d.Groups),
		routes:    newRouteTable(d),
		named:     index(d.Routes),
		shards:    d.shards(),
	}
}

// Class finds a class by name; nil if there is none.
func (x *Index) Class(name string) *Class { return x.classes[name] }

// Upstream finds an upstream by name; nil if there is none.
func (x *Index) Upstream(name string) *Upstream { return x.upstreams[name] }

// Service finds a service by name; nil if there is none.
func (x *Index) Service(name string) *Service { return x.services[name] }

// Host finds an entry host by name; nil if there is none.
func (x *Index) Host(name string) *Host { return x.hosts[name] }

// ShardOf finds the shard that holds a key.
func (s *Service) ShardOf(key uint32) (*Shard, error) {
	if key >= s.KeySpace {
		return nil, fmt.Errorf("key %d is outside the %d keys of %s: use a smaller key", key, s.KeySpace, s.Name)
	}
	i := sort.Search(len(s.Shards), func(i int) bool { return s.Shards[i].To > key })
	return &s.Shards[i], nil
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

// RouteByName finds a route by name; nil if there is none.
func (x *Index) RouteByName(name string) *Route { return x.named[name] }

// Group finds a group by name; nil if there is none.
func (x *Index) Group(name string) *Group { return x.groups[name] }

// Shards names the groups that are shards of any route. It is not to be changed.
func (x *Index) Shards() map[string]bool { return x.shards }

func (d *Document) shards() map[string]bool {
	out := map[string]bool{}
	for i := range d.Routes {
		if gather := d.Routes[i].Gather; gather != nil {
			for _, g := range gather.Groups {
				out[g] = true
			}
		}
	}
	return out
}

package config

import (
	"cmp"
	"fmt"
	"slices"
	"sort"
	"strings"
)

// Index is an accepted document with lookup tables. It is immutable.
type Index struct {
	// Edition determines which of two documents is newer; Edition.Revision is the document's
	// revision on the platform.
	Edition
	// Digest is a hash of Text.
	Digest string
	// Text is the document as published.
	Text []byte
	// Adapter is the name of the adapter that translated Text; empty for a document in
	// loomgap's own form.
	Adapter string
	// Faults are the parts of Text that could not be applied.
	Faults []*Error
	// Document is the decoded text; it must not be modified.
	Document     *Document
	classes      map[string]*Class
	upstreams    map[string]*Upstream
	services     map[string]*Service
	hosts        map[string]*Host
	groups       map[string]*Group
	routes       routeTable
	routesByName map[string]*Route
	shards       map[string]bool
}

// Accept decodes and checks a published document in loomgap's own form.
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
		classes:      indexByName(d.Classes),
		upstreams:    indexByName(d.Upstreams),
		services:     indexByName(d.Services),
		hosts:        indexByName(d.Hosts),
		groups:       indexByName(d.Groups),
		routes:       newRouteTable(d),
		routesByName: indexByName(d.Routes),
		shards:       d.shards(),
	}
}

// OwnText returns the document in loomgap's own form.
func (x *Index) OwnText() ([]byte, error) {
	if x.Adapter == "" {
		return x.Text, nil
	}
	d := *x.Document
	d.Based = x.Revision - 1
	return Encode(&d)
}

// Class returns the class with the given name, or nil.
func (x *Index) Class(name string) *Class { return x.classes[name] }

// Upstream returns the upstream with the given name, or nil.
func (x *Index) Upstream(name string) *Upstream { return x.upstreams[name] }

// Service returns the service with the given name, or nil.
func (x *Index) Service(name string) *Service { return x.services[name] }

// Host returns the entry host with the given name, or nil.
func (x *Index) Host(name string) *Host { return x.hosts[name] }

// ShardOf returns the shard that contains a key.
func (s *Service) ShardOf(key uint32) (*Shard, error) {
	if key >= s.KeySpace {
		return nil, fmt.Errorf("key %d is outside the %d keys of %s: use a smaller key", key, s.KeySpace, s.Name)
	}
	i := sort.Search(len(s.Shards), func(i int) bool { return s.Shards[i].To > key })
	return &s.Shards[i], nil
}

// routeEntry is a route with the class derived from it.
type routeEntry struct {
	route *Route
	class Class
}

// routeTable holds the routes by host name in lower case, the longest prefix first.
type routeTable map[string][]routeEntry

func newRouteTable(d *Document) routeTable {
	t := routeTable{}
	for i := range d.Routes {
		r := &d.Routes[i]
		host := strings.ToLower(r.HostName)
		t[host] = append(t[host], routeEntry{route: r, class: r.Class()})
	}
	for _, rs := range t {
		slices.SortFunc(rs, func(a, b routeEntry) int {
			return cmp.Compare(len(b.route.Prefix), len(a.route.Prefix))
		})
	}
	return t
}

// Route returns the route for a host name and path with its class, or nil if there is
// none. Neither may be modified. A route with a fault still takes its requests, since one with
// a shorter prefix may lead elsewhere.
func (x *Index) Route(hostName, path string) (*Route, *Class) {
	rs := x.routes[strings.ToLower(hostName)]
	for i := range rs {
		if strings.HasPrefix(path, rs[i].route.Prefix) {
			return rs[i].route, &rs[i].class
		}
	}
	return nil, nil
}

// RouteByName returns the route with the given name, or nil.
func (x *Index) RouteByName(name string) *Route { return x.routesByName[name] }

// Group returns the group with the given name, or nil.
func (x *Index) Group(name string) *Group { return x.groups[name] }

// Shards returns the names of the groups that are shards of any route. The map must not
// be modified.
func (x *Index) Shards() map[string]bool { return x.shards }

func (d *Document) shards() map[string]bool {
	out := map[string]bool{}
	for i := range d.Routes {
		if gather := d.Routes[i].Gather; gather != nil && d.Routes[i].Fault == nil {
			for _, g := range gather.Groups {
				out[g] = true
			}
		}
	}
	return out
}

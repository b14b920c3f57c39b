package query

import (
	"cmp"
	"fmt"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/alecthomas/participle/v2/lexer"

	"loomgap/tier/config"
)

// Apply executes commands on a document in place and returns the lines that show commands
// print. It does not check the resulting document; config.Check does.
func Apply(d *config.Document, statements []*Statement) ([]string, error) {
	var shown []string
	for _, s := range statements {
		lines, err := apply(d, s)
		if err != nil {
			return nil, err
		}
		shown = append(shown, lines...)
	}
	return shown, nil
}

func apply(d *config.Document, s *Statement) ([]string, error) {
	switch {
	case s.Create != nil:
		return nil, create(d, s.Create, s.Pos)
	case s.Declare != nil:
		return nil, declare(d, s.Declare, s.Pos)
	case s.Set != nil:
		return nil, set(d, s.Set, s.Pos)
	case s.Mark != nil:
		return nil, markUpstream(d, s.Mark, s.Pos)
	case s.Drop != nil:
		return nil, drop(d, s.Drop, s.Pos)
	case s.Show != nil:
		return show(d, s.Show, s.Pos)
	}
	return nil, errorAt(s.Pos, "not a command", "questions go to `loomctl ask`, place to `loomctl order`")
}

func create(d *config.Document, c *Create, p lexer.Position) error {
	if c.Class != "" {
		if config.Find(d.Classes, c.Class) != nil {
			return errorAt(p, fmt.Sprintf("class %q is there already", c.Class), "use set class to change it")
		}
		class := config.DefaultClass()
		class.Name = c.Class
		d.Classes = append(d.Classes, class)
		return nil
	}
	if config.Find(d.Services, c.Service) != nil {
		return errorAt(p, fmt.Sprintf("service %q is there already", c.Service), "drop it first or use another name")
	}
	d.Services = append(d.Services, config.Service{Name: c.Service, KeySpace: c.KeySpace, MapRevision: 1})
	return nil
}

func findElement[T config.Element](list []T, what, name string, p lexer.Position, remedy string) (*T, error) {
	if v := config.Find(list, name); v != nil {
		return v, nil
	}
	return nil, errorAt(p, fmt.Sprintf("no %s %q", what, name), remedy)
}

func findService(d *config.Document, name string, p lexer.Position) (*config.Service, error) {
	return findElement(d.Services, "service", name, p, "create it first or correct the name")
}

func declare(d *config.Document, c *Declare, p lexer.Position) error {
	switch {
	case c.Upstream != nil:
		u := c.Upstream
		a, err := parseAddress(u.Address, p)
		if err != nil {
			return err
		}
		v := config.Upstream{Name: u.Name, Hall: u.Hall, Address: a, Slots: u.Slots, Connections: u.Connections}
		d.Upstreams = config.Put(d.Upstreams, v)
		return nil
	case c.Host != nil:
		a, err := parseAddress(c.Host.Address, p)
		if err != nil {
			return err
		}
		d.Hosts = config.Put(d.Hosts, config.Host{Name: c.Host.Name, Hall: c.Host.Hall, Peer: a})
		return nil
	}
	return declareShard(d, c.Shard, p)
}

func parseAddress(text string, p lexer.Position) (netip.AddrPort, error) {
	a, err := netip.ParseAddrPort(text)
	if err != nil {
		return a, errorAt(p, fmt.Sprintf("bad address %q", text), "write an IP number and a port")
	}
	return a, nil
}

// declareShard adds or replaces a shard of a service and increments the map revision of the
// service.
func declareShard(d *config.Document, c *DeclareShard, p lexer.Position) error {
	s, err := findService(d, c.Service, p)
	if err != nil {
		return err
	}
	s.Shards = config.Put(s.Shards, config.Shard{Name: c.Name, From: c.From, To: c.To, Replicas: c.Replicas})
	slices.SortStableFunc(s.Shards, func(a, b config.Shard) int { return cmp.Compare(a.From, b.From) })
	s.MapRevision++
	return nil
}

func markUpstream(d *config.Document, m *Mark, p lexer.Position) error {
	u, err := findElement(d.Upstreams, "upstream", m.Upstream, p, "declare it first or correct the name")
	if err != nil {
		return err
	}
	u.Leaving = m.Verb == "leave"
	return nil
}

func drop(d *config.Document, c *Drop, p lexer.Position) error {
	dropped := false
	switch c.What {
	case "service":
		dropped = config.Drop(&d.Services, c.Name)
	case "upstream":
		dropped = config.Drop(&d.Upstreams, c.Name)
	case "host":
		dropped = config.Drop(&d.Hosts, c.Name)
	case "class":
		dropped = config.Drop(&d.Classes, c.Name)
	case "shard":
		s, err := findService(d, c.Service, p)
		if err != nil {
			return err
		}
		dropped = config.Drop(&s.Shards, c.Name)
		s.MapRevision++
	}
	if !dropped {
		return errorAt(p, fmt.Sprintf("no %s %q", c.What, c.Name), "correct the name; `show` lists them")
	}
	return nil
}

func set(d *config.Document, c *Set, p lexer.Position) error {
	if c.Route != "" {
		r, err := findElement(d.Routes, "route", c.Route, p, "correct the name; `show routes` lists them")
		if err != nil {
			return err
		}
		return routeSettings(r).assign("route", c.Settings, p)
	}
	class, err := findElement(d.Classes, "class", c.Class, p, "create it first or correct the name")
	if err != nil {
		return err
	}
	return classSettings(class).assign("class", c.Settings, p)
}

// settings maps the settings that a command may change to pointers to their fields.
type settings map[string]any

func classSettings(c *config.Class) settings {
	return settings{
		"deadline": &c.Deadline, "maxdeadline": &c.MaxDeadline, "margin": &c.Margin, "patience": &c.Patience,
		"coverage": &c.Coverage, "hedgequantile": &c.HedgeQuantile, "hedgebudget": &c.HedgeBudget,
		"worth": &c.Worth, "maxinflight": &c.MaxInFlight,
		"choice": &c.Choice, "admission": &c.Admission, "hedge": (*string)(&c.Hedge),
	}
}

func routeSettings(r *config.Route) settings {
	s := settings{
		"timelimit": &r.TimeLimit, "objective": &r.Objective, "priority": &r.Priority, "maxattempts": &r.MaxAttempts,
	}
	if r.Gather != nil {
		s["coverage"], s["top"] = &r.Gather.Coverage, &r.Gather.Top
	}
	return s
}

// assign changes settings. The argument what names the kind of element in error messages.
func (s settings) assign(what string, assignments []*Assignment, p lexer.Position) error {
	for _, a := range assignments {
		var err error
		switch field := s[strings.ToLower(a.Field)].(type) {
		case *config.Duration:
			err = field.UnmarshalText([]byte(a.Value))
		case *float64:
			*field, err = strconv.ParseFloat(a.Value, 64)
		case *int:
			*field, err = strconv.Atoi(a.Value)
		case *string:
			*field = a.Value
		default:
			return errorAt(p, fmt.Sprintf("unknown setting %q", a.Field), "docs/LANGUAGE.md lists the settings of a "+what)
		}
		if err != nil {
			return errorAt(p, fmt.Sprintf("bad value %q for %s", a.Value, a.Field), "write durations as 250ms, counts as whole numbers, shares as 0 to 1")
		}
	}
	return nil
}

func show(d *config.Document, c *Show, p lexer.Position) ([]string, error) {
	var out []string
	switch c.What {
	case "services":
		for _, s := range d.Services {
			out = append(out, fmt.Sprintf("%s keyspace %d, %d shards, map revision %d", s.Name, s.KeySpace, len(s.Shards), s.MapRevision))
		}
	case "upstreams":
		for _, u := range d.Upstreams {
			out = append(out, fmt.Sprintf("%s at %s hall %s slots %d connections %d leaving %t", u.Name, u.Address, u.Hall, u.Slots, u.Connections, u.Leaving))
		}
	case "hosts":
		for _, h := range d.Hosts {
			out = append(out, fmt.Sprintf("%s at %s hall %s", h.Name, h.Peer, h.Hall))
		}
	case "classes":
		for _, k := range d.Classes {
			out = append(out, fmt.Sprintf("%s deadline %s worth %d coverage %g hedge %s", k.Name, time.Duration(k.Deadline), k.Worth, k.Coverage, k.Hedge))
		}
	case "groups":
		for _, g := range d.Groups {
			out = append(out, fmt.Sprintf("%s connections %d", g.Name, g.Connections))
		}
	case "routes":
		for i := range d.Routes {
			out = append(out, formatRoute(&d.Routes[i]))
		}
	case "shards":
		s, err := findService(d, c.Of, p)
		if err != nil {
			return nil, err
		}
		for _, h := range s.Shards {
			out = append(out, fmt.Sprintf("%s keys %d to %d on %s", h.Name, h.From, h.To, strings.Join(h.Replicas, ", ")))
		}
	}
	return out, nil
}

func formatRoute(r *config.Route) string {
	line := fmt.Sprintf("%s %s%s to %s timelimit %s objective %s maxattempts %d priority %d", r.Name, r.HostName, r.Prefix,
		strings.Join(r.Targets(), ", "), time.Duration(r.TimeLimit), time.Duration(r.Objective), r.MaxAttempts, r.Priority)
	if r.Gather != nil {
		line += fmt.Sprintf(" coverage %g top %d", r.Gather.Coverage, r.Gather.Top)
	}
	return line
}

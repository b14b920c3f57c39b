package config

import (
	"cmp"
	"fmt"
	"regexp"
	"slices"
	"strings"
	"time"
)

// ValidName reports whether a name of a host, hall, class and so on is well formed.
func ValidName(name string) bool { return namePattern.MatchString(name) }

var namePattern = regexp.MustCompile(`^[A-Za-z][A-Za-z0-9_.-]{0,62}$`)

// Bounds of values. They catch mistakes such as a wrong unit.
const (
	maxDuration = Duration(10 * time.Minute)
	maxWorth    = 1e6
	// maxHedgeBudget is in hedges per regular call.
	maxHedgeBudget = 0.2
	// maxSlots limits the concurrent calls of an upstream.
	maxSlots = 4096
	// maxColdRate is in requests per second, more than any single upstream handles.
	maxColdRate = 1e6
)

// Check reports whether a document is valid at the revision it is published at. It
// depends only on its arguments. The error describes the first problem found.
func Check(d *Document, revision uint64) error {
	c := checker{
		upstreams: map[string]bool{}, addresses: map[string]string{}, groups: map[string]bool{}, prefixes: map[string]string{},
	}
	return cmp.Or(
		checkBased(d, revision),
		checkNames("/Classes", d.Classes),
		checkEach("/Classes", d.Classes, checkClass),
		checkNames("/Hosts", d.Hosts),
		checkEach("/Hosts", d.Hosts, checkHost),
		checkNames("/Upstreams", d.Upstreams),
		checkEach("/Upstreams", d.Upstreams, c.upstream),
		checkNames("/Services", d.Services),
		checkEach("/Services", d.Services, c.service),
		checkNames("/Groups", d.Groups),
		checkNames("/Routes", d.Routes),
		checkEach("/Groups", d.Groups, c.group),
		checkEach("/Routes", d.Routes, c.route),
	)
}

// checker collects the names and addresses of the lists that are already checked.
type checker struct {
	upstreams, groups map[string]bool
	// addresses maps each address to its upstream, prefixes each pair of host name and
	// prefix to its route.
	addresses, prefixes map[string]string
}

func newError(kind Kind, field, problem, remedy string) error {
	return &Error{Kind: kind, Field: field, Problem: problem, Remedy: remedy}
}

func checkBased(d *Document, revision uint64) error {
	if d.Based+1 == revision {
		return nil
	}
	return newError(KindStale, "/Based",
		fmt.Sprintf("composed from revision %d but published at %d", d.Based, revision),
		"run `loomctl plan` again on the document in force, and publish its result")
}

// checkEach checks the elements of the list at a path.
func checkEach[T any](path string, list []T, check func(v *T, path string) error) error {
	for i := range list {
		if err := check(&list[i], fmt.Sprintf("%s/%d", path, i)); err != nil {
			return err
		}
	}
	return nil
}

// checkNames checks that the names in a list are well formed and unique.
func checkNames[T Element](path string, list []T) error {
	seen := map[string]bool{}
	return checkEach(path, list, func(v *T, path string) error {
		n := (*v).name()
		if !ValidName(n) {
			return newError(KindValue, path+"/Name", fmt.Sprintf("bad name %q", n), "start with a letter; use letters, digits, '_', '.', '-'; 63 at most")
		}
		if seen[n] {
			return newError(KindDuplicate, path+"/Name", fmt.Sprintf("name %q stands twice", n), "give each its own name")
		}
		seen[n] = true
		return nil
	})
}

func checkClass(c *Class, path string) error {
	return firstViolation(path, []rule{
		{c.Deadline > 0 && c.Deadline <= maxDuration, "Deadline", "out of range", "use above 0 and at most 10m"},
		{c.MaxDeadline >= c.Deadline && c.MaxDeadline <= maxDuration, "MaxDeadline", "out of range", "use Deadline or more and at most 10m"},
		{c.Margin >= 0 && c.Margin < c.Deadline, "Margin", "out of range", "use 0 or more and less than Deadline"},
		{c.Worth >= 1 && c.Worth <= maxWorth, "Worth", "out of range", "use 1 to 1000000"},
		{c.Coverage >= 0 && c.Coverage <= 1, "Coverage", "out of range", "use 0 to 1"},
		{c.Patience >= 0 && c.Patience <= maxDuration, "Patience", "out of range", "use 0 to 10m"},
		{c.Hedge == HedgeNone || c.Hedge == HedgeLearned, "Hedge", "unknown mode", "use None or Learned"},
		{c.HedgeQuantile > 0.5 && c.HedgeQuantile < 1, "HedgeQuantile", "out of range", "use above 0.5 and below 1"},
		{c.HedgeBudget >= 0 && c.HedgeBudget <= maxHedgeBudget, "HedgeBudget", "out of range", "use 0 to 0.2"},
		{slices.Contains(Choices, c.Choice), "Choice", "unknown chooser", fmt.Sprintf("use one of %v", Choices)},
		{slices.Contains(Admissions, c.Admission), "Admission", "unknown rule", fmt.Sprintf("use one of %v", Admissions)},
		{c.MaxInFlight >= 1, "MaxInFlight", "out of range", "use 1 or more"},
	})
}

// rule is a condition on one field of a value.
type rule struct {
	ok                     bool
	field, problem, remedy string
}

func firstViolation(path string, rules []rule) error {
	for _, r := range rules {
		if !r.ok {
			return newError(KindValue, path+"/"+r.field, r.problem, r.remedy)
		}
	}
	return nil
}

// Choices and Admissions are the names that package policy registers. They are listed
// here too, because every host must check a document alike.
var (
	Choices    = []string{"LeastTime", "Random", "First", "LeastLatency"}
	Admissions = []string{"None", "Deadline", "Worth"}
)

func checkHost(h *Host, path string) error {
	return firstViolation(path, []rule{
		{ValidName(h.Hall), "Hall", fmt.Sprintf("bad hall %q", h.Hall), "name the data hall of the host"},
		{h.Peer.IsValid() && h.Peer.Port() != 0, "Peer", "no address", "write an IP number and a port"},
	})
}

func (c *checker) upstream(u *Upstream, path string) error {
	err := firstViolation(path, []rule{
		{ValidName(u.Hall), "Hall", fmt.Sprintf("bad hall %q", u.Hall), "name the data hall of the upstream"},
		{u.Address.IsValid() && u.Address.Port() != 0, "Address", "no address", "write an IP number and a port"},
		{u.Slots >= 1 && u.Slots <= maxSlots, "Slots", "out of range", "use 1 to 4096"},
		{u.Connections >= u.Slots, "Connections", "fewer connections than slots", "use Slots or more"},
	})
	if err != nil {
		return err
	}
	if other, ok := c.addresses[u.Address.String()]; ok {
		return newError(KindDuplicate, path+"/Address", "address of "+other, "give each upstream its own address")
	}
	c.addresses[u.Address.String()] = u.Name
	c.upstreams[u.Name] = true
	return nil
}

func (c *checker) service(s *Service, path string) error {
	if s.KeySpace == 0 {
		return newError(KindValue, path+"/KeySpace", "no keys", "use 1 or more")
	}
	if err := checkNames(path+"/Shards", s.Shards); err != nil {
		return err
	}
	if !slices.IsSortedFunc(s.Shards, func(a, b Shard) int { return cmp.Compare(a.From, b.From) }) {
		return newError(KindRange, path+"/Shards", "not in order of key", "sort the shards by From")
	}
	next := uint32(0)
	for i, h := range s.Shards {
		shardPath := fmt.Sprintf("%s/Shards/%d", path, i)
		switch {
		case h.To <= h.From:
			return newError(KindRange, shardPath+"/To", "empty range", "make To larger than From")
		case h.From < next:
			return newError(KindRange, shardPath+"/From", "overlaps the shard before", fmt.Sprintf("start at %d", next))
		case h.From > next:
			return newError(KindRange, shardPath+"/From", fmt.Sprintf("keys %d to %d belong to no shard", next, h.From), "declare a shard for them")
		}
		if err := c.replicas(h.Replicas, shardPath+"/Replicas"); err != nil {
			return err
		}
		next = h.To
	}
	if next != s.KeySpace {
		return newError(KindRange, path+"/Shards", fmt.Sprintf("shards end at %d of %d keys", next, s.KeySpace), "cover the whole key space")
	}
	return nil
}

func (c *checker) replicas(replicas []string, path string) error {
	if len(replicas) == 0 {
		return newError(KindReference, path, "no replicas", "name at least one upstream")
	}
	for i, r := range replicas {
		if !c.upstreams[r] {
			return newError(KindReference, fmt.Sprintf("%s/%d", path, i), fmt.Sprintf("unknown upstream %q", r), "declare the upstream or correct the name")
		}
		if slices.Contains(replicas[:i], r) {
			return newError(KindDuplicate, fmt.Sprintf("%s/%d", path, i), fmt.Sprintf("upstream %q stands twice", r), "name each replica once")
		}
	}
	return nil
}

func (c *checker) group(g *Group, path string) error {
	c.groups[g.Name] = true
	return firstViolation(path, []rule{
		{g.Connections >= 1, "Connections", "out of range", "use 1 or more"},
		{g.Warmup >= 0 && g.Warmup <= maxDuration, "Warmup", "out of range", "use 0 to 10m"},
		{g.ColdRate >= 0 && g.ColdRate <= maxColdRate, "ColdRate", "out of range", "use 0 for no bound, or up to 1000000 requests a second"},
	})
}

func (c *checker) route(r *Route, path string) error {
	rules := append([]rule{
		{r.HostName != "", "HostName", "missing", "give the host name of the requests"},
		{strings.HasPrefix(r.Prefix, "/") && strings.HasSuffix(r.Prefix, "/"), "Prefix", "no path prefix", "begin and end it with a slash"},
		{r.MaxAttempts >= 1, "MaxAttempts", "out of range", "use 1 or more"},
		{r.TimeLimit > 0 && r.TimeLimit <= maxDuration, "TimeLimit", "out of range", "use above 0 and at most 10m"},
		{r.Objective > 0 && r.Objective <= maxDuration, "Objective", "out of range", "use above 0 and at most 10m"},
	}, r.targetRules()...)
	err := firstViolation(path, rules)
	if err := cmp.Or(err, c.targets(r, path), checkHomes(r, path)); err != nil {
		return err
	}
	key := r.HostName + " " + r.Prefix
	if other, ok := c.prefixes[key]; ok {
		return newError(KindDuplicate, path+"/Prefix", "host name and prefix of "+other, "give each route its own")
	}
	c.prefixes[key] = r.Name
	return nil
}

// targetRules are the rules without which no host can tell where the requests of a route go, and
// what an answer holds.
func (r *Route) targetRules() []rule {
	rules := []rule{
		{r.countTargets() == 1, "Group", "not exactly one target", "give one of Group, Split and Gather"},
		{validWeights(r.Split), "Split", "bad weights", "use weights of 0 or more, one of them above 0"},
	}
	if r.Gather == nil {
		return rules
	}
	return append(rules,
		rule{r.Gather.Top >= 1, "Gather/Top", "out of range", "use 1 or more"},
		rule{r.Gather.Coverage >= 0 && r.Gather.Coverage <= 1, "Gather/Coverage", "out of range", "use 0 to 1"},
		rule{len(r.Gather.Groups) > 0, "Gather/Groups", "no shards", "name at least one group"},
		rule{r.Repeatable, "Repeatable", "a gather that is not repeatable", "make it repeatable: parts may be asked twice"},
	)
}

func (c *checker) targets(r *Route, path string) error {
	targets := r.Targets()
	for n, g := range targets {
		if !c.groups[g] {
			return newError(KindReference, path+"/Group", "unknown group "+g, "declare the group or correct the name")
		}
		if slices.Contains(targets[:n], g) {
			return newError(KindDuplicate, path+"/Group", "group "+g+" stands twice", "name each group once")
		}
	}
	return nil
}

func checkHomes(r *Route, path string) error {
	for n, h := range r.Homes {
		if h == "" {
			return newError(KindValue, path+"/Homes", "a region without a name", "name a region, or leave Homes out for all regions")
		}
		if slices.Contains(r.Homes[:n], h) {
			return newError(KindDuplicate, path+"/Homes", "region "+h+" stands twice", "name each region once")
		}
	}
	return nil
}

func validWeights(split []WeightedGroup) bool {
	sum := 0.0
	for _, w := range split {
		if w.Weight < 0 {
			return false
		}
		sum += w.Weight
	}
	return len(split) == 0 || sum > 0
}

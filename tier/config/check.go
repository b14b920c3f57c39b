package config

import (
	"cmp"
	"fmt"
	"regexp"
	"slices"
	"time"
)

// ValidName reports whether a name of a host, hall, class and so on is well formed.
func ValidName(name string) bool { return nameForm.MatchString(name) }

var nameForm = regexp.MustCompile(`^[A-Za-z][A-Za-z0-9_.-]{0,62}$`)

// Bounds of values. They refuse slips of the pen, such as a wrong unit; none is
// measured.
const (
	// maxDuration bounds each duration of a document.
	maxDuration = Duration(10 * time.Minute)
	// maxWorth bounds a class's worth of an answer.
	maxWorth = 1e6
	// maxHedgeBudget bounds the extra calls for one needed call.
	maxHedgeBudget = 0.2
	// maxSlots bounds the calls that an upstream works on at once.
	maxSlots = 4096
)

// Check reports whether a document published at a revision is valid. It depends
// on nothing but its arguments.
func Check(d *Document, revision uint64) error {
	c := checker{doc: d, upstreams: map[string]bool{}}
	steps := []func() error{
		func() error { return c.based(revision) },
		c.classes, c.hosts, c.upstreamList, c.services, c.routes,
	}
	for _, step := range steps {
		if err := step(); err != nil {
			return err
		}
	}
	return nil
}

// fieldPath is the path of a field of an element of a list.
func fieldPath(list string, i int, field string) string {
	return fmt.Sprintf("%s/%d/%s", list, i, field)
}

type checker struct {
	doc       *Document
	upstreams map[string]bool
}

func fault(kind Kind, field, problem, remedy string) error {
	return &Error{Kind: kind, Field: field, Problem: problem, Remedy: remedy}
}

func (c *checker) based(revision uint64) error {
	if c.doc.Based+1 == revision {
		return nil
	}
	return fault(KindStale, "/Based",
		fmt.Sprintf("composed from revision %d but published at %d", c.doc.Based, revision),
		"run `loomctl plan` again on the document in force, and publish its result")
}

// names checks the form of names and that none stands twice.
func names(field string, count int, name func(int) string) error {
	seen := map[string]bool{}
	for i := range count {
		n, at := name(i), fmt.Sprintf("%s/%d/Name", field, i)
		if !ValidName(n) {
			return fault(KindValue, at, fmt.Sprintf("bad name %q", n), "start with a letter; use letters, digits, '_', '.', '-'; 63 at most")
		}
		if seen[n] {
			return fault(KindDuplicate, at, fmt.Sprintf("name %q stands twice", n), "give each its own name")
		}
		seen[n] = true
	}
	return nil
}

func (c *checker) classes() error {
	d := c.doc
	if err := names("/Classes", len(d.Classes), func(i int) string { return d.Classes[i].Name }); err != nil {
		return err
	}
	for i := range d.Classes {
		if err := checkClass(&d.Classes[i], fmt.Sprintf("/Classes/%d", i)); err != nil {
			return err
		}
	}
	return nil
}

func checkClass(c *Class, at string) error {
	return firstBroken(at, []rule{
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

// rule is one condition that the field of a value must meet.
type rule struct {
	ok                     bool
	field, problem, remedy string
}

// firstBroken returns the fault of the first rule that is not met; nil if all are.
func firstBroken(at string, rules []rule) error {
	for _, r := range rules {
		if !r.ok {
			return fault(KindValue, at+"/"+r.field, r.problem, r.remedy)
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

func (c *checker) hosts() error {
	d := c.doc
	if err := names("/Hosts", len(d.Hosts), func(i int) string { return d.Hosts[i].Name }); err != nil {
		return err
	}
	for i, h := range d.Hosts {
		at := fmt.Sprintf("/Hosts/%d", i)
		if !ValidName(h.Hall) {
			return fault(KindValue, at+"/Hall", fmt.Sprintf("bad hall %q", h.Hall), "name the data hall of the host")
		}
		if !h.Peer.IsValid() || h.Peer.Port() == 0 {
			return fault(KindValue, at+"/Peer", "no address", "write an IP number and a port")
		}
	}
	return nil
}

func (c *checker) upstreamList() error {
	d := c.doc
	if err := names("/Upstreams", len(d.Upstreams), func(i int) string { return d.Upstreams[i].Name }); err != nil {
		return err
	}
	addresses := map[string]string{}
	for i, u := range d.Upstreams {
		at := fmt.Sprintf("/Upstreams/%d", i)
		switch {
		case !ValidName(u.Hall):
			return fault(KindValue, at+"/Hall", fmt.Sprintf("bad hall %q", u.Hall), "name the data hall of the upstream")
		case !u.Address.IsValid() || u.Address.Port() == 0:
			return fault(KindValue, at+"/Address", "no address", "write an IP number and a port")
		case u.Slots < 1 || u.Slots > maxSlots:
			return fault(KindValue, at+"/Slots", "out of range", "use 1 to 4096")
		case u.Connections < u.Slots:
			return fault(KindValue, at+"/Connections", "fewer connections than slots", "use Slots or more")
		}
		if other, ok := addresses[u.Address.String()]; ok {
			return fault(KindDuplicate, at+"/Address", "address of "+other, "give each upstream its own address")
		}
		addresses[u.Address.String()] = u.Name
		c.upstreams[u.Name] = true
	}
	return nil
}

func (c *checker) services() error {
	d := c.doc
	if err := names("/Services", len(d.Services), func(i int) string { return d.Services[i].Name }); err != nil {
		return err
	}
	for i := range d.Services {
		if err := c.service(&d.Services[i], fmt.Sprintf("/Services/%d", i)); err != nil {
			return err
		}
	}
	return nil
}

func (c *checker) service(s *Service, at string) error {
	if s.KeySpace == 0 {
		return fault(KindValue, at+"/KeySpace", "no keys", "use 1 or more")
	}
	if err := names(at+"/Shards", len(s.Shards), func(i int) string { return s.Shards[i].Name }); err != nil {
		return err
	}
	if !slices.IsSortedFunc(s.Shards, func(a, b Shard) int { return cmp.Compare(a.From, b.From) }) {
		return fault(KindRange, at+"/Shards", "not in order of key", "sort the shards by From")
	}
	next := uint32(0)
	for i, h := range s.Shards {
		shard := fmt.Sprintf("%s/Shards/%d", at, i)
		switch {
		case h.To <= h.From:
			return fault(KindRange, shard+"/To", "empty range", "make To larger than From")
		case h.From < next:
			return fault(KindRange, shard+"/From", "overlaps the shard before", fmt.Sprintf("start at %d", next))
		case h.From > next:
			return fault(KindRange, shard+"/From", fmt.Sprintf("keys %d to %d belong to no shard", next, h.From), "declare a shard for them")
		}
		if err := c.replicas(h.Replicas, shard+"/Replicas"); err != nil {
			return err
		}
		next = h.To
	}
	if next != s.KeySpace {
		return fault(KindRange, at+"/Shards", fmt.Sprintf("shards end at %d of %d keys", next, s.KeySpace), "cover the whole key space")
	}
	return nil
}

func (c *checker) replicas(replicas []string, at string) error {
	if len(replicas) == 0 {
		return fault(KindReference, at, "no replicas", "name at least one upstream")
	}
	for i, r := range replicas {
		if !c.upstreams[r] {
			return fault(KindReference, fmt.Sprintf("%s/%d", at, i), fmt.Sprintf("unknown upstream %q", r), "declare the upstream or correct the name")
		}
		if slices.Contains(replicas[:i], r) {
			return fault(KindDuplicate, fmt.Sprintf("%s/%d", at, i), fmt.Sprintf("upstream %q stands twice", r), "name each replica once")
		}
	}
	return nil
}

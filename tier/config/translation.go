package config

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"time"
)

// Translation is a document that an adapter has translated from the form in which the
// platform publishes it. The platform has validated such a document and has told its author
// that it is accepted, so a host applies all of it that can be applied: a route that cannot
// is left out alone, and the limits of Check, which catch mistakes of an author, don't apply.
type Translation struct {
	// Adapter is the name of the adapter.
	Adapter string
	// Text is the document as published. Hosts send it to each other.
	Text []byte
	// Version is assigned by the author; 0 if there is none.
	Version uint64
	// Document is the translated text. A route that could not be translated has Fault set.
	Document *Document
	// Faults are the parts of the text, besides routes, that could not be translated.
	Faults []*Error
}

// longestDuration is the longest duration of a translated document. Longer ones are
// shortened to it, so that sums and small multiples of durations do not overflow.
const longestDuration = Duration(365 * 24 * time.Hour)

// maxCount is the largest number of attempts, connections or records, and the largest rank, of a
// translated document. Larger ones are lowered to it, so that sums of them do not overflow.
const maxCount = math.MaxInt32

// Index returns the document with its lookup tables. It depends only on its arguments, so
// all hosts apply a document alike.
func (t *Translation) Index(e Edition) *Index {
	a := applier{faults: slices.Clone(t.Faults), names: map[string]bool{}, repeated: map[string]int{}, prefixes: map[string]int{}}
	d := *t.Document
	d.Groups = a.groups(d.Groups)
	d.Routes = a.routes(d.Routes)
	x := newIndex(&d, t.Text, e)
	x.Adapter, x.Faults = t.Adapter, a.faults
	return x
}

// applier decides what of a translated document is applied, and collects the rest.
type applier struct {
	faults []*Error
	// names are the names of the routes so far, repeated counts how often each came again.
	names    map[string]bool
	repeated map[string]int
	// prefixes has the routes so far by host name and prefix.
	prefixes map[string]int
}

// newRepeat returns the fault of an element that stands twice.
func newRepeat(name, field, problem, remedy string) *Error {
	return &Error{Kind: KindDuplicate, Name: name, Field: field, Problem: problem, Remedy: remedy}
}

// groups returns the groups without those whose name stands twice. The first one applies.
func (a *applier) groups(all []Group) []Group {
	out := make([]Group, 0, len(all))
	seen := make(map[string]bool, len(all))
	for i, g := range all {
		if seen[g.Name] {
			field := fmt.Sprintf("/Groups/%d/Name", i)
			a.faults = append(a.faults, newRepeat(g.Name, field, "name stands twice", "list each group once; the first one applies"))
			continue
		}
		seen[g.Name] = true
		g.Connections = min(max(g.Connections, 1), maxCount)
		g.Warmup = min(max(g.Warmup, 0), longestDuration)
		g.ColdRate = min(max(g.ColdRate, 0), maxColdRate)
		out = append(out, g)
	}
	return out
}

// routes returns the routes in a form that can be applied, or with Fault set.
func (a *applier) routes(all []Route) []Route {
	out := make([]Route, 0, len(all))
	for i, r := range all {
		path := fmt.Sprintf("/Routes/%d", i)
		r.Name = a.uniqueName(&r)
		if r.Fault == nil {
			r.Fault = r.findFault(path)
		}
		if r.Fault != nil {
			a.faults = append(a.faults, r.Fault)
		}
		r.complete()
		if !strings.HasPrefix(r.Prefix, "/") {
			continue // no path begins with the prefix
		}
		if a.repeats(out, &r, path) {
			continue
		}
		out = append(out, r)
	}
	return out
}

// complete replaces values that have a single reasonable reading by that.
func (r *Route) complete() {
	r.MaxAttempts = min(max(r.MaxAttempts, 1), maxCount)
	r.Priority = min(max(r.Priority, -maxCount), maxCount)
	r.TimeLimit = min(r.TimeLimit, longestDuration)
	if r.Objective <= 0 {
		r.Objective = r.TimeLimit
	}
	r.Objective = min(r.Objective, longestDuration)
	if len(r.Split) > 0 {
		r.Split = mergeWeights(r.Split)
	}
	if r.Gather != nil {
		gather := *r.Gather
		gather.Groups, gather.Top = withoutRepeats(gather.Groups), min(gather.Top, maxCount)
		r.Gather = &gather
	}
}

// mergeWeights returns a split in which each group stands once, with the sum of its weights.
func mergeWeights(split []WeightedGroup) []WeightedGroup {
	out := make([]WeightedGroup, 0, len(split))
	at := make(map[string]int, len(split))
	for _, w := range split {
		i, seen := at[w.Group]
		if !seen {
			at[w.Group] = len(out)
			out = append(out, w)
			continue
		}
		out[i].Weight += w.Weight
	}
	return out
}

func totalWeight(split []WeightedGroup) (sum float64) {
	for _, w := range split {
		sum += w.Weight
	}
	return sum
}

func withoutRepeats(names []string) []string {
	out := make([]string, 0, len(names))
	seen := make(map[string]bool, len(names))
	for _, n := range names {
		if !seen[n] {
			out = append(out, n)
		}
		seen[n] = true
	}
	return out
}

// uniqueName returns the name by which hosts refer to the route: its own, or one with its host
// name and prefix if it has none or an earlier route has the same.
func (a *applier) uniqueName(r *Route) string {
	name := r.Name
	if name == "" || a.names[name] {
		name += " " + r.HostName + r.Prefix
	}
	for base := name; a.names[name]; {
		a.repeated[base]++
		name = fmt.Sprintf("%s (%d)", base, a.repeated[base]+1)
	}
	a.names[name] = true
	return name
}

// findFault returns why a route cannot be applied, or nil if it can. A group that is not
// listed is no fault: its upstreams are in the directory, and defaults apply to them.
func (r *Route) findFault(path string) *Error {
	rules := append([]rule{
		{r.HostName != "", "HostName", "missing", "give the host name of the requests"},
		{strings.HasPrefix(r.Prefix, "/"), "Prefix", "no path prefix", "begin it with a slash"},
		{r.TimeLimit > 0, "TimeLimit", "out of range", "use above 0"},
		{!math.IsInf(totalWeight(r.Split), 0), "Split", "the sum of the weights is out of range", "use smaller weights"},
	}, r.targetRules()...)
	for _, v := range rules {
		if !v.ok {
			return &Error{Kind: KindValue, Name: r.Name, Field: path + "/" + v.field, Problem: v.problem, Remedy: v.remedy}
		}
	}
	return nil
}

// repeats reports whether an earlier route has the same host name, prefix and settings. If only
// the settings differ, it is in doubt which of them apply, and both routes get a fault.
func (a *applier) repeats(earlier []Route, r *Route, path string) bool {
	key := strings.ToLower(r.HostName) + "\x00" + r.Prefix
	first, known := a.prefixes[key]
	if !known {
		a.prefixes[key] = len(earlier)
		return false
	}
	other := &earlier[first]
	problem := fmt.Sprintf("host name and prefix of route %q", Shorten(other.Name))
	fault := newRepeat(r.Name, path+"/Prefix", problem, "give each route its own")
	a.faults = append(a.faults, fault)
	if other.sameSettings(r) {
		return true
	}
	r.Fault = fault
	if other.Fault == nil {
		other.Fault = fault
	}
	return false
}

// sameSettings reports whether two routes differ in nothing but their names.
func (r *Route) sameSettings(other *Route) bool {
	a, b := *r, *other
	a.Name, b.Name = "", ""
	a.HostName, b.HostName = strings.ToLower(a.HostName), strings.ToLower(b.HostName)
	return a.Fault == nil && b.Fault == nil && a.Digest() == b.Digest()
}

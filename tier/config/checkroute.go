package config

import (
	"fmt"
	"slices"
	"strings"
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
			return fault(KindValue, fieldPath("/Groups", i, "Connections"), "out of range", "use 1 or more")
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
			return fault(KindDuplicate, fieldPath("/Routes", i, "Prefix"), "host name and prefix of "+other, "give each route its own")
		}
		seen[key] = r.Name
	}
	return nil
}

// maxColdRate bounds a group's ColdRate, in requests per second; no single upstream
// takes as many. Not measured.
const maxColdRate = 1e6

func checkWarmup(g *Group, i int) error {
	if g.Warmup < 0 || g.Warmup > maxDuration {
		return fault(KindValue, fieldPath("/Groups", i, "Warmup"), "out of range", "use 0 to 10m")
	}
	if g.ColdRate >= 0 && g.ColdRate <= maxColdRate {
		return nil
	}
	return fault(KindValue, fieldPath("/Groups", i, "ColdRate"), "out of range", "use 0 for no bound, or up to 1000000 requests a second")
}

// checkHomes finds regions that have no proper name or stand twice.
func checkHomes(r *Route, i int) error {
	for n, h := range r.Homes {
		if h == "" {
			return fault(KindValue, fieldPath("/Routes", i, "Homes"), "a region without a name", "name a region, or leave Homes out for all regions")
		}
		if slices.Contains(r.Homes[:n], h) {
			return fault(KindDuplicate, fieldPath("/Routes", i, "Homes"), "region "+h+" stands twice", "name each region once")
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
	err := firstBroken(fmt.Sprintf("/Routes/%d", i), []rule{
		{r.HostName != "", "HostName", "missing", "give the host name of the requests"},
		{strings.HasPrefix(r.Prefix, "/") && strings.HasSuffix(r.Prefix, "/"), "Prefix", "no path prefix", "begin and end it with a slash"},
		{r.MaxAttempts >= 1, "MaxAttempts", "out of range", "use 1 or more"},
		{r.TimeLimit > 0 && r.TimeLimit <= maxDuration, "TimeLimit", "out of range", "use above 0 and at most 10m"},
		{r.Objective > 0 && r.Objective <= maxDuration, "Objective", "out of range", "use above 0 and at most 10m"},
		{targets == 1, "Group", "not exactly one target", "give one of Group, Split and Gather"},
		{weightsOK(r.Split), "Split", "bad weights", "use weights of 0 or more, one of them above 0"},
		{r.Gather == nil || r.Gather.Top >= 1, "Gather/Top", "out of range", "use 1 or more"},
		{r.Gather == nil || r.Gather.Coverage >= 0 && r.Gather.Coverage <= 1, "Gather/Coverage", "out of range", "use 0 to 1"},
		{r.Gather == nil || len(r.Gather.Groups) > 0, "Gather/Groups", "no shards", "name at least one group"},
		{r.Gather == nil || r.Repeatable, "Repeatable", "a gather that is not repeatable", "make it repeatable: parts may be asked twice"},
	})
	if err != nil {
		return err
	}
	targetsOf := r.Targets()
	for n, g := range targetsOf {
		if !groups[g] {
			return fault(KindReference, fieldPath("/Routes", i, "Group"), "unknown group "+g, "declare the group or correct the name")
		}
		if slices.Contains(targetsOf[:n], g) {
			return fault(KindDuplicate, fieldPath("/Routes", i, "Group"), "group "+g+" stands twice", "name each group once")
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

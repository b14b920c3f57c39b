package config

import (
	"cmp"
	"slices"
	"strings"
)

// maxColdRate bounds a group's ColdRate, in requests per second; no single upstream
// takes as many. Not measured.
const maxColdRate = 1e6

func (c *checker) group(g *Group, at string) error {
	c.groups[g.Name] = true
	return firstBroken(at, []rule{
		{g.Connections >= 1, "Connections", "out of range", "use 1 or more"},
		{g.Warmup >= 0 && g.Warmup <= maxDuration, "Warmup", "out of range", "use 0 to 10m"},
		{g.ColdRate >= 0 && g.ColdRate <= maxColdRate, "ColdRate", "out of range", "use 0 for no bound, or up to 1000000 requests a second"},
	})
}

func (c *checker) route(r *Route, at string) error {
	targets := 0
	for _, given := range []bool{r.Group != "", len(r.Split) > 0, r.Gather != nil} {
		if given {
			targets++
		}
	}
	err := firstBroken(at, []rule{
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
	if err := cmp.Or(err, c.targets(r, at), checkHomes(r, at)); err != nil {
		return err
	}
	key := r.HostName + " " + r.Prefix
	if other, ok := c.prefixes[key]; ok {
		return fault(KindDuplicate, at+"/Prefix", "host name and prefix of "+other, "give each route its own")
	}
	c.prefixes[key] = r.Name
	return nil
}

// targets finds groups that are not declared or stand twice.
func (c *checker) targets(r *Route, at string) error {
	targets := r.Targets()
	for n, g := range targets {
		if !c.groups[g] {
			return fault(KindReference, at+"/Group", "unknown group "+g, "declare the group or correct the name")
		}
		if slices.Contains(targets[:n], g) {
			return fault(KindDuplicate, at+"/Group", "group "+g+" stands twice", "name each group once")
		}
	}
	return nil
}

// checkHomes finds regions that have no proper name or stand twice.
func checkHomes(r *Route, at string) error {
	for n, h := range r.Homes {
		if h == "" {
			return fault(KindValue, at+"/Homes", "a region without a name", "name a region, or leave Homes out for all regions")
		}
		if slices.Contains(r.Homes[:n], h) {
			return fault(KindDuplicate, at+"/Homes", "region "+h+" stands twice", "name each region once")
		}
	}
	return nil
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

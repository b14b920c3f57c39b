package main

import (
	"cmp"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"loomgap/platform"
)

// Bounds that the checks judge by. Each is a promise's own, with time for a busy
// machine, which callers and daemons share.
const (
	// soakApply is when a change must be in force at untouched hosts.
	soakApply = 5 * time.Second
	// soakUntouched is how long ago the last fault of a host, or of the store,
	// must be for a promise with a time to be checked.
	soakUntouched = 6 * time.Second
	// soakWindow is the span within which repeats are counted, the platform's.
	soakWindow = 10 * time.Second
	// soakStop is how long a planned stop takes at most, and how long ago any
	// other fault of the host must be for the promise about stops to be checked.
	soakStop = 4 * time.Second
	// soakServed is the part of requests that must be served once all is healed.
	soakServed = 0.95
	// soakBrokenMost is how many broken promises a report lists at the most.
	soakBrokenMost = 50
)

// check returns the broken promises, each with what showed it.
func (s *soak) check() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := &checker{soak: s, runs: map[string][]*soakUpstream{}}
	for _, u := range s.upstreams {
		for _, a := range u.seen() {
			if a.ran {
				c.runs[a.id] = append(c.runs[a.id], u)
			}
		}
	}
	for i := range s.asked {
		c.request(&s.asked[i])
	}
	c.versions()
	c.unwanted()
	c.repeats()
	c.recovery()
	return c.broken
}

type checker struct {
	soak *soak
	// runs are the upstreams that ran a request, by its ID.
	runs   map[string][]*soakUpstream
	broken []string
}

// expect counts a check of a promise, and notes it if the promise is broken.
func (c *checker) expect(promise string, ok bool, format string, args ...any) {
	c.soak.checked[promise]++
	if !ok && len(c.broken) < soakBrokenMost {
		c.broken = append(c.broken, promise+": "+fmt.Sprintf(format, args...))
	}
}

func (c *checker) request(a *asked) {
	runs := c.runs[a.id]
	if a.kind == kindUnsafe {
		c.expect("at most once", len(runs) <= 1, "%s ran %d times", a.id, len(runs))
		if a.status == http.StatusServiceUnavailable || a.status == http.StatusTooManyRequests {
			c.expect("a refusal is true", len(runs) == 0, "%s was refused and ran", a.id)
		}
	}
	if a.err != nil && len(runs) > 0 {
		c.expect("a planned stop cuts nothing", !c.stopped(a), "%s was cut by host %d: %v", a.id, a.host, a.err)
	}
	seen, ran := map[*soakUpstream]bool{}, map[string]int{}
	for _, u := range runs {
		if !seen[u] {
			seen[u] = true
			ran[u.group]++
		}
	}
	for g, n := range ran {
		c.expect("attempts", n <= 2, "%s ran on %d upstreams of %s", a.id, n, g)
	}
	switch {
	case a.status != http.StatusOK || a.err != nil:
	case a.kind == kindGather:
		c.gathered(a)
	default:
		c.single(a)
	}
}

// stopped reports whether a request was under way during a planned stop of its
// host, and no other fault of the host.
func (c *checker) stopped(a *asked) bool {
	h := c.soak.hosts[a.host]
	during := func(at time.Duration) bool { return at > a.at-soakStop && at < a.ended }
	return slices.ContainsFunc(h.stopTimes, during) && !slices.ContainsFunc(h.faultTimes, during)
}

// stamped finds the upstream that gave a stamp to a request; nil if none did.
func (c *checker) stamped(stamp, id string) *soakUpstream {
	for _, u := range c.runs[id] {
		if u.Stamp(id) == stamp {
			return u
		}
	}
	return nil
}

func (c *checker) single(a *asked) {
	u := c.stamped(a.header.Get(platform.Headers.Stamp), a.id)
	c.expect("own whole answer", u != nil && string(a.body) == u.Body, "%s got %q with stamp %q", a.id, a.body, a.header.Get(platform.Headers.Stamp))
}

func (c *checker) gathered(a *asked) {
	var records []string
	in := map[string]bool{}
	for _, stamp := range strings.Split(a.header.Get(platform.Headers.Parts), ", ") {
		u := c.stamped(stamp, a.id)
		if u == nil || in[u.group] {
			c.expect("own whole answer", false, "%s has the part %q, which is none of it, or twice", a.id, stamp)
			return
		}
		in[u.group] = true
		for text := u.Body; len(text) >= soakRecordSize; text = text[soakRecordSize:] {
			records = append(records, text[:soakRecordSize])
		}
	}
	slices.Sort(records)
	slices.Reverse(records)
	want := strings.Join(records[:min(soakTop, len(records))], "")
	c.expect("own whole answer", string(a.body) == want, "%s got %q for %q", a.id, a.body, want)
	missing, err := strconv.Atoi(a.header.Get(platform.Headers.Missing))
	set := slices.IndexFunc(c.soak.sets, func(set []string) bool {
		n := 0
		for _, g := range set {
			if in[g] {
				n++
			}
		}
		return n == len(in)
	})
	c.expect("one set of shards", set >= 0, "%s mixes sets: %v", a.id, in)
	c.expect("true coverage", err == nil && len(in)+missing == c.soak.Shards, "%s has %d parts and lacks %d", a.id, len(in), missing)
	c.expect("least coverage", float64(len(in)) >= soakCoverage*float64(c.soak.Shards), "%s has %d parts", a.id, len(in))
}

// versions checks how hosts follow the configuration: a process that answered
// for a version's route knows it for all requests that are sent from then on. Two
// requests that were on their way at the same time are not compared: the one sent
// first may have been read last.
func (c *checker) versions() {
	type process struct{ host, generation int }
	known := map[process]int{}
	withStatus := func(status int) []asked {
		return slices.DeleteFunc(slices.Clone(c.soak.asked), func(a asked) bool {
			return a.route == 0 || a.err != nil || a.status != status
		})
	}
	served, refused := withStatus(http.StatusOK), withStatus(http.StatusNotFound)
	slices.SortFunc(served, func(a, b asked) int { return cmp.Compare(a.ended, b.ended) })
	slices.SortFunc(refused, func(a, b asked) int { return cmp.Compare(a.at, b.at) })
	for _, a := range refused {
		for len(served) > 0 && served[0].ended < a.at {
			p := process{served[0].host, served[0].generation}
			known[p] = max(known[p], served[0].route)
			served = served[1:]
		}
		latest := known[process{a.host, a.generation}]
		c.expect("no way back", latest < a.route, "host %d knew version %d and does not know %d at %s", a.host, latest, a.route, a.at)
		v := c.soak.versions[a.route-1]
		h := c.soak.hosts[a.host]
		settled := a.at-v.at > soakApply && a.at-h.touched > soakUntouched && a.at-c.soak.storeTouched > soakUntouched
		c.expect("in force everywhere", !settled, "host %d does not know version %d after %s", a.host, a.route, a.at-v.at)
	}
}

// unwanted checks that no request reached an upstream long after its hall was
// evacuated, or after it was listed as leaving. A fault of a host or of the store may
// have delayed the news that it leaves.
func (c *checker) unwanted() {
	for _, u := range c.soak.upstreams {
		if u.hall == halls[0] {
			c.notAfter("evacuated halls", u, c.soak.evacuatedAt, soakUntouched)
		}
		c.notAfter("leaving upstreams", u, u.leftAt, soakApply+soakUntouched)
	}
}

// notAfter checks that no request reached an upstream later than a while after a
// time; a time of 0 stands for none.
func (c *checker) notAfter(promise string, u *soakUpstream, at, while time.Duration) {
	if at == 0 {
		return
	}
	for _, a := range u.seen() {
		late := a.at - at
		c.expect(promise, late <= while, "%s got %s %s after it should get none", u.Name, a.id, late)
	}
}

// repeats checks the arrivals beyond the first of a request at each group, within
// sliding windows.
func (c *checker) repeats() {
	perGroup := map[string][]arrival{}
	for _, u := range c.soak.upstreams {
		perGroup[u.group] = append(perGroup[u.group], u.seen()...)
	}
	for g, as := range perGroup {
		slices.SortFunc(as, func(a, b arrival) int { return cmp.Compare(a.at, b.at) })
		first := map[string]bool{}
		var repeats, requests []time.Duration
		for _, a := range as {
			if first[a.id] {
				repeats = append(repeats, a.at)
			} else {
				requests = append(requests, a.at)
			}
			first[a.id] = true
		}
		for i, at := range repeats {
			n := i + 1 - from(repeats, at-soakWindow)
			most := max(between(requests, at-soakWindow, at), between(requests, at-2*soakWindow, at-soakWindow))
			allowed := soakRatio*float64(most) + soakSlack
			c.expect("repeats", float64(n) <= allowed, "%s got %d repeats for %d requests in %s", g, n, most, soakWindow)
		}
	}
}

// from is the index of the first time not before another.
func from(times []time.Duration, at time.Duration) int {
	i, _ := slices.BinarySearch(times, at)
	return i
}

func between(times []time.Duration, a, b time.Duration) int { return from(times, b) - from(times, a) }

// recovery checks the last requests, sent when all was healed.
func (c *checker) recovery() {
	last := time.Duration(0)
	for i := range c.soak.asked {
		last = max(last, c.soak.asked[i].at)
	}
	served, all := 0, 0
	for _, a := range c.soak.asked {
		if a.at < last-soakLast || a.status == 0 && a.err != nil && a.ended == 0 {
			continue
		}
		all++
		if a.status == http.StatusOK {
			served++
		}
	}
	c.expect("recovery", float64(served) >= soakServed*float64(all), "%d of %d requests served at the end", served, all)
}

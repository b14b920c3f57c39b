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

// Limits of the checks. The times include slack, because callers and daemons share a busy
// machine.
const (
	// soakApplyTimeout is how long hosts without faults may take to apply a change.
	soakApplyTimeout = 5 * time.Second
	// soakSettleTime is how long a host and the store must have been without faults
	// before guarantees with a time limit apply.
	soakSettleTime = 6 * time.Second
	// soakRetryWindow is the window in which the platform limits retries.
	soakRetryWindow = 10 * time.Second
	// soakStopTimeout is the longest time that a planned stop takes. The guarantee about
	// planned stops applies only to a host without other faults in that time.
	soakStopTimeout = 4 * time.Second
	// soakMinServed is the share of requests that must be served after recovery.
	soakMinServed = 0.95
	// soakMaxViolations limits the violations in a report.
	soakMaxViolations = 50
)

// check returns a description of each violated guarantee.
func (s *soak) check() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := &checker{soak: s, runs: map[string][]*soakUpstream{}}
	for _, u := range s.upstreams {
		for _, a := range u.arrivalsSoFar() {
			if a.ran {
				c.runs[a.id] = append(c.runs[a.id], u)
			}
		}
	}
	for i := range s.requests {
		c.checkRequest(&s.requests[i])
	}
	c.checkVersions()
	c.checkExcludedUpstreams()
	c.checkRetries()
	c.checkRecovery()
	c.checkMemory()
	return c.violations
}

// checker checks the guarantees against the history of a soak.
type checker struct {
	soak *soak
	// runs holds the upstream of each run of a request, by request ID.
	runs       map[string][]*soakUpstream
	violations []string
}

// expect counts a check of a guarantee, and records a violation if ok is false.
func (c *checker) expect(guarantee string, ok bool, format string, args ...any) {
	c.soak.checked[guarantee]++
	if !ok && len(c.violations) < soakMaxViolations {
		c.violations = append(c.violations, guarantee+": "+fmt.Sprintf(format, args...))
	}
}

// checkRequest checks the runs, the attempts and the answer of a request.
func (c *checker) checkRequest(req *soakRequest) {
	runs := c.runs[req.id]
	if req.kind == kindUnsafe {
		c.expect("at most once", len(runs) <= 1, "%s ran %d times", req.id, len(runs))
	}
	if req.status == http.StatusServiceUnavailable || req.status == http.StatusTooManyRequests {
		c.expect("a refusal is true", len(runs) == 0, "%s was refused and ran", req.id)
	}
	if req.err != nil && len(runs) > 0 {
		c.expect("a planned stop cuts nothing", !c.duringPlannedStop(req), "%s was cut by host %d: %v", req.id, req.host, req.err)
	}
	seen, upstreamsPerGroup := map[*soakUpstream]bool{}, map[string]int{}
	for _, u := range runs {
		if !seen[u] {
			seen[u] = true
			upstreamsPerGroup[u.group]++
		}
	}
	for g, n := range upstreamsPerGroup {
		c.expect("attempts", n <= 2, "%s ran on %d upstreams of %s", req.id, n, g)
	}
	switch {
	case req.status != http.StatusOK || req.err != nil:
	case req.kind == kindGather:
		c.checkGather(req)
	default:
		c.checkSingle(req)
	}
}

// duringPlannedStop reports whether a request was in flight during a planned stop of its
// host, without any other fault of the host at that time.
func (c *checker) duringPlannedStop(req *soakRequest) bool {
	h := c.soak.hosts[req.host]
	during := func(at time.Duration) bool { return at > req.sentAt-soakStopTimeout && at < req.endedAt }
	return slices.ContainsFunc(h.stopTimes, during) && !slices.ContainsFunc(h.faultTimes, during)
}

// upstreamByStamp returns the upstream that ran a request and answered it with the given
// stamp; nil if there is none.
func (c *checker) upstreamByStamp(stamp, id string) *soakUpstream {
	for _, u := range c.runs[id] {
		if u.Stamp(id) == stamp {
			return u
		}
	}
	return nil
}

// checkSingle checks that an answer is the whole body of the upstream that its stamp
// names.
func (c *checker) checkSingle(req *soakRequest) {
	u := c.upstreamByStamp(req.header.Get(platform.Headers.Stamp), req.id)
	c.expect("own whole answer", u != nil && string(req.body) == u.Body, "%s got %q with stamp %q", req.id, req.body, req.header.Get(platform.Headers.Stamp))
}

// checkGather checks that the answer of a gather merges the records of the parts that it
// names, all from one set of shards, and that it states its coverage correctly.
func (c *checker) checkGather(req *soakRequest) {
	var records []string
	included := map[string]bool{}
	for _, stamp := range strings.Split(req.header.Get(platform.Headers.Parts), ", ") {
		u := c.upstreamByStamp(stamp, req.id)
		if u == nil || included[u.group] {
			c.expect("own whole answer", false, "%s has the part %q, which is none of it, or twice", req.id, stamp)
			return
		}
		included[u.group] = true
		for text := u.Body; len(text) >= soakRecordBytes; text = text[soakRecordBytes:] {
			records = append(records, text[:soakRecordBytes])
		}
	}
	slices.Sort(records)
	slices.Reverse(records)
	want := strings.Join(records[:min(soakTopRecords, len(records))], "")
	c.expect("own whole answer", string(req.body) == want, "%s got %q for %q", req.id, req.body, want)
	missing, err := strconv.Atoi(req.header.Get(platform.Headers.Missing))
	setIndex := slices.IndexFunc(c.soak.shardSets, func(set []string) bool {
		n := 0
		for _, g := range set {
			if included[g] {
				n++
			}
		}
		return n == len(included)
	})
	c.expect("one set of shards", setIndex >= 0, "%s mixes sets: %v", req.id, included)
	c.expect("true coverage", err == nil && len(included)+missing == c.soak.Shards, "%s has %d parts and lacks %d", req.id, len(included), missing)
	c.expect("least coverage", float64(len(included)) >= soakMinCoverage*float64(c.soak.Shards), "%s has %d parts", req.id, len(included))
}

// checkVersions checks that hosts apply new configurations in time and do not go back:
// once a daemon has served the route of a version, it knows this route for all requests
// that are sent later. It does not compare requests that were in flight at the same time,
// since the host may have read the one sent first after the other.
func (c *checker) checkVersions() {
	type process struct{ host, generation int }
	known := map[process]int{}
	withStatus := func(status int) []soakRequest {
		return slices.DeleteFunc(slices.Clone(c.soak.requests), func(a soakRequest) bool {
			return a.route == 0 || a.err != nil || a.status != status
		})
	}
	served, refused := withStatus(http.StatusOK), withStatus(http.StatusNotFound)
	slices.SortFunc(served, func(a, b soakRequest) int { return cmp.Compare(a.endedAt, b.endedAt) })
	slices.SortFunc(refused, func(a, b soakRequest) int { return cmp.Compare(a.sentAt, b.sentAt) })
	for _, a := range refused {
		for len(served) > 0 && served[0].endedAt < a.sentAt {
			p := process{served[0].host, served[0].generation}
			known[p] = max(known[p], served[0].route)
			served = served[1:]
		}
		latest := known[process{a.host, a.generation}]
		c.expect("no way back", latest < a.route, "host %d knew version %d and does not know %d at %s", a.host, latest, a.route, a.sentAt)
		v := c.soak.versions[a.route-1]
		h := c.soak.hosts[a.host]
		settled := a.sentAt-v.publishedAt > soakApplyTimeout && a.sentAt-h.disturbedAt > soakSettleTime && a.sentAt-c.soak.storeDisturbedAt > soakSettleTime
		c.expect("in force everywhere", !settled, "host %d does not know version %d after %s", a.host, a.route, a.sentAt-v.publishedAt)
	}
}

// checkExcludedUpstreams checks that upstreams get no more requests after their hall was
// evacuated or they were listed as leaving. The grace period for leaving upstreams is
// longer, since faults of a host or the store may delay the change.
func (c *checker) checkExcludedUpstreams() {
	for _, u := range c.soak.upstreams {
		if u.hall == halls[0] {
			c.expectNoArrivalsAfter("evacuated halls", u, c.soak.evacuatedAt, soakSettleTime)
		}
		c.expectNoArrivalsAfter("leaving upstreams", u, u.leavingAt, soakApplyTimeout+soakSettleTime)
	}
}

// expectNoArrivalsAfter checks that no request reached an upstream after excludedAt plus
// the grace period. An excludedAt of 0 means that the upstream was not excluded.
func (c *checker) expectNoArrivalsAfter(guarantee string, u *soakUpstream, excludedAt, grace time.Duration) {
	if excludedAt == 0 {
		return
	}
	for _, a := range u.arrivalsSoFar() {
		late := a.at - excludedAt
		c.expect(guarantee, late <= grace, "%s got %s %s after it should get none", u.Name, a.id, late)
	}
}

// checkRetries checks the retry limit of each group over sliding windows. Each arrival
// of a request after the first one counts as a retry.
func (c *checker) checkRetries() {
	perGroup := map[string][]arrival{}
	for _, u := range c.soak.upstreams {
		perGroup[u.group] = append(perGroup[u.group], u.arrivalsSoFar()...)
	}
	for g, arrivals := range perGroup {
		slices.SortFunc(arrivals, func(a, b arrival) int { return cmp.Compare(a.at, b.at) })
		seen := map[string]bool{}
		var retries, requests []time.Duration
		for _, a := range arrivals {
			if seen[a.id] {
				retries = append(retries, a.at)
			} else {
				requests = append(requests, a.at)
			}
			seen[a.id] = true
		}
		for i, at := range retries {
			n := i + 1 - lowerBound(retries, at-soakRetryWindow)
			maxRequests := max(countBetween(requests, at-soakRetryWindow, at), countBetween(requests, at-2*soakRetryWindow, at-soakRetryWindow))
			allowed := soakRetryRatio*float64(maxRequests) + soakRetrySlack
			c.expect("repeats", float64(n) <= allowed, "%s got %d repeats for %d requests in %s", g, n, maxRequests, soakRetryWindow)
		}
	}
}

// lowerBound returns the index of the first of the sorted times that is not before at.
func lowerBound(times []time.Duration, at time.Duration) int {
	i, _ := slices.BinarySearch(times, at)
	return i
}

// countBetween returns the number of the sorted times in [a, b).
func countBetween(times []time.Duration, a, b time.Duration) int {
	return lowerBound(times, b) - lowerBound(times, a)
}

// checkRecovery checks the share of served requests after the faults were cleared and
// the hosts had time to recover.
func (c *checker) checkRecovery() {
	lastSent := time.Duration(0)
	for i := range c.soak.requests {
		lastSent = max(lastSent, c.soak.requests[i].sentAt)
	}
	served, total := 0, 0
	for _, a := range c.soak.requests {
		if a.sentAt < lastSent-soakFinalTime || a.status == 0 && a.err != nil && a.endedAt == 0 {
			continue
		}
		total++
		if a.status == http.StatusOK {
			served++
		}
	}
	c.expect("recovery", float64(served) >= soakMinServed*float64(total), "%d of %d requests served at the end", served, total)
}

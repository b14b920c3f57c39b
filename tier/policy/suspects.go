package policy

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// suspectsMost is the number of requests that are remembered: with crashReportsMost
	// each, they take about 1 MB.
	maxSuspects = 1024
	// crashReportsMost is the number of crash reports that are remembered of a request.
	maxCrashReports = 8
	// MaxReports is the number of requests that hosts report to each other at once:
	// 3 KB, less when compressed.
	MaxReports = 16
)

type suspect struct {
	// crashes has at most crashReportsMost items, each with its own ID.
	crashes []crash
	// unsent is true while other hosts are to be sent it.
	unsent bool
}

// quarantine remembers the requests that crash upstreams. It belongs to the fleet
// and is used with the fleet locked. What it holds is a set of crash reports that only
// grows, each of which may be cleared once and expires: hosts that have exchanged their
// reports agree, in whatever order they came.
type quarantine struct {
	// suspects has at most suspectsMost items.
	suspects map[Fingerprint]*suspect
	// notify is called when other hosts are to be sent reports, urgently if a request is
	// refused from now on; it must not block.
	notify func(urgent bool)
}

// suspect is what is remembered of a request; without crash reports if it is not known.
func (q *quarantine) suspect(f Fingerprint) *suspect {
	if s := q.suspects[f]; s != nil {
		return s
	}
	return &suspect{}
}

// report takes in a crash that this host saw.
func (q *quarantine) report(now time.Duration, of RequestIdentity, c CrashReport) {
	c.Remaining, c.Caller = crashReportTTL, of.Caller
	q.merge(now, &SuspectReport{Fingerprint: of.Fingerprint, Crashes: []CrashReport{c}})
}

// clear notes that an upstream has answered the request: what crashed others was
// something else, or depends on the caller.
func (q *quarantine) clear(of RequestIdentity) {
	s := q.suspect(of.Fingerprint)
	for i := range s.crashes {
		c := &s.crashes[i]
		same := c.Caller == of.Caller
		s.unsent = c.learn(same, !same) || s.unsent
	}
	q.notifyIfUnsent(s, false)
}

func (q *quarantine) merge(now time.Duration, r *SuspectReport) {
	s := q.suspect(r.Fingerprint)
	before, changed := s.worstVerdict(now), false
	for i := range r.Crashes {
		changed = s.add(now, &r.Crashes[i]) || changed
	}
	if !changed {
		return
	}
	if q.suspects[r.Fingerprint] == nil {
		q.evictIfFull(now)
		q.suspects[r.Fingerprint] = s
	}
	s.unsent = true
	q.notifyIfUnsent(s, before != VerdictQuarantined && s.worstVerdict(now) == VerdictQuarantined)
}

// notifyOf has other hosts be sent what is known of a request, if they were not yet.
func (q *quarantine) notifyIfUnsent(s *suspect, urgent bool) {
	if s.unsent && q.notify != nil {
		q.notify(urgent)
	}
}

// add takes one crash report in, and reports whether it was new.
func (s *suspect) add(now time.Duration, c *CrashReport) bool {
	left := min(c.Remaining, crashReportTTL)
	i := slices.IndexFunc(s.crashes, func(o crash) bool { return o.ID == c.ID })
	switch {
	case i >= 0:
		return s.crashes[i].learn(c.Cleared, c.CallerOnly)
	case left <= 0:
		return false
	}
	s.crashes = slices.DeleteFunc(s.crashes, func(o crash) bool { return now >= o.until })
	if len(s.crashes) >= maxCrashReports {
		least := s.leastRelevant(now)
		s.crashes = slices.DeleteFunc(s.crashes, func(o crash) bool { return o.ID == least.ID })
	}
	s.crashes = append(s.crashes, crash{CrashReport: *c, until: now + left})
	return true
}

// least is the crash report that matters least, and of such the oldest.
func (s *suspect) leastRelevant(now time.Duration) crash {
	return slices.MinFunc(s.crashes, func(a, b crash) int {
		return cmp.Or(cmp.Compare(a.weight(now), b.weight(now)), cmp.Compare(a.until, b.until))
	})
}

// weight is how much a request matters: as much as the report that matters most.
func (s *suspect) weight(now time.Duration) int {
	out := weightNone
	for i := range s.crashes {
		out = max(out, s.crashes[i].weight(now))
	}
	return out
}

func (s *suspect) expiresAt() time.Duration {
	last := time.Duration(0)
	for i := range s.crashes {
		last = max(last, s.crashes[i].until)
	}
	return last
}

// report describes the crash reports that have not expired, cleared ones included.
func (s *suspect) report(now time.Duration, f Fingerprint) SuspectReport {
	out := SuspectReport{Fingerprint: f}
	for i := range s.crashes {
		c := s.crashes[i].CrashReport
		if c.Remaining = s.crashes[i].until - now; c.Remaining > 0 {
			out.Crashes = append(out.Crashes, c)
		}
	}
	return out
}

// makeRoom forgets the request that matters least, if there are as many as may be
// remembered: one without reports that count, then one without an isolated crash, then
// the one whose reports are oldest.
func (q *quarantine) evictIfFull(now time.Duration) {
	if len(q.suspects) < maxSuspects {
		return
	}
	known := slices.Collect(maps.Keys(q.suspects))
	delete(q.suspects, slices.MinFunc(known, func(a, b Fingerprint) int { return q.compare(now, a, b) }))
}

// compare orders requests by how much they matter, the least first.
func (q *quarantine) compare(now time.Duration, a, b Fingerprint) int {
	x, y := q.suspects[a], q.suspects[b]
	return cmp.Or(cmp.Compare(x.weight(now), y.weight(now)), cmp.Compare(x.expiresAt(), y.expiresAt()), cmp.Compare(a, b))
}

// reports lists what is known of requests, what matters most first; with unsent only
// what was not listed so before.
func (q *quarantine) reports(now time.Duration, unsent bool) []SuspectReport {
	var all []Fingerprint
	for f, s := range q.suspects {
		if now >= s.expiresAt() {
			delete(q.suspects, f)
			continue
		}
		if s.unsent || !unsent {
			all = append(all, f)
		}
	}
	slices.SortFunc(all, func(a, b Fingerprint) int { return q.compare(now, b, a) })
	var out []SuspectReport
	for _, f := range all[:min(len(all), MaxReports)] {
		s := q.suspects[f]
		s.unsent = s.unsent && !unsent
		out = append(out, s.report(now, f))
	}
	return out
}

// OnCrashReports has a function called whenever other hosts are to be sent crash reports,
// urgently if a request is refused from now on: its repeats may be on their way. It is
// called with the fleet locked and must not block.
func (f *Fleet) OnCrashReports(notify func(urgent bool)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.quarantine.notify = notify
}

// HasSuspects reports whether any request is remembered.
func (f *Fleet) HasSuspects() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.quarantine.suspects) > 0
}

// UnsentReports lists what other hosts are to be sent now, ReportsMost at most; the
// rest is listed next time.
func (f *Fleet) UnsentReports(now time.Duration) []SuspectReport {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.quarantine.reports(now, true)
}

// Reports lists what is known of the requests that matter most.
func (f *Fleet) Reports(now time.Duration) []SuspectReport {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.quarantine.reports(now, false)
}

// MergeReports takes in what another host reported.
func (f *Fleet) MergeReports(now time.Duration, reports []SuspectReport) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for i := range reports {
		f.quarantine.merge(now, &reports[i])
	}
}

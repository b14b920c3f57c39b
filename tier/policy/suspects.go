package policy

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// maxSuspects is the maximum number of requests that a host tracks. With maxCrashReports
	// each, they take about 1 MB.
	maxSuspects = 1024
	// maxCrashReports is the maximum number of crash reports that a host keeps per request.
	maxCrashReports = 8
	// MaxSuspectReports is the maximum number of requests that a host reports to another in
	// one message, about 3 KB before compression.
	MaxSuspectReports = 16
)

// suspect holds the crash reports of a tracked request.
type suspect struct {
	// crashes has at most maxCrashReports items with unique IDs.
	crashes []crash
	// unsent is true while the suspect must still be sent to other hosts.
	unsent bool
}

// quarantine tracks the requests that crash upstreams. It belongs to the fleet and is used
// with the fleet locked. Its content is a grow-only set of crash reports, each of which may
// be cleared once and expires. Hosts that have exchanged their reports therefore agree,
// regardless of the order in which reports arrived.
type quarantine struct {
	// suspects has at most maxSuspects items.
	suspects map[Fingerprint]*suspect
	// notify is called when reports must be sent to other hosts. urgent is true if a
	// request has just become quarantined. It must not block.
	notify func(urgent bool)
}

// suspect returns the record of a request. For a request that is not tracked, it returns a
// record without crash reports.
func (q *quarantine) suspect(f Fingerprint) *suspect {
	if s := q.suspects[f]; s != nil {
		return s
	}
	return &suspect{}
}

// report adds a crash that this host observed.
func (q *quarantine) report(now time.Duration, id RequestIdentity, c CrashReport) {
	c.Remaining, c.Caller = crashReportTTL, id.Caller
	q.merge(now, &SuspectReport{Fingerprint: id.Fingerprint, Crashes: []CrashReport{c}})
}

// clear records that an upstream has answered the request. The crashes then had another
// cause, or the request crashes upstreams only for other callers.
func (q *quarantine) clear(id RequestIdentity) {
	s := q.suspect(id.Fingerprint)
	for i := range s.crashes {
		c := &s.crashes[i]
		same := c.Caller == id.Caller
		s.unsent = c.merge(same, !same) || s.unsent
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

// notifyIfUnsent calls notify if the reports of a request must still be sent to other hosts.
func (q *quarantine) notifyIfUnsent(s *suspect, urgent bool) {
	if s.unsent && q.notify != nil {
		q.notify(urgent)
	}
}

// add adds a crash report and reports whether anything changed.
func (s *suspect) add(now time.Duration, c *CrashReport) bool {
	remaining := min(c.Remaining, crashReportTTL)
	i := slices.IndexFunc(s.crashes, func(o crash) bool { return o.ID == c.ID })
	switch {
	case i >= 0:
		return s.crashes[i].merge(c.Cleared, c.CallerOnly)
	case remaining <= 0:
		return false
	}
	s.crashes = slices.DeleteFunc(s.crashes, func(o crash) bool { return now >= o.until })
	if len(s.crashes) >= maxCrashReports {
		least := s.leastRelevant(now)
		s.crashes = slices.DeleteFunc(s.crashes, func(o crash) bool { return o.ID == least.ID })
	}
	s.crashes = append(s.crashes, crash{CrashReport: *c, until: now + remaining})
	return true
}

// leastRelevant returns the crash report with the lowest weight, the oldest one among
// equals.
func (s *suspect) leastRelevant(now time.Duration) crash {
	return slices.MinFunc(s.crashes, func(a, b crash) int {
		return cmp.Or(cmp.Compare(a.weight(now), b.weight(now)), cmp.Compare(a.until, b.until))
	})
}

// weight returns the weight of a request, which is the highest weight of its reports.
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

// report returns the crash reports that have not expired, including cleared ones.
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

// evictIfFull removes the least relevant request if maxSuspects requests are tracked: first
// those without reports that count, then those without an isolated crash, then those with
// the oldest reports.
func (q *quarantine) evictIfFull(now time.Duration) {
	if len(q.suspects) < maxSuspects {
		return
	}
	known := slices.Collect(maps.Keys(q.suspects))
	delete(q.suspects, slices.MinFunc(known, func(a, b Fingerprint) int { return q.compare(now, a, b) }))
}

// compare orders requests by relevance, least relevant first.
func (q *quarantine) compare(now time.Duration, a, b Fingerprint) int {
	x, y := q.suspects[a], q.suspects[b]
	return cmp.Or(cmp.Compare(x.weight(now), y.weight(now)), cmp.Compare(x.expiresAt(), y.expiresAt()), cmp.Compare(a, b))
}

// reports returns at most MaxSuspectReports reports, those of the most relevant requests
// first. With unsent set, it returns only unsent ones and marks them as sent.
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
	for _, f := range all[:min(len(all), MaxSuspectReports)] {
		s := q.suspects[f]
		s.unsent = s.unsent && !unsent
		out = append(out, s.report(now, f))
	}
	return out
}

// OnCrashReports sets the function that is called whenever crash reports must be sent to
// other hosts. urgent is true if a request has just become quarantined, since repeats of it
// may be on their way to other hosts. It is called with the fleet locked and must not
// block.
func (f *Fleet) OnCrashReports(notify func(urgent bool)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.quarantine.notify = notify
}

// HasSuspects reports whether any request is tracked.
func (f *Fleet) HasSuspects() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.quarantine.suspects) > 0
}

// UnsentReports returns at most MaxSuspectReports reports that must be sent to other hosts now.
// The rest is returned by the next call.
func (f *Fleet) UnsentReports(now time.Duration) []SuspectReport {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.quarantine.reports(now, true)
}

// Reports returns the reports of the most relevant requests.
func (f *Fleet) Reports(now time.Duration) []SuspectReport {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.quarantine.reports(now, false)
}

// MergeReports merges reports from another host.
func (f *Fleet) MergeReports(now time.Duration, reports []SuspectReport) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for i := range reports {
		f.quarantine.merge(now, &reports[i])
	}
}

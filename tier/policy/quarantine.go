package policy

import (
	"cmp"
	"net/netip"
	"slices"
	"time"
)

// Constants of requests that crash the upstreams that run them.
const (
	// strikeLife is how long a strike counts. Upstreams that a request crashes are
	// mended by people, which takes hours.
	strikeLife = 24 * time.Hour
	// quarantineAttempts is how many attempts of the request must have strikes, one of
	// which ended an upstream that ran nothing else of it. Upstreams also crash for other
	// reasons, and then take along whatever runs there. Where upstreams end by
	// themselves, all within 0.3 s, every 3 s, and 20 requests come again and again, this
	// refuses 0.09 of the sound attempts, and 0.61 of the requests are served in place of
	// 0.64; with one attempt it is 0.22 and 0.57, with two that each ended an upstream
	// alone 0.02 and 0.63. But those leave 2 of 160 requests that crash upstreams more
	// than three attempts that reach any, 4 s after the third has ended, where each of
	// 20 shards has one upstream; one attempt leaves 1, this none (7 hosts, replayed).
	quarantineAttempts = 2
	// quarantineFirst is how long after its last strike a request is refused at first,
	// quarantineGrowth how many times as long with each further upstream that it has
	// ended alone, up to strikeLife. In between it may show again what it does, at one
	// upstream: it ends some six in its first day, and one that is blamed for nothing
	// is back after two minutes.
	quarantineFirst  = 2 * time.Minute
	quarantineGrowth = 5
	// leastLife is less than an upstream takes to start again and to end once more.
	leastLife = time.Second
	// suspectsMost bounds the requests that are remembered, strikesMost the strikes
	// of each: about 1 MB at most.
	suspectsMost = 1024
	strikesMost  = 8
)

// ReportsMost is the most reports that hosts tell each other at once: 3 KB, less when
// compressed.
const ReportsMost = 16

// Verdict is what is to be done with a request.
type Verdict string

// The verdicts.
const (
	// VerdictSound has the request run as any other.
	VerdictSound Verdict = "Sound"
	// VerdictSuspected has it run at one upstream, and at others only once that one
	// has answered.
	VerdictSuspected Verdict = "Suspected"
	// VerdictQuarantined has it refused.
	VerdictQuarantined Verdict = "Quarantined"
)

// Subject is a request as it is remembered: what it asks for, and who asks. What it
// asks for crashes upstreams, whoever asks, until an answer to another caller shows
// that it depends on who does.
type Subject struct {
	Fingerprint Fingerprint
	// Caller is the address that the request came from; the zero value if it is not
	// known.
	Caller netip.Addr
}

// Strike is evidence that a request crashes the upstreams that run it: upstreams ended
// while they ran it, and none answered it.
type Strike struct {
	// ID tells the strikes of all hosts apart, Attempt the attempts of a request.
	ID, Attempt uint64
	// Alone is true if the request ran at one upstream only, and nowhere else in
	// the same attempt: another cause is less likely then.
	Alone bool `json:",omitempty"`
	// Upstream is the one that ended last.
	Upstream string
	// Caller is where the request came from.
	Caller netip.Addr `json:",omitzero"`
	// Void is true once an upstream has answered the request to the same caller all
	// the same, Narrow once one has answered it to another: then the strike counts
	// for its own caller only.
	Void   bool `json:",omitempty"`
	Narrow bool `json:",omitempty"`
	// Left is how long the strike still counts.
	Left time.Duration
}

// SuspectReport is the strikes of one request, as hosts tell each other.
type SuspectReport struct {
	Fingerprint Fingerprint
	Strikes     []Strike
}

// strike is a Strike as it is remembered.
type strike struct {
	Strike
	// until is when it ends to count.
	until time.Duration
}

// suspect is a request with strikes.
type suspect struct {
	strikes []strike
	// fresh is true while other hosts are to be told.
	fresh bool
}

// quarantine remembers the requests that crash upstreams. It belongs to the fleet
// and is used with the fleet locked. What it holds is a set of strikes that only
// grows, each of which is void at some time and ends at some time: hosts that have
// told each other agree, in whatever order they heard.
type quarantine struct {
	suspects map[Fingerprint]*suspect
	// onNews is called when other hosts are to be told, urgently if a request is
	// refused from now on; it must not block.
	onNews func(urgent bool)
}

// judge returns the verdict, and for how long the request is refused.
func (q *quarantine) judge(now time.Duration, of Subject) (Verdict, time.Duration) {
	s := q.suspects[of.Fingerprint]
	if s == nil {
		return VerdictSound, 0
	}
	return s.judge(now, of.Caller)
}

// judge returns the verdict on the request of a caller. Strikes of one other caller do
// not have it refused, nor do those of one upstream that ended under many attempts.
func (s *suspect) judge(now time.Duration, caller netip.Addr) (Verdict, time.Duration) {
	var all, alone []*strike
	attempts, callers := map[uint64]bool{}, map[netip.Addr]bool{}
	last := never
	for i := range s.strikes {
		k := &s.strikes[i]
		if !k.counts(now, caller) {
			continue
		}
		all = append(all, k)
		attempts[k.Attempt], callers[k.Caller] = true, true
		if k.Alone {
			alone = append(alone, k)
			last = max(last, k.until-strikeLife)
		}
	}
	left := last + quarantineFor(ends(alone)) - now
	switch {
	case len(all) == 0:
		return VerdictSound, 0
	case len(attempts) < quarantineAttempts || ends(all) < quarantineAttempts:
	case left <= 0 || !callers[caller] && len(callers) < 2:
	default:
		return VerdictQuarantined, left
	}
	return VerdictSuspected, 0
}

// ends counts how often upstreams ended: strikes of one upstream at one time are of one
// end of it.
func ends(strikes []*strike) int {
	slices.SortFunc(strikes, func(a, b *strike) int {
		return cmp.Or(cmp.Compare(a.Upstream, b.Upstream), cmp.Compare(a.until, b.until))
	})
	n := 0
	for i, k := range strikes {
		if i == 0 || strikes[i-1].Upstream != k.Upstream || k.until-strikes[i-1].until >= leastLife {
			n++
		}
	}
	return n
}

// counts reports whether the strike counts for a caller.
func (k *strike) counts(now time.Duration, caller netip.Addr) bool {
	return !k.Void && now < k.until && (!k.Narrow || k.Caller == caller)
}

// quarantineFor is how long after the last strike a request is refused that has ended so
// many upstreams alone.
func quarantineFor(alone int) time.Duration {
	if alone == 0 {
		return 0
	}
	out := quarantineFirst
	for range alone - 1 {
		out = min(out*quarantineGrowth, strikeLife)
	}
	return out
}

// strike notes a strike that this host saw.
func (q *quarantine) strike(now time.Duration, of Subject, k Strike) {
	k.Left, k.Caller = strikeLife, of.Caller
	q.merge(now, &SuspectReport{Fingerprint: of.Fingerprint, Strikes: []Strike{k}})
}

// survived notes that an upstream has answered the request: what ended others was
// something else, or depends on the caller.
func (q *quarantine) survived(of Subject) {
	s := q.suspects[of.Fingerprint]
	if s == nil {
		return
	}
	for i := range s.strikes {
		k := &s.strikes[i]
		answered := Strike{Void: k.Caller == of.Caller, Narrow: k.Caller != of.Caller}
		s.fresh = k.learn(&answered) || s.fresh
	}
	q.tell(s, false)
}

// learn takes in what answers have shown of the strike, and reports whether that was
// news.
func (k *strike) learn(told *Strike) bool {
	news := told.Void && !k.Void || told.Narrow && !k.Narrow
	k.Void, k.Narrow = k.Void || told.Void, k.Narrow || told.Narrow
	return news
}

// merge takes strikes in.
func (q *quarantine) merge(now time.Duration, c *SuspectReport) {
	s, known := q.suspects[c.Fingerprint]
	if !known {
		s = &suspect{}
	}
	before, news := s.worst(now), false
	for _, k := range c.Strikes {
		news = s.add(now, k) || news
	}
	if !news {
		return
	}
	if !known {
		q.makeRoom(now)
		q.suspects[c.Fingerprint] = s
	}
	s.fresh = true
	q.tell(s, before != VerdictQuarantined && s.worst(now) == VerdictQuarantined)
}

// add takes one strike in, and reports whether it was news.
func (s *suspect) add(now time.Duration, k Strike) bool {
	left := min(k.Left, strikeLife)
	i := slices.IndexFunc(s.strikes, func(o strike) bool { return o.ID == k.ID })
	switch {
	case i >= 0:
		return s.strikes[i].learn(&k)
	case left <= 0:
		return false
	}
	s.strikes = slices.DeleteFunc(s.strikes, func(o strike) bool { return now >= o.until })
	if len(s.strikes) >= strikesMost {
		i = s.least(now)
		s.strikes = slices.Delete(s.strikes, i, i+1)
	}
	s.strikes = append(s.strikes, strike{Strike: k, until: now + left})
	return true
}

// least is the index of the strike that matters least, and of such the oldest.
func (s *suspect) least(now time.Duration) int {
	best := 0
	for i := range s.strikes {
		a, b := &s.strikes[i], &s.strikes[best]
		if cmp.Or(cmp.Compare(a.weight(now), b.weight(now)), cmp.Compare(a.until, b.until)) < 0 {
			best = i
		}
	}
	return best
}

// weight is how much a strike matters: most if the upstream ended alone, least if the
// strike does not count.
func (k *strike) weight(now time.Duration) int {
	switch {
	case k.Void || now >= k.until:
		return 0
	case !k.Alone:
		return 1
	default:
		return 2
	}
}

// worst is the verdict for the caller that fares worst.
func (s *suspect) worst(now time.Duration) Verdict {
	worst := VerdictSound
	for i := range s.strikes {
		switch v, _ := s.judge(now, s.strikes[i].Caller); v {
		case VerdictQuarantined:
			return v
		case VerdictSuspected:
			worst = v
		default:
		}
	}
	return worst
}

// newest is when the last strike ends to count.
func (s *suspect) newest() time.Duration {
	last := time.Duration(0)
	for i := range s.strikes {
		last = max(last, s.strikes[i].until)
	}
	return last
}

// makeRoom forgets the request that matters least, if there are as many as may be
// remembered: one without strikes that count, then one that is not quarantined, then
// the one whose strikes are oldest.
func (q *quarantine) makeRoom(now time.Duration) {
	if len(q.suspects) < suspectsMost {
		return
	}
	var least Fingerprint
	for f := range q.suspects {
		if least == "" || q.compare(now, f, least) < 0 {
			least = f
		}
	}
	delete(q.suspects, least)
}

// compare orders requests by how much they matter, the least first.
func (q *quarantine) compare(now time.Duration, a, b Fingerprint) int {
	x, y := q.suspects[a], q.suspects[b]
	return cmp.Or(cmp.Compare(x.weight(now), y.weight(now)), cmp.Compare(x.newest(), y.newest()), cmp.Compare(a, b))
}

// weight is how much a request matters: as much as the strike that matters most.
func (s *suspect) weight(now time.Duration) int {
	out := 0
	for i := range s.strikes {
		out = max(out, s.strikes[i].weight(now))
	}
	return out
}

// tell has other hosts told of a request, if there is news of it.
func (q *quarantine) tell(s *suspect, urgent bool) {
	if s.fresh && q.onNews != nil {
		q.onNews(urgent)
	}
}

// reports lists what is known of requests, what matters most first; with fresh only
// what was not listed as fresh before.
func (q *quarantine) reports(now time.Duration, fresh bool) []SuspectReport {
	var all []Fingerprint
	for f, s := range q.suspects {
		if now >= s.newest() {
			delete(q.suspects, f)
			continue
		}
		if s.fresh || !fresh {
			all = append(all, f)
		}
	}
	slices.SortFunc(all, func(a, b Fingerprint) int { return q.compare(now, b, a) })
	var out []SuspectReport
	for _, f := range all[:min(len(all), ReportsMost)] {
		s := q.suspects[f]
		s.fresh = s.fresh && !fresh
		out = append(out, s.report(now, f))
	}
	return out
}

// report describes the strikes that still count or are void.
func (s *suspect) report(now time.Duration, f Fingerprint) SuspectReport {
	out := SuspectReport{Fingerprint: f}
	for i := range s.strikes {
		k := s.strikes[i].Strike
		if k.Left = s.strikes[i].until - now; k.Left > 0 {
			out.Strikes = append(out.Strikes, k)
		}
	}
	return out
}

// OnStrikes has a function called whenever other hosts are to be told of strikes,
// urgently if a request is refused from now on: its repeats may be on their way. It is
// called with the fleet locked and must not block.
func (f *Fleet) OnStrikes(onNews func(urgent bool)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.quarantine.onNews = onNews
}

// HasSuspects reports whether any request is remembered.
func (f *Fleet) HasSuspects() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.quarantine.suspects) > 0
}

// Judge returns what is to be done with a request, and for how long it is refused.
func (f *Fleet) Judge(now time.Duration, of Subject) (Verdict, time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.quarantine.judge(now, of)
}

// FreshReports lists what other hosts are to be told now, ReportsMost at most; the
// rest is listed next time.
func (f *Fleet) FreshReports(now time.Duration) []SuspectReport {
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

// Worst returns the verdict on a request for the caller that fares worst.
func (f *Fleet) Worst(now time.Duration, of Fingerprint) Verdict {
	f.mu.Lock()
	defer f.mu.Unlock()
	if s := f.quarantine.suspects[of]; s != nil {
		return s.worst(now)
	}
	return VerdictSound
}

// TakeReports takes in what another host told.
func (f *Fleet) TakeReports(now time.Duration, told []SuspectReport) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for i := range told {
		f.quarantine.merge(now, &told[i])
	}
}

package policy

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// shortageWaitShare is the share of the objective of a route above which the expected
	// wait for an upstream, on this host and in its queue, shows that it has no room.
	shortageWaitShare = 0.25
	// shortageShedShare is the share of shed calls above which an upstream has no room.
	shortageShedShare = 0.1
	// minSheddingParts is the fewest parts of a gather whose shed calls show a shortage, so
	// that one group that sheds for a fault of its own does not.
	minSheddingParts = 2
	// roomyUpstreamShare is the share of the upstreams of a part that may have room although
	// the part has none: of many upstreams, some report a short queue by chance.
	roomyUpstreamShare = 0.25
	// surgeShare is the share of the parts without room that shows a shortage during a surge.
	surgeShare = 0.2
	// pressureRetention is how long after its last call an upstream counts as in use.
	pressureRetention = time.Second
	// minPressureCalls is the fewest calls within pressureRetention that can show a
	// shortage.
	minPressureCalls = 5
	// shedWeight is the weight of one call in the smoothed share of shed calls.
	shedWeight = 0.1
	// shedHalfLife is the time in which that share halves without calls, since a queue that
	// was full drains while its upstream is avoided.
	shedHalfLife = 100 * time.Millisecond
	// upstreamServiceWeight is the weight of one call in the service time of one upstream.
	upstreamServiceWeight = 0.2
)

// roomPressure detects a shortage of room at the upstreams of a gate. What counts is whether
// a part still finds an upstream with room, not the mean over the upstreams: while some are
// slow, far or faulty, calls go to others.
type roomPressure struct {
	// parts holds what is known of the upstreams of each part, by index.
	parts []roomPart
	// coverage is the tightest coverage of the requests seen; 0 if unknown. A gather is as
	// slow as the slowest parts that it needs, so the room of these counts. It is used for
	// routes whose coverage is unknown.
	coverage float64
	// calls counts recent calls; each second, older ones lose half their weight.
	calls   float64
	halveAt time.Duration
}

// roomPart holds the upstreams of one part that answered lately.
type roomPart struct{ upstreams []roomUpstream }

type roomUpstream struct {
	name string
	// waiting is the number of waiting calls per slot in the last report; 0 without one.
	waiting float64
	// queued is how long the last call to the upstream waited for a slot on a host.
	queued time.Duration
	// service is the smoothed service time; 0 while unknown.
	service time.Duration
	// shed is the smoothed share of shed calls, 0 to 1.
	shed float64
	// answeredAt is when the upstream last answered.
	answeredAt time.Duration
	// silent is true if a call failed since then. One that this host cancelled does not count.
	silent bool
}

// observe records a call that ended. Calls that the upstream did not answer say nothing
// about its room, only that it may not be counted on: it may hang, be unreachable or have
// failed.
func (s *roomPressure) observe(now time.Duration, c *CallEnd) {
	if c.Outcome != CallOK && c.Outcome != CallShed {
		s.noteSilence(c)
		return
	}
	s.countCall(now)
	s.coverage = max(s.coverage, c.Coverage)
	for len(s.parts) <= c.Part {
		s.parts = append(s.parts, roomPart{})
	}
	s.parts[c.Part].upstream(now, c.Upstream).observe(now, c)
}

// noteSilence records a call that the upstream did not answer, unless this host cancelled it.
func (s *roomPressure) noteSilence(c *CallEnd) {
	if c.Outcome == CallCancelled || c.Part >= len(s.parts) {
		return
	}
	p := &s.parts[c.Part]
	if i := p.index(c.Upstream); i >= 0 {
		p.upstreams[i].silent = true
	}
}

// retain forgets the upstreams that are not listed any more, which would count as idle.
func (s *roomPressure) retain(listed func(upstream string) bool) {
	for i := range s.parts {
		p := &s.parts[i]
		p.upstreams = slices.DeleteFunc(p.upstreams, func(u roomUpstream) bool { return !listed(u.name) })
	}
}

func (s *roomPressure) countCall(now time.Duration) {
	if now >= s.halveAt {
		s.calls /= 2
		s.halveAt = now + pressureRetention
	}
	s.calls++
}

// upstream returns the named upstream. It adds it, and removes those without recent answers.
func (p *roomPart) upstream(now time.Duration, name string) *roomUpstream {
	if i := p.index(name); i >= 0 {
		return &p.upstreams[i]
	}
	p.upstreams = slices.DeleteFunc(p.upstreams, func(u roomUpstream) bool { return now-u.answeredAt > pressureRetention })
	p.upstreams = append(p.upstreams, roomUpstream{name: name})
	return &p.upstreams[len(p.upstreams)-1]
}

// index returns the index of the named upstream, or -1 if there is none.
func (p *roomPart) index(name string) int {
	return slices.IndexFunc(p.upstreams, func(u roomUpstream) bool { return u.name == name })
}

func (u *roomUpstream) observe(now time.Duration, c *CallEnd) {
	u.shed = (1 - shedWeight) * u.shedShare(now)
	if c.Outcome == CallShed {
		u.shed += shedWeight
	}
	u.answeredAt, u.queued, u.silent = now, c.Queued, false
	if c.Load.Slots == 0 {
		return
	}
	u.waiting = float64(c.Load.Waiting) / float64(c.Load.Slots)
	if c.Outcome == CallOK {
		smooth(&u.service, serviceTime(c.Took, c.Load), upstreamServiceWeight)
	}
}

// shedShare returns the share of shed calls.
func (u *roomUpstream) shedShare(now time.Duration) float64 {
	return u.shed * math.Exp2(-(now-u.answeredAt).Seconds()/shedHalfLife.Seconds())
}

// obstacle returns why an upstream has no room, or "" if it has. service is the service
// time of other upstreams.
func (u *roomUpstream) obstacle(now, objective, service time.Duration, drained bool) ShortageReason {
	if u.service > 0 {
		service = u.service
	}
	switch {
	case u.shedShare(now) > shortageShedShare:
		return ShortageShed
	case u.wait(now, service, drained).Seconds() > shortageWaitShare*objective.Seconds():
		return ShortageQueues
	default:
		return ""
	}
}

// wait returns the expected wait for the upstream: on this host, and in its queue as last
// reported. With drained, no call has joined the queue since.
func (u *roomUpstream) wait(now, service time.Duration, drained bool) time.Duration {
	queue := time.Duration(u.waiting * float64(service))
	if drained {
		queue = max(queue-(now-u.answeredAt), 0)
	}
	return u.queued + queue
}

// idle reports whether the upstream has not answered lately although no call failed. Calls go to
// farther upstreams once those in use have queues, so that it has room.
func (u *roomUpstream) idle(now time.Duration) bool {
	return now-u.answeredAt > pressureRetention && !u.silent
}

// short returns why a part has no room, or "" if it has. known is false without recent
// answers. With strict, queues drain from the last report on, and idle upstreams have room
// unless all others shed calls.
func (p *roomPart) short(now, objective, service time.Duration, strict bool) (reason ShortageReason, known bool) {
	inUse, roomy, idle := 0, 0, 0
	for i := range p.upstreams {
		u := &p.upstreams[i]
		if now-u.answeredAt > pressureRetention {
			idle += boolToCount(strict && u.idle(now))
			continue
		}
		inUse++
		o := u.obstacle(now, objective, service, strict)
		roomy += boolToCount(o == "")
		reason = cmp.Or(o, reason)
	}
	if inUse == 0 {
		return "", false
	}
	if reason == ShortageQueues {
		inUse, roomy = inUse+idle, roomy+idle
	}
	if roomy > int(roomyUpstreamShare*float64(inUse-1)) {
		return "", true
	}
	return reason, true
}

func boolToCount(b bool) int {
	if b {
		return 1
	}
	return 0
}

// short returns the sign of a shortage, or "" if there is none.
func (s *roomPressure) short(now time.Duration, need routeNeed, service time.Duration) ShortageReason {
	return s.judge(now, need, service, false, 0)
}

// begins returns the sign that a shortage begins: parts that the route needs have no room,
// although queues have drained since the last reports and idle upstreams have room. A queue at
// the nearest upstreams of some parts, which others would relieve, is no shortage.
func (s *roomPressure) begins(now time.Duration, need routeNeed, service time.Duration) ShortageReason {
	return s.judge(now, need, service, true, 0)
}

// surges returns the sign of a shortage during a surge of requests: many parts have no room as
// last reported. Upstreams would shed calls before begins shows it.
func (s *roomPressure) surges(now time.Duration, need routeNeed, service time.Duration) ShortageReason {
	return s.judge(now, need, service, false, surgeShare)
}

// judge returns the sign of a shortage if more parts than the least share have no room, and more
// than the route can do without. strict is that of roomPart.short.
func (s *roomPressure) judge(now time.Duration, need routeNeed, service time.Duration, strict bool, least float64) ShortageReason {
	if s.calls < minPressureCalls || need.objective == 0 {
		return ""
	}
	known := 0
	without := map[ShortageReason]int{}
	for i := range s.parts {
		reason, ok := s.parts[i].short(now, need.objective, service, strict)
		if !ok {
			continue
		}
		known++
		if reason != "" {
			without[reason]++
		}
	}
	queues, all := without[ShortageQueues], without[ShortageQueues]+without[ShortageShed]
	spare := max(1-cmp.Or(need.coverage, s.coverage, 1), least) * float64(known)
	switch {
	case float64(queues) > spare:
		return ShortageQueues
	case float64(all) > spare && all >= min(minSheddingParts, known):
		return ShortageShed
	default:
		return ""
	}
}

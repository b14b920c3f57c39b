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
	// pressureRetention is how long after its last call an upstream is considered. Those
	// with room are called most, so that what is known of them is recent.
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
}

// observe records a call that ended. Calls that the upstream did not answer say nothing
// about its room: it may hang, be unreachable or have failed.
func (s *roomPressure) observe(now time.Duration, c *CallEnd) {
	if c.Outcome != CallOK && c.Outcome != CallShed {
		return
	}
	s.countCall(now)
	s.coverage = max(s.coverage, c.Coverage)
	for len(s.parts) <= c.Part {
		s.parts = append(s.parts, roomPart{})
	}
	s.parts[c.Part].upstream(now, c.Upstream).observe(now, c)
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
	i := slices.IndexFunc(p.upstreams, func(u roomUpstream) bool { return u.name == name })
	if i >= 0 {
		return &p.upstreams[i]
	}
	p.upstreams = slices.DeleteFunc(p.upstreams, func(u roomUpstream) bool { return now-u.answeredAt > pressureRetention })
	p.upstreams = append(p.upstreams, roomUpstream{name: name})
	return &p.upstreams[len(p.upstreams)-1]
}

func (u *roomUpstream) observe(now time.Duration, c *CallEnd) {
	u.shed = (1 - shedWeight) * u.shedShare(now)
	if c.Outcome == CallShed {
		u.shed += shedWeight
	}
	u.answeredAt, u.queued = now, c.Queued
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
func (u *roomUpstream) obstacle(now, objective, service time.Duration) ShortageReason {
	if u.service > 0 {
		service = u.service
	}
	switch {
	case u.shedShare(now) > shortageShedShare:
		return ShortageShed
	case u.queued.Seconds()+u.waiting*service.Seconds() > shortageWaitShare*objective.Seconds():
		return ShortageQueues
	default:
		return ""
	}
}

// short returns why a part has no room, or "" if it has. known is false without recent
// answers.
func (p *roomPart) short(now, objective, service time.Duration) (reason ShortageReason, known bool) {
	total, roomy := 0, 0
	for i := range p.upstreams {
		u := &p.upstreams[i]
		if now-u.answeredAt > pressureRetention {
			continue
		}
		total++
		if o := u.obstacle(now, objective, service); o != "" {
			reason = o
		} else {
			roomy++
		}
	}
	if total == 0 {
		return "", false
	}
	if roomy > int(roomyUpstreamShare*float64(total-1)) {
		return "", true
	}
	return reason, true
}

// short returns the sign of a shortage, or "" if there is none.
func (s *roomPressure) short(now time.Duration, need routeNeed, service time.Duration) ShortageReason {
	if s.calls < minPressureCalls || need.objective == 0 {
		return ""
	}
	known := 0
	without := map[ShortageReason]int{}
	for i := range s.parts {
		reason, ok := s.parts[i].short(now, need.objective, service)
		if !ok {
			continue
		}
		known++
		if reason != "" {
			without[reason]++
		}
	}
	queues, all := without[ShortageQueues], without[ShortageQueues]+without[ShortageShed]
	spare := (1 - cmp.Or(need.coverage, s.coverage, 1)) * float64(known)
	switch {
	case float64(queues) > spare:
		return ShortageQueues
	case float64(all) > spare && all >= min(minSheddingParts, known):
		return ShortageShed
	default:
		return ""
	}
}

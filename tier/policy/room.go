package policy

import (
	"math"
	"time"
)

const (
	// roomPeriod is the time over which requests and their waits are counted before the
	// limit changes.
	roomPeriod = 100 * time.Millisecond
	// startCheckInterval is the interval at which the start of a shortage is checked.
	startCheckInterval = 5 * time.Millisecond
	// placesDecrease multiplies the places in use to get the limit when there are signs of
	// a shortage.
	placesDecrease = 0.8
	// maxPlacesDecrease multiplies the places instead when calls take far longer than their
	// service time, and waitsPerService is how many times longer they may take.
	maxPlacesDecrease = 0.3
	waitsPerService   = 2
	// placesIncrease is the growth of the limit in a period without such signs, in bases. It
	// does not depend on the limit, so that the limits of hosts that share upstreams become
	// equal. A whole place would double the limit of a host with a base of 1.
	placesIncrease = 0.2
	// shortageEnd is how long after the last request that waited or was refused a shortage
	// ends.
	shortageEnd = 2 * time.Second
	// hostShortageFactor is the number of bases that must be in flight before late answers
	// show a shortage of this host.
	hostShortageFactor = 2
	// hostShortageShare is the share of the requests that must be late to show it.
	hostShortageShare = 0.5
	// minEndedRequests is the fewest requests that can show it.
	minEndedRequests = 5
	// throughputWindow is the time over which the throughput is smoothed.
	throughputWindow = 500 * time.Millisecond
	// surgeFactor is the number of bases in flight that is a surge.
	surgeFactor = 4
	// callTimeWeight is the weight of one call in the smoothed call time.
	callTimeWeight = 0.02
)

// roomLimit limits the requests in flight at a gate. Without a shortage there is no limit.
// It is used with the gate locked.
type roomLimit struct {
	// base is this host's share of the places; the limit is never lower.
	base int
	// limit is the number of requests that may be in flight, on average over periods; 0
	// without a shortage.
	limit float64
	// carry is the part of the limit that the whole places of the past periods left out,
	// from 0 to 1. Over several periods the places add up to the limit.
	carry float64
	// whole is the limit in whole places for the current period.
	whole int
	// objective is the tightest objective of the requests seen; 0 if none was.
	objective time.Duration
	// byRoute has what the requests of each route need, as far as known.
	byRoute map[string]routeNeed
	// service is the smoothed service time of a call, without its wait at the upstream;
	// callTime includes the wait.
	service, callTime time.Duration
	pressure          roomPressure
	period            roomPeriodCounts
	late              lateCounts
	// perSecond is the smoothed number of requests that leave in a second; 0 if unknown.
	perSecond float64
	// pressedAt is when a request last waited or was refused.
	pressedAt time.Duration
	// checkedAt is when it was last checked whether a shortage begins.
	checkedAt time.Duration
	// started is true from the start of a shortage until the limit has fallen once.
	started bool
	// fellAt is when the limit last fell or was set.
	fellAt time.Duration
	// reason says why the limit last fell.
	reason ShortageReason
	// now is when the limit was last used.
	now time.Duration
}

// roomPeriodCounts are the observations of one period.
type roomPeriodCounts struct {
	startedAt time.Duration
	// ended counts the requests that left.
	ended int
	// peak is the largest number of requests in flight seen.
	peak int
	// used is true if the limit was reached.
	used bool
}

// lateCounts counts the requests that ended and those that were covered too late, until
// there are enough to judge.
type lateCounts struct{ ended, late int }

func newRoomLimit(base int) roomLimit { return roomLimit{base: max(base, 1)} }

func (r *roomLimit) setBase(places int) { r.base = max(places, 1) }

// setObjective records the objective of a request of an unknown route.
func (r *roomLimit) setObjective(o time.Duration) {
	if o > 0 && (r.objective == 0 || o < r.objective) {
		r.objective = o
	}
}

// routeNeed is what the requests of a route need.
type routeNeed struct {
	// objective is the longest time that a request had for its objective.
	objective time.Duration
	// coverage is the share of the parts, 0 to 1, that an answer needs; 0 if unknown.
	coverage float64
}

// setRouteNeed records what a request of a route needs. The longest objective seen is that
// of the route: what a request has left when it arrives may be less, for example after this
// host was paused, and does not make queues a shortage.
func (r *roomLimit) setRouteNeed(route string, n routeNeed) {
	known := r.byRoute[route]
	if n.objective <= known.objective && n.coverage == known.coverage {
		return
	}
	if r.byRoute == nil || len(r.byRoute) >= maxGateRoutes {
		r.byRoute = map[string]routeNeed{}
	}
	n.objective = max(n.objective, known.objective)
	r.byRoute[route] = n
	r.objective = 0
	for _, other := range r.byRoute {
		r.setObjective(other.objective)
	}
}

// CallEnd describes a call that ended, for the gate of its request.
type CallEnd struct {
	// Part is the index of the part in the request. All requests of a gate have the same
	// parts.
	Part int
	// Coverage is the share of the parts, 0 to 1, that the answer needs; 0 if unknown.
	Coverage float64
	// Upstream is the name of the upstream.
	Upstream string
	Outcome  CallOutcome
	// Load is the load that the upstream reported, also through a relay; zero if none.
	Load Load
	// Queued is how long the call waited for a slot on this host, and on a relay. Took is
	// the time from sending it to its outcome.
	Queued, Took time.Duration
}

// ObserveCallEnd is ObserveCall for a call whose part and upstream are known, so that one
// upstream or one group cannot pass for all.
func (g *Gate) ObserveCallEnd(now time.Duration, c CallEnd) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.room.observe(now, c)
}

// RetainUpstreams forgets the upstreams that are not listed any more.
func (g *Gate) RetainUpstreams(listed func(upstream string) bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.room.pressure.retain(listed)
}

// observeCall records a call of an admitted request whose part is unknown.
func (r *roomLimit) observeCall(o CallOutcome, l Load, took time.Duration) {
	r.observe(r.now, CallEnd{Outcome: o, Load: l, Took: took})
}

// observe records a call of an admitted request.
func (r *roomLimit) observe(now time.Duration, c CallEnd) {
	r.now = max(r.now, now)
	r.pressure.observe(r.now, &c)
	if c.Outcome != CallOK {
		return
	}
	smooth(&r.callTime, c.Took, callTimeWeight)
	if c.Load.Slots > 0 {
		smooth(&r.service, serviceTime(c.Took, c.Load), callTimeWeight)
	}
}

// smooth adds a value to a smoothed time. The first value sets it.
func smooth(t *time.Duration, value time.Duration, weight float64) {
	if *t == 0 {
		*t = value
		return
	}
	*t += time.Duration(weight * float64(value-*t))
}

// observeEnd records that an admitted request left. inFlight does not count it. objective
// is the time that it had for its objective when it was admitted.
func (r *roomLimit) observeEnd(now time.Duration, inFlight int, c Completion, objective time.Duration) {
	r.period.ended++
	r.late.ended++
	if c.Covered && c.Took > objective {
		r.late.late++
	}
	r.tick(now, inFlight)
}

// tick ends the period if it is over.
func (r *roomLimit) tick(now time.Duration, inFlight int) {
	r.now = max(r.now, now)
	p := &r.period
	p.peak = max(p.peak, inFlight)
	r.start(now)
	r.fallFromStart(now)
	took := now - p.startedAt
	if took < roomPeriod {
		return
	}
	r.updateThroughput(took)
	r.adjust(now)
	r.setWhole()
	r.period = roomPeriodCounts{startedAt: now, peak: inFlight}
}

// updateThroughput smooths the rate at which requests leave. While there are places that
// nobody wants, the rate is that of the demand and only shows that the throughput is no
// lower.
func (r *roomLimit) updateThroughput(took time.Duration) {
	rate := float64(r.period.ended) / took.Seconds()
	if r.limit > 0 && !r.period.used && rate < r.perSecond {
		return
	}
	if r.perSecond == 0 {
		r.perSecond = rate
	}
	weight := 1 - math.Exp(-took.Seconds()/throughputWindow.Seconds())
	r.perSecond += weight * (rate - r.perSecond)
}

// start sets the limit to the requests in flight if a shortage begins. Waiting for the end of
// a period would admit as many more requests as the load exceeds the capacity.
func (r *roomLimit) start(now time.Duration) {
	if r.limit > 0 || r.period.peak <= r.base || now-r.checkedAt < startCheckInterval {
		return
	}
	r.checkedAt = now
	sign := r.pressure.begins
	if r.period.peak >= surgeFactor*r.base {
		sign = r.pressure.surges
	}
	reason := r.short(now, sign)
	if reason == "" {
		return
	}
	r.reason, r.pressedAt, r.fellAt, r.started = reason, now, now, true
	r.limit = float64(r.period.peak)
	r.setWhole()
}

// fallFromStart lowers the limit soon after the start, when far more requests are in flight
// than fit.
func (r *roomLimit) fallFromStart(now time.Duration) {
	if !r.started || now-r.fellAt < startCheckInterval {
		return
	}
	r.started = false
	if reason := r.short(now, r.pressure.short); reason != "" {
		r.lower(now, reason)
		r.setWhole()
	}
}

// adjust sets the limit from the observations of a period.
func (r *roomLimit) adjust(now time.Duration) {
	if r.limit == 0 {
		return
	}
	short := r.short(now, r.pressure.short)
	switch {
	case now-r.pressedAt > shortageEnd:
		r.limit, r.carry, r.whole = 0, 0, 0
	case short != "":
		r.fall(now, short)
	case r.period.used:
		r.limit += placesIncrease * float64(r.base) * float64(r.base) / r.limit
	}
}

// fall lowers the limit. It waits until calls that were sent after the last time have ended,
// since the queues show the effect only then.
func (r *roomLimit) fall(now time.Duration, reason ShortageReason) {
	if now-r.fellAt < r.callTime {
		return
	}
	r.lower(now, reason)
}

// lower lowers the limit: the further, the longer calls wait at the upstreams.
func (r *roomLimit) lower(now time.Duration, reason ShortageReason) {
	decrease := placesDecrease
	from := r.limit
	if r.period.peak < int(r.limit) {
		from = float64(r.period.peak)
	}
	if r.callTime > 0 {
		decrease = min(decrease, max(maxPlacesDecrease, waitsPerService*r.service.Seconds()/r.callTime.Seconds()))
	}
	r.reason, r.fellAt = reason, now
	r.limit = max(decrease*from, float64(r.base))
}

// setWhole sets the whole places of the next period.
func (r *roomLimit) setWhole() {
	if r.limit == 0 {
		return
	}
	sum := r.limit + r.carry
	r.whole = int(sum)
	r.carry = sum - float64(r.whole)
}

// pressureSign returns a sign of a shortage at the upstreams, or "" if there is none.
type pressureSign func(now time.Duration, need routeNeed, service time.Duration) ShortageReason

// short returns the sign of a shortage, or "" if there is none.
func (r *roomLimit) short(now time.Duration, sign pressureSign) ShortageReason {
	for _, n := range r.byRoute {
		if reason := sign(now, n, r.service); reason != "" {
			return reason
		}
	}
	return r.hostShort()
}

// hostShort returns ShortageHost if most requests are covered too late although far more are
// in flight than the base, and the calls that are answered take long as well: then this
// host's processor or link is short. If upstreams hang or fail, the other calls are answered
// as fast as usual.
func (r *roomLimit) hostShort() ShortageReason {
	if r.late.ended < minEndedRequests {
		return ""
	}
	late := float64(r.late.late) > hostShortageShare*float64(r.late.ended)
	r.late = lateCounts{}
	slow := r.callTime.Seconds() > shortageWaitShare*r.objective.Seconds()
	if late && slow && r.period.peak > hostShortageFactor*r.base {
		return ShortageHost
	}
	return ""
}

// places returns the limit of requests in flight. limited is false without a shortage.
func (r *roomLimit) places() (n int, limited bool) {
	if r.limit == 0 {
		return math.MaxInt, false
	}
	return max(r.whole, r.base), true
}

// throughput returns the expected number of requests that leave in a second; above 0.
func (r *roomLimit) throughput() float64 { return max(r.perSecond, 1) }

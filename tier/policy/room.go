package policy

import (
	"math"
	"time"
)

const (
	// roomPeriod is the time over which the signs of a shortage are collected.
	roomPeriod = 100 * time.Millisecond
	// minPeriodCalls is the fewest calls of a period that can show a shortage.
	minPeriodCalls = 20
	// shortageShedShare is the share of shed calls above which there is a shortage.
	shortageShedShare = 0.1
	// shortageWaitShare is the share of the tightest objective above which the expected wait
	// in the queues of the upstreams is a shortage.
	shortageWaitShare = 0.25
	// placesDecrease multiplies the requests in flight to get the limit after a period with
	// a shortage.
	placesDecrease = 0.8
	// placesIncrease is the relative growth of the limit in a period without a shortage.
	placesIncrease = 0.1
	// shortageEnd is how long after the last request that waited or was refused a shortage
	// ends.
	shortageEnd = 2 * time.Second
	// roomWeight is the weight of one call in the smoothed service time.
	roomWeight = 0.02
	// throughputWeight is the weight of one period in the smoothed throughput.
	throughputWeight = 0.3
)

// roomLimit limits the requests in flight at a gate. Without a shortage there is no limit.
// It is used with the gate locked.
type roomLimit struct {
	// base is this host's share of the room; the limit is never lower.
	base int
	// limit is the number of requests that may be in flight; 0 without a shortage.
	limit float64
	// objective is the tightest objective of the requests seen; 0 if none was.
	objective time.Duration
	// service is the smoothed service time of a call, without its wait at the upstream.
	service time.Duration
	period  roomPeriodCounts
	// perSecond is the smoothed number of requests that leave in a second; 0 if unknown.
	perSecond float64
	// pressedAt is when a request last waited or was refused.
	pressedAt time.Duration
	// reason says why the limit last fell.
	reason ShortageReason
}

// roomPeriodCounts are the observations of one period.
type roomPeriodCounts struct {
	startedAt time.Duration
	// calls counts the calls that ended, sheds those that were shed.
	calls, sheds int
	// reports counts the calls with a load report, waiting sums the calls per slot that waited.
	reports int
	waiting float64
	// ended counts the requests that left.
	ended int
	// used is true if the limit was reached.
	used bool
}

func newRoomLimit(base int) roomLimit { return roomLimit{base: max(base, 1)} }

func (r *roomLimit) setBase(places int) { r.base = max(places, 1) }

func (r *roomLimit) setObjective(o time.Duration) {
	if r.objective == 0 || o < r.objective {
		r.objective = o
	}
}

// observeCall records a call of an admitted request.
func (r *roomLimit) observeCall(o CallOutcome, l Load, took time.Duration) {
	p := &r.period
	p.calls++
	if o == CallShed {
		p.sheds++
	}
	if l.Slots == 0 {
		return
	}
	waiting := float64(l.Waiting) / float64(l.Slots)
	p.reports++
	p.waiting += waiting
	if o != CallOK {
		return
	}
	own := float64(took) / (1 + waiting)
	if r.service == 0 {
		r.service = time.Duration(own)
	}
	r.service += time.Duration(roomWeight * (own - float64(r.service)))
}

// tick ends the period if it is over.
func (r *roomLimit) tick(now time.Duration, inFlight int) {
	p := &r.period
	took := now - p.startedAt
	if took < roomPeriod {
		return
	}
	rate := float64(p.ended) / took.Seconds()
	if r.perSecond == 0 {
		r.perSecond = rate
	}
	r.perSecond += throughputWeight * (rate - r.perSecond)
	r.adjust(now, max(inFlight, p.ended))
	r.period = roomPeriodCounts{startedAt: now}
}

// adjust sets the limit from the observations of a period.
func (r *roomLimit) adjust(now time.Duration, inFlight int) {
	short := r.short()
	switch {
	case short != "" && (r.limit > 0 || inFlight > r.base):
		r.reason = short
		if r.limit == 0 {
			r.pressedAt = now
		}
		from := float64(inFlight)
		if r.limit > 0 {
			from = min(r.limit, from)
		}
		r.limit = max(placesDecrease*from, float64(r.base))
	case r.limit > 0 && r.period.used:
		r.limit += max(placesIncrease*r.limit, 1)
	}
	if r.limit > 0 && now-r.pressedAt > shortageEnd {
		r.limit = 0
	}
}

// short returns the sign of a shortage in the current period, or "" if there is none.
func (r *roomLimit) short() ShortageReason {
	p := &r.period
	if p.calls < minPeriodCalls {
		return ""
	}
	if float64(p.sheds) > shortageShedShare*float64(p.calls) {
		return ShortageShed
	}
	if p.reports == 0 || r.objective == 0 {
		return ""
	}
	wait := p.waiting / float64(p.reports) * r.service.Seconds()
	if wait > shortageWaitShare*r.objective.Seconds() {
		return ShortageQueues
	}
	return ""
}

// places returns the limit of requests in flight. limited is false without a shortage.
func (r *roomLimit) places() (n int, limited bool) {
	if r.limit == 0 {
		return math.MaxInt, false
	}
	return int(r.limit), true
}

// throughput returns the expected number of requests that leave in a second; above 0.
func (r *roomLimit) throughput() float64 { return max(r.perSecond, 1) }

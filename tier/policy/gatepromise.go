package policy

import "time"

const (
	// minPromised is how many settled late requests may wait at least when another promised one
	// is settled. More may wait as long as they get no more than promisedShare of the places
	// that become free while they may wait.
	minPromised   = 2
	promisedShare = 0.25
)

// bookReturn returns after what time the caller of a refused request may retry. Places are
// assigned from the share of late requests, since a caller that returns is late by then, and none
// before its objective: a caller that retries at once can be told from one that was told to. A
// caller that can return within a long objective competes with first attempts instead.
func (g *Gate) bookReturn(now time.Duration, d Demand) time.Duration {
	longest := max(d.DeadlineAt-now, 0) / returnTimeDivisor
	within := time.Duration(assignedShare * float64(longest))
	earliest := d.ObjectiveAt - now
	if earliest > within {
		ahead := g.queue.beforeRank(d.Rank+1) - g.queue.beforeRank(d.Rank)
		share, _ := g.shares(now, queuePosition{rank: d.Rank})
		return g.returns.book(now, d.Rank, ahead, share*g.throughput(), d.DeadlineAt-now)
	}
	in := max(g.assignableAt-now, 0)
	if in > within {
		return g.returns.latest(longest)
	}
	g.assignableAt = now + in + perPlace(1, assignedPlaces*g.throughput())
	return max(g.returns.later(in), earliest, minReturnTime)
}

// promised reports whether the caller of a request comes back at the time at which a place was
// assigned to it, perhaps by another gate: after its objective, but earlier than a caller that
// no place was assigned to.
func (g *Gate) promised(now time.Duration, d *Demand) bool {
	left := d.DeadlineAt - now
	longest := g.times(d.Route)
	spent := longest.left.value() - left
	return d.Spent >= minReturnTime && now >= d.ObjectiveAt && spent >= d.Spent && spent <= time.Duration(promisedLeftShare*float64(left))
}

// keepPromise settles a request whose caller returns to a place that was assigned to it.
func (g *Gate) keepPromise(now time.Duration, t *Ticket) Outlook {
	t.settled = true
	o := g.expectWait(now, t, true)
	o.Wait = min(o.Wait, t.overdueAt()-now)
	o.Decision = DecisionLate
	return o
}

// maxPromised returns how many settled late requests may wait before promised ones are judged like
// others. Once overdue, they go before all others.
func (g *Gate) maxPromised(t *Ticket) int {
	return minPromised + int(promisedShare*g.throughput()*t.hold().Seconds())
}

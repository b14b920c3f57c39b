package policy

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// lowRankShare is the share of the places that goes to requests of ranks that are
	// outranked, so that no rank starves.
	lowRankShare = 0.25
	// lateShare is the share of the places that goes to late requests.
	lateShare = 1.0 / 16
	// standingWaitDivisor divides the objective to get the wait above which an admission
	// shows that a queue stands: one that only smooths bursts is empty in between.
	standingWaitDivisor = 8
	// standingTime is how long all admissions must have waited longer than that.
	standingTime = 100 * time.Millisecond
	// standingEnterShare is the share of the time until a request would have to start that
	// its wait in a queue that stands may be expected to take. Without this cut, requests
	// waited up to their last possible start, and a quarter of the answers were late.
	standingEnterShare = 0.5
	// standingCutShare is the share after which a request that is not the next one is cut
	// from a queue that stands.
	standingCutShare = 0.75
	// minAdmissions is the number of admissions within rankWindow from which late requests
	// can tell that they get more than their share.
	minAdmissions = 16
	// rankWindow is the time over which arrivals and admissions of a rank are counted.
	rankWindow = 2 * time.Second
)

// queuePosition orders the waiting requests of a gate. The lowest goes first.
type queuePosition struct {
	rank int
	// late is true if the request can't meet its objective.
	late bool
	// settled is true if the request is to be served whatever comes after it.
	settled bool
	// overShare is true if the caller uses more than its share.
	overShare bool
	// returned is true for a late request that is a retry.
	returned bool
	// at orders requests that are otherwise equal.
	at time.Duration
	// number is that of the ticket. It makes positions unique.
	number uint64
}

// byObjective is the order of admission: by rank, then requests that can meet their
// objective, then callers within their share, then by objective. A retry has an earlier
// objective than the requests that arrived after its first attempt. Late requests go in the
// order of their arrival instead, retries that came as they were told first: by objective,
// the late queue filled with retries of which each displaced another that had waited.
func byObjective(t *Ticket, late bool) queuePosition {
	p := queuePosition{rank: t.demand.Rank, late: late, overShare: t.overShare, number: t.number}
	if late {
		p.returned = t.returned()
		return p
	}
	p.at = t.demand.ObjectiveAt
	return p
}

func (p queuePosition) compare(o queuePosition) int {
	return cmp.Or(
		cmp.Compare(p.rank, o.rank),
		compareBool(p.late, o.late),
		compareBool(!p.settled, !o.settled),
		compareBool(p.overShare, o.overShare),
		compareBool(!p.returned, !o.returned),
		cmp.Compare(p.at, o.at),
		cmp.Compare(p.number, o.number),
	)
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	default:
		return 1
	}
}

// gateQueue holds the waiting requests of a gate. It is used with the gate locked.
type gateQueue struct {
	// waiting is sorted by position. A count of the requests ahead is a search; an insertion
	// moves the pointers behind it, which is fast for a few thousand.
	waiting []*Ticket
	// ranks holds the counts of each rank seen during the shortage.
	ranks map[int]*rankCounts
}

// rankCounts counts requests of a rank within rankWindow.
type rankCounts struct {
	// arrived counts requests, admitted those admitted to meet their objective,
	// admittedReturned the late ones that returned, and admittedLate the other late ones.
	arrived, admitted, admittedReturned, admittedLate windowedSum
	// budget is the share of the rank in the places while it is outranked.
	budget shareBudget
	// standingSince is the first of the latest admissions that all waited long; 0 if the
	// last one did not.
	standingSince time.Duration
}

// observeWait records how long an admitted ticket waited.
func (c *rankCounts) observeWait(now time.Duration, t *Ticket) {
	if t.late {
		return
	}
	if now-t.enteredAt <= t.demand.objective(t.enteredAt)/standingWaitDivisor {
		c.standingSince = 0
		return
	}
	c.standingSince = cmp.Or(c.standingSince, now)
}

// standing reports whether requests of a rank have waited long for some time.
func (q *gateQueue) standing(now time.Duration, rank int) bool {
	c := q.ranks[rank]
	return c != nil && c.standingSince > 0 && now-c.standingSince >= standingTime
}

func (q *gateQueue) len() int { return len(q.waiting) }

func (q *gateQueue) insert(t *Ticket) {
	q.waiting = slices.Insert(q.waiting, q.before(t.position), t)
}

// remove removes a ticket that is in the queue.
func (q *gateQueue) remove(t *Ticket) {
	i := q.before(t.position)
	q.waiting = slices.Delete(q.waiting, i, i+1)
}

// before counts the tickets with a lower position.
func (q *gateQueue) before(p queuePosition) int {
	i, _ := slices.BinarySearchFunc(q.waiting, p, func(t *Ticket, p queuePosition) int { return t.position.compare(p) })
	return i
}

// beforeRank counts the tickets of more urgent ranks.
func (q *gateQueue) beforeRank(rank int) int {
	i, _ := slices.BinarySearchFunc(q.waiting, rank, func(t *Ticket, r int) int { return cmp.Compare(t.position.rank, r) })
	return i
}

// beforeLate counts the tickets ahead of the late ones of a rank.
func (q *gateQueue) beforeLate(rank int) int {
	i, _ := slices.BinarySearchFunc(q.waiting, rank, func(t *Ticket, r int) int {
		if t.position.rank == r && t.position.late {
			return 1
		}
		return cmp.Or(cmp.Compare(t.position.rank, r), -1)
	})
	return i
}

// eachRank calls do for each rank with a waiting request, the most urgent first, until do
// returns false. The tickets from first up to late can meet their objective, those from
// late up to end can't.
func (q *gateQueue) eachRank(do func(rank, first, late, end int) bool) {
	for first := 0; first < len(q.waiting); {
		rank := q.waiting[first].position.rank
		late, end := q.beforeLate(rank), q.beforeRank(rank+1)
		if !do(rank, first, late, end) {
			return
		}
		first = end
	}
}

// lastLike returns the last ticket that has the rank of a ticket in the queue and is late if
// that one is.
func (q *gateQueue) lastLike(t *Ticket) *Ticket {
	p := t.position
	if p.late {
		return q.waiting[q.beforeRank(p.rank+1)-1]
	}
	return q.waiting[q.beforeLate(p.rank)-1]
}

// lateBefore counts the late tickets with a lower position.
func (q *gateQueue) lateBefore(p queuePosition) int {
	ahead, count := q.before(p), 0
	q.eachRank(func(_, _, late, end int) bool {
		count += max(min(end, ahead)-late, 0)
		return end < ahead
	})
	return count
}

// firstInTime returns the index of the first ticket that can meet its objective, or -1 if
// there is none.
func (q *gateQueue) firstInTime() int {
	return slices.IndexFunc(q.waiting, func(t *Ticket) bool { return !t.late })
}

// sortedRanks returns the ranks of which requests came during the shortage, the most urgent
// first. Sums over them must not depend on the order of a map, or replays would differ.
func (q *gateQueue) sortedRanks() []int { return slices.Sorted(maps.Keys(q.ranks)) }

// isMostUrgent reports whether a rank is the most urgent of several ranks of which requests came
// during the shortage.
func (q *gateQueue) isMostUrgent(rank int) bool {
	for r := range q.ranks {
		if r < rank {
			return false
		}
	}
	return len(q.ranks) > 1 && q.ranks[rank] != nil
}

// owesLowRank reports whether a rank that is outranked waits and has a place left in its budget.
func (q *gateQueue) owesLowRank() bool {
	for r, c := range q.ranks {
		if c.budget.available() && q.beforeRank(r+1) > q.beforeRank(r) && !q.isMostUrgent(r) {
			return true
		}
	}
	return false
}

// arrivalRate returns the number of requests of a rank that come in a second.
func (q *gateQueue) arrivalRate(now time.Duration, rank int) float64 {
	return q.counts(rank).arrived.sum(now, rankWindow) / rankWindow.Seconds()
}

// firstLate returns the index of the first late ticket, or 0 if there is none.
func (q *gateQueue) firstLate() int {
	found := 0
	q.eachRank(func(_, _, late, end int) bool {
		if late < end {
			found = late
		}
		return late == end
	})
	return found
}

// firstOverdue returns the settled ticket that has waited for so long that it goes before all
// others, or nil if there is none. It is the one that is refused first.
func (q *gateQueue) firstOverdue(now time.Duration) *Ticket {
	var found *Ticket
	q.eachRank(func(_, _, late, end int) bool {
		for _, t := range q.waiting[late:end] {
			if !t.settled {
				break
			}
			if now >= t.overdueAt() && (found == nil || t.lateUntil < found.lateUntil) {
				found = t
			}
		}
		return true
	})
	return found
}

// settledLate counts the settled late tickets.
func (q *gateQueue) settledLate() int {
	count := 0
	q.eachRank(func(_, _, late, end int) bool {
		for late < end && q.waiting[late].settled {
			count++
			late++
		}
		return true
	})
	return count
}

// hasBudget reports whether a rank that is outranked has a place left in its budget.
func (q *gateQueue) hasBudget(rank int) bool {
	c := q.ranks[rank]
	return c != nil && c.budget.available()
}

// firstOfLowRank returns the index of the first ticket of the rank, other than the most
// urgent one that waits, that has a place left in its budget and whose requests have been
// admitted at the lowest rate. It returns 0 if there is none.
func (q *gateQueue) firstOfLowRank(now time.Duration) int {
	found, lowest := 0, 0.0
	q.eachRank(func(rank, first, _, _ int) bool {
		c := q.counts(rank)
		if first == 0 || !c.budget.available() {
			return true
		}
		rate := c.admittedShare(now)
		if found == 0 || rate < lowest {
			found, lowest = first, rate
		}
		return true
	})
	return found
}

// waitingByRank counts the waiting requests of each rank.
func (q *gateQueue) waitingByRank() map[int]int {
	counts := map[int]int{}
	q.eachRank(func(rank, first, _, end int) bool {
		counts[rank] = end - first
		return true
	})
	return counts
}

func (q *gateQueue) counts(rank int) *rankCounts {
	c := q.ranks[rank]
	if c == nil {
		c = &rankCounts{}
		q.ranks[rank] = c
	}
	return c
}

// admittedShare returns the share of the requests of the rank that were admitted.
func (c *rankCounts) admittedShare(now time.Duration) float64 {
	all := c.admitted.sum(now, rankWindow) + c.admittedReturned.sum(now, rankWindow) + c.admittedLate.sum(now, rankWindow)
	return all / max(c.arrived.sum(now, rankWindow), 1)
}

// count counts an admission.
func (c *rankCounts) count(now time.Duration, t *Ticket) {
	switch {
	case !t.late:
		c.admitted.add(now, rankWindow, 1)
	case t.returned():
		c.admittedReturned.add(now, rankWindow, 1)
	default:
		c.admittedLate.add(now, rankWindow, 1)
	}
}

// sharesBehind returns the share of the admissions that goes to waiting requests which go
// after those of a class in the order but have a budget of their own.
func (q *gateQueue) sharesBehind(p queuePosition) float64 {
	share := 0.0
	if q.beforeRank(p.rank+1) < len(q.waiting) {
		share += lowRankShare
	}
	if !p.late && q.firstLate() > 0 {
		share += lateShare
	}
	return share
}

// admissionShares are shares of the recent admissions of a gate.
type admissionShares struct {
	// ahead went to requests that go before those of a class. For late requests it is 1
	// until minAdmissions are known.
	ahead float64
	// lateAhead is the share of the late requests that go before those of the class in all
	// late ones.
	lateAhead float64
	// outranked is true if any went to a more urgent rank.
	outranked bool
}

// sharesAhead returns the shares of the recent admissions as seen by a class of requests.
func (q *gateQueue) sharesAhead(now time.Duration, p queuePosition) admissionShares {
	s := admissionShares{}
	all, allLate := 0.0, 0.0
	for _, r := range q.sortedRanks() {
		c := q.ranks[r]
		onTime, returned, late := c.admitted.sum(now, rankWindow), c.admittedReturned.sum(now, rankWindow), c.admittedLate.sum(now, rankWindow)
		all += onTime + returned + late
		allLate += returned + late
		switch {
		case r < p.rank:
			s.ahead += onTime + returned + late
			s.lateAhead += returned + late
			s.outranked = s.outranked || onTime+returned+late > 0
		case r == p.rank && p.late:
			s.ahead += onTime
			if !p.returned {
				s.ahead += returned
				s.lateAhead += returned
			}
		}
	}
	s.lateAhead /= max(allLate, 1)
	if p.late && all < minAdmissions {
		s.ahead = 1
		return s
	}
	s.ahead /= max(all, 1)
	return s
}

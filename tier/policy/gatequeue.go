package policy

import (
	"cmp"
	"slices"
	"time"
)

const (
	// lowRankTurn is the number of admissions of which one goes to a rank lower than the
	// next one in order.
	lowRankTurn = 4
	// lateTurn is the number of admissions of which one goes to a late request. Its turns
	// are not those of lower ranks, so that both keep their share.
	lateTurn = 8
	// lateTurnOffset is the first turn of a late request.
	lateTurnOffset = 2
	// lowRankShare and lateShare are the shares of the admissions that these turns make.
	lowRankShare = 1.0 / lowRankTurn
	lateShare    = 1.0 / lateTurn
	// rankWindow is the time over which arrivals and admissions of a rank are counted.
	rankWindow = 2 * time.Second
)

// queuePosition orders the waiting requests of a gate. The lowest goes first.
type queuePosition struct {
	rank int
	// late is true if the request can't meet its objective.
	late bool
	// overShare is true if the caller uses more than its share.
	overShare bool
	// at orders requests that are otherwise equal.
	at time.Duration
	// number is that of the ticket. It makes positions unique.
	number uint64
}

// byObjective is the order of admission: by rank, then requests that can meet their
// objective, then callers within their share, then by objective. A retry has an earlier
// objective than the requests that arrived after its first attempt.
func byObjective(t *Ticket, late bool) queuePosition {
	return queuePosition{rank: t.demand.Rank, late: late, overShare: t.overShare, at: t.demand.ObjectiveAt, number: t.number}
}

func (p queuePosition) compare(o queuePosition) int {
	return cmp.Or(
		cmp.Compare(p.rank, o.rank),
		compareBool(p.late, o.late),
		compareBool(p.overShare, o.overShare),
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
	// waiting is sorted by position. An insertion moves at most a few thousand pointers,
	// which takes about a microsecond, and a count of the requests ahead is a search.
	waiting []*Ticket
	// turns counts the admissions from the queue.
	turns uint64
	// ranks holds the counts of each rank seen during the shortage.
	ranks map[int]*rankCounts
}

// rankCounts counts requests of a rank within rankWindow.
type rankCounts struct {
	// arrived counts requests, admitted those admitted to meet their objective,
	// admittedLate the other admissions.
	arrived, admitted, admittedLate windowedSum
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

// lateBefore counts the late tickets with a lower position.
func (q *gateQueue) lateBefore(p queuePosition) int {
	ahead, count := q.before(p), 0
	q.eachRank(func(_, _, late, end int) bool {
		count += max(min(end, ahead)-late, 0)
		return end < ahead
	})
	return count
}

// next returns the ticket to admit next. The queue must not be empty.
func (q *gateQueue) next(now time.Duration) *Ticket {
	turn := q.turns + 1
	i := 0
	switch {
	case turn%lateTurn == lateTurnOffset:
		i = q.firstLate()
	case turn%lowRankTurn == 0:
		i = q.firstOfLowRank(now)
	}
	return q.waiting[i]
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

// firstOfLowRank returns the index of the first ticket of the rank, other than the most
// urgent one that waits, whose requests have been admitted at the lowest rate. It returns 0
// if only one rank waits. Ranks that ask equally much take turns.
func (q *gateQueue) firstOfLowRank(now time.Duration) int {
	found, lowest := 0, 0.0
	q.eachRank(func(rank, first, _, _ int) bool {
		if first == 0 {
			return true
		}
		rate := q.counts(rank).admittedShare(now)
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
	all := c.admitted.sum(now, rankWindow) + c.admittedLate.sum(now, rankWindow)
	return all / max(c.arrived.sum(now, rankWindow), 1)
}

// count counts an admission.
func (c *rankCounts) count(now time.Duration, late bool) {
	if late {
		c.admittedLate.add(now, rankWindow, 1)
		return
	}
	c.admitted.add(now, rankWindow, 1)
}

// shareAhead returns the share of the recent admissions that went to requests which go
// before those of the rank, and whether any went to a more urgent rank.
func (q *gateQueue) shareAhead(now time.Duration, rank int, late bool) (share float64, outranked bool) {
	ahead, all := 0.0, 0.0
	for r, c := range q.ranks {
		onTime, afterwards := c.admitted.sum(now, rankWindow), c.admittedLate.sum(now, rankWindow)
		all += onTime + afterwards
		switch {
		case r < rank:
			ahead += onTime + afterwards
			outranked = outranked || onTime+afterwards > 0
		case r == rank && late:
			ahead += onTime
		}
	}
	return ahead / max(all, 1), outranked
}

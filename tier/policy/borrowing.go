package policy

const (
	// minCallsToBorrow is the smallest number of calls without a shed before one more slot
	// is borrowed.
	minCallsToBorrow = 16
	// maxCallsToBorrow is the largest such number.
	maxCallsToBorrow = 1 << 16
	// borrowGrowth multiplies the number of calls needed when calls on borrowed slots are
	// shed.
	borrowGrowth = 4
	// borrowDecay divides the number of calls needed when borrowing succeeds.
	borrowDecay = 2
)

// borrowing lets this host use slots beyond its own share as long as the upstream does not
// shed calls, which means that other hosts leave these slots idle or that the upstream
// queues. Each shed delays the next attempt to borrow, so that an upstream without a queue
// sheds few calls because of borrowing.
type borrowing struct {
	// borrowed is how many calls beyond the share this host may have in progress, from 0 to
	// the number of slots that the upstream has beyond the share.
	borrowed int
	// notShed counts calls that were not shed since borrowed last changed.
	notShed int
	// callsNeeded is how many calls must complete without a shed before one more slot is
	// borrowed; 0 stands for minCallsToBorrow.
	callsNeeded int
}

func (b *borrowing) shed() {
	if b.borrowed > 0 {
		b.callsNeeded = min(borrowGrowth*b.callsToBorrow(), maxCallsToBorrow)
	}
	b.borrowed, b.notShed = 0, 0
}

// succeeded counts a call that was not shed. borrowable is the number of slots beyond the
// share.
func (b *borrowing) succeeded(borrowable int) {
	b.notShed++
	if b.notShed < b.callsToBorrow() {
		return
	}
	b.notShed = 0
	if b.borrowed > 0 {
		b.callsNeeded = max(b.callsNeeded/borrowDecay, minCallsToBorrow)
	}
	b.borrowed = min(b.borrowed+1, borrowable)
}

func (b *borrowing) callsToBorrow() int { return max(b.callsNeeded, minCallsToBorrow) }

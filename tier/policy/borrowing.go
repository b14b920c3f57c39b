package policy

// Constants of borrowing.
const (
	// borrowFirst is the least number of calls not shed until one more slot is borrowed.
	minCallsToBorrow = 16
	// borrowLatest is the greatest such number.
	maxCallsToBorrow = 1 << 16
	// borrowGrowth is how many times as many calls are needed after a shed of borrowed
	// slots.
	borrowGrowth = 4
	// borrowDecay is by what the number is divided when borrowing goes well.
	borrowDecay = 2
)

// borrowing lets this host use slots beyond its own share for as long as the upstream
// does not shed: either the other hosts leave them idle, or the upstream queues. An
// upstream that queues nothing sheds few calls for it, since each shed delays the
// next attempt.
type borrowing struct {
	// borrowed is how many calls over the share this host may have in progress; 0 to
	// what the upstream has beyond the share.
	borrowed int
	// notShed counts calls that were not shed since borrowed last changed.
	notShed int
	// needed is how many calls must not be shed before one more slot is borrowed;
	// 0 for borrowFirst.
	callsNeeded int
}

func (b *borrowing) shed() {
	if b.borrowed > 0 {
		b.callsNeeded = min(borrowGrowth*b.callsToBorrow(), maxCallsToBorrow)
	}
	b.borrowed, b.notShed = 0, 0
}

// succeeded counts a call that was not shed; room is the slots beyond the share.
func (b *borrowing) succeeded(room int) {
	b.notShed++
	if b.notShed < b.callsToBorrow() {
		return
	}
	b.notShed = 0
	if b.borrowed > 0 {
		b.callsNeeded = max(b.callsNeeded/borrowDecay, minCallsToBorrow)
	}
	b.borrowed = min(b.borrowed+1, room)
}

func (b *borrowing) callsToBorrow() int { return max(b.callsNeeded, minCallsToBorrow) }

package policy

// warmSamples is the number of calls that an upstream must have answered before it gets
// more than one at a time.
const slowStartSamples = 10

// slots counts the calls that this host has in progress at an upstream, and those that
// wait for a slot.
type slots struct {
	// share is how many calls this host may always have in progress there; 0 means that
	// another host of the hall calls on this one's behalf.
	share int
	// ceiling is the slots of the upstream; at least share.
	ceiling int
	// inUse counts granted calls that have not been given back. It is at most
	// share+borrowed, but for a while after that has shrunk.
	inUse     int
	borrowing borrowing
	limit     callLimit
	// queue holds the calls that wait for a slot.
	queue waiters
}

func (s *slots) set(share, ceiling int) {
	s.share, s.ceiling = share, max(ceiling, share)
	s.borrowing.borrowed = min(s.borrowing.borrowed, s.borrowable())
}

func (s *slots) borrowable() int { return s.ceiling - s.share }

func (s *slots) withBorrowed() int { return s.share + s.borrowing.borrowed }

// allowed is how many calls this host may have in progress now, but for the slow start.
func (s *slots) allowed() int {
	if s.limit.known() {
		return min(s.withBorrowed(), s.limit.calls)
	}
	return s.withBorrowed()
}

// ahead is how many calls a new one finds there, for each slot of the share.
func (s *slots) queuedPerSlot() float64 {
	return float64(s.inUse+s.queue.Len()) / float64(max(s.share, 1))
}

// excess is how many calls have to end before a new one gets a slot of the share.
func (s *slots) excess() int { return max(s.inUse+s.queue.Len()-s.share+1, 0) }

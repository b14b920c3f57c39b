package policy

// slowStartSamples is the number of calls that an upstream must have answered before it
// gets more than one at a time.
const slowStartSamples = 10

// slots counts the calls that this host has in progress at an upstream and those that wait
// for a slot.
type slots struct {
	// share is how many calls this host may always have in progress; 0 means that another
	// host of the hall makes the calls for this one.
	share int
	// maxSlots is the number of slots of the upstream; at least share.
	maxSlots int
	// inUse counts granted slots that were not released yet. It is at most share+borrowed,
	// except for a while after that sum has decreased.
	inUse     int
	borrowing borrowing
	limit     callLimit
	// published is the number of slots that the upstream published in its listing; 0 if
	// unknown. Unlike share, it is its capacity for all hosts together.
	published int
	// relayed counts the calls that other hosts make for this one. They hold no slot here.
	relayed int
	// window is used only if the fleet is configured for shortages.
	window window
	// queue holds the calls that wait for a slot.
	queue waiters
}

func (s *slots) set(share, maxSlots int) {
	s.share, s.maxSlots = share, max(maxSlots, share)
	s.borrowing.borrowed = min(s.borrowing.borrowed, s.borrowable())
}

func (s *slots) borrowable() int { return s.maxSlots - s.share }

func (s *slots) withBorrowed() int { return s.share + s.borrowing.borrowed }

// allowed returns how many calls this host may have in progress now, without considering
// slow start.
func (s *slots) allowed() int {
	n := s.withBorrowed()
	if s.limit.active() {
		n = min(n, s.limit.calls)
	}
	if s.window.active() {
		n = min(n, s.window.limit())
	}
	return n
}

// own returns how many calls of this host are in progress or wait for a slot, including
// those that other hosts make for it.
func (s *slots) own() int { return s.inUse + s.relayed + s.queue.Len() }

// callsPerSlot returns how many calls, running and queued, a new call finds per slot of the
// share.
func (s *slots) callsPerSlot() float64 {
	return float64(s.inUse+s.queue.Len()) / float64(max(s.share, 1))
}

// excess returns how many calls must end before a new call gets a slot of the share.
func (s *slots) excess() int { return max(s.inUse+s.queue.Len()-s.share+1, 0) }

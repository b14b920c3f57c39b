package kernel

import "time"

// LeavingState holds the signs that upstreams leave or are back. All times are since
// the process started.
type LeavingState struct {
	// Leaving gives for each leaving upstream when its last sign was given.
	Leaving map[string]time.Duration
	// Returned gives for each upstream when it was last reported to be back; older
	// signs of leaving do not count.
	Returned map[string]time.Duration
}

// MarkLeaving notes a sign, given at a time, that an upstream leaves.
func (s *State) MarkLeaving(upstream string, at time.Duration) {
	if returned := s.Returned[upstream]; returned > 0 && at <= returned {
		return
	}
	last, known := s.Leaving[upstream]
	if known && last >= at {
		return
	}
	s.Leaving[upstream] = at
	s.changed = s.changed || !known
}

// MarkReturned notes that an upstream is back.
func (s *State) MarkReturned(upstream string, at time.Duration) {
	s.Returned[upstream] = at
	if _, known := s.Leaving[upstream]; known {
		delete(s.Leaving, upstream)
		s.changed = true
	}
}

// names is the set of the leaving upstreams.
func (l *LeavingState) names() map[string]bool {
	out := make(map[string]bool, len(l.Leaving))
	for u := range l.Leaving {
		out[u] = true
	}
	return out
}

package peers

import (
	"slices"
	"time"
)

// How a host that is gone is found.
//
// A host of the same hall that answers neither a heartbeat nor the one that is sent again
// at once is suspected by the sender, as of when the first was sent. Heartbeats pass
// suspicions on, and in the hall of the suspect extra ones do at once. A suspicion stands
// where the host has not been heard since, by anyone. Whoever knows better lists the host
// as news, which ends the suspicion wherever it arrives; hosts of its hall send their next
// heartbeat to the suspect, so that one which lives shows it. A suspicion that has stood
// for suspectHeartbeats makes the host silent.
//
// Each host is asked by a few others at each interval. So the time until one is found does
// not grow with the fleet, and the time until all know grows with its logarithm.

const (
	// suspectHeartbeats is for how many intervals a suspicion stands before its host is
	// silent. Others tell it meanwhile that the host lives: one that pauses for an
	// interval has sent heartbeats again by then.
	suspicionTimeoutIntervals = 2
	// awayHeartbeats is for how many intervals more it stands for a host of another hall,
	// where it takes longer to hear that the host lives.
	otherHallExtraIntervals = 2
	// suspicionHeartbeats is for how many intervals a suspicion is passed on.
	suspicionSpreadIntervals = 10
	// endedHeartbeats is for how many intervals other halls are told that one has ended.
	refutationSpreadIntervals = 3
	// suspicionEntries is the most suspicions that one heartbeat lists.
	maxSuspicionEntries = 64
	// urgentGap is how long a host waits before it passes on at once what it learnt of a
	// suspicion, so that what comes meanwhile goes with it.
	urgentDelay = 150 * time.Millisecond
	// agePrecision is that of the ages that entries report, so that they are short.
	agePrecision = 10 * time.Millisecond
)

// suspect is whether one member is suspected. All times are since the process started.
type suspectState struct {
	// heardAt is when the member itself was last heard, by any host as far as is known.
	heardAt time.Duration
	// since is when a heartbeat was sent that it did not answer; 0 for none. It is
	// later than heardAt.
	unansweredSince time.Duration
}

// heard notes that the member was heard, and reports whether that ends a suspicion.
func (s *suspectState) heard(at time.Duration) bool {
	s.heardAt = max(s.heardAt, at)
	if s.unansweredSince == 0 || s.heardAt <= s.unansweredSince {
		return false
	}
	s.unansweredSince = 0
	return true
}

// raise notes a heartbeat without an answer, and reports whether it begins a suspicion.
func (s *suspectState) raise(sentAt time.Duration) bool {
	if sentAt <= s.heardAt {
		return false
	}
	first := s.unansweredSince == 0
	if first || sentAt < s.unansweredSince {
		s.unansweredSince = sentAt
	}
	return first
}

// confirmed reports whether a suspicion has stood for so long that the member is silent.
func (t *memberTable) suspicionExpired(now time.Duration, r *memberRecord) bool {
	timeout := suspicionTimeoutIntervals * t.Interval
	if r.Hall != t.Self.Hall {
		timeout += otherHallExtraIntervals * t.Interval
	}
	return r.suspectState.unansweredSince > 0 && now-r.suspectState.unansweredSince >= timeout
}

// suspicion is what heartbeats report of a member that did not answer.
type suspicion struct {
	Host string
	// Incarnation is that of the process which did not answer.
	Incarnation string
	// Age is how long ago the heartbeat was sent that it did not answer.
	Age time.Duration
}

// unanswered notes that a member answered no heartbeat since one was sent.
func (t *memberTable) recordUnanswered(now time.Duration, host string, sentAt time.Duration) {
	if r := t.records[host]; r != nil {
		t.raise(now, r, sentAt)
	}
}

func (t *memberTable) raise(now time.Duration, r *memberRecord, sentAt time.Duration) {
	if r.suspectState.raise(sentAt) {
		t.suspects = append(t.suspects, r)
		t.markUrgent(r)
	}
	t.updateLive(now, r)
}

// hurry has what is known of a suspect passed on at once, if it is of this hall.
func (t *memberTable) markUrgent(r *memberRecord) { t.urgent = t.urgent || r.Hall == t.Self.Hall }

// takeUrgent reports whether there is something to pass on at once, and that it will be.
func (t *memberTable) takeUrgent() bool {
	urgent := t.urgent
	t.urgent = false
	return urgent
}

// updateSuspects has suspicions that have stood for long enough take effect.
func (t *memberTable) updateSuspects(now time.Duration) {
	for _, r := range t.suspects {
		t.updateLive(now, r)
	}
}

// mergeSuspicions takes in the suspicions of another host. A member that was heard since
// becomes news.
func (t *memberTable) mergeSuspicions(now time.Duration, suspicions []suspicion) {
	for _, s := range suspicions {
		r := t.records[s.Host]
		if r == nil || r.Incarnation != s.Incarnation {
			continue
		}
		sentAt := now - max(s.Age, 0)
		if r.suspectState.heardAt >= sentAt {
			t.queueUpdateFirst(r)
			continue
		}
		t.raise(now, r, sentAt)
	}
}

// suspicions lists the suspicions for one heartbeat: if they are too many, each message
// goes on where the last one ended.
func (t *memberTable) suspicions(now time.Duration) []suspicion {
	var out []suspicion
	for range t.suspects {
		r := t.suspects[0]
		t.suspects = append(t.suspects[1:], r)
		if age := now - r.suspectState.unansweredSince; age <= suspicionSpreadIntervals*t.Interval {
			out = append(out, suspicion{Host: r.Host, Incarnation: r.Incarnation, Age: age.Truncate(agePrecision)})
		}
		if len(out) == maxSuspicionEntries {
			break
		}
	}
	return out
}

// suspecting reports whether other halls are to hear of suspicions, or of the end of some.
func (t *memberTable) hasRecentSuspicions(now time.Duration) bool {
	if t.refutedAt > 0 && now-t.refutedAt <= refutationSpreadIntervals*t.Interval {
		return true
	}
	return slices.ContainsFunc(t.suspects, func(r *memberRecord) bool {
		return now-r.suspectState.unansweredSince <= suspicionSpreadIntervals*t.Interval
	})
}

// suspected names the suspected members of a hall that are not silent yet.
func (t *memberTable) suspected(hall string) []string {
	var out []string
	for _, r := range t.suspects {
		if r.live && r.Hall == hall {
			out = append(out, r.Host)
		}
	}
	return out
}

package peers

import (
	"slices"
	"time"
)

// How a failed host is detected.
//
// A host of the same hall that answers neither a heartbeat nor an immediate second attempt is
// suspected by the sender, as of the first attempt. Heartbeats spread suspicions, and in the
// hall of the suspect extra heartbeats do so at once. A suspicion stands until some host has
// heard the suspect after that attempt. Such a host lists the suspect as an update, which
// refutes the suspicion wherever it arrives. Hosts of the suspect's hall also send their next
// heartbeat to it, so that a live one can answer. A suspicion that stands for
// suspicionTimeoutIntervals makes the host unresponsive.
//
// Each host receives heartbeats from a few others at each interval. So the time to detect a
// failure does not grow with the fleet, and the time until all hosts know of it grows with the
// fleet's logarithm.

const (
	// suspicionTimeoutIntervals is for how many heartbeat intervals a suspicion stands before
	// its host is unresponsive. It lets others refute the suspicion: a host that pauses for
	// one interval has sent heartbeats again by then.
	suspicionTimeoutIntervals = 2
	// otherHallExtraIntervals is for how many more intervals a suspicion of a host of another
	// hall stands, since a refutation takes longer to arrive from there.
	otherHallExtraIntervals = 2
	// suspicionSpreadIntervals is for how many intervals a suspicion is spread.
	suspicionSpreadIntervals = 10
	// refutationSpreadIntervals is for how many intervals a refutation is spread to other halls.
	refutationSpreadIntervals = 3
	// maxSuspicionEntries is the most suspicions that one heartbeat lists.
	maxSuspicionEntries = 64
	// urgentDelay is how long an urgent update of a suspicion waits, so that further updates
	// are sent in the same heartbeat.
	urgentDelay = 150 * time.Millisecond
	// agePrecision is the precision of the ages in messages, which keeps their text short.
	agePrecision = 10 * time.Millisecond
)

// suspectState tracks whether a member is suspected. All times are since the process started.
type suspectState struct {
	// heardAt is when any host last heard the member itself, as far as is known.
	heardAt time.Duration
	// unansweredSince is when a heartbeat was sent that the member did not answer; 0 for none.
	// It is later than heardAt.
	unansweredSince time.Duration
}

// heard records that the member was heard, and reports whether that refutes a suspicion.
func (s *suspectState) heard(at time.Duration) bool {
	s.heardAt = max(s.heardAt, at)
	if s.unansweredSince == 0 || s.heardAt <= s.unansweredSince {
		return false
	}
	s.unansweredSince = 0
	return true
}

// raise records an unanswered heartbeat, and reports whether a suspicion begins with it.
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

// suspicionExpired reports whether a suspicion has stood long enough for the member to be
// unresponsive.
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
	// Incarnation is that of the process that did not answer.
	Incarnation string
	// Age is the time since the unanswered heartbeat was sent.
	Age time.Duration
}

// recordUnanswered records that a member has not answered a heartbeat sent at sentAt.
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

// markUrgent has an update of a member sent at once, if the member is of this hall.
func (t *memberTable) markUrgent(r *memberRecord) { t.urgent = t.urgent || r.Hall == t.Self.Hall }

// takeUrgent reports whether there is an urgent update, and resets that.
func (t *memberTable) takeUrgent() bool {
	urgent := t.urgent
	t.urgent = false
	return urgent
}

// updateSuspects makes members unresponsive whose suspicions have expired.
func (t *memberTable) updateSuspects(now time.Duration) {
	for _, r := range t.suspects {
		t.updateLive(now, r)
	}
}

// mergeSuspicions merges the suspicions of another host. A member that was heard since then
// is queued as an update, which refutes the suspicion.
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

// suspicions returns the suspicions for one heartbeat. If they are too many, each heartbeat
// continues where the last one ended.
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

// hasRecentSuspicions reports whether suspicions or refutations are to be spread to other halls.
func (t *memberTable) hasRecentSuspicions(now time.Duration) bool {
	if t.refutedAt > 0 && now-t.refutedAt <= refutationSpreadIntervals*t.Interval {
		return true
	}
	return slices.ContainsFunc(t.suspects, func(r *memberRecord) bool {
		return now-r.suspectState.unansweredSince <= suspicionSpreadIntervals*t.Interval
	})
}

// suspected returns the names of the suspected members of a hall that are still live.
func (t *memberTable) suspected(hall string) []string {
	var out []string
	for _, r := range t.suspects {
		if r.live && r.Hall == hall {
			out = append(out, r.Host)
		}
	}
	return out
}

package peers

import (
	"slices"
	"time"
)

// Failure detection:
//
//   - A host suspects another host of its hall that answers neither a heartbeat nor an
//     immediate retry.
//   - Heartbeats spread suspicions. In the suspect's hall, extra heartbeats do so at once.
//   - A host that has heard the suspect since the unanswered heartbeat lists it as an update,
//     which refutes the suspicion at each receiver. Hosts of the suspect's hall send their
//     next heartbeat to it as well, so that a live suspect can answer.
//   - A suspicion that is not refuted within suspicionTimeoutIntervals makes the host
//     unresponsive.
//
// Each host receives heartbeats from a few others in each interval. The time to detect a
// failure is therefore independent of the fleet size, and the time until all hosts know of it
// grows with its logarithm.

const (
	// suspicionTimeoutIntervals is the number of heartbeat intervals after which a suspicion
	// expires and its host is unresponsive. It leaves time to refute the suspicion: a host
	// that pauses for one interval has sent heartbeats again by then.
	suspicionTimeoutIntervals = 2
	// otherHallExtraIntervals is added to suspicionTimeoutIntervals for a host of another
	// hall, since a refutation takes longer to arrive from there.
	otherHallExtraIntervals = 2
	// suspicionSpreadIntervals is the number of intervals for which a suspicion is spread.
	suspicionSpreadIntervals = 10
	// refutationSpreadIntervals is the number of intervals for which a refutation is spread
	// to other halls.
	refutationSpreadIntervals = 3
	// maxSuspicionEntries is the most suspicions that one heartbeat lists.
	maxSuspicionEntries = 64
	// urgentDelay delays an extra heartbeat about a suspicion, so that it includes further
	// updates.
	urgentDelay = 150 * time.Millisecond
	// agePrecision is the precision of ages in messages; it keeps the messages short.
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

// heard records when the member was heard, and reports whether that refutes a suspicion.
func (s *suspectState) heard(at time.Duration) bool {
	s.heardAt = max(s.heardAt, at)
	if s.unansweredSince == 0 || s.heardAt <= s.unansweredSince {
		return false
	}
	s.unansweredSince = 0
	return true
}

// raise records an unanswered heartbeat, and reports whether it starts a suspicion.
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

// suspicionExpired reports whether a suspicion of a member was not refuted in time.
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
	// Incarnation is the incarnation of the process that did not answer.
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

// markUrgent requests an extra heartbeat about a member of this hall.
func (t *memberTable) markUrgent(r *memberRecord) { t.urgent = t.urgent || r.Hall == t.Self.Hall }

// takeUrgent returns urgent and resets it.
func (t *memberTable) takeUrgent() bool {
	urgent := t.urgent
	t.urgent = false
	return urgent
}

// updateSuspects marks members whose suspicions have expired as unresponsive.
func (t *memberTable) updateSuspects(now time.Duration) {
	for _, r := range t.suspects {
		t.updateLive(now, r)
	}
}

// mergeSuspicions merges the suspicions of another host. A member that this host knows to
// have been heard since is queued as an update, which refutes the suspicion.
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

// hasRecentSuspicions reports whether suspicions or refutations must be spread to other halls.
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

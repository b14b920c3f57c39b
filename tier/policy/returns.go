package policy

import (
	"maps"
	"time"
)

const (
	// minReturnTime is the shortest time after which a refused caller may retry.
	minReturnTime = 20 * time.Millisecond
	// returnTimeDivisor divides the time that the caller has left to get the longest time
	// after which it may retry. Callers honor no longer one.
	returnTimeDivisor = 3
	// assignedPlaces is the share of the places that become free which are assigned to refused
	// callers: a quarter of those for late requests, since others are late as well.
	assignedPlaces = lateShare / 4
	// assignedShare is the share of that time within which places are assigned to callers, so
	// that those who return by then are told apart from those that no place was assigned to.
	assignedShare = 0.7
	// promisedLeftShare is the longest time since the first attempt of a caller that returns to
	// a place assigned to it, as a share of the time that it has left. It lies between
	// assignedShare of the longest time, with jitter, and the longest time.
	promisedLeftShare = 0.38
	// returnJitter is the largest random change of the time, as a share of it. It is small
	// because the order of the refusals itself spreads the retries.
	returnJitter = 0.1
)

// returnSchedule assigns the places that become free to refused callers, rank by rank and in
// the order of their refusal. It is used with the gate locked.
type returnSchedule struct {
	// random is the source of the jitter; nil for none.
	random Random
	// bookedUntil is when the last place assigned to each rank becomes free. Times that have
	// passed are dropped.
	bookedUntil map[int]time.Duration
}

func newReturnSchedule(r Random) returnSchedule {
	return returnSchedule{random: r, bookedUntil: map[int]time.Duration{}}
}

// book assigns a place to a refused request and returns after what time its caller may
// retry. ahead is the number of waiting requests that go before it, throughput the places
// that become free in a second, left the time that the caller has left. If the place becomes
// free later than the caller would wait for it, none is assigned.
func (s *returnSchedule) book(now time.Duration, rank, ahead int, throughput float64, left time.Duration) time.Duration {
	maps.DeleteFunc(s.bookedUntil, func(_ int, at time.Duration) bool { return at <= now })
	longest := max(left/returnTimeDivisor, 0)
	at := s.free(now, rank, ahead, throughput)
	if at-now > longest {
		return s.latest(longest)
	}
	s.bookedUntil[rank] = at
	return max(min(s.later(at-now), longest), minReturnTime)
}

// latest returns the time to retry of a caller that no place is assigned to.
func (s *returnSchedule) latest(longest time.Duration) time.Duration {
	return max(s.earlier(longest), minReturnTime)
}

// free returns when the next place becomes free that is not assigned to a waiting request or
// to a refused one of the same or a more urgent rank.
func (s *returnSchedule) free(now time.Duration, rank, ahead int, throughput float64) time.Duration {
	at := now + perPlace(ahead, throughput)
	for r, until := range s.bookedUntil {
		if r <= rank {
			at = max(at, until)
		}
	}
	return at + perPlace(1, throughput)
}

// perPlace returns the time in which a number of places become free.
func perPlace(places int, throughput float64) time.Duration {
	return time.Duration(float64(places) / throughput * float64(time.Second))
}

// later returns the time with jitter, not before the assigned place is free.
func (s *returnSchedule) later(d time.Duration) time.Duration { return d + s.jitter(d) }

// earlier returns the time with jitter, not after it.
func (s *returnSchedule) earlier(d time.Duration) time.Duration { return d - s.jitter(d) }

func (s *returnSchedule) jitter(d time.Duration) time.Duration {
	if s.random == nil {
		return 0
	}
	return time.Duration(returnJitter * s.random.Float64() * float64(d))
}

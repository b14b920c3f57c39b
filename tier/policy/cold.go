package policy

import (
	"math"
	"slices"
	"time"
)

// A cold upstream bears few requests a second from all hosts together, and hosts
// share no state. While it is cold one host of its hall, the owner, makes all
// calls to it within that bound; other hosts have the owner make theirs, as they
// do with calls to other halls. Even shares do not keep the bound: with 300 hosts and
// a bound of 11 requests, 49 came within a second (replayed); the owner sends 5.
const (
	// coldOwners is how many hosts may take themselves for the owner at a time:
	// one that was frozen or cut off from its hall does not know of the next.
	coldOwners = 2
	// coldWindow is the time within which requests to a cold upstream are counted.
	coldWindow = time.Second
	// coldOwnerAge is the age of the process before which a host owns nothing: for
	// its first heartbeats it knows no other host and would own everything.
	coldOwnerAge = 3 * time.Second
	// coldPenalty has a cold upstream asked only if no warm one is.
	coldPenalty = 1e5
)

// Cold is what a share says of an upstream that may not have warmed up.
type Cold struct {
	// Left is how much longer it was cold when its entry of Revision was written.
	Left     time.Duration
	Revision uint64
	// Warmup is how long it may be cold after its hall was evacuated.
	Warmup time.Duration
	// Calls is the most calls that it bears within a second while it is cold, from
	// all hosts together; 0 for no bound.
	Calls int
	// Evacuated is true while its hall is evacuated.
	Evacuated bool
}

// ColdCalls returns how many requests a cold upstream may get within a second from
// all hosts together: what it bears times a factor, and a slack besides; 0 if it
// bears any number.
func ColdCalls(rate, factor, slack float64) int {
	if rate <= 0 {
		return 0
	}
	return max(int(math.Floor(rate*factor+slack)), 1)
}

// ColdOwner returns the host that makes the calls to a cold upstream: one of the
// strong hosts of its hall, the same for all that know the same hosts; empty if
// the hall has none.
func ColdOwner(upstream string, hall []Candidate) string {
	strongest := 0
	for _, c := range hall {
		strongest = max(strongest, c.Capacity)
	}
	owner, least := "", uint64(0)
	for _, c := range hall {
		if !IsCoordinator(c.Capacity, strongest) {
			continue
		}
		if a := affinity(upstream, c.Host); owner == "" || a < least {
			owner, least = c.Host, a
		}
	}
	return owner
}

// cold is what is known of an upstream that may not have warmed up.
type cold struct {
	told Cold
	// until is when it will have warmed up.
	until time.Duration
	// owner is the host that makes the calls while it is cold; empty for none.
	owner string
	// sentAt is when this host sent it the last calls, at most limit of them.
	sentAt []time.Duration
}

// take takes in what a share says. An entry that is heard of late is taken for
// written just now.
func (c *cold) take(now time.Duration, told Cold) {
	if told.Revision != c.told.Revision {
		c.until = now + told.Left
	}
	if c.told.Evacuated && !told.Evacuated {
		// It may have turned cold meanwhile, and says so only with its next
		// heartbeat.
		c.until = max(c.until, now+told.Warmup)
	}
	c.told = told
}

// bounded reports whether calls to the upstream are bounded now.
func (c *cold) bounded(now time.Duration) bool { return c.told.Calls > 0 && now < c.until }

// ownerAt is the host that makes the calls now; empty if any may.
func (c *cold) ownerAt(now time.Duration) string {
	if !c.bounded(now) {
		return ""
	}
	return c.owner
}

// limit is how many calls the owner sends within a second.
func (c *cold) limit() int { return max(c.told.Calls/coldOwners, 1) }

// admits reports whether this host, as the owner, may send one more call now.
func (c *cold) admits(now time.Duration) bool {
	return now >= coldOwnerAge && (len(c.sentAt) < c.limit() || now-c.sentAt[len(c.sentAt)-c.limit()] >= coldWindow)
}

// note counts a call that is sent now.
func (c *cold) note(now time.Duration) {
	c.sentAt = append(c.sentAt, now)
	if extra := len(c.sentAt) - c.limit(); extra > 0 {
		c.sentAt = slices.Delete(c.sentAt, 0, extra)
	}
}

// SetColdOwners tells for each bounded cold upstream which host makes the calls
// to it. Self is this host.
func (f *Fleet) SetColdOwners(self string, owners map[string]string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.self = self
	for name, u := range f.upstreams {
		u.cold.owner = owners[name]
	}
}

// BoundedCold names the upstreams that are cold and bear a bounded number of calls,
// with their halls.
func (f *Fleet) BoundedCold(now time.Duration) map[string]string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out map[string]string
	for name, u := range f.upstreams {
		if !u.cold.bounded(now) {
			continue
		}
		if out == nil {
			out = map[string]string{}
		}
		out[name] = u.hall
	}
	return out
}

// Destination says from where calls to an upstream are to be made.
type Destination struct {
	// Hall is the upstream's data hall: any host there may make the calls.
	Hall string
	// Owner is the one host that may, while the upstream is cold; empty for any.
	Owner string
}

// DestinationOf returns from where calls to a listed upstream are to be made.
func (f *Fleet) DestinationOf(now time.Duration, u *Upstream) Destination {
	f.mu.Lock()
	defer f.mu.Unlock()
	return Destination{Hall: u.hall, Owner: u.cold.ownerAt(now)}
}

// AdmitCold reports whether this host may send a call to an upstream now, and
// counts it. Only the owner may send to one that is cold and bounded, and no more
// than it bears.
func (f *Fleet) AdmitCold(now time.Duration, u *Upstream) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !u.cold.bounded(now) {
		return true
	}
	if !f.owns(u) || !u.cold.admits(now) {
		return false
	}
	u.cold.note(now)
	return true
}

// owns reports whether this host makes the calls to a cold upstream; the fleet is
// locked.
func (f *Fleet) owns(u *Upstream) bool { return u.cold.owner != "" && u.cold.owner == f.self }

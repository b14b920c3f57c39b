package policy

import "time"

const (
	// coldOwners is how many hosts may believe at a time that they are the owner: one that
	// was frozen or cut off from its hall does not know of the next.
	maxColdOwners = 2
	// coldWindow is the time within which calls to a cold upstream are counted: the
	// configuration gives their rate by the second.
	coldWindow = time.Second
	// coldOwnerAge is the age of the process before which a host is no owner: for its first
	// heartbeats it knows no other host and would own everything.
	minColdOwnerAge = 3 * time.Second
)

// Cold is what a share says about an upstream that may be cold: it started, or came back
// from an evacuation, a moment ago and can handle only a few calls a second.
type Cold struct {
	// Remaining is how much longer it was cold when its entry of Revision was written.
	Remaining time.Duration
	// Revision is that of its entry in the directory, Sequence the upstream's own count
	// of its reports then. After the platform came back from a copy, another entry may
	// have the same revision.
	Revision, Sequence uint64
	// Warmup is how long it may be cold after its hall was evacuated.
	Warmup time.Duration
	// CallLimit is the most calls that it can handle within a second while it is cold, from
	// all hosts together; 0 for no bound.
	CallLimit int
	// Evacuated is true while its hall is evacuated.
	Evacuated bool
}

// ColdCallLimit returns how many calls a cold upstream may get within a second from all
// hosts together: its rate times a factor, and a slack besides; 0 if it has no rate,
// which is no bound.
func ColdCallLimit(rate, factor, slack float64) int {
	if rate <= 0 {
		return 0
	}
	return max(int(rate*factor+slack), 1)
}

// cold is whether an upstream is cold, and which host may call it meanwhile. It is
// cold until its warm-up has passed. While it is cold it is throttled if its group says
// how many calls it can handle: one host makes all its calls, so many a second.
type cold struct {
	// entry is what its share last said.
	entry Cold
	// until is when it will have warmed up.
	until time.Duration
	// owner is the host that makes the calls while it is throttled; empty for none.
	owner string
	// sentAt is when this host sent it the last calls, at most limit of them.
	sentAt []time.Duration
}

// sameEntry reports whether two shares speak of the same entry.
func (c *Cold) sameEntry(other *Cold) bool {
	return c.Revision == other.Revision && c.Sequence == other.Sequence
}

// update records what a share says. An entry that arrives late counts as written just
// now.
func (c *cold) update(now time.Duration, entry Cold) {
	if !entry.sameEntry(&c.entry) {
		c.until = now + entry.Remaining
	}
	if c.entry.Evacuated && !entry.Evacuated {
		// It may have turned cold meanwhile, and says so only with its next
		// heartbeat.
		c.until = max(c.until, now+entry.Warmup)
	}
	c.entry = entry
}

func (c *cold) active(now time.Duration) bool { return now < c.until }

func (c *cold) throttled(now time.Duration) bool { return c.entry.CallLimit > 0 && c.active(now) }

// ownerAt is the host that makes the calls now; empty if any may.
func (c *cold) ownerAt(now time.Duration) string {
	if !c.throttled(now) {
		return ""
	}
	return c.owner
}

// limit is how many calls the owner sends within coldWindow.
func (c *cold) ownerLimit() int { return max(c.entry.CallLimit/maxColdOwners, 1) }

// admits reports whether this host, as the owner, may send one more call now.
func (c *cold) allows(now time.Duration) bool {
	if now < minColdOwnerAge {
		return false
	}
	n := c.ownerLimit()
	return len(c.sentAt) < n || now-c.sentAt[len(c.sentAt)-n] >= coldWindow
}

func (c *cold) recordSent(now time.Duration) {
	c.sentAt = append(c.sentAt, now)
	c.sentAt = c.sentAt[max(len(c.sentAt)-c.ownerLimit(), 0):]
}

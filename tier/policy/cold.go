package policy

import "time"

const (
	// maxColdOwners is how many hosts may consider themselves the owner at the same time,
	// since a host that was paused or partitioned from its hall does not know that another
	// host has become the owner.
	maxColdOwners = 2
	// coldWindow is the interval in which calls to a cold upstream are counted; the
	// configured rate is per second.
	coldWindow = time.Second
	// minColdOwnerAge is how long a process must have run before it may be an owner. Until
	// the first heartbeats arrive, it knows no other host and would own every upstream.
	minColdOwnerAge = 3 * time.Second
)

// Cold describes the warm-up of an upstream. While it is cold, because it started or
// returned from an evacuation recently, it can handle only a few calls per second.
type Cold struct {
	// Remaining is the warm-up time that was left when the directory entry with Revision
	// was written.
	Remaining time.Duration
	// Revision is the revision of the directory entry, Sequence the upstream's own count of
	// its reports at that time. After the platform was restored from a backup, another entry
	// may have the same revision.
	Revision, Sequence uint64
	// Warmup is how long the upstream may be cold after an evacuation of its hall ends.
	Warmup time.Duration
	// Calls is the largest number of calls per second, from all hosts together, that
	// the upstream can handle while it is cold; 0 for no limit.
	Calls int
	// Evacuated is true while its hall is evacuated.
	Evacuated bool
}

// ColdCallLimit returns how many calls per second a cold upstream may get from all hosts
// together: its rate times factor, plus slack. It returns 0, which is no limit, if the
// upstream has no rate.
func ColdCallLimit(rate, factor, slack float64) int {
	if rate <= 0 {
		return 0
	}
	return max(int(rate*factor+slack), 1)
}

// cold tracks whether an upstream is cold and which host may call it in the meantime. An
// upstream is cold until its warm-up ends. While it is cold, it is throttled if its group
// has a call limit: a single host, the owner, then makes all of its calls within that
// limit.
type cold struct {
	// entry is the Cold of the latest share.
	entry Cold
	// until is when the warm-up ends.
	until time.Duration
	// owner is the host that makes the calls while the upstream is throttled; empty for
	// none.
	owner string
	// sentAt holds the times of this host's latest calls to the upstream, at most
	// ownerLimit of them.
	sentAt []time.Duration
}

// sameEntry reports whether two shares refer to the same directory entry.
func (c *Cold) sameEntry(other *Cold) bool {
	return c.Revision == other.Revision && c.Sequence == other.Sequence
}

// update records the Cold of a new share. It treats a new directory entry as just written,
// even if the entry arrives late.
func (c *cold) update(now time.Duration, entry Cold) {
	if !entry.sameEntry(&c.entry) {
		c.until = now + entry.Remaining
	}
	if c.entry.Evacuated && !entry.Evacuated {
		// The upstream may have become cold in the meantime, which only its next heartbeat
		// will say.
		c.until = max(c.until, now+entry.Warmup)
	}
	c.entry = entry
}

func (c *cold) active(now time.Duration) bool { return now < c.until }

func (c *cold) throttled(now time.Duration) bool { return c.entry.Calls > 0 && c.active(now) }

// ownerAt returns the host that must make the calls now; empty if any host may.
func (c *cold) ownerAt(now time.Duration) string {
	if !c.throttled(now) {
		return ""
	}
	return c.owner
}

// ownerLimit returns how many calls the owner may send within coldWindow.
func (c *cold) ownerLimit() int { return max(c.entry.Calls/maxColdOwners, 1) }

// allows reports whether this host, as the owner, may send one more call now.
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

package peers

import (
	"time"

	"loomgap/tier/config"
)

const (
	// removalHoldTime is how long an upstream that is missing after an outage stays listed: its
	// entry may have expired during the outage, and the upstream registers again within about
	// two seconds.
	removalHoldTime = 2500 * time.Millisecond
	// lateRemovalWindow is how long after an outage the platform may still remove entries that
	// expired during it.
	lateRemovalWindow = time.Second
)

// removalHold delays removals of upstreams that an outage of the platform may have caused. All
// times are since the process started.
type removalHold struct {
	// holdUntil is when new removals are no longer held.
	holdUntil time.Duration
	// removals are the held removals; they are released at dueAt.
	removals []config.Removal
	dueAt    time.Duration
}

// platformReturned starts to hold removals after an outage.
func (h *removalHold) platformReturned(now time.Duration) { h.holdUntil = now + lateRemovalWindow }

// platformRestored starts to hold removals after the platform was restored from a backup. It
// drops the removals held so far, since they belong to the earlier history.
func (h *removalHold) platformRestored(now time.Duration) {
	*h = removalHold{holdUntil: now + lateRemovalWindow}
}

// hold moves the removals out of a directory change and keeps them, if the platform was
// unavailable shortly before. It does not hold the end of an evacuation: evacuations are
// written by operators and do not expire, so one that a whole directory lacks has ended.
func (h *removalHold) hold(now time.Duration, d *config.Directory, c *config.DirectoryChange) {
	if now >= h.holdUntil {
		return
	}
	h.removals = append(h.removals, c.Removed...)
	if c.Whole {
		h.removals = append(h.removals, d.ImpliedRemovalsAllEras(c)...)
		c.Resumed = append(c.Resumed, d.ImpliedResumptions(c)...)
	}
	if len(h.removals) > 0 && h.dueAt <= now {
		h.dueAt = now + removalHoldTime
	}
	c.Removed, c.Whole = nil, false
}

// release returns the removals that are due and stops holding them.
func (h *removalHold) release(now time.Duration) []config.Removal {
	if now < h.dueAt {
		return nil
	}
	due := h.removals
	h.removals = nil
	return due
}

// wait returns how long a read may wait, at most limit, so that held removals are released in
// time.
func (h *removalHold) wait(now, limit time.Duration) time.Duration {
	if len(h.removals) == 0 {
		return limit
	}
	return min(limit, max(h.dueAt-now, 0))
}

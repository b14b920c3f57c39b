package peers

import (
	"time"

	"loomgap/tier/config"
)

const (
	// removalHoldTime is how long an upstream that was missing when the platform came back
	// stays listed: its entry may have expired during the outage, and the upstream registers
	// again within about two seconds.
	removalHoldTime = 2500 * time.Millisecond
	// lateRemovalWindow is how long after its return the platform may still remove entries
	// that expired during the outage.
	lateRemovalWindow = time.Second
)

// removalHold delays removals of upstreams that may result from an outage of the platform.
// All times are since the process started.
type removalHold struct {
	// holdUntil is the time from which on new removals are no longer held.
	holdUntil time.Duration
	// removals are held until due.
	removals []config.Removal
	due      time.Duration
}

func (h *removalHold) platformReturned(now time.Duration) { h.holdUntil = now + lateRemovalWindow }

// platformRestored is platformReturned for a platform that came back with another history.
// It drops the removals held so far: the new history decides on them.
func (h *removalHold) platformRestored(now time.Duration) {
	*h = removalHold{holdUntil: now + lateRemovalWindow}
}

// hold moves the removals out of a directory change and keeps them, if the platform has just
// returned. Entries that an operator has written do not expire, so an evacuation that a
// whole directory lacks has ended.
func (h *removalHold) hold(now time.Duration, d *config.Directory, c *config.DirectoryChange) {
	if now >= h.holdUntil {
		return
	}
	h.removals = append(h.removals, c.Removed...)
	if c.Whole {
		h.removals = append(h.removals, d.ImpliedRemovalsAllEras(c)...)
		c.Resumed = append(c.Resumed, d.ImpliedResumptions(c)...)
	}
	if len(h.removals) > 0 && h.due <= now {
		h.due = now + removalHoldTime
	}
	c.Removed, c.Whole = nil, false
}

// release returns the removals that are due and stops holding them.
func (h *removalHold) release(now time.Duration) []config.Removal {
	if now < h.due {
		return nil
	}
	due := h.removals
	h.removals = nil
	return due
}

// wait limits the duration of a read so that held removals are released in time.
func (h *removalHold) wait(now, limit time.Duration) time.Duration {
	if len(h.removals) == 0 {
		return limit
	}
	return min(limit, max(h.due-now, 0))
}

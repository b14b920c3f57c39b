package peers

import (
	"time"

	"loomgap/tier/config"
)

const (
	// lapseHold is how long an upstream stays listed that was gone when the platform came
	// back: its entry may have lapsed meanwhile, and it lists itself again within about two
	// seconds.
	removalHoldTime = 2500 * time.Millisecond
	// lapseLate is how long after its return the platform may still remove what lapsed
	// while it was away.
	lateRemovalWindow = time.Second
)

// lapse holds removals of upstreams back that the platform's own absence may have
// caused. All times are since the process started.
type removalHold struct {
	// until is when removals that come are no longer held back.
	holdUntil time.Duration
	// removals are held back until due.
	removals []config.Removal
	due      time.Duration
}

func (l *removalHold) platformReturned(now time.Duration) { l.holdUntil = now + lateRemovalWindow }

// historyReturned is platformReturned for a platform that came back with another history:
// what was held for the one before is decided by this one.
func (l *removalHold) historyReturned(now time.Duration) {
	*l = removalHold{holdUntil: now + lateRemovalWindow}
}

// hold takes the removals out of a change of a directory and keeps them, if the
// platform was away a moment ago. What an operator has written does not lapse, so an
// evacuation that a whole directory lacks has ended.
func (l *removalHold) hold(now time.Duration, d *config.Directory, c *config.DirectoryChange) {
	if now >= l.holdUntil {
		return
	}
	l.removals = append(l.removals, c.Removed...)
	if c.Whole {
		l.removals = append(l.removals, d.ImpliedRemovalsAllEras(c)...)
		c.Resumed = append(c.Resumed, d.ImpliedResumptions(c)...)
	}
	if len(l.removals) > 0 && l.due <= now {
		l.due = now + removalHoldTime
	}
	c.Removed, c.Whole = nil, false
}

// release returns the removals that are due and holds them no longer.
func (l *removalHold) release(now time.Duration) []config.Removal {
	if now < l.due {
		return nil
	}
	due := l.removals
	l.removals = nil
	return due
}

// wait shortens the time that a read may take so that held removals are released in
// time.
func (l *removalHold) wait(now, limit time.Duration) time.Duration {
	if len(l.removals) == 0 {
		return limit
	}
	return min(limit, max(l.due-now, 0))
}

package policy

import "time"

const (
	// windowDecrease multiplies the window when the upstream shows a shortage.
	windowDecrease = 0.7
	// minWindow is the lowest window, in calls: a host always learns how the upstream does.
	minWindow = 1
	// windowRetention is how long after the last run under a shortage, or the last sign of
	// one at the upstream, the window is removed.
	windowRetention = 2 * time.Second
)

// window limits the calls that this host has in progress at one upstream while its gate
// measures a shortage and the upstream itself shows one: a shed call, or a report of more
// waiting calls than slots. It decreases multiplicatively and increases additively, so that
// the windows of hosts that share an upstream become equal without messages.
type window struct {
	// calls is the limit; 0 for none, otherwise at least minWindow.
	calls float64
	// answers counts answers without a sign of shortage since the window last changed.
	answers int
	// full is true if as many calls as it allows were in progress since it last changed.
	full bool
	// fellAt is when the window last decreased. Calls that were sent earlier do not
	// decrease it again, since they met the calls that it no longer allows.
	fellAt time.Duration
	// signAt is when the upstream last showed a shortage.
	signAt time.Duration
	// shortageAt is when a run under a shortage last considered the upstream; 0 for never.
	shortageAt time.Duration
}

func (w *window) active() bool { return w.calls > 0 }

// limit returns the limit in whole calls.
func (w *window) limit() int { return int(w.calls) }

// noteShortage records that a run under a shortage considers the upstream.
func (w *window) noteShortage(now time.Duration) { w.shortageAt = now }

// relevant reports whether a run under a shortage considered the upstream lately.
func (w *window) relevant(now time.Duration) bool {
	return w.shortageAt > 0 && now-w.shortageAt <= windowRetention
}

// expire removes the window if no run under a shortage considered the upstream lately.
func (w *window) expire(now time.Duration) {
	if !w.relevant(now) {
		*w = window{shortageAt: w.shortageAt}
	}
}

// observe updates the window after a call of this host. inUse counts the calls in progress,
// including this one, and share is the limit that applies without a window.
func (w *window) observe(now time.Duration, c *Call, inUse, share int) {
	if w.expire(now); !w.relevant(now) {
		return
	}
	switch {
	case showsShortage(c):
		w.decrease(now, now-c.Took, inUse)
	case c.Outcome.answered():
		w.increase(now, inUse, share)
	}
}

// showsShortage reports whether a call shows a shortage at its upstream.
func showsShortage(c *Call) bool {
	return c.Outcome == CallShed || c.Load.Slots > 0 && c.Load.Waiting > c.Load.Slots
}

// decrease lowers the window after a call that was sent at sentAt.
func (w *window) decrease(now, sentAt time.Duration, inUse int) {
	w.signAt = now
	if w.active() && sentAt < w.fellAt {
		return
	}
	from := w.calls
	if !w.active() {
		from = float64(inUse)
	}
	w.calls, w.answers, w.full, w.fellAt = max(windowDecrease*from, minWindow), 0, false, now
}

// increase adds one call for each window of answers, if the window was used.
func (w *window) increase(now time.Duration, inUse, share int) {
	if !w.active() {
		return
	}
	if now-w.signAt > windowRetention {
		w.calls = 0
		return
	}
	w.full = w.full || inUse >= w.limit()
	w.answers++
	if !w.full || w.answers < w.limit() {
		return
	}
	w.calls, w.answers, w.full = w.calls+1, 0, false
	if w.calls >= float64(share) {
		w.calls = 0
	}
}

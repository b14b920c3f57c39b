package pass

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"loomgap/tier/kernel"
	"loomgap/tier/policy"
)

const (
	// replyGrace is how late the first sign of a host may be until the host is considered
	// unresponsive: other hosts are asked first then.
	replyGrace = 100 * time.Millisecond
	// hallUnresponsiveAfter is how many different hosts of a hall in a row must leave
	// a batch unanswered until the upstreams of the hall are called directly: this
	// host may be cut off from the hosts there and not from the upstreams.
	hallUnresponsiveThreshold = 2
)

// hostTracker knows which other hosts answer what this host sends them, as relays and
// as coordinators alike, and how long a message to them takes. It is safe for
// concurrent use.
type hostTracker struct {
	mu sync.Mutex
	// hosts are by name of the host, halls by name of the hall.
	hosts map[string]*trackedHost
	halls map[string]*trackedHall
}

// trackedHost is what is known of one host from its answers.
type trackedHost struct {
	// pending counts the batches and requests that it has not answered yet.
	pending int
	// dueAt is when the first sign of the oldest pending one is due; 0 if none is
	// pending.
	dueAt time.Duration
	// backoff is active while other hosts are asked first.
	backoff backoff
	// roundTrip is the least time that a message and its answer took; 0 if unknown.
	roundTrip time.Duration
}

// trackedHall is what is known of the hosts of one hall together.
type trackedHall struct {
	// unresponsive counts the different hosts in a row that did not answer in time;
	// last is the last of them.
	unresponsive int
	last         string
	// backoff is active while no host of the hall is asked.
	backoff backoff
	// roundTrip is the least time that a message and its answer took; 0 if unknown.
	roundTrip time.Duration
}

func newHostTracker() hostTracker {
	return hostTracker{hosts: map[string]*trackedHost{}, halls: map[string]*trackedHall{}}
}

// leastPending returns the responsive live host of a hall with the fewest pending
// answers for its capacity, and with none to the request that counts its own in
// pending; empty if there is none. Among equals all senders take the same host: it
// sees most calls to the upstreams of its hall, so it learns their state early.
func (t *hostTracker) leastPending(v *kernel.View, hall string, now time.Duration, pending map[string]int) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.hall(hall).backoff.active(now) {
		return ""
	}
	var names []string
	for n, m := range v.Members {
		if m.Callable() && m.Hall == hall && pending[n] == 0 && t.responsive(n, now) {
			names = append(names, n)
		}
	}
	if len(names) == 0 {
		return ""
	}
	return slices.MinFunc(names, func(a, b string) int {
		return cmp.Or(
			cmp.Compare(pendingPerCapacity(t.host(a).pending, v.Members[a].Capacity), pendingPerCapacity(t.host(b).pending, v.Members[b].Capacity)),
			cmp.Compare(a, b),
		)
	})
}

// pendingPerCapacity is a host's pending answers, with one more, for its capacity.
func pendingPerCapacity(pending, capacity int) float64 {
	return float64(pending+1) / float64(max(capacity, 1))
}

// ifResponsive returns a host if it is live and responsive; else an empty name.
func (t *hostTracker) ifResponsive(v *kernel.View, host string, now time.Duration) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	if m := v.Members[host]; !m.Callable() || !t.responsive(host, now) {
		return ""
	}
	return host
}

// candidates returns the responsive ones of some candidates that were not tried yet,
// with what is known of them.
func (t *hostTracker) candidates(all []policy.Candidate, now time.Duration, tried map[string]bool) []policy.Candidate {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []policy.Candidate
	for _, c := range all {
		if tried[c.Host] || t.hall(c.Hall).backoff.active(now) || !t.responsive(c.Host, now) {
			continue
		}
		c.Pending, c.RoundTrip = t.host(c.Host).pending, t.hall(c.Hall).roundTrip
		out = append(out, c)
	}
	return out
}

// roundTrip returns how long a message to a host and its answer take; 0 if unknown.
func (t *hostTracker) roundTrip(host string) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.host(host).roundTrip
}

// observe notes how long a connection to a host of a hall took to make.
func (t *hostTracker) observeConnect(hall string, roundTrip time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	h := t.hall(hall)
	h.roundTrip = minKnown(h.roundTrip, roundTrip)
}

// sent notes a batch or request, and when the first sign of it is due.
func (t *hostTracker) sent(host string, due time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.host(host)
	s.pending++
	if s.dueAt == 0 {
		s.dueAt = due
	}
}

// answered notes the first sign of a batch or request, and how long the message and
// the sign took.
func (t *hostTracker) answered(host, hall string, now, roundTrip time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.host(host)
	s.removePending(now)
	s.backoff = backoff{}
	s.roundTrip = minKnown(s.roundTrip, roundTrip)
	h := t.hall(hall)
	*h = trackedHall{roundTrip: minKnown(h.roundTrip, roundTrip)}
}

// unanswered notes a batch or request that ended without any sign. With overdue the
// sign was due long before, and the host gets nothing for a while.
func (t *hostTracker) unanswered(host, hall string, now time.Duration, overdue bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.host(host)
	dueAt := s.dueAt
	s.removePending(now)
	if !overdue {
		if s.pending > 0 {
			s.dueAt = dueAt
		}
		return
	}
	s.backoff.begin(now)
	h := t.hall(hall)
	if h.last != host {
		h.unresponsive++
		h.last = host
	}
	if h.unresponsive >= hallUnresponsiveThreshold && !h.backoff.active(now) {
		h.backoff.begin(now)
	}
}

// declined notes that a host declined a request. One that is stopping gets nothing
// for a while; one that has another configuration will soon have this one.
func (t *hostTracker) declined(host string, now time.Duration, why declineReason) {
	if why != declineStopping {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.host(host).backoff.begin(now)
}

// host returns what is known of a host; mu is held.
func (t *hostTracker) host(name string) *trackedHost { return getOrCreate(t.hosts, name) }

// hall returns what is known of a hall; mu is held.
func (t *hostTracker) hall(name string) *trackedHall { return getOrCreate(t.halls, name) }

// tracked returns the item of a name, which is made when it is first asked for.
func getOrCreate[T any](items map[string]*T, name string) *T {
	if items[name] == nil {
		items[name] = new(T)
	}
	return items[name]
}

// responsive reports whether a host may be asked; mu is held.
func (t *hostTracker) responsive(host string, now time.Duration) bool {
	s := t.host(host)
	return !s.backoff.active(now) && (s.dueAt == 0 || now-s.dueAt < replyGrace)
}

// ended notes that a batch or request is not pending any more.
func (h *trackedHost) removePending(now time.Duration) {
	h.pending--
	h.dueAt = 0
	if h.pending > 0 {
		h.dueAt = now
	}
}

// leastKnown returns the lesser of two times; 0 stands for one that is not known.
func minKnown(a, b time.Duration) time.Duration {
	if a == 0 || b > 0 && b < a {
		return b
	}
	return a
}

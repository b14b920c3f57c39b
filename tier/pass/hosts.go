package pass

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"loomgap/tier/kernel"
)

// relays knows which hosts answer for the upstreams of other halls.
type relays struct {
	mu sync.Mutex
	// states are by name of host, halls by name of hall.
	states map[string]*relayState
	halls  map[string]*hallState
}

func newRelays() relays {
	return relays{states: map[string]*relayState{}, halls: map[string]*hallState{}}
}

// hallState is what is known of the way to the hosts of one hall.
type hallState struct {
	// silent counts the hosts in a row that answered no batch in time; last is
	// the last of them.
	silent  int
	last    string
	backoff backoff
	// roundTrip is the least time that a message took there and back; 0 if it is
	// not known.
	roundTrip time.Duration
}

// backoff is how long something that does not answer is left alone: twice as long
// each time, until it answers.
type backoff struct {
	until, last time.Duration
}

func (r *backoff) begin(now time.Duration) {
	r.last = min(max(2*r.last, relayBackoff), relayBackoffMost)
	r.until = now + r.last
}

// relayState is what is known of one host from its answers.
type relayState struct {
	// open counts the batches that it owes.
	open int
	// dueAt is when the oldest unanswered batch is due; 0 if none is.
	dueAt time.Duration
	// backoff is while others are asked first.
	backoff backoff
	// roundTrip is the least time that a message took there and back.
	roundTrip time.Duration
}

func (r *relays) state(host string) *relayState {
	s := r.states[host]
	if s == nil {
		s = &relayState{}
		r.states[host] = s
	}
	return s
}

// choose returns the live host of a hall that owes the fewest answers for what it
// can carry, and none to a certain request; empty if there is none that answers. Of
// those that owe alike, all hosts take the same one: it sees most calls to its
// upstreams, so it learns soon how they do.
func (r *relays) choose(v *kernel.View, hall string, now time.Duration, outstanding map[string]int) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	if now < r.hall(hall).backoff.until {
		return ""
	}
	var names []string
	for n, m := range v.Members {
		if m.Callable() && m.Hall == hall && outstanding[n] == 0 && r.answers(n, now) {
			names = append(names, n)
		}
	}
	if len(names) == 0 {
		return ""
	}
	return slices.MinFunc(names, func(a, b string) int {
		return cmp.Or(
			cmp.Compare(load(r.state(a).open, v.Members[a].Capacity), load(r.state(b).open, v.Members[b].Capacity)),
			cmp.Compare(a, b),
		)
	})
}

// answering returns a host if it is live and answers; else an empty name.
func (r *relays) answering(v *kernel.View, host string, now time.Duration) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	if m := v.Members[host]; !m.Callable() || !r.answers(host, now) {
		return ""
	}
	return host
}

// load is what a host owes for what it can carry, with one batch more.
func load(open, capacity int) float64 { return float64(open+1) / float64(max(capacity, 1)) }

func (r *relays) hall(name string) *hallState {
	h := r.halls[name]
	if h == nil {
		h = &hallState{}
		r.halls[name] = h
	}
	return h
}

func (r *relays) answers(host string, now time.Duration) bool {
	s := r.state(host)
	return now >= s.backoff.until && (s.dueAt == 0 || now-s.dueAt < relaySilent)
}

// roundTrip returns how long a message takes to a host and back; 0 if it is not known.
func (r *relays) roundTrip(host string) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state(host).roundTrip
}

// sent notes a batch, and when the first sign of it is due.
func (r *relays) sent(host string, due time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.state(host)
	s.open++
	if s.dueAt == 0 {
		s.dueAt = due
	}
}

// answered notes an answer and how long the message took there and back.
func (r *relays) answered(host, hall string, now, roundTrip time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.state(host)
	s.batchEnded(now)
	s.backoff = backoff{}
	h := r.hall(hall)
	*h = hallState{roundTrip: least(h.roundTrip, roundTrip)}
	s.roundTrip = least(s.roundTrip, roundTrip)
}

// least returns the lesser of two times; 0 stands for none.
func least(a, b time.Duration) time.Duration {
	if a == 0 || b > 0 && b < a {
		return b
	}
	return a
}

// observe notes how long a connection to a host of a hall took.
func (r *relays) observe(hall string, roundTrip time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	h := r.hall(hall)
	h.roundTrip = least(h.roundTrip, roundTrip)
}

// decline notes that a host did not take a request. One that stops is left
// alone; one that knows another configuration will soon know this one.
func (r *relays) decline(host string, now time.Duration, why Decline) {
	if why != DeclineStopping {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.state(host).backoff.begin(now)
}

// unanswered notes a batch without an answer; with late the first sign was due
// long before, and the host is left alone for a while.
func (r *relays) unanswered(host, hall string, now time.Duration, late bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.state(host)
	dueAt := s.dueAt
	s.batchEnded(now)
	if !late {
		if s.open > 0 {
			s.dueAt = dueAt
		}
		return
	}
	s.backoff.begin(now)
	h := r.hall(hall)
	if h.last != host {
		h.silent++
		h.last = host
	}
	if h.silent >= hallSilent && now >= h.backoff.until {
		h.backoff.begin(now)
	}
}

func (s *relayState) batchEnded(now time.Duration) {
	s.open--
	s.dueAt = 0
	if s.open > 0 {
		s.dueAt = now
	}
}

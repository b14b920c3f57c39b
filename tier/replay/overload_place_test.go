package replay

import (
	"fmt"
	"time"

	"loomgap/tier/policy"
)

const (
	// maxHandOvers is the number of other hosts that a request is sent to, and handOverShare
	// the share of the objective within which it may be sent to the second one, as in
	// package pass.
	maxHandOvers  = 2
	handOverShare = 0.1
	// heartbeatInterval is the time between two reports of the room during a request.
	heartbeatInterval = 40 * time.Millisecond
)

// knownHosts is what a host knows of the room of the others, by index.
type knownHosts struct {
	rooms   []policy.KnownRoom
	pending []int
}

// place executes an attempt at the host that received it, or hands it over to another one
// while the gate of that host has no room.
func (s *overloadSite) place(a *gatedAttempt) {
	objective := float64(s.params.routes[a.request.route].Objective)
	inTime := float64(s.world.now-a.arrivedAt) <= handOverShare*objective
	if len(a.tried) > 0 && !inTime || len(a.tried) >= maxHandOvers || !s.isBusy(a.host, a) {
		s.enter(a)
		return
	}
	to, mayDecline := s.chooseCoordinator(a)
	if to == nil {
		s.enter(a)
		return
	}
	s.handOver(a, to, mayDecline)
}

// isBusy reports whether the gate of a host would refuse an attempt, or have it wait for
// longer than the round trip to another hall.
func (s *overloadSite) isBusy(h *host, a *gatedAttempt) bool {
	o := s.gate(h).Outlook(s.world.now, s.demand(a))
	switch o.Decision {
	case policy.DecisionRun:
		return false
	case policy.DecisionRefuse:
		return true
	default:
		return o.Wait > 2*s.routed.farDelay
	}
}

// chooseCoordinator returns the host that is to execute an attempt, and whether it may
// decline; nil for the one that received it.
func (s *overloadSite) chooseCoordinator(a *gatedAttempt) (to *host, mayDecline bool) {
	w := s.world
	c := policy.CoordinatorChoice{
		Now: w.now, Self: s.roomCandidate(a.host, a.host), SelfExecutes: true, Random: w.random.IntN,
		Objective: time.Duration(s.params.routes[a.request.route].Objective),
	}
	c.Self.Room.Observe(w.now, s.room(a.host))
	if o := s.gate(a.host).Outlook(w.now, s.demand(a)); o.Decision != policy.DecisionRefuse {
		c.OwnWait = o.Wait
	}
	c.DeclinedBy = a.declinedBy
	byName := map[string]*host{}
	for _, h := range w.hosts {
		if h != a.host && !a.tried[h] {
			o := s.roomCandidate(a.host, h)
			c.All, byName[o.Host] = append(c.All, o), h
		}
	}
	chosen, ok := c.Choose()
	if !ok {
		return nil, false
	}
	return byName[chosen.Host], chosen.MayDecline
}

// roomCandidate describes a host to another one.
func (s *overloadSite) roomCandidate(from, h *host) policy.Candidate {
	known := &s.known[from.index]
	return policy.Candidate{
		Host: fmt.Sprint("H", h.index), Hall: s.routed.hall(h.index), Capacity: coreCapacity, RoundTrip: 2 * s.routed.farDelay,
		Pending: known.pending[h.index], Room: known.rooms[h.index],
	}
}

// room returns the report of a host's room; nil without a shortage.
func (s *overloadSite) room(h *host) *policy.RoomReport {
	g := s.gate(h).State(s.world.now)
	if !g.Limited {
		return nil
	}
	return &policy.RoomReport{InFlight: g.InFlight, Places: g.Places, Waiting: g.Waiting}
}

// handOver sends an attempt to another host, which executes or declines it.
func (s *overloadSite) handOver(a *gatedAttempt, to *host, mayDecline bool) {
	w, from := s.world, a.host
	if a.tried == nil {
		a.tried = map[*host]bool{}
	}
	a.tried[to] = true
	known := &s.known[from.index]
	delay := s.hostDelay(from, to)
	known.pending[to.index]++
	s.report.handedOver++
	w.after(delay, func() {
		declined := mayDecline && s.isBusy(to, a)
		s.reportRoom(from, to)
		w.after(delay, func() {
			known.pending[to.index]--
			if declined {
				s.report.declined++
				a.declinedBy = s.routed.hall(to.index)
				known.rooms[to.index].Declined(w.now)
				s.place(a)
				return
			}
			w.after(delay, func() {
				a.host, a.returnDelay = to, delay
				s.enter(a)
				s.heartbeat(a, from)
			})
		})
	})
}

// reportRoom reports the room of a host to another one.
func (s *overloadSite) reportRoom(to, from *host) {
	room := s.room(from)
	s.world.after(s.hostDelay(to, from), func() { s.known[to.index].rooms[from.index].Observe(s.world.now, room) })
}

// heartbeat reports the room until the attempt has ended.
func (s *overloadSite) heartbeat(a *gatedAttempt, to *host) {
	s.reportRoom(to, a.host)
	if !a.answered {
		s.world.after(heartbeatInterval, func() { s.heartbeat(a, to) })
	}
}

func (s *overloadSite) hostDelay(a, b *host) time.Duration {
	if s.routed.hall(a.index) == s.routed.hall(b.index) {
		return s.world.config.delay
	}
	return s.routed.farDelay
}

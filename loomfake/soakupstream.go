package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"time"

	"loomgap/platform"
	"loomgap/platform/mock"
)

// arrival is a request that reached an upstream.
type arrival struct {
	at time.Duration
	id string
	// ran is true once the upstream runs the request.
	ran bool
}

// soakUpstream is an upstream of a soak, behind a link.
type soakUpstream struct {
	mock.Upstream
	group string
	hall  string
	link  *link
	// address is the address of the link.
	address netip.AddrPort
	now     func() time.Duration
	// serviceTime returns the current service time without faults.
	serviceTime func() time.Duration
	slots       *upstreamSlots

	// mu guards the fields below.
	mu     sync.Mutex
	faults soakUpstreamFaults
	// endless is the form of endless responses that the upstream sends; nil for none.
	endless *endlessForm
	// cuts is true while the upstream cuts answers off.
	cuts bool
	// arrivals are in order of time.
	arrivals []arrival
	// leavingAt is when the upstream was listed as leaving, or 0.
	leavingAt time.Duration
	// state is the last reported state, empty once the upstream has left; reportCount
	// counts the reports.
	state       string
	reportCount uint64
}

// soakUpstreamFaults are the faults of an upstream. Shares are probabilities from 0 to 1.
type soakUpstreamFaults struct {
	// Shed is the share of requests that are refused, Fail the share of those that are
	// answered with an error, and Slow the service time.
	Shed, Fail float64
	Slow       time.Duration
	// Reset is the share of requests that run but whose connection is reset without an
	// answer.
	Reset float64
}

func (u *soakUpstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h := platform.Headers
	u.mu.Lock()
	f, endless, cuts := u.faults, u.endless, u.cuts
	shed := rand.Float64() < f.Shed || r.Header.Get(h.Upstream) != u.Name || !u.slots.reserve()
	n := len(u.arrivals)
	u.arrivals = append(u.arrivals, arrival{at: u.now(), id: r.Header.Get(h.RequestID)})
	u.mu.Unlock()
	if shed {
		w.Header().Set(h.RequestID, r.Header.Get(h.RequestID))
		w.Header().Set(h.NotRun, "1")
		w.Header().Set(h.Load, u.slots.load())
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	u.slots.run(r.Context(), func() {
		u.mu.Lock()
		u.arrivals[n].ran = true
		u.mu.Unlock()
		if endless != nil && rand.Float64() < soakEndlessShare {
			u.serveEndless(w, r, endless)
			return
		}
		if cuts && rand.Float64() < soakCutShare {
			u.serveCut(w, r)
			return
		}
		u.serve(w, r, f)
	})
}

// serve runs a request under the given faults.
func (u *soakUpstream) serve(w http.ResponseWriter, r *http.Request, f soakUpstreamFaults) {
	h := platform.Headers
	select {
	case <-time.After(f.Slow + u.serviceTime()):
	case <-r.Context().Done():
		return
	}
	switch {
	case rand.Float64() < f.Reset:
		if c, _, err := http.NewResponseController(w).Hijack(); err == nil {
			resetConn(c)
		}
	case rand.Float64() < f.Fail:
		w.Header().Set(h.RequestID, r.Header.Get(h.RequestID))
		w.Header().Set(h.Stamp, u.Stamp(r.Header.Get(h.RequestID)))
		w.WriteHeader(http.StatusInternalServerError)
	default:
		u.Upstream.ServeHTTP(w, r)
	}
}

func (u *soakUpstream) setFaults(f soakUpstreamFaults) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.faults = f
}

func (u *soakUpstream) arrivalsSoFar() []arrival {
	u.mu.Lock()
	defer u.mu.Unlock()
	return slices.Clone(u.arrivals)
}

// addUpstream starts an upstream behind a link and reports it as ready.
func (s *soak) addUpstream(group, hall, body string) error {
	s.mu.Lock()
	n := len(s.upstreams)
	s.mu.Unlock()
	slots := newUpstreamSlots()
	u := &soakUpstream{
		Upstream: mock.Upstream{Name: fmt.Sprintf("u-%d", n), Body: body, Load: slots.load}, group: group, hall: hall, now: s.now,
		serviceTime: func() time.Duration { return time.Duration(s.serviceTime.Load()) }, slots: slots,
	}
	addr, err := s.serveLoopback(u)
	if err != nil {
		return err
	}
	if u.link, u.address, err = s.addLink(addr); err != nil {
		return err
	}
	s.mu.Lock()
	s.upstreams = append(s.upstreams, u)
	s.mu.Unlock()
	return s.setUpstreamState(u, "ready")
}

// setUpstreamState sets the state of an upstream and reports it to the store.
func (s *soak) setUpstreamState(u *soakUpstream, state string) error {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.state = state
	return s.sendReport(u)
}

// sendReport reports the state of an upstream to the store. It must be called with the
// upstream's mu locked.
func (s *soak) sendReport(u *soakUpstream) error {
	u.reportCount++
	return s.store.Report(u.Name, platform.Upstream{
		Group: u.group, Address: u.address, Hall: u.hall, Slots: soakSlots, State: u.state, Sequence: u.reportCount,
	})
}

// removeUpstream removes an upstream that has left from the store.
func (s *soak) removeUpstream(u *soakUpstream) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.state = ""
	s.store.Remove(platform.UpstreamPrefix + u.Name)
}

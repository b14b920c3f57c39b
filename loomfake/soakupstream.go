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

type arrival struct {
	at time.Duration
	id string
	// ran is false if the upstream turned it away.
	ran bool
}

type soakUpstream struct {
	mock.Upstream
	group   string
	hall    string
	link    *link
	address netip.AddrPort
	now     func() time.Duration

	mu     sync.Mutex
	faults soakUpstreamFaults
	// arrivals are in order of time.
	arrivals []arrival
	// leftAt is when it was listed as leaving; 0 if it was not.
	leavingAt time.Duration
	// state is what it last reported of itself, empty once it has left; reports counts
	// its reports.
	state       string
	reportCount uint64
}

type soakUpstreamFaults struct {
	// Shed and Fail are parts of the requests, 0 to 1; Slow is how long each
	// takes.
	Shed, Fail float64
	Slow       time.Duration
	// Reset is the part of requests that run and whose answer is lost.
	Reset float64
}

func (u *soakUpstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h := platform.Headers
	u.mu.Lock()
	f := u.faults
	shed := rand.Float64() < f.Shed || r.Header.Get(h.Upstream) != u.Name
	u.arrivals = append(u.arrivals, arrival{at: u.now(), id: r.Header.Get(h.RequestID), ran: !shed})
	u.mu.Unlock()
	if shed {
		w.Header().Set(h.RequestID, r.Header.Get(h.RequestID))
		w.Header().Set(h.NotRun, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	select {
	case <-time.After(f.Slow):
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

func (s *soak) addUpstream(group, hall, body string) error {
	s.mu.Lock()
	n := len(s.upstreams)
	s.mu.Unlock()
	u := &soakUpstream{Upstream: mock.Upstream{Name: fmt.Sprintf("u-%d", n), Body: body}, group: group, hall: hall, now: s.now}
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

// list has an upstream report its state to the store.
func (s *soak) setUpstreamState(u *soakUpstream, state string) error {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.state = state
	return s.sendReport(u)
}

// reportAgain writes what an upstream last said of itself. It needs the upstream's mu.
func (s *soak) sendReport(u *soakUpstream) error {
	u.reportCount++
	return s.store.Report(u.Name, platform.Upstream{
		Group: u.group, Address: u.address, Hall: u.hall, Slots: 4, State: u.state, Sequence: u.reportCount,
	})
}

// unlist takes an upstream that has left off the store.
func (s *soak) removeUpstream(u *soakUpstream) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.state = ""
	s.store.Remove(platform.UpstreamPrefix + u.Name)
}

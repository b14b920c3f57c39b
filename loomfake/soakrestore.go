package main

import (
	"context"
	"net/http"
	"slices"
	"time"

	"loomgap/platform"
)

// Times of a store that comes back from a copy, as the platform promises them.
const (
	// lostChanges is how many configurations the copy lacks at least: a store that lost
	// one change gives out its revision again at once.
	lostChanges = 5
	// restoreAway is how long the store is away before it comes back.
	restoreOutage = 300 * time.Millisecond
	// reportEvery is the time between two status reports of an upstream; within it one
	// that lives has reported itself to a store that came back.
	reportInterval = 1200 * time.Millisecond
	// silentReports is after how many reports that do not come the entry of an upstream
	// goes.
	maxMissedReports = 3
)

// restoreStore makes a copy of the store, and has it come back from that later. Then the
// operator and the upstreams write again what they wrote.
func restoreStore(ctx context.Context, s *soak) func() {
	old := s.store.Copy()
	for range lostChanges {
		s.must(s.publish())
	}
	return func() {
		s.recordStoreFault()
		s.store.Fail(http.StatusServiceUnavailable)
		time.Sleep(restoreOutage)
		s.store.Restore(old)
		s.store.Fail(0)
		s.recordStoreFault()
		s.rewriteState()
		s.removeExpired(ctx)
		s.recordStoreFault()
	}
}

// writeAgain has all that live write again what they last wrote, spread over the time
// between two reports.
func (s *soak) rewriteState() {
	s.mu.Lock()
	upstreams := slices.Clone(s.upstreams)
	s.mu.Unlock()
	for i, u := range upstreams {
		if i == len(upstreams)/2 {
			s.must(s.rewriteOperatorState())
		}
		u.mu.Lock()
		if u.state != "" {
			s.must(s.sendReport(u))
		}
		u.mu.Unlock()
		time.Sleep(reportInterval / time.Duration(len(upstreams)))
	}
}

// operateAgain writes the newest configuration and the evacuation again.
func (s *soak) rewriteOperatorState() error {
	s.publishMu.Lock()
	defer s.publishMu.Unlock()
	s.mu.Lock()
	doc, evacuated := s.document, s.evacuatedAt > 0
	s.mu.Unlock()
	if evacuated {
		if err := s.store.Put(platform.EvacuationPrefix+halls[0], struct{}{}); err != nil {
			return err
		}
	}
	return s.store.Put(platform.DocumentKey, doc)
}

// forgetSilent takes off the store the upstreams that have left and that the copy lists,
// once they have been silent for long enough.
func (s *soak) removeExpired(ctx context.Context) {
	sleepContext(ctx, (maxMissedReports-1)*reportInterval)
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, u := range s.upstreams {
		u.mu.Lock()
		if u.state == "" {
			s.store.Remove(platform.UpstreamPrefix + u.Name)
		}
		u.mu.Unlock()
	}
}

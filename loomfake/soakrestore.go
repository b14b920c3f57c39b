package main

import (
	"context"
	"net/http"
	"slices"
	"time"

	"loomgap/platform"
)

// Settings of a store restore, as the platform guarantees them.
const (
	// lostChanges is the number of configurations that are written after the backup and
	// lost. With only one, the store would reuse the lost revision at once.
	lostChanges = 5
	// restoreOutage is how long the store is unavailable before the restore.
	restoreOutage = 300 * time.Millisecond
	// reportInterval is the time between two status reports of an upstream, and thus the
	// time until all running upstreams have reported to a restored store.
	reportInterval = 1200 * time.Millisecond
	// maxMissedReports is the number of missed reports after which the entry of an
	// upstream is removed.
	maxMissedReports = 3
)

// restoreStore backs the store up and returns a function that restores the backup. After
// the restore, the operator and the upstreams write their state again.
func restoreStore(ctx context.Context, s *soak) func() {
	backup := s.store.Backup()
	for range lostChanges {
		s.must(s.publish())
	}
	return func() {
		s.recordStoreFault()
		s.store.Fail(http.StatusServiceUnavailable)
		time.Sleep(restoreOutage)
		s.store.Restore(backup)
		s.store.Fail(0)
		s.recordStoreFault()
		s.rewriteState()
		s.removeExpired(ctx)
		s.recordStoreFault()
	}
}

// rewriteState makes the operator and all running upstreams write their last state
// again, spread over a report interval.
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

// rewriteOperatorState writes the newest configuration and the evacuation again.
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

// removeExpired removes the upstreams that have left but are listed in the backup, once
// they have missed enough reports.
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

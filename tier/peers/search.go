package peers

import (
	"math"
	"slices"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"loomgap/tier/kernel"
)

// Search for a host that the platform serves. The platform may turn some hosts away and serve
// others, and no host can tell whether the platform is down or only turns this host away. So
// while no known host reads the platform, all hosts try it in turn:
//
//   - A turn is one read. Turns follow the ranking of all active hosts (readerRanking): a few at
//     first, then more and more, up to maxSearchRate. They depend on the time alone, so that
//     hosts that wait for a silent platform do not hold up the others.
//   - A host that is served becomes the announcer of its hall and the reader, however many hosts
//     that rank before it are turned away. Its announcement ends the search.
//   - The search repeats after searchPeriod, since the platform may come back for any host first.
//
// The reader that is turned away is not part of it: it keeps reading (outage). A host that starts
// reads at once, and takes turns like any other if that fails.

const (
	// takeoverTime is the time that the next announcers have to take over from one that fell silent
	// before a search begins.
	takeoverTime = announcerSpreadSteps * takeoverStep
	// searchStep is the time in which the number of hosts that have tried doubles, until their
	// rate reaches maxSearchRate.
	searchStep = 50 * time.Millisecond
	// maxSearchRate is the most turns per second of all hosts together: a fifth of the reads that
	// a platform of 2,000 reads per second allows.
	maxSearchRate = 400
	// minSearchPeriod is the time between two turns of a host. It leaves time for a change to
	// reach all hosts within its bound if the platform serves the last host that tries.
	minSearchPeriod = 2 * time.Second
	// turnDrift is how far a turn may move after this host has taken it: what hosts know of the last
	// read moves with each message by the time that the message took.
	turnDrift = 500 * time.Millisecond
	// repeatedSearchRate is the most turns per second of all hosts together, on average over a
	// period; it prolongs the period of a large fleet.
	repeatedSearchRate = 200
	// searchCheckInterval is how often a host checks whether the search begins once the last
	// known read is old.
	searchCheckInterval = 20 * time.Millisecond
)

// search decides when it is this host's turn to try the platform. It is used on the control
// thread. All times are since the process started.
type search struct {
	// triedAt is when this host last tried; 0 for never.
	triedAt time.Duration
	// refusedSince is when this host was first turned away in the current search; 0 if it was not.
	refusedSince time.Duration
	// searching is true from when this host learns that no known host reads the platform until
	// one does.
	searching bool
	// answersNobody is true once every host has had its turn since then.
	answersNobody bool
}

// searchTurn is the result of check.
type searchTurn struct {
	// isDue is true if this host has to try now.
	isDue bool
	// next is how long to wait until the next check.
	next time.Duration
}

// check reports whether this host has to try the platform now. It is called while the host does
// not read.
func (f *search) check(k *kernel.Kernel, s *kernel.State) searchTurn {
	now := k.Now()
	if now < secondReadAt(k.Settings.Host) {
		return searchTurn{next: roleCheckInterval}
	}
	since := unreadSince(s, &k.Settings)
	f.note(k, s, now >= since)
	if now < since {
		return searchTurn{next: nextCheck(k, s, since-now)}
	}
	rank, hosts := newReaderRanking(s, &k.Settings).position()
	f.noteAnswersNobody(k, s, since+searchPeriod(hosts), hosts)
	turn := currentTurn(now, since+searchOffset(rank), searchPeriod(hosts))
	switch {
	case turn > now:
		return searchTurn{next: nextCheck(k, s, turn-now)}
	case f.triedAt > 0 && f.triedAt >= turn-turnDrift:
		return searchTurn{next: nextCheck(k, s, turn+searchPeriod(hosts)-now)}
	}
	f.triedAt = now
	metrics.GetOrCreateCounter("loomgap_platform_search_reads_total").Inc()
	return searchTurn{isDue: true}
}

// note logs when a search begins and ends.
func (f *search) note(k *kernel.Kernel, s *kernel.State, searching bool) {
	if searching == f.searching {
		return
	}
	f.searching, f.refusedSince, f.answersNobody = searching, 0, false
	if searching {
		rank, hosts := newReaderRanking(s, &k.Settings).position()
		k.Log.Info().Int("Rank", rank).Int("Hosts", hosts).Strs("Lost", announcersThat(s, hasLost)).Int64("PlatformAgeMillis", (k.Now() - s.PlatformReadAt).Milliseconds()).
			Msg("no known host reads the platform, hosts try in turn")
		return
	}
	k.Log.Info().Strs("Answered", announcersThat(s, isAnswered(k.Now()))).Int64("PlatformAgeMillis", (k.Now() - s.PlatformReadAt).Milliseconds()).
		Msg("platform answers a known host")
}

// refused records that the platform turned this host away, and logs the first time.
func (f *search) refused(k *kernel.Kernel, s *kernel.State, err error) {
	metrics.GetOrCreateCounter("loomgap_platform_search_refused_total").Inc()
	if f.refusedSince > 0 {
		return
	}
	f.refusedSince = k.Now()
	k.Log.Warn().Err(err).Int64("PlatformAgeMillis", (k.Now() - s.PlatformReadAt).Milliseconds()).
		Msg("platform does not answer this host, others may be served")
}

// noteAnswersNobody logs once that every host has had its turn and none has announced a read, which
// is the only way to know that the platform is away for all of them.
func (f *search) noteAnswersNobody(k *kernel.Kernel, s *kernel.State, from time.Duration, hosts int) {
	if f.answersNobody || k.Now() < from {
		return
	}
	f.answersNobody = true
	k.Log.Warn().Int("Hosts", hosts).Strs("Lost", announcersThat(s, hasLost)).Int64("PlatformAgeMillis", (k.Now() - s.PlatformReadAt).Milliseconds()).
		Msg("platform answers no known host, each has tried")
}

// hasLost reports whether an announcer says that the platform does not answer it.
func hasLost(a *kernel.AnnouncerReport) bool { return a.PlatformDown }

// isAnswered returns whether an announcer says that the platform answers it, or a reader that it
// hears.
func isAnswered(now time.Duration) func(*kernel.AnnouncerReport) bool {
	return func(a *kernel.AnnouncerReport) bool { return a.AnsweredUntil > now }
}

// announcersThat returns the names of the matching announcers of this hall and readers of others.
func announcersThat(s *kernel.State, match func(*kernel.AnnouncerReport) bool) []string {
	var out []string
	for _, reports := range []map[string]kernel.AnnouncerReport{s.HallAnnouncers, s.OtherReaders} {
		for h, a := range reports {
			if match(&a) {
				out = append(out, h)
			}
		}
	}
	slices.Sort(out)
	return slices.Compact(out)
}

// unreadSince returns the time from which on no known host reads the platform: the last known
// read is too old, and no announcer claims that it, or the reader that it hears, is answered. One
// that fell silent may have a successor.
func unreadSince(s *kernel.State, settings *kernel.Settings) time.Duration {
	since := s.PlatformReadAt + maxReadAge(settings)
	for _, reports := range []map[string]kernel.AnnouncerReport{s.HallAnnouncers, s.OtherReaders} {
		for _, a := range reports {
			until := a.AnsweredUntil
			if !a.PlatformDown {
				until += takeoverTime
			}
			since = max(since, until)
		}
	}
	return since
}

// nextCheck returns how long to wait if nothing is to be done for a time. An announcement of the
// loss of the platform shortens that, which is possible once the last known read is old.
func nextCheck(k *kernel.Kernel, s *kernel.State, wait time.Duration) time.Duration {
	untilOld := s.PlatformReadAt + maxReadAge(&k.Settings) - k.Now()
	return min(wait, max(untilOld, searchCheckInterval), roleCheckInterval)
}

// searchOffset returns how long after the begin of a search the host of a rank tries, from 0.
func searchOffset(rank int) time.Duration {
	const interval = time.Second / maxSearchRate
	// steady is the rank from which on the doubling would exceed maxSearchRate.
	steady := int(math.Floor(float64(searchStep) / float64(interval) / math.Ln2))
	doubling := time.Duration(math.Log2(float64(min(rank, steady)+1)) * float64(searchStep))
	return doubling + time.Duration(max(rank-steady, 0))*interval
}

// searchPeriod returns the time between two turns of each of a number of hosts.
func searchPeriod(hosts int) time.Duration {
	return max(minSearchPeriod, time.Duration(hosts)*time.Second/repeatedSearchRate)
}

// currentTurn returns the latest of the times first, first+period, ... that has passed, or first.
func currentTurn(now, first, period time.Duration) time.Duration {
	return first + max(now-first, 0)/period*period
}

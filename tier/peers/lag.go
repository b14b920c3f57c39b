package peers

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"loomgap/tier/config"
	"loomgap/tier/kernel"
)

// Readers that lag behind. The platform may answer a reader with an older state, without an error,
// and nobody but the reader asks it. So an answer is a sign of life only if it is as new as what is
// known:
//
//   - A few hosts that do not read ask the platform now and then for its newest position alone
//     (lagCheck). If no known reader has been shown that position within lagGrace, the host reads the
//     platform itself, as in its turn of a search (search.go). If that shows more than the readers
//     know, it overtakes them for overtakeTime.
//   - A reader whose call shows less than what this host knew when the call began takes that for a
//     failed call (isBehind). It then loses the platform, as any reader that is not answered.

const (
	// lagCheckInterval is the mean time between two checks of a host.
	lagCheckInterval = time.Second
	// lagCheckers is how many hosts check: several, since the platform may answer some of them with an
	// older state too.
	lagCheckers = 6
	// lagGrace is how long news may take from a reader to any host that knows it: the pause after a
	// change and an announcement interval on each of the two ways, and the messages.
	lagGrace = changeDebounce + 2*announceInterval + 100*time.Millisecond
	// overtakeTime is how long a host that was shown more than the readers leaves them to notice.
	overtakeTime = 3 * time.Second
	// upheldTime is how long what is known counts against the platform's own answers without
	// another host that it answers. Without such a limit, a platform that comes back from a copy
	// without saying so would be lost for good.
	upheldTime = 10 * time.Second
)

// lagCheckKey is the rendezvous hashing key by which hosts are chosen for the checks. The order differs
// from that in which they read.
const lagCheckKey = "lag check"

// errBehind is the error of a call whose answer is older than what was known before it.
var errBehind = errors.New("platform answered with an older state")

// lagCheck finds out whether the known readers lag behind the platform. Its fields are used on the
// control thread.
type lagCheck struct {
	kernel *kernel.Kernel
	source kernel.Source
	// newer is the newest position that the platform has shown to checks and to no known reader,
	// since newerSince.
	newer      config.Position
	newerSince time.Duration
}

// loop checks until the context is done, at times that are spread over the hosts.
func (l *lagCheck) loop(ctx context.Context) {
	for ctx.Err() == nil {
		kernel.Sleep(ctx, lagCheckInterval*3/4+rand.N(lagCheckInterval/2))
		if ctx.Err() == nil && l.isNeeded() {
			l.check(ctx)
		}
	}
}

// isNeeded reports whether this host checks. Readers know from their own calls, and while no known
// reader is answered, the hosts search for one.
func (l *lagCheck) isNeeded() (needed bool) {
	l.kernel.DoAndWait(func(s *kernel.State) {
		answered := l.kernel.Now() < unreadSince(s, &l.kernel.Settings)
		needed = !s.Reading && s.Directory != nil && answered && isLagChecker(s, l.kernel.Settings.Host)
	})
	return needed
}

// isLagChecker reports whether a host is one of the lagCheckers among the active hosts of all halls.
func isLagChecker(s *kernel.State, host string) bool {
	hosts := []string{host}
	for n, m := range s.Members {
		if m.Active() {
			hosts = append(hosts, n)
		}
	}
	ranked := Rank(lagCheckKey, hosts)
	return slices.Contains(ranked[:min(len(ranked), lagCheckers)], host)
}

func (l *lagCheck) check(ctx context.Context) {
	metrics.GetOrCreateCounter("loomgap_platform_lag_checks_total").Inc()
	at, err := l.source.Newest(ctx)
	if err != nil {
		l.kernel.Log.Debug().Err(err).Msg("failed to read newest position of platform")
		return
	}
	l.kernel.Do(func(s *kernel.State) { l.note(s, at) })
}

// note records a position that the platform has reached.
func (l *lagCheck) note(s *kernel.State, at config.Position) {
	if at.Compare(s.ShownPosition) <= 0 || l.newerSince > 0 {
		return
	}
	l.newer, l.newerSince = at, l.kernel.Now()
}

// isDue reports whether this host has to read the platform because the known readers lag behind. It
// runs on the control thread.
func (l *lagCheck) isDue(s *kernel.State) bool {
	if l.newerSince == 0 {
		return false
	}
	if l.newer.Compare(s.ShownPosition) <= 0 {
		l.newerSince = 0
		return false
	}
	if l.kernel.Now()-l.newerSince < lagGrace {
		return false
	}
	l.newerSince = 0
	metrics.GetOrCreateCounter("loomgap_platform_lags_total").Inc()
	l.kernel.Log.Warn().Uint64("DirectoryEra", s.ShownPosition.Era).Uint64("DirectoryRevision", s.ShownPosition.Revision).
		Uint64("NewestRevision", l.newer.Revision).Strs("Answered", announcersThat(s, isAnswered(l.kernel.Now()))).
		Msg("readers of the platform lag behind it")
	return true
}

// knownBefore returns the position that an answer to a call that begins now has to show. There is
// none, the zero position, if no other host is known to be answered.
func knownBefore(s *kernel.State, now time.Duration) config.Position {
	for _, reports := range []map[string]kernel.AnnouncerReport{s.HallAnnouncers, s.OtherReaders} {
		for _, a := range reports {
			if a.AnsweredUntil > 0 && now-a.AnsweredUntil < upheldTime {
				return s.ShownPosition
			}
		}
	}
	return config.Position{}
}

// isBehind reports whether an answer shows less than what was known when its call began.
func isBehind(answer, known config.Position) bool {
	return answer.Era == known.Era && answer.Revision < known.Revision
}

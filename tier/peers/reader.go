package peers

import (
	"cmp"
	"time"

	"github.com/cespare/xxhash/v2"

	"loomgap/tier/kernel"
	"loomgap/tier/policy"
)

// Election of the hosts that read the platform and announce its content, if an adapter is set:
//
//   - Hosts are ranked (readerRanking). In each hall, the highest ranked working host is the
//     announcer: it announces the platform's content to its hall. The highest ranked announcer
//     of all halls is the reader: it reads the platform and also announces to other halls.
//   - The next host takes over if no announcement arrives for announcerTimeout. It first waits one
//     takeoverStep for each live host that ranks before it. So partitioned halls have a reader
//     each.
//   - An announcer that the platform does not answer reports that and keeps its role, until a
//     host that the platform serves announces. The hosts search for one (search.go).
//   - Each change of a host's role is logged as "platform reader role changed": Tells is
//     whether it announces to its hall, Reads whether it reads the platform.

const (
	// announcerTimeout is the time without announcements after which another host takes over;
	// it is longer than three announcement intervals. Even if the reader fails, a change must
	// take effect within seconds.
	announcerTimeout = 1300 * time.Millisecond
	// takeoverStep is how long a host waits, before it takes over, for each host that ranks
	// before it. Without it, all hosts of a hall would take over at once and delay requests by
	// announcing to each other.
	takeoverStep = 50 * time.Millisecond
	// maxTakeoverSteps limits the steps that a host waits.
	maxTakeoverSteps = 20
	// announcerSpreadSteps is the number of steps over which the takeover by announcers of
	// different halls is spread, since they do not know each other's rank.
	announcerSpreadSteps = 5
	// minSecondReadAge is the process age from which on a starting host may read the platform
	// again. The first read may be stale, which is cheaper, and has to be verified. By this
	// age hosts have exchanged three heartbeats, so that of many hosts that start together
	// only a few verify their first read at the platform. Without the wait, 295 hosts that
	// started together made some 295 calls.
	minSecondReadAge = 300 * time.Millisecond
	// secondReadSpread is the time over which the second reads of starting hosts are spread.
	// It ends before a change has to take effect.
	secondReadSpread = 1200 * time.Millisecond
	// maxAnswerDelay is how long the answer to a watch may take beyond its wait, for a
	// platform that is 60 times slower than its usual 4 ms, and a busy host.
	maxAnswerDelay = 500 * time.Millisecond
)

// watchKey is the rendezvous hashing key by which hosts are ranked for reading the platform.
const watchKey = "watch"

// maxReadAge is the age of the last successful read up to which a host counts as a reader.
func maxReadAge(s *kernel.Settings) time.Duration { return s.WatchWait + maxAnswerDelay }

// updateRole updates whether this host announces and reads, logs a change, and reports
// whether there was one. It runs on the control thread.
func updateRole(k *kernel.Kernel, s *kernel.State) bool {
	announces, reads := decideRole(k, s)
	if !announces {
		s.FoundAt = 0
	}
	changed := announces != s.Announcing || reads != s.Reading
	if changed {
		s.Announcing, s.Reading = announces, reads
		s.Changed()
		k.Log.Info().Bool("Tells", announces).Bool("Reads", reads).
			Int64("PlatformAgeMillis", (k.Now() - s.PlatformReadAt).Milliseconds()).Msg("platform reader role changed")
	}
	if !reads && s.Directory != nil {
		// PlatformDown is only for a host that should read.
		s.PlatformDown = false
	}
	return changed
}

// decideRole decides whether this host announces to its hall what is published, and whether
// it reads that from the platform. It depends on the members, the last announcement of each
// announcer, and the age of this process. A host without a directory reads at once and does
// not announce, since others know more; if that fails, it takes turns (search.go). It runs on the
// control thread.
func decideRole(k *kernel.Kernel, s *kernel.State) (announces, reads bool) {
	if s.Directory == nil {
		return false, !s.RefusedAtStart
	}
	now := k.Now()
	if now < secondReadAt(k.Settings.Host) {
		return false, false
	}
	r := newReaderRanking(s, &k.Settings)
	if !r.isFirst(now, s.HallAnnouncers, r.countRankedBefore(s, now)) {
		return false, false
	}
	spread := int(xxhash.Sum64String(k.Settings.Host) % announcerSpreadSteps)
	return true, r.isFirst(now, s.OtherReaders, spread)
}

// secondReadAt is the process age from which on a host may read the platform again after its
// first read. The host with the lowest value announces to the others before they read.
func secondReadAt(host string) time.Duration {
	return minSecondReadAge + time.Duration(xxhash.Sum64String("start "+host)%uint64(secondReadSpread))
}

// readerRanking ranks hosts for reading the platform and announcing its content by
// policy.HostRank: strong hosts first, since an announcer sends each change to all hosts of its
// hall.
type readerRanking struct {
	settings *kernel.Settings
	members  map[string]kernel.Member
	// maxCapacity is the largest capacity of all hosts.
	maxCapacity int
	// servedUntil is when the last read of this host becomes too old, if a search made it the
	// reader; 0 if not. overtakesUntil is as in kernel.ReadingState.
	servedUntil, overtakesUntil time.Duration
}

func newReaderRanking(s *kernel.State, settings *kernel.Settings) *readerRanking {
	r := &readerRanking{settings: settings, members: s.Members, maxCapacity: settings.Capacity()}
	for _, m := range s.Members {
		r.maxCapacity = max(r.maxCapacity, m.Capacity)
	}
	if s.FoundAt > 0 {
		r.servedUntil, r.overtakesUntil = s.OwnReadAt+maxReadAge(settings), s.OvertakesUntil
	}
	return r
}

// compare orders two hosts, the higher ranked first.
func (r *readerRanking) compare(a, b string) int {
	return policy.HostRank{Key: watchKey, Strongest: r.maxCapacity}.Compare(r.candidate(a), r.candidate(b))
}

// candidate describes a host. One of unknown capacity is assumed to have that of this host.
func (r *readerRanking) candidate(host string) policy.Candidate {
	return policy.Candidate{Host: host, Capacity: cmp.Or(r.members[host].Capacity, r.settings.Capacity())}
}

func (r *readerRanking) ranksBefore(host string) bool { return r.compare(host, r.settings.Host) < 0 }

// position returns the rank of this host among the active hosts of all halls, from 0, and their
// number.
func (r *readerRanking) position() (rank, hosts int) {
	hosts = 1
	for host, m := range r.members {
		if !m.Active() {
			continue
		}
		hosts++
		if r.ranksBefore(host) {
			rank++
		}
	}
	return rank, hosts
}

// countRankedBefore counts the active hosts of the hall that rank before this one and may take
// over before it: all but those that have announced lately, and whose failure left the role
// vacant.
func (r *readerRanking) countRankedBefore(s *kernel.State, now time.Duration) int {
	n := 0
	for host, m := range s.Members {
		a, announced := s.HallAnnouncers[host]
		lately := announced && now-a.At < 2*announcerTimeout
		if m.Active() && m.Hall == r.settings.Hall && !lately && r.ranksBefore(host) {
			n++
		}
	}
	return n
}

// isFirst reports whether this host is the highest ranked working announcer: no host that
// ranks before it has announced within announcerTimeout, and the given number of takeover steps
// has passed since the last of them failed. If a search has shown that the platform serves this
// host, only hosts that the platform answers count, and there are no steps; none count while this
// host overtakes them.
func (r *readerRanking) isFirst(now time.Duration, announcers map[string]kernel.AnnouncerReport, steps int) bool {
	served := now < r.servedUntil
	if served && now < r.overtakesUntil {
		return true
	}
	vacantSince := time.Duration(0)
	for host, a := range announcers {
		switch {
		case !r.ranksBefore(host):
		case now-a.At >= announcerTimeout:
			vacantSince = max(vacantSince, a.At+announcerTimeout)
		case !served || !a.PlatformDown:
			return false
		}
	}
	wait := time.Duration(min(steps, maxTakeoverSteps)) * takeoverStep
	return served || now-vacantSince >= wait
}

package peers

import (
	"cmp"
	"time"

	"github.com/cespare/xxhash/v2"

	"loomgap/tier/kernel"
	"loomgap/tier/policy"
)

// Which host reads the platform, if an adapter is set.
//
// Hosts are ranked (readerRanking). In each hall, the first host among those whose
// announcements arrive announces to its hall what is published. The first of all announcers
// reads the platform, and also announces to the other halls. So a hall reads the platform
// itself if no announcement of a reader in another hall arrives for announcerTimeout (the
// halls are partitioned, or that reader is gone), or if that reader announces that the
// platform does not answer it. Before it takes over, a host waits one step for each live host
// that ranks before it. At most maxFailedReaders hosts try a platform that does not answer.
//
// Each change of a host's role is logged as "platform reader role changed": Tells is whether it
// announces to its hall, Reads whether it reads the platform.

const (
	// announcerTimeout is how long a host goes without announcements before another takes
	// over; it is longer than three announcement intervals. Even if the reader fails, a change
	// must be in force within seconds.
	announcerTimeout = 1300 * time.Millisecond
	// takeoverStep is how long each host of a hall waits for each host that ranks before it,
	// once nobody announces any more. Without it, all hosts of a hall would take over at once
	// and delay requests by announcing to each other.
	takeoverStep = 50 * time.Millisecond
	// maxTakeoverSteps limits the steps that a host waits.
	maxTakeoverSteps = 20
	// announcerSpreadSteps is the number of steps over which the takeover by announcers of
	// different halls is spread, since they do not know each other's rank.
	announcerSpreadSteps = 5
	// maxFailedReaders is how many hosts of a hall, or halls, try to read a platform that
	// does not answer: it may refuse some hosts and serve others.
	maxFailedReaders = 3
	// minSecondReadAge is the age of a starting host from which on it may read the platform
	// again. The first read may be stale, since a stale one is cheaper. By this age, hosts
	// have exchanged heartbeats, so that not each of many hosts that start together verifies
	// its first read at the platform.
	minSecondReadAge = 300 * time.Millisecond
	// secondReadSpread is the time over which the second reads of starting hosts are spread.
	// It ends before a change has to be in force.
	secondReadSpread = 1200 * time.Millisecond
	// maxAnswerDelay is how long the answer to a watch may take beyond its wait, for a slow
	// platform and a busy host.
	maxAnswerDelay = 500 * time.Millisecond
)

// watchKey is the rendezvous hashing key by which hosts are ranked for reading the platform.
const watchKey = "watch"

// maxReadAge is the age of its last read up to which a host counts as a reader.
func maxReadAge(s *kernel.Settings) time.Duration { return s.WatchWait + maxAnswerDelay }

// updateRole updates whether this host announces and reads, logs a change, and reports
// whether there was one. It runs on the control thread.
func updateRole(k *kernel.Kernel, s *kernel.State) bool {
	announces, reads := decideRole(k, s)
	changed := announces != s.Announcing || reads != s.Reading
	if changed {
		s.Announcing, s.Reading = announces, reads
		s.Changed()
		k.Log.Info().Bool("Tells", announces).Bool("Reads", reads).
			Int64("PlatformAgeMillis", (k.Now() - s.PlatformReadAt).Milliseconds()).Msg("platform reader role changed")
	}
	if !reads {
		// Other hosts read for this one.
		s.PlatformDown = false
	}
	return changed
}

// decideRole decides whether this host announces to its hall what is published, and whether
// it reads that from the platform. It depends on the members, the last announcement of each
// announcer, and the age of this process. A host without a directory reads at once and does
// not announce, since others know more. It runs on the control thread.
func decideRole(k *kernel.Kernel, s *kernel.State) (announces, reads bool) {
	if s.Directory == nil {
		return false, true
	}
	now := k.Now()
	if now < secondReadAt(k.Settings.Host) {
		return false, false
	}
	r := newReaderRanking(s, &k.Settings)
	if !r.isFirst(now, s.HallAnnouncers, r.countRankedBefore(s)) {
		return false, false
	}
	spread := int(xxhash.Sum64String(k.Settings.Host) % announcerSpreadSteps)
	return true, r.isFirst(now, s.OtherReaders, spread)
}

// secondReadAt is the age from which on a host may read the platform again after its first
// read. The host with the smallest one announces to the others before they read.
func secondReadAt(host string) time.Duration {
	return minSecondReadAge + time.Duration(xxhash.Sum64String("start "+host)%uint64(secondReadSpread))
}

// readerRanking ranks hosts for reading the platform and announcing what was read: by
// capacity first, since each change is sent to all hosts of a hall, then by rendezvous
// hashing.
type readerRanking struct {
	settings *kernel.Settings
	members  map[string]kernel.Member
	// strongest is the largest capacity of all hosts.
	strongest int
}

func newReaderRanking(s *kernel.State, settings *kernel.Settings) *readerRanking {
	r := &readerRanking{settings: settings, members: s.Members, strongest: settings.Capacity()}
	for _, m := range s.Members {
		r.strongest = max(r.strongest, m.Capacity)
	}
	return r
}

// compare orders two hosts, the higher ranked first.
func (r *readerRanking) compare(a, b string) int {
	return cmp.Or(
		cmp.Compare(r.capacityClass(a), r.capacityClass(b)),
		cmp.Compare(policy.RendezvousHash(watchKey, a), policy.RendezvousHash(watchKey, b)),
		cmp.Compare(a, b),
	)
}

// capacityClass is 0 for a strong host and 1 for another. A host of unknown capacity counts
// as strong as this one.
func (r *readerRanking) capacityClass(host string) int {
	capacity := cmp.Or(r.members[host].Capacity, r.settings.Capacity())
	if policy.IsCoordinator(capacity, r.strongest) {
		return 0
	}
	return 1
}

func (r *readerRanking) ranksBefore(host string) bool { return r.compare(host, r.settings.Host) < 0 }

// countRankedBefore counts the active hosts of the hall that rank before this one and have
// never announced: each of them is given time to take over first.
func (r *readerRanking) countRankedBefore(s *kernel.State) int {
	n := 0
	for host, m := range s.Members {
		_, announced := s.HallAnnouncers[host]
		if m.Active() && m.Hall == r.settings.Hall && !announced && r.ranksBefore(host) {
			n++
		}
	}
	return n
}

// isFirst reports whether this host is first among the announcers: no host that ranks before
// it has announced within announcerTimeout that the platform answers it, fewer than
// maxFailedReaders of them announce that it does not, and the takeover steps have passed
// since the last of them failed.
func (r *readerRanking) isFirst(now time.Duration, announcers map[string]kernel.AnnouncerReport, steps int) bool {
	failedReaders := 0
	vacantSince := time.Duration(0)
	for host, a := range announcers {
		if !r.ranksBefore(host) {
			continue
		}
		switch {
		case now-a.At >= announcerTimeout:
			vacantSince = max(vacantSince, a.At+announcerTimeout)
		case a.PlatformDown:
			failedReaders++
			vacantSince = max(vacantSince, a.Since)
		default:
			return false
		}
	}
	wait := time.Duration(min(steps, maxTakeoverSteps)) * takeoverStep
	return failedReaders < maxFailedReaders && now-vacantSince >= wait
}

package peers

import (
	"cmp"
	"time"

	"github.com/cespare/xxhash/v2"

	"loomgap/tier/kernel"
	"loomgap/tier/policy"
)

// Which host reads the platform, where an adapter is set.
//
// Hosts are ranked (readerRanking). In each hall the first host, among those whose
// announcements arrive, announces to its hall what is published; the first of all that
// announce reads the platform, and announces to the other halls too. So a hall reads the
// platform itself if no announcement of a reader in another hall arrives for announceLost
// (the halls are cut off, or that reader is gone), or if that reader announces that the
// platform does not answer it. A host that takes over waits a step for each live one that
// ranks before it, and no more than failedReadersMost try a platform that does not
// answer.
//
// Each change of a host's role is the log line "turn to read the platform"; Tells is
// whether it announces to its hall, Reads whether it reads the platform.

const (
	// announceLost is how long a host goes without announcements before another takes over:
	// three lost messages. A change must be in force within seconds though the reader is
	// gone.
	announcerTimeout = 1300 * time.Millisecond
	// takeoverStep is how long each host of a hall waits for each one ranked before it,
	// once nobody announces any more. Without it, all hosts of a hall take over at once
	// and hold up requests by announcing to one another.
	takeoverStep = 50 * time.Millisecond
	// takeoverStepsMost is the most steps that a host waits: a second.
	maxTakeoverSteps = 20
	// spreadSteps is over how many steps the announcers of several halls are spread: they
	// do not know how they rank among one another.
	announcerSpreadSteps = 5
	// failedReadersMost is how many hosts of a hall, or halls, try to read a platform that
	// does not answer: it may turn some hosts away and serve others.
	maxFailedReaders = 3
	// secondReadLeast is the least age of a starting host at which it may read the
	// platform beyond its first read, which may be an old one since an old one costs a
	// tenth: by then hosts have met, in three heartbeats. Without this wait each of 295
	// hosts that start together asks the platform whether its first read was old, some
	// 295 calls a start.
	minSecondReadAge = 300 * time.Millisecond
	// secondReadSpread is over how long the second reads of starting hosts are spread; it
	// ends before a change is due.
	secondReadSpread = 1200 * time.Millisecond
	// slowAnswer is how long the answer to a watch may take beyond the time that the
	// watch waits: that of a platform 60 times slower than its 4 ms, and a busy host.
	maxAnswerDelay = 500 * time.Millisecond
)

// watchKey is what hosts are ranked for by rendezvous hashing.
const watchKey = "watch"

// staleAfter is the age of a reader's last read from which on it does not count as one.
func maxReadAge(s *kernel.Settings) time.Duration { return s.WatchWait + maxAnswerDelay }

// updateRole decides anew whether this host announces and reads, and logs a change; it
// returns true if there was one. It runs on the control thread.
func updateRole(k *kernel.Kernel, s *kernel.State) bool {
	announces, reads := decideRole(k, s)
	changed := announces != s.Announcing || reads != s.Reading
	if changed {
		s.Announcing, s.Reading = announces, reads
		s.Changed()
		k.Log.Info().Bool("Tells", announces).Bool("Reads", reads).
			Int64("PlatformAgeMillis", (k.Now() - s.PlatformReadAt).Milliseconds()).Msg("turn to read the platform")
	}
	if !reads {
		// Others read for this host.
		s.PlatformDown = false
	}
	return changed
}

// roleOf decides whether this host is to announce to its hall what is published, and
// whether it is to read that from the platform. Its inputs are the members, the last
// announcement of each host that announces, and the age of this process. A host that
// knows of nothing yet reads at once, and announces nothing: others know more. It runs on
// the control thread.
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

// secondReadAt is the age from which on a host may read the platform beyond its first
// read. The one whose time comes first announces to the others before theirs comes.
func secondReadAt(host string) time.Duration {
	return minSecondReadAge + time.Duration(xxhash.Sum64String("start "+host)%uint64(secondReadSpread))
}

// readerRanking orders hosts for reading the platform and announcing what was read:
// stronger ones first, since each change goes to all hosts of a hall, then by
// rendezvous hashing.
type readerRanking struct {
	settings *kernel.Settings
	members  map[string]kernel.Member
	// strongest is the greatest capacity of all hosts.
	strongest int
}

func newReaderRanking(s *kernel.State, settings *kernel.Settings) *readerRanking {
	r := &readerRanking{settings: settings, members: s.Members, strongest: settings.Capacity()}
	for _, m := range s.Members {
		r.strongest = max(r.strongest, m.Capacity)
	}
	return r
}

// compare orders two hosts, the better first.
func (r *readerRanking) compare(a, b string) int {
	return cmp.Or(
		cmp.Compare(r.capacityClass(a), r.capacityClass(b)),
		cmp.Compare(policy.RendezvousHash(watchKey, a), policy.RendezvousHash(watchKey, b)),
		cmp.Compare(a, b),
	)
}

// weakness is 0 for a strong host and 1 for another. One that is not known counts as
// strong as this one.
func (r *readerRanking) capacityClass(host string) int {
	capacity := cmp.Or(r.members[host].Capacity, r.settings.Capacity())
	if policy.IsCoordinator(capacity, r.strongest) {
		return 0
	}
	return 1
}

func (r *readerRanking) ranksBefore(host string) bool { return r.compare(host, r.settings.Host) < 0 }

// hostsBefore counts the live hosts of the hall that rank before this one and have
// never announced: each has its time to take over before.
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

// isFirst reports whether this host is first among those that announce: no host that
// ranks before it has announced within announceLost that the platform answers it, fewer
// than failedReadersMost of them announce that it does not, and so many takeover steps
// have passed since the last of them was found lost.
func (r *readerRanking) isFirst(now time.Duration, announcers map[string]kernel.AnnouncerReport, steps int) bool {
	failing := 0
	vacantAt := time.Duration(0)
	for host, a := range announcers {
		if !r.ranksBefore(host) {
			continue
		}
		switch {
		case now-a.At >= announcerTimeout:
			vacantAt = max(vacantAt, a.At+announcerTimeout)
		case a.PlatformDown:
			failing++
			vacantAt = max(vacantAt, a.Since)
		default:
			return false
		}
	}
	wait := time.Duration(min(steps, maxTakeoverSteps)) * takeoverStep
	return failing < maxFailedReaders && now-vacantAt >= wait
}

package peers

import (
	"cmp"
	"time"

	"github.com/cespare/xxhash/v2"

	"loomgap/tier/kernel"
	"loomgap/tier/policy"
)

// Times and numbers of those that read the platform.
const (
	// announceLost is how long a host goes without announcements before another
	// takes over: three lost messages. A change must be in force within seconds
	// though the reader is gone.
	announceLost = 1300 * time.Millisecond
	// takeoverStep is how long each host of a hall waits for the one ranked before
	// it, once nobody announces any more, and takeoverSteps how many steps it waits
	// at most. It prevents a hall from taking over as one: 49 hosts that announced
	// to one another held up requests for two seconds when the platform was away.
	takeoverStep  = 50 * time.Millisecond
	takeoverSteps = 20
	// spreadSteps is over how many steps the announcers of several halls are
	// spread, who do not know how they rank.
	spreadSteps = 5
	// failedReadersMost is how many hosts of a hall, or halls, try to read a platform
	// that does not answer: it may turn some hosts away and serve others.
	failedReadersMost = 3
	// firstTurnLeast and firstTurnSpread are the ages from which on hosts that
	// start read the platform beyond their first read, an old one that costs a
	// tenth: later than hosts have met (three heartbeats), earlier than a change is
	// due. Without it each of 295 hosts that start together asked the platform
	// whether its first read was old, some 295 calls a start.
	firstTurnLeast  = 300 * time.Millisecond
	firstTurnSpread = 1200 * time.Millisecond
)

// rolesOf reports whether this host is to tell its hall what is published, and
// whether it is to read that from the platform; it runs on the control thread. A
// host that knows of nothing yet reads at once.
func rolesOf(k *kernel.Kernel, s *kernel.State) (tells, reads bool) {
	if s.Directory == nil {
		return true, true
	}
	now := k.Now()
	if now < firstTurn(k.Settings.Host) {
		return false, false
	}
	r := newReaders(s, &k.Settings)
	if !r.leads(now, s.HallAnnouncers, r.waitsFor(s)) {
		return false, false
	}
	spread := int(xxhash.Sum64String(k.Settings.Host) % spreadSteps)
	return true, r.leads(now, s.OtherReaders, spread)
}

// firstTurn is the age from which on a host may read the platform beyond its first
// read. The one whose turn comes first tells the others before theirs comes.
func firstTurn(host string) time.Duration {
	return firstTurnLeast + time.Duration(xxhash.Sum64String("start "+host)%uint64(firstTurnSpread))
}

// readers ranks hosts for reading the platform and announcing what was read:
// stronger ones first, since each change goes to all hosts of a hall, then by
// rendezvous hashing.
type readers struct {
	settings *kernel.Settings
	members  map[string]kernel.Member
	// strongest is the greatest capacity of all hosts.
	strongest int
}

func newReaders(s *kernel.State, settings *kernel.Settings) *readers {
	r := &readers{settings: settings, members: s.Members, strongest: settings.Capacity()}
	for _, m := range s.Members {
		r.strongest = max(r.strongest, m.Capacity)
	}
	return r
}

// compare orders two hosts, the better first.
func (r *readers) compare(a, b string) int {
	return cmp.Or(
		cmp.Compare(r.weakness(a), r.weakness(b)),
		cmp.Compare(rankHash(watchKey, a), rankHash(watchKey, b)),
		cmp.Compare(a, b),
	)
}

// weakness is 0 for a strong host and 1 for another. One that is not known counts
// for as strong as this one.
func (r *readers) weakness(host string) int {
	capacity := cmp.Or(r.members[host].Capacity, r.settings.Capacity())
	if policy.IsCoordinator(capacity, r.strongest) {
		return 0
	}
	return 1
}

func (r *readers) isBefore(host string) bool { return r.compare(host, r.settings.Host) < 0 }

// waitsFor counts the live hosts of the hall that rank before this one and have
// not announced: each has its time to take over before.
func (r *readers) waitsFor(s *kernel.State) int {
	n := 0
	for host, m := range s.Members {
		_, heard := s.HallAnnouncers[host]
		if m.Staying() && m.Hall == r.settings.Hall && !heard && r.isBefore(host) {
			n++
		}
	}
	return n
}

// leads reports whether this host is first among those that announce, as far as
// it heard of them: if none that ranks before it has told a moment ago that it hears
// the platform, few try in vain, and those that rank between had their time.
func (r *readers) leads(now time.Duration, heard map[string]kernel.AnnouncerReport, waitsFor int) bool {
	inVain := 0
	vacant := time.Duration(0)
	for n, h := range heard {
		if !r.isBefore(n) {
			continue
		}
		switch silent := now - h.At; {
		case silent >= announceLost:
			vacant = max(vacant, h.At+announceLost)
		case h.Lost:
			inVain++
			vacant = max(vacant, h.Since)
		default:
			return false
		}
	}
	return inVain < failedReadersMost && now-vacant >= time.Duration(min(waitsFor, takeoverSteps))*takeoverStep
}

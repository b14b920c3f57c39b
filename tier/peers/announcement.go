package peers

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"net/netip"
	"slices"
	"time"

	"loomgap/tier/config"
	"loomgap/tier/kernel"
)

// methodAnnounce is the method by which a host announces what the platform publishes. Its
// parameters are an announcement, the reply is an announceReply.
const methodAnnounce = "Announce"

const (
	// announceInterval is the time between announcements if nothing changes.
	announceInterval = 400 * time.Millisecond
	// lossCheckInterval is how often an announcer checks whether it has lost the platform. The
	// others search for a host that the platform serves once they know.
	lossCheckInterval = 50 * time.Millisecond
	// freshReadThreshold is how much newer a read must be than the last announced one to be
	// announced at once. A read may wait for a change for WatchWait. If its announcement and
	// then its forwarding by another host were delayed by an interval each, the last known
	// read would become so old that the reader seems to have lost the platform, and hosts of
	// all halls would take over from it.
	freshReadThreshold = 500 * time.Millisecond
	// announceTimeout limits a call that announces.
	announceTimeout = time.Second
	// passOverTime is how long an announcement to a host of another hall that has failed makes this
	// host tell another one as well. By then the members show whether the first is gone.
	passOverTime = 3 * time.Second
	// maxToldPerHall is the most hosts of another hall that get the same announcement.
	maxToldPerHall = 3
)

// errStaleRead is logged when the platform is considered lost although no read has failed.
var errStaleRead = errors.New("last successful read of the platform is too old")

// announcement reports what the platform publishes. An announcing host sends it to the hosts
// of its hall. If it reads the platform itself, it also sends it to one host of each other
// hall, which announces it there.
type announcement struct {
	Host string
	Peer netip.AddrPort
	Hall string
	// Age is the time since the platform was read; Lost is true if that is too long ago, so
	// that the platform is considered lost.
	Age  time.Duration
	Lost bool `json:",omitempty"`
	// Confirmed is true if the sender knows that its document was the newest at that time.
	Confirmed bool `json:",omitempty"`
	// Version, Era and Revision identify the sender's active document; Directory is the digest
	// of its directory.
	Version   uint64 `json:",omitempty"`
	Era       uint64 `json:",omitempty"`
	Revision  uint64
	Directory uint64
	// DirectoryEra and DirectoryRevision are the platform's position up to which the
	// sender's directory is complete.
	DirectoryEra      uint64 `json:",omitempty"`
	DirectoryRevision uint64
	// DirectorySettled is the last era that the sender knows to be settled.
	DirectorySettled uint64 `json:",omitempty"`
	// Change is what changed since the previous announcement, which told of the directory up to
	// ChangeEra and ChangeRevision.
	Change         *config.DirectoryChange `json:",omitempty"`
	ChangeEra      uint64                  `json:",omitempty"`
	ChangeRevision uint64                  `json:",omitempty"`
}

// announceReply answers an announcement.
type announceReply struct {
	// Announcement is the receiver's own one, set if the receiver announces to the same hall:
	// the sender may not know of it.
	Announcement *announcement `json:",omitempty"`
}

// edition returns the edition of the sender's active document.
func (m *announcement) edition() config.Edition {
	return config.Edition{Version: m.Version, Position: config.Position{Era: m.Era, Revision: m.Revision}}
}

// announcer announces what this host read itself or received in announcements of other
// halls. Its fields are used on the control thread only.
type announcer struct {
	kernel *kernel.Kernel
	// directory and edition (that of the document) were announced last, at sentAt.
	directory *config.Directory
	edition   config.Edition
	sentAt    time.Duration
	// sentReadAt is when the data last announced was read from the platform, sentLost whether the
	// platform was announced as lost.
	sentReadAt time.Duration
	sentLost   bool
	// sentAsReader is whether the last announcement also went to other halls.
	sentAsReader bool
	// failedAt is when an announcement to a host last failed.
	failedAt map[string]time.Duration
	// viewDirectory and viewIndex are the directory and the document of the last view.
	viewDirectory *config.Directory
	viewIndex     *config.Index
}

// onView announces the changes in a new view. It runs on the control thread.
func (a *announcer) onView(v *kernel.View) {
	if v.Directory == a.viewDirectory && v.Index == a.viewIndex {
		return
	}
	a.viewDirectory, a.viewIndex = v.Directory, v.Index
	// Queueing a job from the control thread could block on its own queue.
	go a.kernel.Do(a.announce)
}

func (a *announcer) loop(ctx context.Context) {
	a.kernel.DoEvery(ctx, lossCheckInterval, a.announce)
}

// announce sends an announcement if something changed or the interval has passed. It runs
// on the control thread.
func (a *announcer) announce(s *kernel.State) {
	if !canAnnounce(s) {
		return
	}
	now := a.kernel.Now()
	m := newAnnouncement(a.kernel, s, now)
	if m.Lost && s.Reading {
		// Do not wait for the pending read to fail, which may take longer.
		markPlatformDown(a.kernel, s, errStaleRead)
	}
	if !a.isDue(&m, now) {
		return
	}
	// Include the change only if the last announcement is recent: otherwise a host that takes
	// over would send the whole directory to each host of its hall. Without the change, the
	// receivers fetch what they have not learned from other hosts.
	if m.Directory != a.directory.Digest() && a.directory != nil && now-a.sentAt <= announcerTimeout {
		change, after := s.Directory.Since(a.directory), a.directory.Position()
		m.Change, m.ChangeEra, m.ChangeRevision = &change, after.Era, after.Revision
	}
	a.directory, a.edition, a.sentAt, a.sentReadAt, a.sentLost = s.Directory, m.edition(), now, s.AnnouncedReadAt, m.Lost
	hall, otherHalls := a.recipients(s)
	a.sentAsReader = s.Reading
	for _, host := range hall {
		go a.send(host, m)
	}
	// Report only this host's own reads to other halls. Otherwise a host that the platform
	// refuses would be considered a reader again whenever it learns of reads by others.
	m.Age = now - s.OwnReadAt
	m.Lost = s.OwnReadAt == 0 || m.Age > maxReadAge(&a.kernel.Settings)
	for _, host := range otherHalls {
		go a.send(host, m)
	}
}

// begin makes what this host knows count as announced, since other hosts know it too. It is called
// before a host that does not announce yet applies what it read, so that its first announcement
// contains the change. It runs on the control thread.
func (a *announcer) begin(s *kernel.State, now time.Duration) {
	if !s.Announcing {
		a.directory, a.edition, a.sentAt = s.Directory, s.Edition(), now
	}
}

// canAnnounce reports whether this host announces and has something to announce. A
// starting host may receive an announcement before it has the directory, and must not
// announce without one.
func canAnnounce(s *kernel.State) bool {
	return s.Announcing && s.AnnouncedReadAt > 0 && s.Directory != nil
}

// newAnnouncement returns the announcement to this host's hall, without Change.
func newAnnouncement(k *kernel.Kernel, s *kernel.State, now time.Duration) announcement {
	age, edition := now-s.AnnouncedReadAt, s.Edition()
	return announcement{
		Host: k.Settings.Host, Peer: k.Settings.Peer, Hall: k.Settings.Hall,
		Age: age, Lost: age > maxReadAge(&k.Settings), Confirmed: s.Confirmed,
		Version: edition.Version, Era: edition.Era, Revision: edition.Revision,
		Directory: s.Directory.Digest(), DirectoryEra: s.Directory.Era, DirectoryRevision: s.Directory.Revision,
		DirectorySettled: s.Directory.Settled,
	}
}

// isDue reports whether to send an announcement now: at once when the platform is lost, after a
// change, or a read that is much newer than the last announced one, otherwise periodically.
func (a *announcer) isDue(m *announcement, now time.Duration) bool {
	changed := m.Directory != a.directory.Digest() || m.edition() != a.edition
	fresher := now-m.Age-a.sentReadAt >= freshReadThreshold
	return (changed || fresher) && !m.Lost || m.Lost && !a.sentLost || now-a.sentAt >= announceInterval
}

// recipients returns the receivers of an announcement: the active hosts of this hall and, if
// this host reads the platform, the first active ones of each other hall by rank (firstOf).
func (a *announcer) recipients(s *kernel.State) (hall, otherHalls []string) {
	hall, others := byHall(s.Members, a.kernel.Settings.Hall, (*kernel.Member).Active)
	if !s.Reading {
		return hall, nil
	}
	r := newReaderRanking(s, &a.kernel.Settings)
	for _, hosts := range others {
		slices.SortFunc(hosts, r.compare)
		otherHalls = append(otherHalls, a.firstOf(hosts)...)
	}
	return hall, otherHalls
}

// firstOf returns the hosts of another hall to tell: the highest ranked one, which announces there, and
// further ones up to one that has not failed to answer lately. The failed ones are told as well, since they
// take up their role as soon as they are back. A new reader tells at least two: the first may be what
// it takes over from, which is gone.
func (a *announcer) firstOf(ranked []string) []string {
	least := 1
	if !a.sentAsReader {
		least = 2
	}
	for i, h := range ranked[:min(len(ranked), maxToldPerHall)] {
		if i+1 >= least && !a.failedLately(h) {
			return ranked[:i+1]
		}
	}
	return ranked[:min(len(ranked), maxToldPerHall)]
}

// failedLately reports whether an announcement to a host has failed within passOverTime.
func (a *announcer) failedLately(host string) bool {
	at, failed := a.failedAt[host]
	return failed && a.kernel.Now()-at < passOverTime
}

// noteFailed records that an announcement to a host failed, and forgets failures of long ago.
func (a *announcer) noteFailed(host string) {
	now := a.kernel.Now()
	maps.DeleteFunc(a.failedAt, func(_ string, at time.Duration) bool { return now-at >= passOverTime })
	if a.failedAt == nil {
		a.failedAt = map[string]time.Duration{}
	}
	a.failedAt[host] = now
}

func (a *announcer) send(host string, m announcement) {
	ctx, cancel := context.WithTimeout(context.Background(), announceTimeout)
	defer cancel()
	var reply announceReply
	if err := a.kernel.Peers.Call(ctx, host, methodAnnounce, m, &reply); err != nil {
		a.kernel.Log.Debug().Err(err).Str("Peer", host).Msg("failed to send announcement")
		a.kernel.Do(func(*kernel.State) { a.noteFailed(host) })
		return
	}
	if other := reply.Announcement; other != nil {
		a.kernel.Do(func(s *kernel.State) { recordAnnouncer(a.kernel, s, other) })
	}
}

// announcementServer receives the announcements of other hosts.
type announcementServer struct {
	kernel  *kernel.Kernel
	fetcher *fetcher
}

func (a *announcementServer) onAnnouncement(ctx context.Context, m *announcement) (any, error) {
	if !m.Peer.IsValid() {
		return nil, fmt.Errorf("bad announcement: host %q tells no address", m.Host)
	}
	return kernel.DoWithResult(ctx, a.kernel, func(s *kernel.State) any {
		a.apply(s, m)
		return a.reply(s, m)
	})
}

// reply returns this host's own announcement to another announcer of the same hall.
func (a *announcementServer) reply(s *kernel.State, m *announcement) announceReply {
	if m.Hall != a.kernel.Settings.Hall || !canAnnounce(s) {
		return announceReply{}
	}
	own := newAnnouncement(a.kernel, s, a.kernel.Now())
	return announceReply{Announcement: &own}
}

// apply merges an announcement into the state and fetches what is still missing. It runs
// on the control thread.
func (a *announcementServer) apply(s *kernel.State, m *announcement) {
	now := a.kernel.Now()
	recordAnnouncer(a.kernel, s, m)
	m.applyChange(s)
	// The change may have been applied to an incomplete directory, so compare the result with
	// the sender's directory, which is complete up to its revision.
	a.compareDirectory(s, m, now)
	s.NoteEdition(m.edition())
	if m.edition().Newer(s.Edition()) {
		a.fetcher.fetchDocument(m.Peer)
	} else if m.Confirmed {
		s.Confirm(now - max(m.Age, 0))
	}
}

// applyChange applies the change of an announcement.
func (m *announcement) applyChange(s *kernel.State) {
	// Ignore an incremental change without a directory to apply it to. Otherwise this host
	// would have only a few upstreams at a high revision, and hosts that fetch its directory
	// would remove all others.
	if m.Change == nil || s.Directory == nil && !m.Change.Whole {
		return
	}
	change, known := *m.Change, s.Directory.Position()
	after := config.Position{Era: m.ChangeEra, Revision: m.ChangeRevision}
	if !change.Whole && known.Compare(after) < 0 {
		// This host lacks what changed before. For the same reason, its directory remains complete
		// only up to where it was.
		change.Era, change.Revision = known.Era, known.Revision
	}
	s.ApplyDirectoryChange(&change)
}

// compareDirectory fetches the sender's directory if it differs and is not older. If it is the
// same, it adopts the sender's position.
func (a *announcementServer) compareDirectory(s *kernel.State, m *announcement, now time.Duration) {
	at, known := config.Position{Era: m.DirectoryEra, Revision: m.DirectoryRevision}, s.Directory.Position()
	switch {
	case s.Directory == nil:
		a.fetcher.fetchDirectoryThrottled(now, m.Peer)
	case m.Directory != s.Directory.Digest():
		if at.Compare(known) >= 0 {
			a.fetcher.fetchDirectoryThrottled(now, m.Peer)
		}
	case at.Compare(known) > 0 || m.DirectorySettled > s.Directory.Settled:
		s.ApplyDirectoryChange(&config.DirectoryChange{Era: at.Era, Revision: at.Revision, Settled: m.DirectorySettled})
	}
}

// recordAnnouncer records that a host announces, whether the platform answers it, and when it
// was last read.
func recordAnnouncer(k *kernel.Kernel, s *kernel.State, m *announcement) {
	now := k.Now()
	platformDown := m.Lost || m.Age > maxReadAge(&k.Settings)
	readAt := now - max(m.Age, 0)
	if m.Hall == k.Settings.Hall {
		s.HallAnnouncers[m.Host] = s.HallAnnouncers[m.Host].Next(now, announcerTimeout, platformDown)
	} else {
		s.OtherReaders[m.Host] = s.OtherReaders[m.Host].Next(now, announcerTimeout, platformDown)
		s.AnnouncedReadAt = max(s.AnnouncedReadAt, readAt)
	}
	noteRead(s, readAt)
	s.NoteShown(config.Position{Era: m.DirectoryEra, Revision: m.DirectoryRevision})
}

package peers

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"slices"
	"time"

	"loomgap/tier/config"
	"loomgap/tier/kernel"
)

// methodAnnounce is the method by which a host that knows what is published announces
// it: its parameters are an announcement, the reply is an announceReply.
const methodAnnounce = "Announce"

const (
	// announceEvery is the time between announcements if nothing changes.
	announceInterval = 400 * time.Millisecond
	// announceGap is the least time between two announcements without a change, so that the
	// regular one is left out after one of a change.
	minAnnounceInterval = announceInterval / 2
	// announceFresher is by how much fresher a read is announced at once. A read takes a
	// second where something has just changed: announced a regular time later, and passed
	// on by another host still later, it looks as if the reader had lost the platform, and
	// hosts of all halls take over from it.
	freshReadThreshold = 500 * time.Millisecond
	// announceBound is how long a call that announces may take.
	announceTimeout = time.Second
)

// errStaleSource is the reason of a platform that counts as lost without a failed read.
var errStaleRead = errors.New("no answer for some time")

// announcement reports what is published: a host that announces sends it to its own
// hall, and if it reads the platform to one host of each other hall, which announces it
// there.
type announcement struct {
	Host string
	Peer netip.AddrPort
	Hall string
	// Age is how long ago it was read from the platform, Lost true if that is too
	// long ago to rely on.
	Age  time.Duration
	Lost bool `json:",omitempty"`
	// Confirmed is true if the sender knows that its document was the newest then.
	Confirmed bool `json:",omitempty"`
	// Version, Era and Revision name the document in force there, Directory is the digest
	// of the upstreams listed.
	Version   uint64 `json:",omitempty"`
	Era       uint64 `json:",omitempty"`
	Revision  uint64
	Directory uint64
	// DirectoryEra and DirectoryRevision are the platform's position up to which it is
	// whole.
	DirectoryEra      uint64 `json:",omitempty"`
	DirectoryRevision uint64
	// DirectorySettled is the last era that is known there to be settled.
	DirectorySettled uint64 `json:",omitempty"`
	// Change is what changed since the announcement before.
	Change *config.DirectoryChange `json:",omitempty"`
}

// announceReply answers an announcement.
type announceReply struct {
	// Announcement is the receiver's own, if it announces to the same hall: the sender
	// may not know that.
	Announcement *announcement `json:",omitempty"`
}

// edition is how new the document in force at the sender is.
func (m *announcement) edition() config.Edition {
	return config.Edition{Version: m.Version, Position: config.Position{Era: m.Era, Revision: m.Revision}}
}

// announcer announces what this host read or was announced. Its fields are used on the
// control thread only.
type announcer struct {
	kernel *kernel.Kernel
	// directory and edition (of the document) are what was last announced, at sentAt.
	directory *config.Directory
	edition   config.Edition
	sentAt    time.Duration
	// sentReadAt is when what was last announced had been read from the platform.
	sentReadAt time.Duration
	// viewDirectory and viewIndex are what the last view had.
	viewDirectory *config.Directory
	viewIndex     *config.Index
}

// onView announces what changed in a new view; it runs on the control thread.
func (a *announcer) onView(v *kernel.View) {
	if v.Directory == a.viewDirectory && v.Index == a.viewIndex {
		return
	}
	a.viewDirectory, a.viewIndex = v.Directory, v.Index
	// The control thread must not wait for a place among its own jobs.
	go a.kernel.Do(a.announce)
}

func (a *announcer) loop(ctx context.Context) {
	a.kernel.DoEvery(ctx, announceInterval, a.announce)
}

// announce sends an announcement if something changed or it is time; it runs on
// the control thread.
func (a *announcer) announce(s *kernel.State) {
	if !canAnnounce(s) {
		return
	}
	now := a.kernel.Now()
	m := newAnnouncement(a.kernel, s, now)
	if m.Lost && s.Reading {
		// The read under way may take longer still to fail.
		markPlatformDown(a.kernel, s, errStaleRead)
	}
	if !a.isDue(&m, now) {
		return
	}
	// Hosts that this one has not told before, or not lately, know the directory from
	// others. Those that lack something fetch it, packed once. Without it, a host that
	// takes over sends all that is listed to each host of its hall.
	if m.Directory != a.directory.Digest() && a.directory != nil && now-a.sentAt <= announcerTimeout {
		change := s.Directory.Since(a.directory)
		m.Change = &change
	}
	a.directory, a.edition, a.sentAt, a.sentReadAt = s.Directory, m.edition(), now, s.AnnouncedReadAt
	hall, otherHalls := a.recipients(s)
	for _, host := range hall {
		go a.send(host, m)
	}
	// Other halls rely on this host only for what it reads itself. One that the
	// platform turns away, and that relies on what others read, would be taken for
	// the reader again and again.
	m.Age = now - s.OwnReadAt
	m.Lost = s.OwnReadAt == 0 || m.Age > maxReadAge(&a.kernel.Settings)
	for _, host := range otherHalls {
		go a.send(host, m)
	}
}

// canAnnounce reports whether this host announces and has something to announce. One that
// starts may get an announcement before it has the directory: without one it must not
// announce.
func canAnnounce(s *kernel.State) bool {
	return s.Announcing && s.AnnouncedReadAt > 0 && s.Directory != nil
}

// newAnnouncement is the announcement to the own hall, without what changed.
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

// isDue reports whether an announcement is to be sent now: at once if something changed
// and was read a short while ago, or if the platform was read long after what was last
// announced, else at regular times.
func (a *announcer) isDue(m *announcement, now time.Duration) bool {
	changed := m.Directory != a.directory.Digest() || m.edition() != a.edition
	fresher := now-m.Age-a.sentReadAt >= freshReadThreshold
	return (changed || fresher) && !m.Lost || now-a.sentAt >= minAnnounceInterval
}

// recipients decides who gets an announcement: the live hosts of this hall that stay,
// and if this host reads the platform, the first such host of each other hall.
func (a *announcer) recipients(s *kernel.State) (hall, otherHalls []string) {
	hall, others := byHall(s.Members, a.kernel.Settings.Hall, (*kernel.Member).Active)
	if !s.Reading {
		return hall, nil
	}
	r := newReaderRanking(s, &a.kernel.Settings)
	for _, hosts := range others {
		otherHalls = append(otherHalls, slices.MinFunc(hosts, r.compare))
	}
	return hall, otherHalls
}

func (a *announcer) send(host string, m announcement) {
	ctx, cancel := context.WithTimeout(context.Background(), announceTimeout)
	defer cancel()
	var reply announceReply
	if err := a.kernel.Peers.Call(ctx, host, methodAnnounce, m, &reply); err != nil {
		a.kernel.Log.Debug().Err(err).Str("Peer", host).Msg("announcement not sent")
		return
	}
	if other := reply.Announcement; other != nil {
		a.kernel.Do(func(s *kernel.State) { recordAnnouncer(a.kernel, s, other) })
	}
}

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

// reply has a host that announces to a hall hear of the other one that does.
func (a *announcementServer) reply(s *kernel.State, m *announcement) announceReply {
	if m.Hall != a.kernel.Settings.Hall || !canAnnounce(s) {
		return announceReply{}
	}
	own := newAnnouncement(a.kernel, s, a.kernel.Now())
	return announceReply{Announcement: &own}
}

// learn takes in an announcement. What is still missing then is fetched whole. It runs
// on the control thread.
func (a *announcementServer) apply(s *kernel.State, m *announcement) {
	now := a.kernel.Now()
	recordAnnouncer(a.kernel, s, m)
	// A change is no directory: a host that has none yet would have a few upstreams
	// at a high revision, and those that fetch its whole directory would take all
	// others for removed.
	if m.Change != nil && (s.Directory != nil || m.Change.Whole) {
		s.ApplyDirectoryChange(m.Change)
	}
	// A change may be applied to a list with holes, so what is listed then is
	// compared. The sender knows all up to its revision.
	a.compareDirectory(s, m, now)
	if m.edition().Newer(s.Edition()) {
		a.fetcher.fetchDocument(m.Peer)
	} else if m.Confirmed {
		s.Confirm(now - max(m.Age, 0))
	}
}

// compareDirectory fetches the directory of the sender if it lists something else, and
// takes over the era of its history if it lists the same.
func (a *announcementServer) compareDirectory(s *kernel.State, m *announcement, now time.Duration) {
	at, known := config.Position{Era: m.DirectoryEra, Revision: m.DirectoryRevision}, s.Directory.Position()
	switch {
	case s.Directory == nil:
		a.fetcher.fetchDirectoryThrottled(now, m.Peer)
	case m.Directory != s.Directory.Digest():
		if at.Compare(known) >= 0 {
			a.fetcher.fetchDirectoryThrottled(now, m.Peer)
		}
	case at.Era > known.Era || m.DirectorySettled > s.Directory.Settled:
		s.ApplyDirectoryChange(&config.DirectoryChange{Era: at.Era, Revision: at.Revision, Settled: m.DirectorySettled})
	}
}

// noteAnnouncer notes who announces, and whether the platform answers it.
func recordAnnouncer(k *kernel.Kernel, s *kernel.State, m *announcement) {
	now := k.Now()
	lost := m.Lost || m.Age > maxReadAge(&k.Settings)
	readAt := now - max(m.Age, 0)
	if m.Hall == k.Settings.Hall {
		s.HallAnnouncers[m.Host] = s.HallAnnouncers[m.Host].Next(now, lost)
	} else {
		s.OtherReaders[m.Host] = s.OtherReaders[m.Host].Next(now, lost)
		s.AnnouncedReadAt = max(s.AnnouncedReadAt, readAt)
	}
	s.PlatformReadAt = max(s.PlatformReadAt, readAt)
}

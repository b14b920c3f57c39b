package peers

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"loomgap/tier/config"
	"loomgap/tier/kernel"
	"loomgap/tier/policy"
)

// newHallKernel makes a kernel of a host in hall A.
func newTestKernel(t *testing.T, host string) *kernel.Kernel {
	k, stop := kernel.New(kernel.Config{
		Settings: kernel.Settings{Host: host, Hall: "A"}, Log: zerolog.Nop(), Started: time.Now(),
		Fleet: policy.NewFleet(policy.FleetConfig{}),
	})
	t.Cleanup(stop)
	return k
}

// serverWithoutFetches takes in announcements of a host that fetches nothing.
func newServerWithoutFetches(k *kernel.Kernel) *announcementServer {
	return &announcementServer{kernel: k, fetcher: &fetcher{kernel: k, fetchingDocument: true, fetchingDirectory: true}}
}

// TestReaderTellsOneHostOfEachOtherHall looks at whom a reader tells, and whom a
// host that only passes news on.
func TestReaderAnnouncesToOneHostOfEachOtherHall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		k := newTestKernel(t, "Self")
		s := &kernel.State{ReadingState: kernel.ReadingState{Reading: true}, Members: map[string]kernel.Member{}}
		for i, n := range rankedHosts(9) {
			hall := string(rune('A' + i%3))
			s.Members[n] = kernel.Member{Host: n, Hall: hall, Live: true, Leaving: i == 1}
		}
		tl := &announcer{kernel: k}
		hall, readers := tl.recipients(s)
		assert.Equal(t, len(hall), 3)
		assert.Equal(t, len(readers), 2)
		s.Reading = false
		hall, readers = tl.recipients(s)
		assert.Equal(t, len(hall), 3)
		assert.Equal(t, len(readers), 0)
	})
}

// TestNewsOfAnotherHallAreToldOn has a host hear from the reader in another hall:
// it tells its own hall at once, and does not read itself.
func TestAnnouncementOfAnotherHallIsForwarded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		names := rankedHosts(2)
		k := newTestKernel(t, names[1])
		told := &announcementCounter{}
		k.Peers = told
		tl := &announcer{kernel: k}
		k.OnView(tl.onView)
		server := newServerWithoutFetches(k)
		change := &config.DirectoryChange{Revision: 5, Listed: []config.Listing{{Name: "U1", Group: "G", Hall: "A", Slots: 1, Revision: 5}}}
		time.Sleep(time.Second)
		k.Do(func(s *kernel.State) {
			s.Directory, _ = s.Directory.With(&config.DirectoryChange{Revision: 1})
			s.Members["Mate"] = kernel.Member{Host: "Mate", Hall: "A", Live: true}
			s.Announcing = true
			server.apply(s, &announcement{Host: names[0], Hall: "B", Age: 100 * time.Millisecond, Change: change, DirectoryRevision: 5})
		})
		synctest.Wait()
		assert.Assert(t, told.hosts["Mate"])
		assert.DeepEqual(t, listedNames(k), []string{"U1"})
		reads := make(chan bool, 1)
		k.Do(func(s *kernel.State) {
			tells, r := decideRole(k, s)
			assert.Assert(t, tells)
			reads <- r
		})
		assert.Assert(t, !<-reads)
		time.Sleep(announcerTimeout + takeoverStep*announcerSpreadSteps)
		k.Do(func(s *kernel.State) { _, r := decideRole(k, s); reads <- r })
		assert.Assert(t, <-reads, "the reader is gone")
	})
}

// TestHolesInTheDirectoryAreFilled has a host that lacks an upstream hear of a
// change of another one: it gets the whole list from the sender.
func TestMissingDirectoryEntriesAreFetched(t *testing.T) {
	listings := func(names ...string) *config.DirectoryChange {
		c := &config.DirectoryChange{Revision: 3}
		for i, n := range names {
			c.Listed = append(c.Listed, config.Listing{Name: n, Group: "G", Hall: "A", Slots: 1, Revision: uint64(i + 1)})
		}
		return c
	}
	teller, _, at := newTestNode(t)
	newFetcher(teller, nil, nil)
	teller.Do(func(s *kernel.State) { s.ApplyDirectoryChange(listings("U1", "U2", "U3")) })
	lacking, n, _ := newTestNode(t)
	server := &announcementServer{kernel: lacking, fetcher: newFetcher(lacking, n, nil)}
	lacking.Do(func(s *kernel.State) {
		first := listings("U1")
		first.Revision = 1
		s.ApplyDirectoryChange(first)
		change := &config.DirectoryChange{Revision: 3, Listed: listings("U1", "U2", "U3").Listed[2:]}
		server.apply(s, &announcement{Host: "T", Peer: at, Directory: teller.View().Directory.Digest(), DirectoryRevision: 3, Change: change})
	})
	for end := time.Now().Add(20 * time.Second); lacking.View().Directory.Size() < 3; time.Sleep(time.Millisecond) {
		assert.Assert(t, time.Now().Before(end), "%v", listedNames(lacking))
	}
	assert.DeepEqual(t, listedNames(lacking), []string{"U1", "U2", "U3"})
}

// announcementRecorder keeps the last announcement to each host.
type announcementRecorder struct {
	announcementCounter
	last map[string]announcement
}

// Call implements kernel.PeerCaller.
func (p *announcementRecorder) Call(_ context.Context, host, _ string, params, _ any) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.last[host] = params.(announcement)
	return nil
}

// TestReaderThatIsTurnedAwaySaysSo has the host that ranks first hear from other
// halls what is published while the platform turns it away: its own hall hears
// fresh news from it, other halls do not take it for a reader.
func TestRefusedReaderReportsPlatformLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		k := newTestKernel(t, "Self")
		k.Settings.WatchWait = time.Second
		sent := &announcementRecorder{last: map[string]announcement{}}
		k.Peers = sent
		time.Sleep(time.Minute)
		s := &kernel.State{
			ReadingState: kernel.ReadingState{Reading: true, Announcing: true, AnnouncedReadAt: k.Now() - 100*time.Millisecond},
			Members:      map[string]kernel.Member{},
		}
		s.Directory, _ = s.Directory.With(&config.DirectoryChange{Revision: 1})
		s.Members["Mate"] = kernel.Member{Host: "Mate", Hall: "A", Live: true}
		s.Members["Other"] = kernel.Member{Host: "Other", Hall: "B", Live: true}
		announce := func() {
			time.Sleep(announceInterval)
			(&announcer{kernel: k}).announce(s)
			synctest.Wait()
		}
		announce()
		assert.Assert(t, !sent.last["Mate"].Lost)
		assert.Assert(t, sent.last["Other"].Lost)
		s.OwnReadAt = k.Now()
		announce()
		assert.Assert(t, !sent.last["Other"].Lost)
	})
}

// newAnnouncerWithMate returns the state of a host that announces to one other of its
// hall, and a function that has it announce and returns what the other heard last.
func newAnnouncerWithMate(k *kernel.Kernel) (*kernel.State, func() announcement) {
	sent := &announcementRecorder{last: map[string]announcement{}}
	k.Peers = sent
	a := &announcer{kernel: k}
	s := &kernel.State{
		ReadingState: kernel.ReadingState{Reading: true, Announcing: true},
		Members:      map[string]kernel.Member{"Mate": {Host: "Mate", Hall: "A", Live: true}},
	}
	return s, func() announcement {
		s.AnnouncedReadAt, s.OwnReadAt = k.Now(), k.Now()
		a.announce(s)
		synctest.Wait()
		sent.mu.Lock()
		defer sent.mu.Unlock()
		return sent.last["Mate"]
	}
}

// TestHostThatTakesOverSendsChangesOnly has a host with many upstreams begin to announce,
// go on, stop for a while and begin again: what it sends is what changed since it last
// did, and never all that is listed.
func TestHostThatTakesOverAnnouncesChangesOnly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		k := newTestKernel(t, "Self")
		s, announceToMate := newAnnouncerWithMate(k)
		revision := uint64(0)
		list := func(upstreams int) {
			change := config.DirectoryChange{Revision: revision + uint64(upstreams)}
			for range upstreams {
				revision++
				change.Listed = append(change.Listed, config.Listing{Name: fmt.Sprint("U", revision), Group: "G", Hall: "A", Slots: 1, Revision: revision})
			}
			s.ApplyDirectoryChange(&change)
		}
		time.Sleep(time.Second)
		list(500)
		first := announceToMate()
		assert.Assert(t, first.Change == nil && first.Directory == s.Directory.Digest(), "it sends what others know from others")
		time.Sleep(announceInterval)
		list(2)
		assert.Equal(t, len(announceToMate().Change.Listed), 2)
		time.Sleep(2 * announcerTimeout)
		list(3)
		assert.Assert(t, announceToMate().Change == nil)
		time.Sleep(announceInterval)
		list(1)
		assert.Equal(t, len(announceToMate().Change.Listed), 1)
	})
}

// TestFreshReadIsAnnouncedAtOnce has a read end just after a regular announcement: where it
// is much fresher than what was announced, others hear of it at once.
func TestFreshReadIsAnnouncedAtOnce(t *testing.T) {
	const readAt = 10 * time.Second
	tests := []struct {
		name  string
		after time.Duration
		lost  bool
		want  bool
	}{
		{"a read after a change and a whole wait", 1020 * time.Millisecond, false, true},
		{"a read that was answered at once", 100 * time.Millisecond, false, false},
		{"the same read as before", 0, false, false},
		{"no read for too long", 1020 * time.Millisecond, true, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var d *config.Directory
			now := readAt + tt.after
			a := &announcer{sentAt: now - minAnnounceInterval/2, sentReadAt: readAt}
			assert.Equal(t, a.isDue(&announcement{Directory: d.Digest(), Lost: tt.lost}, now), tt.want)
		})
	}
}

// TestStartingHostReadsAndDoesNotAnnounce has a host that knows nothing read the platform.
func TestStartingHostReadsAndDoesNotAnnounce(t *testing.T) {
	k := newTestKernel(t, "Self")
	announces, reads := decideRole(k, &kernel.State{})
	assert.Assert(t, reads && !announces)
}

// TestEvacuationIsAnnounced has a reader hear of an evacuation and of its end: its
// hall is told both at once, and a host that missed them learns them with the whole
// directory.
func TestEvacuationIsAnnounced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		k := newTestKernel(t, "Self")
		s, announceToMate := newAnnouncerWithMate(k)
		s.ApplyDirectoryChange(&config.DirectoryChange{Revision: 1, Whole: true})
		mate := &kernel.State{ReadingState: kernel.ReadingState{
			HallAnnouncers: map[string]kernel.AnnouncerReport{}, OtherReaders: map[string]kernel.AnnouncerReport{},
		}}
		server := newServerWithoutFetches(k)
		told := func(c *config.DirectoryChange) *config.Directory {
			time.Sleep(10 * time.Millisecond)
			s.ApplyDirectoryChange(c)
			n := announceToMate()
			server.apply(mate, &n)
			return mate.Directory
		}
		// Each host has read the platform at its start.
		mate.ApplyDirectoryChange(&config.DirectoryChange{Revision: 1, Whole: true})
		told(&config.DirectoryChange{Revision: 1, Whole: true})
		d := told(&config.DirectoryChange{Revision: 2, Evacuated: []config.Evacuation{{Hall: "A", Revision: 2}}})
		assert.Assert(t, d.Evacuated("A"))
		d = told(&config.DirectoryChange{Revision: 3, Resumed: []config.Removal{{Name: "A", Revision: 3}}})
		assert.Assert(t, !d.Evacuated("A"))
		s.ApplyDirectoryChange(&config.DirectoryChange{Revision: 4, Evacuated: []config.Evacuation{{Hall: "B", Revision: 4}}})
		whole := s.Directory.Whole()
		mate.ApplyDirectoryChange(&whole)
		assert.DeepEqual(t, mate.Directory.EvacuatedHalls(), []string{"B"})
	})
}

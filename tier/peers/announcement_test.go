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

// newTestKernel returns the kernel of a host in hall A.
func newTestKernel(t *testing.T, host string) *kernel.Kernel {
	k, stop := kernel.New(kernel.Config{
		Settings: kernel.Settings{Host: host, Hall: "A"}, Log: zerolog.Nop(), Started: time.Now(),
		Fleet: policy.NewFleet(policy.FleetConfig{}),
	})
	t.Cleanup(stop)
	return k
}

// newServerWithoutFetches returns a server that applies announcements and fetches nothing.
func newServerWithoutFetches(k *kernel.Kernel) *announcementServer {
	return &announcementServer{kernel: k, fetcher: &fetcher{kernel: k, fetchingDocument: true, fetchingDirectory: true}}
}

// TestReaderAnnouncesToOneHostOfEachOtherHall checks that only the reader announces to other
// halls, while any announcer announces to its own.
func TestReaderAnnouncesToOneHostOfEachOtherHall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		k := newTestKernel(t, "Self")
		s := &kernel.State{ReadingState: kernel.ReadingState{Reading: true}, Members: map[string]kernel.Member{}}
		for i, n := range rankedHosts(9) {
			hall := string(rune('A' + i%3))
			s.Members[n] = kernel.Member{Host: n, Hall: hall, Live: true, Leaving: i == 1}
		}
		a := &announcer{kernel: k, sentAsReader: true}
		hall, readers := a.recipients(s)
		assert.Equal(t, len(hall), 3)
		assert.Equal(t, len(readers), 2)
		a.sentAsReader = false
		_, readers = a.recipients(s)
		assert.Equal(t, len(readers), 4, "a new reader tells two of each")
		ranked := []string{"H1", "H2", "H3", "H4", "H5"}
		told := func(want ...string) {
			t.Helper()
			assert.DeepEqual(t, a.firstOf(ranked), want)
		}
		told("H1", "H2")
		a.sentAsReader = true
		told("H1")
		a.noteFailed("H1")
		told("H1", "H2")
		a.noteFailed("H2")
		told("H1", "H2", "H3")
		a.noteFailed("H3")
		told("H1", "H2", "H3")
		time.Sleep(passOverTime)
		told("H1")
		s.Reading = false
		hall, readers = a.recipients(s)
		assert.Equal(t, len(hall), 3)
		assert.Equal(t, len(readers), 0)
	})
}

// TestAnnouncementOfAnotherHallIsForwarded checks that an announcer forwards at once what a
// reader in another hall announces, and reads the platform only once that reader is gone.
func TestAnnouncementOfAnotherHallIsForwarded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		names := rankedHosts(2)
		k := newTestKernel(t, names[1])
		counter := &announcementCounter{}
		k.Peers = counter
		a := &announcer{kernel: k}
		k.OnView(a.onView)
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
		assert.Assert(t, counter.hosts["Mate"])
		assert.DeepEqual(t, listedNames(k), []string{"U1"})
		reads := make(chan bool, 1)
		k.Do(func(s *kernel.State) {
			announces, r := decideRole(k, s)
			assert.Assert(t, announces)
			reads <- r
		})
		assert.Assert(t, !<-reads)
		time.Sleep(announcerTimeout + takeoverStep*announcerSpreadSteps)
		k.Do(func(s *kernel.State) { _, r := decideRole(k, s); reads <- r })
		assert.Assert(t, <-reads, "does not read after the reader is gone")
	})
}

// TestMissingDirectoryEntriesAreFetched checks that a host fetches the directory if its own
// still differs from the sender's after it has applied the announced change.
func TestMissingDirectoryEntriesAreFetched(t *testing.T) {
	listings := func(names ...string) *config.DirectoryChange {
		c := &config.DirectoryChange{Revision: 3}
		for i, n := range names {
			c.Listed = append(c.Listed, config.Listing{Name: n, Group: "G", Hall: "A", Slots: 1, Revision: uint64(i + 1)})
		}
		return c
	}
	source, _, at := newTestNode(t)
	newFetcher(source, nil, nil)
	source.Do(func(s *kernel.State) { s.ApplyDirectoryChange(listings("U1", "U2", "U3")) })
	lacking, n, _ := newTestNode(t)
	server := &announcementServer{kernel: lacking, fetcher: newFetcher(lacking, n, nil)}
	lacking.Do(func(s *kernel.State) {
		first := listings("U1")
		first.Revision = 1
		s.ApplyDirectoryChange(first)
		change := &config.DirectoryChange{Revision: 3, Listed: listings("U1", "U2", "U3").Listed[2:]}
		server.apply(s, &announcement{Host: "T", Peer: at, Directory: source.View().Directory.Digest(), DirectoryRevision: 3, Change: change})
	})
	for end := time.Now().Add(20 * time.Second); lacking.View().Directory.Size() < 3; time.Sleep(time.Millisecond) {
		assert.Assert(t, time.Now().Before(end), "%v", listedNames(lacking))
	}
	assert.DeepEqual(t, listedNames(lacking), []string{"U1", "U2", "U3"})
}

// TestReaderWithoutAnswersFetches guards against a host that has just become a reader, waits for a platform
// that is silent to it, and until then throws away what it fetches from hosts that know more.
func TestReaderWithoutAnswersFetches(t *testing.T) {
	for _, tt := range []struct {
		name   string
		readAt func(now time.Duration) time.Duration
		want   int
	}{
		{"never read", func(time.Duration) time.Duration { return 0 }, 2},
		{"read long ago", func(now time.Duration) time.Duration { return now - 2*time.Second }, 2},
		{"read lately", func(now time.Duration) time.Duration { return now }, 1},
	} {
		t.Run(tt.name, func(t *testing.T) {
			source, _, at := newTestNode(t)
			newFetcher(source, nil, nil)
			listing := func(name string) config.Listing {
				return config.Listing{Name: name, Group: "G", Hall: "A", Slots: 1, Revision: 1}
			}
			source.Do(func(s *kernel.State) {
				s.ApplyDirectoryChange(&config.DirectoryChange{Revision: 2, Listed: []config.Listing{listing("U1"), listing("U2")}})
			})
			lacking, n, _ := newTestNode(t)
			lacking.Settings.WatchWait = testWatchWait
			lacking.Started = time.Now().Add(-time.Minute)
			fetcher := newFetcher(lacking, n, nil)
			lacking.DoAndWait(func(s *kernel.State) {
				s.ApplyDirectoryChange(&config.DirectoryChange{Revision: 1, Listed: []config.Listing{listing("U1")}})
				s.Reading, s.OwnReadAt = true, tt.readAt(lacking.Now())
				fetcher.fetchDirectory(at)
			})
			for fetching := true; fetching; time.Sleep(time.Millisecond) {
				lacking.DoAndWait(func(*kernel.State) { fetching = fetcher.fetchingDirectory })
			}
			do(lacking, func(*kernel.State) {})
			assert.Equal(t, lacking.View().Directory.Size(), tt.want)
		})
	}
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

// TestRefusedReaderReportsPlatformLost checks that a reader that the platform refuses does
// not count as a reader in other halls, while it forwards to its own hall what they announce.
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

// newAnnouncerWithPeer returns the state of a host that announces to one peer in its hall, and
// a function that makes it announce and returns the last announcement that the peer received.
func newAnnouncerWithPeer(k *kernel.Kernel) (*kernel.State, func() announcement) {
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

// TestHostThatTakesOverAnnouncesChangesOnly checks that an announcer never sends the whole
// directory, also when it begins to announce or resumes after a while.
func TestHostThatTakesOverAnnouncesChangesOnly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		k := newTestKernel(t, "Self")
		s, announceToPeer := newAnnouncerWithPeer(k)
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
		first := announceToPeer()
		assert.Assert(t, first.Change == nil && first.Directory == s.Directory.Digest(), "the first announcement must contain no change")
		time.Sleep(announceInterval)
		list(2)
		assert.Equal(t, len(announceToPeer().Change.Listed), 2)
		time.Sleep(2 * announcerTimeout)
		list(3)
		assert.Assert(t, announceToPeer().Change == nil)
		time.Sleep(announceInterval)
		list(1)
		assert.Equal(t, len(announceToPeer().Change.Listed), 1)
	})
}

// TestFreshReadIsAnnouncedAtOnce checks that a read that is much newer than the last announced
// one, and the loss of the platform, do not wait for the next periodic announcement.
func TestFreshReadIsAnnouncedAtOnce(t *testing.T) {
	const readAt = 10 * time.Second
	tests := []struct {
		name  string
		after time.Duration
		// lost and sentLost are whether the platform is lost, and was announced as lost.
		lost, sentLost bool
		want           bool
	}{
		{"a read after a change and a whole wait", 1020 * time.Millisecond, false, false, true},
		{"a read that was answered at once", 100 * time.Millisecond, false, false, false},
		{"the same read as before", 0, false, false, false},
		{"no read for too long", 1020 * time.Millisecond, true, true, false},
		{"no read for too long, not announced yet", 1020 * time.Millisecond, true, false, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var d *config.Directory
			now := readAt + tt.after
			a := &announcer{sentAt: now - announceInterval/4, sentReadAt: readAt, sentLost: tt.sentLost}
			assert.Equal(t, a.isDue(&announcement{Directory: d.Digest(), Lost: tt.lost}, now), tt.want)
		})
	}
}

// TestStartingHostReadsAndDoesNotAnnounce checks the role of a host without a directory.
func TestStartingHostReadsAndDoesNotAnnounce(t *testing.T) {
	k := newTestKernel(t, "Self")
	announces, reads := decideRole(k, &kernel.State{})
	assert.Assert(t, reads && !announces)
}

// TestEvacuationIsAnnounced checks that the beginning and the end of an evacuation are
// announced at once, and are part of the whole directory.
func TestEvacuationIsAnnounced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		k := newTestKernel(t, "Self")
		s, announceToPeer := newAnnouncerWithPeer(k)
		s.ApplyDirectoryChange(&config.DirectoryChange{Revision: 1, Whole: true})
		peer := &kernel.State{ReadingState: kernel.ReadingState{
			HallAnnouncers: map[string]kernel.AnnouncerReport{}, OtherReaders: map[string]kernel.AnnouncerReport{},
		}}
		server := newServerWithoutFetches(k)
		announce := func(c *config.DirectoryChange) *config.Directory {
			time.Sleep(10 * time.Millisecond)
			s.ApplyDirectoryChange(c)
			n := announceToPeer()
			server.apply(peer, &n)
			return peer.Directory
		}
		// Both hosts have read the platform at their start.
		peer.ApplyDirectoryChange(&config.DirectoryChange{Revision: 1, Whole: true})
		announce(&config.DirectoryChange{Revision: 1, Whole: true})
		d := announce(&config.DirectoryChange{Revision: 2, Evacuated: []config.Evacuation{{Hall: "A", Revision: 2}}})
		assert.Assert(t, d.Evacuated("A"))
		d = announce(&config.DirectoryChange{Revision: 3, Resumed: []config.Removal{{Name: "A", Revision: 3}}})
		assert.Assert(t, !d.Evacuated("A"))
		s.ApplyDirectoryChange(&config.DirectoryChange{Revision: 4, Evacuated: []config.Evacuation{{Hall: "B", Revision: 4}}})
		whole := s.Directory.Whole()
		peer.ApplyDirectoryChange(&whole)
		assert.DeepEqual(t, peer.Directory.EvacuatedHalls(), []string{"B"})
	})
}

// TestChangeAfterMissedOneKeepsPosition guards against a host that missed an announcement, takes the next
// change for all there is up to its revision, and is fetched from: hosts that had the missed one lose it.
func TestChangeAfterMissedOneKeepsPosition(t *testing.T) {
	listing := func(name string, revision uint64) config.Listing {
		return config.Listing{Name: name, Group: "G", Hall: "A", Slots: 1, Revision: revision}
	}
	first := config.DirectoryChange{Revision: 1, Listed: []config.Listing{listing("U1", 1)}}
	second := config.DirectoryChange{Revision: 2, Listed: []config.Listing{listing("U2", 2)}}
	third := config.DirectoryChange{Revision: 3, Listed: []config.Listing{listing("U3", 3)}}
	var sender *config.Directory
	for _, c := range []config.DirectoryChange{first, second, third} {
		sender, _ = sender.With(&c)
	}
	m := announcement{Host: "Sender", Hall: "A", Change: &third, ChangeRevision: 2, Directory: sender.Digest(), DirectoryRevision: 3}
	for _, tt := range []struct {
		name    string
		has     []config.DirectoryChange
		want    []string
		upTo    uint64
		message announcement
	}{
		{"missed one", []config.DirectoryChange{first}, []string{"U1", "U3"}, 1, m},
		{"missed none", []config.DirectoryChange{first, second}, []string{"U1", "U2", "U3"}, 3, m},
		{"has the change", []config.DirectoryChange{first, second, third}, []string{"U1", "U2", "U3"}, 3, m},
		{"same content at a lower revision", []config.DirectoryChange{first, {Revision: 1, Listed: second.Listed}}, []string{"U1", "U2", "U3"}, 3, m},
	} {
		t.Run(tt.name, func(t *testing.T) {
			k := newTestKernel(t, "Self")
			server := newServerWithoutFetches(k)
			do(k, func(s *kernel.State) {
				for _, c := range tt.has {
					s.ApplyDirectoryChange(&c)
				}
				server.apply(s, &tt.message)
			})
			k.DoAndWait(func(s *kernel.State) {
				assert.Equal(t, s.Directory.Position(), config.Position{Revision: tt.upTo})
			})
			assert.DeepEqual(t, listedNames(k), tt.want)
			// A host that has all keeps it when it fetches this one's directory.
			whole := k.View().Directory.Whole()
			after, _ := sender.With(&whole)
			assert.Equal(t, after.Size(), 3)
		})
	}
}

package peers

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"loomgap/tier/config"
	"loomgap/tier/kernel"
	"loomgap/tier/policy"
)

// ranked returns names of hosts in their order for reading the platform.
func ranked(n int) []string {
	var names []string
	for i := range n {
		names = append(names, fmt.Sprint("H", i))
	}
	return Rank(watchKey, names)
}

// newsKernel makes a kernel of a host in hall A.
func newsKernel(t *testing.T, host string) *kernel.Kernel {
	k, stop := kernel.New(kernel.Config{
		Settings: kernel.Settings{Host: host, Hall: "A"}, Log: zerolog.Nop(), Started: time.Now(),
		Fleet: policy.NewFleet(policy.FleetConfig{}),
	})
	t.Cleanup(stop)
	return k
}

// serverWithoutFetches takes in announcements of a host that fetches nothing.
func serverWithoutFetches(k *kernel.Kernel) *announcementServer {
	return &announcementServer{kernel: k, fetches: &fetches{kernel: k, document: true, directory: true}}
}

// TestIsFirst has a host hear of others that rank before or after it.
func TestIsFirst(t *testing.T) {
	names := ranked(6)
	const now = time.Minute
	fresh := kernel.AnnouncerReport{At: now, Since: now - time.Second}
	silent := kernel.AnnouncerReport{At: now - announceLost, Since: 1}
	inVain := kernel.AnnouncerReport{At: now, Lost: true, Since: now - time.Second}
	tests := []struct {
		name string
		// heard is by place in the ranking; the host itself has place 4.
		heard map[int]kernel.AnnouncerReport
		want  bool
	}{
		{"nobody is heard of", nil, true},
		{"one before tells", map[int]kernel.AnnouncerReport{0: fresh}, false},
		{"one after tells", map[int]kernel.AnnouncerReport{5: fresh}, true},
		{"one before fell silent", map[int]kernel.AnnouncerReport{0: silent}, true},
		{"one before fell silent, another tells", map[int]kernel.AnnouncerReport{0: silent, 1: fresh}, false},
		{"one before reads in vain", map[int]kernel.AnnouncerReport{0: inVain}, true},
		{"three before read in vain", map[int]kernel.AnnouncerReport{0: inVain, 1: inVain, 2: inVain}, false},
		{"three before read in vain, one fell silent", map[int]kernel.AnnouncerReport{0: inVain, 1: inVain, 2: silent}, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				k := newsKernel(t, names[4])
				time.Sleep(now)
				heard := map[string]kernel.AnnouncerReport{}
				for place, h := range tt.heard {
					heard[names[place]] = h
				}
				r := newReaderRanking(&kernel.State{}, &k.Settings)
				assert.Equal(t, r.isFirst(k.Now(), heard, 0), tt.want)
			})
		})
	}
}

// hall is a data hall in virtual time whose hosts hear of one another a while
// after something was announced.
type hall struct {
	hosts []*hallHost
	delay time.Duration
}

type hallHost struct {
	settings kernel.Settings
	state    *kernel.State
	// tells is true while it announces, tried once it has.
	tells, tried bool
}

// newHall makes hosts that know of one another, of which some are strong.
func newHall(hosts, strong int, delay time.Duration) *hall {
	h := &hall{delay: delay}
	members := map[string]kernel.Member{}
	for i := range hosts {
		s := kernel.Settings{Host: fmt.Sprint("H", i), Hall: "A", Cores: 0.2}
		if i < strong {
			s.Cores = 0.8
		}
		members[s.Host] = kernel.Member{Host: s.Host, Hall: "A", Live: true, Capacity: s.Capacity()}
		h.hosts = append(h.hosts, &hallHost{settings: s})
	}
	for _, o := range h.hosts {
		mine := maps.Clone(members)
		delete(mine, o.settings.Host)
		o.state = &kernel.State{Members: mine, ReadingState: kernel.ReadingState{HallAnnouncers: map[string]kernel.AnnouncerReport{}}}
	}
	return h
}

// hear has all hosts but one hear an announcement of it.
func (h *hall) hear(from string, sent, now time.Duration, lost bool) {
	for _, o := range h.hosts {
		if o.settings.Host != from {
			o.state.HallAnnouncers[from] = o.state.HallAnnouncers[from].Next(max(now, sent+h.delay), lost)
		}
	}
}

// play has the hall decide who announces, from a time on, while the platform
// answers nobody, and returns how many hosts took over.
func (h *hall) play(from, until time.Duration) int {
	type sent struct {
		by string
		at time.Duration
	}
	var under []sent
	const step = 10 * time.Millisecond
	for now := from; now < until; now += step {
		for len(under) > 0 && now >= under[0].at+h.delay {
			h.hear(under[0].by, under[0].at, now, true)
			under = under[1:]
		}
		for i, o := range h.hosts {
			r := newReaderRanking(o.state, &o.settings)
			tells := r.isFirst(now, o.state.HallAnnouncers, r.hostsBefore(o.state))
			// Each announces when it takes over, and then at its own times.
			due := (now+time.Duration(i)*step)%announceEvery < step
			if tells && (!o.tells || due) {
				under = append(under, sent{o.settings.Host, now})
			}
			o.tells, o.tried = tells, o.tried || tells
		}
	}
	n := 0
	for _, o := range h.hosts {
		if o.tried {
			n++
		}
	}
	return n
}

// TestFewTakeOverFromALostReader has the announcer of a hall lose the platform,
// or fall silent, in halls of up to 117 hosts where messages take up to 40 ms.
func TestFewTakeOverFromALostReader(t *testing.T) {
	const now = time.Minute
	for _, hosts := range []int{3, 8, 50, 117} {
		for _, delay := range []time.Duration{0, 20 * time.Millisecond, 40 * time.Millisecond} {
			for _, lost := range []bool{true, false} {
				t.Run(fmt.Sprintf("%d hosts, %s, lost %t", hosts, delay, lost), func(t *testing.T) {
					h := newHall(hosts, min(3, hosts), delay)
					names := make([]string, 0, hosts)
					for _, o := range h.hosts {
						names = append(names, o.settings.Host)
					}
					first := slices.MinFunc(names, newReaderRanking(h.hosts[0].state, &h.hosts[0].settings).compare)
					for _, o := range h.hosts {
						o.state.HallAnnouncers[first] = kernel.AnnouncerReport{At: now - time.Millisecond, Since: now - time.Millisecond, Lost: lost}
						if !lost {
							o.state.HallAnnouncers[first] = kernel.AnnouncerReport{At: now - announceLost, Since: 1}
						}
					}
					tried := h.play(now, now+5*time.Second)
					assert.Assert(t, tried >= min(2, hosts-1), "%d took over", tried)
					assert.Assert(t, tried <= failedReadersMost+2, "%d took over", tried)
				})
			}
		}
	}
}

// TestReaderTellsOneHostOfEachOtherHall looks at whom a reader tells, and whom a
// host that only passes news on.
func TestReaderTellsOneHostOfEachOtherHall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		k := newsKernel(t, "Self")
		s := &kernel.State{ReadingState: kernel.ReadingState{Reading: true}, Members: map[string]kernel.Member{}}
		for i, n := range ranked(9) {
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
func TestNewsOfAnotherHallAreToldOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		names := ranked(2)
		k := newsKernel(t, names[1])
		told := &toldPeers{}
		k.Peers = told
		tl := &announcer{kernel: k}
		k.OnView(tl.onView)
		server := serverWithoutFetches(k)
		change := &config.DirectoryChange{Revision: 5, Listed: []config.Listing{{Name: "U1", Group: "G", Hall: "A", Slots: 1, Revision: 5}}}
		time.Sleep(time.Second)
		k.Do(func(s *kernel.State) {
			s.Directory, _ = s.Directory.With(&config.DirectoryChange{Revision: 1})
			s.Members["Mate"] = kernel.Member{Host: "Mate", Hall: "A", Live: true}
			s.Announcing = true
			server.learn(s, &announcement{Host: names[0], Hall: "B", Age: 100 * time.Millisecond, Change: change, DirectoryRevision: 5})
		})
		synctest.Wait()
		assert.Assert(t, told.hosts["Mate"])
		assert.DeepEqual(t, listedNames(k), []string{"U1"})
		reads := make(chan bool, 1)
		k.Do(func(s *kernel.State) {
			tells, r := roleOf(k, s)
			assert.Assert(t, tells)
			reads <- r
		})
		assert.Assert(t, !<-reads)
		time.Sleep(announceLost + takeoverStep*spreadSteps)
		k.Do(func(s *kernel.State) { _, r := roleOf(k, s); reads <- r })
		assert.Assert(t, <-reads, "the reader is gone")
	})
}

// TestHolesInTheDirectoryAreFilled has a host that lacks an upstream hear of a
// change of another one: it gets the whole list from the sender.
func TestHolesInTheDirectoryAreFilled(t *testing.T) {
	listings := func(names ...string) *config.DirectoryChange {
		c := &config.DirectoryChange{Revision: 3}
		for i, n := range names {
			c.Listed = append(c.Listed, config.Listing{Name: n, Group: "G", Hall: "A", Slots: 1, Revision: uint64(i + 1)})
		}
		return c
	}
	teller, _, at := newTestNode(t)
	serveFetches(teller, nil)
	teller.Do(func(s *kernel.State) { s.List(listings("U1", "U2", "U3")) })
	lacking, n, _ := newTestNode(t)
	server := &announcementServer{kernel: lacking, fetches: serveFetches(lacking, n)}
	lacking.Do(func(s *kernel.State) {
		first := listings("U1")
		first.Revision = 1
		s.List(first)
		change := &config.DirectoryChange{Revision: 3, Listed: listings("U1", "U2", "U3").Listed[2:]}
		server.learn(s, &announcement{Host: "T", Peer: at, Directory: teller.View().Directory.Digest(), DirectoryRevision: 3, Change: change})
	})
	for end := time.Now().Add(20 * time.Second); lacking.View().Directory.Size() < 3; time.Sleep(time.Millisecond) {
		assert.Assert(t, time.Now().Before(end), "%v", listedNames(lacking))
	}
	assert.DeepEqual(t, listedNames(lacking), []string{"U1", "U2", "U3"})
}

// sentNews keeps the last announcement to each host.
type sentNews struct {
	toldPeers
	last map[string]announcement
}

// Call implements kernel.PeerCaller.
func (p *sentNews) Call(_ context.Context, host, _ string, params, _ any) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.last[host] = params.(announcement)
	return nil
}

// TestReaderThatIsTurnedAwaySaysSo has the host that ranks first hear from other
// halls what is published while the platform turns it away: its own hall hears
// fresh news from it, other halls do not take it for a reader.
func TestReaderThatIsTurnedAwaySaysSo(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		k := newsKernel(t, "Self")
		k.Settings.WatchWait = time.Second
		sent := &sentNews{last: map[string]announcement{}}
		k.Peers = sent
		time.Sleep(time.Minute)
		s := &kernel.State{
			ReadingState: kernel.ReadingState{Reading: true, Announcing: true, SourceAt: k.Now() - 100*time.Millisecond},
			Members:      map[string]kernel.Member{},
		}
		s.Directory, _ = s.Directory.With(&config.DirectoryChange{Revision: 1})
		s.Members["Mate"] = kernel.Member{Host: "Mate", Hall: "A", Live: true}
		s.Members["Other"] = kernel.Member{Host: "Other", Hall: "B", Live: true}
		announce := func() {
			time.Sleep(announceEvery)
			(&announcer{kernel: k}).announce(s)
			synctest.Wait()
		}
		announce()
		assert.Assert(t, !sent.last["Mate"].Lost)
		assert.Assert(t, sent.last["Other"].Lost)
		s.ReadAt = k.Now()
		announce()
		assert.Assert(t, !sent.last["Other"].Lost)
	})
}

// TestEvacuationIsAnnounced has a reader hear of an evacuation and of its end: its
// hall is told both at once, and a host that missed them learns them with the whole
// directory.
func TestEvacuationIsAnnounced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		k := newsKernel(t, "Self")
		sent := &sentNews{last: map[string]announcement{}}
		k.Peers = sent
		tl := &announcer{kernel: k}
		s := &kernel.State{
			ReadingState: kernel.ReadingState{Reading: true, Announcing: true},
			Members:      map[string]kernel.Member{"Mate": {Host: "Mate", Hall: "A", Live: true}},
		}
		s.List(&config.DirectoryChange{Revision: 1, Whole: true})
		mate := &kernel.State{ReadingState: kernel.ReadingState{
			HallAnnouncers: map[string]kernel.AnnouncerReport{}, OtherReaders: map[string]kernel.AnnouncerReport{},
		}}
		server := serverWithoutFetches(k)
		told := func(c *config.DirectoryChange) *config.Directory {
			time.Sleep(10 * time.Millisecond)
			s.List(c)
			s.SourceAt, s.ReadAt = k.Now(), k.Now()
			tl.announce(s)
			synctest.Wait()
			sent.mu.Lock()
			defer sent.mu.Unlock()
			n := sent.last["Mate"]
			server.learn(mate, &n)
			return mate.Directory
		}
		told(&config.DirectoryChange{Revision: 1, Whole: true})
		d := told(&config.DirectoryChange{Revision: 2, Evacuated: []config.Evacuation{{Hall: "A", Revision: 2}}})
		assert.Assert(t, d.Evacuated("A"))
		d = told(&config.DirectoryChange{Revision: 3, Resumed: []config.Removal{{Name: "A", Revision: 3}}})
		assert.Assert(t, !d.Evacuated("A"))
		s.List(&config.DirectoryChange{Revision: 4, Evacuated: []config.Evacuation{{Hall: "B", Revision: 4}}})
		whole := s.Directory.Whole()
		mate.List(&whole)
		assert.DeepEqual(t, mate.Directory.EvacuatedHalls(), []string{"B"})
	})
}

package peers

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"loomgap/tier/kernel"
)

// rankedHosts returns the names of n hosts, ranked for reading the platform.
func rankedHosts(n int) []string {
	var names []string
	for i := range n {
		names = append(names, fmt.Sprint("H", i))
	}
	return Rank(watchKey, names)
}

// TestIsFirst checks whether a host takes over, given the announcements of hosts that rank
// before or after it.
func TestIsFirst(t *testing.T) {
	names := rankedHosts(6)
	const now = time.Minute
	fresh := kernel.AnnouncerReport{At: now, Since: now - time.Second}
	timedOut := kernel.AnnouncerReport{At: now - announcerTimeout, Since: 1}
	platformDown := kernel.AnnouncerReport{At: now, PlatformDown: true, Since: now - time.Second}
	tests := []struct {
		name string
		// announcers holds the reports of announcers by rank; the host itself has rank 4.
		announcers map[int]kernel.AnnouncerReport
		// served is true if a search has shown that the platform serves the host.
		served, want bool
	}{
		{"nobody is heard of", nil, false, true},
		{"one before tells", map[int]kernel.AnnouncerReport{0: fresh}, false, false},
		{"one after tells", map[int]kernel.AnnouncerReport{5: fresh}, false, true},
		{"one before fell silent", map[int]kernel.AnnouncerReport{0: timedOut}, false, true},
		{"one before fell silent, another tells", map[int]kernel.AnnouncerReport{0: timedOut, 1: fresh}, false, false},
		{"one before reads in vain", map[int]kernel.AnnouncerReport{0: platformDown}, false, false},
		{"one after reads in vain", map[int]kernel.AnnouncerReport{5: platformDown}, false, true},
		{"one before reads in vain, another fell silent", map[int]kernel.AnnouncerReport{0: platformDown, 1: timedOut}, false, false},
		{"served, nobody is heard of", nil, true, true},
		{"served, one before tells", map[int]kernel.AnnouncerReport{0: fresh}, true, false},
		{"served, one before reads in vain", map[int]kernel.AnnouncerReport{0: platformDown}, true, true},
		{"served, four before read in vain", map[int]kernel.AnnouncerReport{0: platformDown, 1: platformDown, 2: platformDown, 3: platformDown}, true, true},
		{"served, one before reads in vain, another tells", map[int]kernel.AnnouncerReport{0: platformDown, 1: fresh}, true, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				k := newTestKernel(t, names[4])
				time.Sleep(now)
				announcers := map[string]kernel.AnnouncerReport{}
				for rank, h := range tt.announcers {
					announcers[names[rank]] = h
				}
				s := &kernel.State{}
				if tt.served {
					s.FoundAt, s.OwnReadAt = now, now
				}
				r := newReaderRanking(s, &k.Settings)
				assert.Equal(t, r.isFirst(k.Now(), announcers, 0), tt.want)
			})
		})
	}
}

// hallModel simulates the hosts of a data hall in virtual time. Announcements arrive after a
// delay.
type hallModel struct {
	hosts []*hallModelHost
	delay time.Duration
}

type hallModelHost struct {
	settings kernel.Settings
	state    *kernel.State
	// announcing is true while the host announces, tookOver once it has.
	announcing, tookOver bool
}

// newHallModel returns a model of hosts that know each other; strong is the number of those
// with enough capacity to coordinate.
func newHallModel(hosts, strong int, delay time.Duration) *hallModel {
	h := &hallModel{delay: delay}
	members := map[string]kernel.Member{}
	for i := range hosts {
		s := kernel.Settings{Host: fmt.Sprint("H", i), Hall: "A", Cores: 0.2}
		if i < strong {
			s.Cores = 0.8
		}
		members[s.Host] = kernel.Member{Host: s.Host, Hall: "A", Live: true, Capacity: s.Capacity()}
		h.hosts = append(h.hosts, &hallModelHost{settings: s})
	}
	for _, o := range h.hosts {
		mine := maps.Clone(members)
		delete(mine, o.settings.Host)
		o.state = &kernel.State{Members: mine, ReadingState: kernel.ReadingState{HallAnnouncers: map[string]kernel.AnnouncerReport{}}}
	}
	return h
}

// allHaveAnnounced makes each host know an old announcement of each other one.
func (h *hallModel) allHaveAnnounced(at time.Duration) {
	for _, o := range h.hosts {
		for _, from := range h.hosts {
			if from != o {
				o.state.HallAnnouncers[from.settings.Host] = kernel.AnnouncerReport{At: at, Since: at}
			}
		}
	}
}

// first returns the host that ranks first.
func (h *hallModel) first() string {
	names := make([]string, 0, len(h.hosts))
	for _, o := range h.hosts {
		names = append(names, o.settings.Host)
	}
	return slices.MinFunc(names, newReaderRanking(h.hosts[0].state, &h.hosts[0].settings).compare)
}

// deliver delivers an announcement to all hosts except its sender.
func (h *hallModel) deliver(from string, sent, now time.Duration, platformDown bool) {
	for _, o := range h.hosts {
		if o.settings.Host != from {
			o.state.HallAnnouncers[from] = o.state.HallAnnouncers[from].Next(max(now, sent+h.delay), announcerTimeout, platformDown)
		}
	}
}

// run simulates which hosts announce while the platform answers nobody, and returns how many
// have taken over.
func (h *hallModel) run(from, until time.Duration) int {
	type sent struct {
		by string
		at time.Duration
	}
	var inFlight []sent
	const step = 10 * time.Millisecond
	for now := from; now < until; now += step {
		for len(inFlight) > 0 && now >= inFlight[0].at+h.delay {
			h.deliver(inFlight[0].by, inFlight[0].at, now, true)
			inFlight = inFlight[1:]
		}
		for i, o := range h.hosts {
			r := newReaderRanking(o.state, &o.settings)
			announcing := r.isFirst(now, o.state.HallAnnouncers, r.countRankedBefore(o.state, now))
			// Each host announces when it takes over, and then periodically.
			due := (now+time.Duration(i)*step)%announceInterval < step
			if announcing && (!o.announcing || due) {
				inFlight = append(inFlight, sent{o.settings.Host, now})
			}
			o.announcing, o.tookOver = announcing, o.tookOver || announcing
		}
	}
	n := 0
	for _, o := range h.hosts {
		if o.tookOver {
			n++
		}
	}
	return n
}

// takenOverBound is how many hosts may take over from a failed announcer: more than one only
// because announcements take time.
const takenOverBound = 5

// TestFewHostsTakeOverFromFailedReader checks that few hosts take over when the announcer fails,
// and none when it only loses the platform, regardless of the size of the hall, the delay of
// messages, and how many hosts have announced before.
func TestFewHostsTakeOverFromFailedReader(t *testing.T) {
	const now = time.Minute
	for _, hosts := range []int{3, 8, 50, 117} {
		for _, delay := range []time.Duration{0, 20 * time.Millisecond, 40 * time.Millisecond} {
			for _, announced := range []bool{false, true} {
				for _, platformDown := range []bool{true, false} {
					t.Run(fmt.Sprintf("%d hosts, %s, announced %t, lost %t", hosts, delay, announced, platformDown), func(t *testing.T) {
						h := newHallModel(hosts, min(3, hosts), delay)
						if announced {
							h.allHaveAnnounced(now / 2)
						}
						first := h.first()
						for _, o := range h.hosts {
							o.state.HallAnnouncers[first] = kernel.AnnouncerReport{At: now - time.Millisecond, Since: now - time.Millisecond, PlatformDown: platformDown}
							if !platformDown {
								o.state.HallAnnouncers[first] = kernel.AnnouncerReport{At: now - announcerTimeout, Since: 1}
							}
						}
						takenOver := h.run(now, now+5*time.Second)
						if platformDown {
							assert.Equal(t, takenOver, 1, "only the announcer itself")
							return
						}
						assert.Assert(t, takenOver >= min(2, hosts-1), "%d took over", takenOver)
						assert.Assert(t, takenOver <= takenOverBound, "%d took over", takenOver)
					})
				}
			}
		}
	}
}

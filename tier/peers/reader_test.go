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

// ranked returns names of hosts in their order for reading the platform.
func rankedHosts(n int) []string {
	var names []string
	for i := range n {
		names = append(names, fmt.Sprint("H", i))
	}
	return Rank(watchKey, names)
}

// TestIsFirst has a host hear of others that rank before or after it.
func TestIsFirst(t *testing.T) {
	names := rankedHosts(6)
	const now = time.Minute
	fresh := kernel.AnnouncerReport{At: now, Since: now - time.Second}
	silent := kernel.AnnouncerReport{At: now - announcerTimeout, Since: 1}
	inVain := kernel.AnnouncerReport{At: now, PlatformDown: true, Since: now - time.Second}
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
				k := newTestKernel(t, names[4])
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
type hallModel struct {
	hosts []*hallModelHost
	delay time.Duration
}

type hallModelHost struct {
	settings kernel.Settings
	state    *kernel.State
	// tells is true while it announces, tried once it has.
	announcing, tookOver bool
}

// newHall makes hosts that know of one another, of which some are strong.
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

// hear has all hosts but one hear an announcement of it.
func (h *hallModel) deliver(from string, sent, now time.Duration, lost bool) {
	for _, o := range h.hosts {
		if o.settings.Host != from {
			o.state.HallAnnouncers[from] = o.state.HallAnnouncers[from].Next(max(now, sent+h.delay), lost)
		}
	}
}

// play has the hall decide who announces, from a time on, while the platform
// answers nobody, and returns how many hosts took over.
func (h *hallModel) run(from, until time.Duration) int {
	type sent struct {
		by string
		at time.Duration
	}
	var under []sent
	const step = 10 * time.Millisecond
	for now := from; now < until; now += step {
		for len(under) > 0 && now >= under[0].at+h.delay {
			h.deliver(under[0].by, under[0].at, now, true)
			under = under[1:]
		}
		for i, o := range h.hosts {
			r := newReaderRanking(o.state, &o.settings)
			announcing := r.isFirst(now, o.state.HallAnnouncers, r.countRankedBefore(o.state))
			// Each announces when it takes over, and then at its own times.
			due := (now+time.Duration(i)*step)%announceInterval < step
			if announcing && (!o.announcing || due) {
				under = append(under, sent{o.settings.Host, now})
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

// TestFewTakeOverFromALostReader has the announcer of a hall lose the platform,
// or fall silent, in halls of up to 117 hosts where messages take up to 40 ms.
func TestFewTakeOverFromALostReader(t *testing.T) {
	const now = time.Minute
	for _, hosts := range []int{3, 8, 50, 117} {
		for _, delay := range []time.Duration{0, 20 * time.Millisecond, 40 * time.Millisecond} {
			for _, lost := range []bool{true, false} {
				t.Run(fmt.Sprintf("%d hosts, %s, lost %t", hosts, delay, lost), func(t *testing.T) {
					h := newHallModel(hosts, min(3, hosts), delay)
					names := make([]string, 0, hosts)
					for _, o := range h.hosts {
						names = append(names, o.settings.Host)
					}
					first := slices.MinFunc(names, newReaderRanking(h.hosts[0].state, &h.hosts[0].settings).compare)
					for _, o := range h.hosts {
						o.state.HallAnnouncers[first] = kernel.AnnouncerReport{At: now - time.Millisecond, Since: now - time.Millisecond, PlatformDown: lost}
						if !lost {
							o.state.HallAnnouncers[first] = kernel.AnnouncerReport{At: now - announcerTimeout, Since: 1}
						}
					}
					tried := h.run(now, now+5*time.Second)
					assert.Assert(t, tried >= min(2, hosts-1), "%d took over", tried)
					assert.Assert(t, tried <= maxFailedReaders+2, "%d took over", tried)
				})
			}
		}
	}
}

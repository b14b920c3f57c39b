package peers

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"loomgap/tier/config"
	"loomgap/tier/kernel"
	"loomgap/tier/policy"
)

const (
	// changeBound is the time within which a change has to be in force at all hosts.
	changeBound = 3 * time.Second
	// steadyReaders is how many hosts may keep reading a platform that serves nobody: the reader, and
	// those that took over before they had heard of it.
	steadyReaders = 3
	// testWatchWait is the wait of a watch in these tests.
	testWatchWait = 700 * time.Millisecond
	// testStartTime is the time in which hosts that start agree on a reader.
	testStartTime = 5 * time.Second
)

// runFleet runs a test in virtual time with a fleet that has agreed on a reader.
func runFleet(t *testing.T, c testFleetConfig, test func(t *testing.T, f *testFleet)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		f := newTestFleet(t, ctx, c)
		defer func() {
			cancel()
			time.Sleep(testStartTime)
		}()
		time.Sleep(testStartTime)
		test(t, f)
	})
}

// timeUntilListed returns how long it takes until all hosts list an upstream, at most limit.
func (f *testFleet) timeUntilListed(name string, limit time.Duration) time.Duration {
	const pollInterval = 20 * time.Millisecond
	took := time.Duration(0)
	for ; !f.listedByAll(name) && took < limit; took += pollInterval {
		time.Sleep(pollInterval)
	}
	return took
}

// checkListed checks that all hosts list an upstream in time.
func (f *testFleet) checkListed(t *testing.T, name string) {
	t.Helper()
	took := f.timeUntilListed(name, 2*changeBound)
	assert.Check(t, took <= changeBound, "%s after %s", name, took)
}

// checkChanges makes changes, one a second, and checks that each arrives in time.
func (f *testFleet) checkChanges(t *testing.T, count int) {
	t.Helper()
	for i := range count {
		name := fmt.Sprint("U", i+1)
		f.platform.list(name)
		f.checkListed(t, name)
		time.Sleep(time.Second)
	}
}

// TestChangesArriveWhileFirstHostsAreRefused guards against an old configuration that stays in
// force because the hosts that rank first are turned away and keep the others from reading.
func TestChangesArriveWhileFirstHostsAreRefused(t *testing.T) {
	tests := []struct{ hosts, halls, served int }{
		{6, 1, 3},
		{9, 1, 6},
		{9, 1, 1},
		{24, 1, 16},
		{24, 1, 1},
		{25, 5, 5},
		{24, 12, 1},
		{60, 1, 1},
		{300, 1, 200},
		{300, 1, 1},
		{300, 3, 1},
	}
	for _, tt := range tests {
		for _, how := range []refusal{refusedWithError, refusedWithSilence} {
			t.Run(fmt.Sprintf("%d hosts, %d halls, %d served, %s", tt.hosts, tt.halls, tt.served, how), func(t *testing.T) {
				if tt.hosts > maxFleetHosts {
					t.Skip("too many hosts for the race detector")
				}
				runFleet(t, testFleetConfig{Hosts: tt.hosts, Halls: tt.halls, WatchWait: testWatchWait}, func(t *testing.T, f *testFleet) {
					assert.Assert(t, f.reader() != "", "want exactly one reader")
					f.refuse(how, f.ranked()[:tt.hosts-tt.served]...)
					f.checkChanges(t, 4)
				})
			})
		}
	}
}

// TestChangesArriveInHallsThatAreCutOff checks the same while the halls cannot reach each other, and the
// platform serves one host of each.
func TestChangesArriveInHallsThatAreCutOff(t *testing.T) {
	for _, tt := range []struct{ hosts, halls int }{{9, 3}, {24, 3}, {24, 12}, {60, 5}} {
		for _, how := range []refusal{refusedWithError, refusedWithSilence} {
			t.Run(fmt.Sprintf("%d hosts, %d halls, %s", tt.hosts, tt.halls, how), func(t *testing.T) {
				runFleet(t, testFleetConfig{Hosts: tt.hosts, Halls: tt.halls, WatchWait: testWatchWait}, func(t *testing.T, f *testFleet) {
					served := map[string]string{}
					for _, h := range f.ranked() {
						served[f.kernels[h].Settings.Hall] = h
					}
					for _, h := range f.ranked() {
						if served[f.kernels[h].Settings.Hall] != h {
							f.refuse(how, h)
						}
					}
					f.cut.Store(true)
					f.checkChanges(t, 4)
				})
			})
		}
	}
}

// TestFoundHostTellsOtherHallsAtOnce guards against a host that a search finds and that tells its own hall
// of a change at once, but other halls only with its next periodic announcement, and without the change.
func TestFoundHostTellsOtherHallsAtOnce(t *testing.T) {
	for _, tt := range []struct{ hosts, halls int }{{2, 2}, {4, 2}, {9, 3}, {24, 3}} {
		t.Run(fmt.Sprintf("%d hosts, %d halls", tt.hosts, tt.halls), func(t *testing.T) {
			runFleet(t, testFleetConfig{Hosts: tt.hosts, Halls: tt.halls, WatchWait: testWatchWait}, func(t *testing.T, f *testFleet) {
				ranked := f.ranked()
				served := ranked[slices.IndexFunc(ranked, func(h string) bool { return f.kernels[h].Settings.Hall != f.kernels[ranked[0]].Settings.Hall })]
				for _, h := range ranked {
					if h != served {
						f.refuse(refusedWithError, h)
					}
				}
				f.platform.list("U1")
				for !f.listedByAny("U1") {
					time.Sleep(time.Millisecond)
				}
				took := f.timeUntilListed("U1", changeBound)
				assert.Check(t, took < announceInterval/4, "other halls learn of it %s later", took)
			})
		})
	}
}

// TestSilentAnnouncerOfOtherHallIsPassedOver guards against a hall that hears of no change because the one
// host of it that the reader tells is gone, and nobody knows that yet.
func TestSilentAnnouncerOfOtherHallIsPassedOver(t *testing.T) {
	for _, tt := range []struct{ hosts, halls int }{{4, 2}, {9, 3}, {24, 3}} {
		t.Run(fmt.Sprintf("%d hosts, %d halls", tt.hosts, tt.halls), func(t *testing.T) {
			runFleet(t, testFleetConfig{Hosts: tt.hosts, Halls: tt.halls, WatchWait: testWatchWait, Fetches: true}, func(t *testing.T, f *testFleet) {
				ranked := f.ranked()
				isFar := func(h string) bool { return f.kernels[h].Settings.Hall != f.kernels[ranked[0]].Settings.Hall }
				for _, h := range ranked {
					if isFar(h) {
						f.refuse(refusedWithError, h)
					}
				}
				gone := ranked[slices.IndexFunc(ranked, isFar)]
				f.end(gone)
				f.platform.list("U1")
				took := f.timeUntilListed("U1", 2*changeBound)
				assert.Check(t, took <= changeBound, "U1 after %s", took)
			})
		})
	}
}

// TestTakeoverReachesHallOfLostReader guards against a host that takes over from a reader that is gone and
// tells only that one, as the highest ranked host of its hall: the others hear of changes a time-out later.
func TestTakeoverReachesHallOfLostReader(t *testing.T) {
	for _, tt := range []struct{ hosts, halls int }{{4, 2}, {9, 3}, {24, 3}} {
		t.Run(fmt.Sprintf("%d hosts, %d halls", tt.hosts, tt.halls), func(t *testing.T) {
			runFleet(t, testFleetConfig{Hosts: tt.hosts, Halls: tt.halls, WatchWait: testWatchWait, Fetches: true}, func(t *testing.T, f *testFleet) {
				reader := f.ranked()[0]
				for _, h := range f.ranked()[1:] {
					if f.kernels[h].Settings.Hall == f.kernels[reader].Settings.Hall {
						f.refuse(refusedWithError, h)
					}
				}
				f.end(reader)
				f.platform.list("U1")
				for !f.listedByAny("U1") {
					time.Sleep(time.Millisecond)
				}
				took := f.timeUntilListed("U1", 2*changeBound)
				assert.Check(t, took <= announceInterval, "the hall of the lost reader learns of it %s later", took)
			})
		})
	}
}

// TestChangesArriveWhileRefusalsChange draws again and again which hosts the platform turns away, and
// how; a change comes at the same moment. Nothing reverts: an upstream that was removed stays so.
func TestChangesArriveWhileRefusalsChange(t *testing.T) {
	const draws = 12
	for seed := range uint64(6) {
		for _, tt := range []struct{ hosts, halls int }{{6, 1}, {24, 1}, {24, 3}} {
			t.Run(fmt.Sprintf("seed %d, %d hosts, %d halls", seed, tt.hosts, tt.halls), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					random := rand.New(rand.NewPCG(seed, 64))
					ctx, cancel := context.WithCancel(t.Context())
					f := newTestFleet(t, ctx, testFleetConfig{Hosts: tt.hosts, Halls: tt.halls, WatchWait: testWatchWait})
					time.Sleep(testStartTime)
					ranked := f.ranked()
					for i := range draws {
						served := random.IntN(tt.hosts)
						for n, h := range ranked {
							f.serve(h)
							if how := []refusal{"", refusedWithError, refusedWithError, refusedWithSilence}[random.IntN(4)]; n != served && how != "" {
								f.refuse(how, h)
							}
						}
						name, before := fmt.Sprint("U", i+1), fmt.Sprint("U", i)
						f.platform.list(name)
						f.platform.remove(before)
						f.checkListed(t, name)
						for range 20 {
							time.Sleep(time.Duration(random.IntN(300)) * time.Millisecond)
							assert.Check(t, !f.listedByAny(before), "%s is listed again", before)
						}
					}
					cancel()
					time.Sleep(testStartTime)
				})
			})
		}
	}
}

// TestPlatformThatServesNobodyIsReadRarely guards against a fleet that loads a platform that
// serves nobody, or one that comes back: beside a few hosts that keep reading, each host tries
// once a period, and the rate of all together has a bound at any size.
func TestPlatformThatServesNobodyIsReadRarely(t *testing.T) {
	const (
		outageTime = 20 * time.Second
		// steadyRate is the most reads per second of one of them, by minRetryDelay and its doubling.
		steadyRate = 5
	)
	tests := []struct{ hosts, halls int }{{3, 1}, {8, 1}, {9, 3}, {24, 1}, {24, 12}, {60, 1}, {60, 3}, {117, 1}, {300, 1}, {300, 3}}
	for _, tt := range tests {
		for _, how := range []refusal{refusedWithError, refusedWithSilence} {
			t.Run(fmt.Sprintf("%d hosts, %d halls, %s", tt.hosts, tt.halls, how), func(t *testing.T) {
				if tt.hosts > maxFleetHosts {
					t.Skip("too many hosts for the race detector")
				}
				runFleet(t, testFleetConfig{Hosts: tt.hosts, Halls: tt.halls, WatchWait: testWatchWait}, func(t *testing.T, f *testFleet) {
					f.resetReads()
					f.refuse(how, f.ranked()...)
					time.Sleep(outageTime)
					turns := int(outageTime/searchPeriod(tt.hosts)) + 1
					often := f.hostsWithMoreReads(turns)
					assert.Check(t, often <= steadyReaders, "%d hosts read more often than once a period", often)
					// The first search takes turns at maxSearchRate, the following ones at the rate that
					// the period leaves.
					most := min(tt.hosts, maxSearchRate) + steadyReaders*steadyRate
					assert.Check(t, f.readsWithin(time.Second) <= most, "%d reads in a second", f.readsWithin(time.Second))
					perSecond := f.readCount() / int(outageTime/time.Second)
					perSecondBound := min(tt.hosts*int(time.Second)/int(minSearchPeriod), repeatedSearchRate) + steadyReaders*2
					assert.Check(t, perSecond <= perSecondBound, "%d reads per second", perSecond)
					t.Logf("%d hosts keep reading, %d reads per second, %d in the busiest one", often, perSecond, f.readsWithin(time.Second))

					f.resetReads()
					for _, h := range f.ranked() {
						f.serve(h)
					}
					f.platform.list("Back")
					took := f.timeUntilListed("Back", 2*changeBound)
					assert.Check(t, took <= changeBound, "in force %s after the platform came back", took)
					most = min(tt.hosts/2, maxSearchRate/4) + 2*steadyReaders*steadyRate
					assert.Check(t, f.readsWithin(time.Second) <= most, "%d reads in a second when it is back", f.readsWithin(time.Second))
					t.Logf("back: in force after %s, %d reads in the busiest second", took, f.readsWithin(time.Second))
				})
			})
		}
	}
}

// TestStartWithoutPlatformIsCheap guards against hosts that start while the platform serves nobody and
// load it: they have no directory, and each reads at its own pace until it has one.
func TestStartWithoutPlatformIsCheap(t *testing.T) {
	const outageTime = 20 * time.Second
	for _, hosts := range []int{6, 24, 60, 117} {
		for _, how := range []refusal{refusedWithError, refusedWithSilence} {
			t.Run(fmt.Sprintf("%d hosts, %s", hosts, how), func(t *testing.T) {
				if hosts > maxFleetHosts {
					t.Skip("too many hosts for the race detector")
				}
				synctest.Test(t, func(t *testing.T) {
					ctx, cancel := context.WithCancel(t.Context())
					f := newTestFleet(t, ctx, testFleetConfig{Hosts: hosts, Halls: 1, WatchWait: testWatchWait, Refused: how})
					time.Sleep(outageTime)
					perSecond := f.readCount() / int(outageTime/time.Second)
					bound := min(hosts*int(time.Second)/int(minSearchPeriod), repeatedSearchRate) + 2*steadyReaders
					assert.Check(t, perSecond <= bound, "%d reads per second, %d in the busiest one", perSecond, f.readsWithin(time.Second))
					f.resetReads()
					for _, h := range f.ranked() {
						f.serve(h)
					}
					time.Sleep(changeBound)
					assert.Check(t, f.listedByAny("U0"), "nobody has read the platform since it came back")
					most := hosts + 2*steadyReaders
					assert.Check(t, f.readsWithin(time.Second) <= most, "%d reads in a second when it is back", f.readsWithin(time.Second))
					cancel()
					time.Sleep(testStartTime)
				})
			})
		}
	}
}

// TestOldRefusalHoldsNoRemoval guards against an upstream that gets requests for seconds after it has
// left, because a host that takes over reading was turned away long ago and takes its return for the
// platform's.
func TestOldRefusalHoldsNoRemoval(t *testing.T) {
	for _, hosts := range []int{4, 9} {
		t.Run(fmt.Sprint(hosts), func(t *testing.T) {
			runRefusedLongAgo(t, hosts, func(f *testFleet, ranked []string) {
				f.refuse(refusedWithError, ranked[0])
				f.platform.remove("U1")
				time.Sleep(changeBound)
				assert.Assert(t, f.kernels[ranked[1]].View().Reading)
				assert.Assert(t, !f.listedByAny("U1"), "listed %s after it left", changeBound)
			})
		})
	}
}

// TestAllHostsHoldRemovalsAfterOutage guards against upstreams that are not used although they run:
// their entries expired in an outage, and the second host that reads again did not take it for one.
func TestAllHostsHoldRemovalsAfterOutage(t *testing.T) {
	for _, hosts := range []int{4, 9} {
		for range 10 {
			t.Run(fmt.Sprint(hosts), func(t *testing.T) {
				runRefusedLongAgo(t, hosts, func(f *testFleet, ranked []string) {
					f.refuse(refusedWithError, ranked...)
					f.platform.remove("U1")
					time.Sleep(10 * time.Second)
					for _, h := range ranked {
						f.serve(h)
					}
					for range 20 {
						time.Sleep(removalHoldTime / 25)
						assert.Assert(t, f.listedByAll("U1"), "it has no time to register again")
					}
					time.Sleep(changeBound)
					assert.Assert(t, !f.listedByAny("U1"))
				})
			})
		}
	}
}

// runRefusedLongAgo runs a test with hosts of which the platform has turned the first two away for a
// while, long before.
func runRefusedLongAgo(t *testing.T, hosts int, test func(f *testFleet, ranked []string)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		f := newTestFleet(t, ctx, testFleetConfig{Hosts: hosts, Halls: 1, WatchWait: testWatchWait})
		defer func() {
			cancel()
			time.Sleep(testStartTime)
		}()
		ranked := f.ranked()
		time.Sleep(testStartTime)
		f.platform.list("U1")
		f.refuse(refusedWithError, ranked[:2]...)
		time.Sleep(10 * time.Second)
		f.serve(ranked[0])
		f.serve(ranked[1])
		time.Sleep(20 * time.Second)
		assert.Equal(t, f.reader(), ranked[0])
		test(f, ranked)
	})
}

// TestChangesArriveThroughTheServedCalls guards against an old configuration that stays in force
// because the platform refuses watches and serves reads, or the reverse.
func TestChangesArriveThroughTheServedCalls(t *testing.T) {
	const (
		changes = 10
		// readRate is the most reads per second of all hosts together, some of them whole ones.
		readRate = 8
	)
	for _, tt := range []struct{ hosts, halls int }{{1, 1}, {6, 1}, {9, 3}, {24, 1}} {
		for _, how := range []refusal{refusedWatches, refusedReads} {
			t.Run(fmt.Sprintf("%d hosts, %d halls, %s refused", tt.hosts, tt.halls, how), func(t *testing.T) {
				runFleet(t, testFleetConfig{Hosts: tt.hosts, Halls: tt.halls, WatchWait: testWatchWait}, func(t *testing.T, f *testFleet) {
					f.resetReads()
					f.refuse(how, f.ranked()...)
					began := time.Now()
					f.checkChanges(t, changes)
					seconds := int(time.Since(began).Seconds()) + 1
					reads := f.readCount()
					assert.Check(t, reads <= readRate*seconds, "%d reads in %d s", reads, seconds)
					t.Logf("%d reads in %d s", reads, seconds)
				})
			})
		}
	}
}

// TestChangesArriveWhileSomeGetAnOlderState guards against an old configuration that stays in force
// because the platform answers the reader with an older state, and nobody else asks.
func TestChangesArriveWhileSomeGetAnOlderState(t *testing.T) {
	for _, tt := range []struct{ hosts, halls, older int }{{9, 1, 1}, {9, 1, 3}, {24, 1, 8}, {24, 3, 8}, {25, 5, 1}} {
		t.Run(fmt.Sprintf("%d hosts, %d halls, %d get an older state", tt.hosts, tt.halls, tt.older), func(t *testing.T) {
			runFleet(t, testFleetConfig{Hosts: tt.hosts, Halls: tt.halls, WatchWait: testWatchWait}, func(t *testing.T, f *testFleet) {
				f.refuse(olderState, f.ranked()[:tt.older]...)
				f.checkChanges(t, 4)
			})
		})
	}
}

// TestSearchIsLogged checks that a host says what it knows: that it is refused itself, who has lost
// the platform, and that nobody is answered only once every host has tried.
func TestSearchIsLogged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var log strings.Builder
		k, stop := kernel.New(kernel.Config{
			Settings: kernel.Settings{Host: "H1", Hall: "A", WatchWait: testWatchWait}, Log: zerolog.New(&log), Started: time.Now(),
			Fleet: policy.NewFleet(policy.FleetConfig{}),
		})
		defer stop()
		time.Sleep(time.Minute)
		s := &kernel.State{Members: map[string]kernel.Member{"H2": {Host: "H2", Hall: "A", Live: true}}}
		s.Directory, _ = s.Directory.With(&config.DirectoryChange{Revision: 1})
		report := func(lost bool) {
			s.HallAnnouncers = map[string]kernel.AnnouncerReport{"H2": s.HallAnnouncers["H2"].Next(k.Now(), announcerTimeout, lost)}
		}
		var f search
		check := func(want ...string) {
			t.Helper()
			log.Reset()
			f.check(k, s)
			assert.Equal(t, strings.Count(log.String(), "\n"), len(want), log.String())
			for _, w := range want {
				assert.Assert(t, strings.Contains(log.String(), w), log.String())
			}
		}
		s.PlatformReadAt = k.Now()
		report(false)
		check()
		time.Sleep(maxReadAge(&k.Settings) + time.Millisecond)
		report(true)
		check(`"Hosts":2,"Lost":["H2"],"PlatformAgeMillis":1201,"message":"no known host reads the platform, hosts try in turn"`)
		log.Reset()
		for range 2 {
			f.refused(k, s, errUnavailable)
		}
		assert.Equal(t, strings.Count(log.String(), "platform does not answer this host, others may be served"), 1)
		check()
		time.Sleep(minSearchPeriod)
		check(`"Hosts":2,"Lost":["H2"],"PlatformAgeMillis":3201,"message":"platform answers no known host, each has tried"`)
		check()
		s.PlatformReadAt = k.Now()
		report(false)
		check(`"Answered":["H2"],"PlatformAgeMillis":0,"message":"platform answers a known host"`)
	})
}

// TestSearchTurnIsTakenOnce guards against hosts that take each turn twice: what they know of the last read
// moves with each message by the time that the message took, and their turns with it.
func TestSearchTurnIsTakenOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const searchTime = 20 * time.Second
		k, stop := kernel.New(kernel.Config{
			Settings: kernel.Settings{Host: "H1", Hall: "A", WatchWait: testWatchWait}, Log: zerolog.Nop(), Started: time.Now(),
			Fleet: policy.NewFleet(policy.FleetConfig{}),
		})
		defer stop()
		time.Sleep(time.Minute)
		s := &kernel.State{Members: map[string]kernel.Member{"H2": {Host: "H2", Hall: "A", Live: true}}}
		s.Directory, _ = s.Directory.With(&config.DirectoryChange{Revision: 1})
		s.PlatformReadAt = k.Now() - maxReadAge(&k.Settings)
		var f search
		turns := 0
		for end := time.Now().Add(searchTime); time.Now().Before(end); time.Sleep(searchCheckInterval) {
			if f.check(k, s).isDue {
				turns++
			}
			s.PlatformReadAt += time.Millisecond / 4
		}
		assert.Equal(t, turns, int(searchTime/minSearchPeriod))
	})
}

// TestSearchTurns checks that turns follow the rank, double and then keep to maxSearchRate, and that
// they repeat after a period that bounds the rate of a large fleet.
func TestSearchTurns(t *testing.T) {
	const second = time.Second
	last := time.Duration(-1)
	for rank := range 1000 {
		at := searchOffset(rank)
		assert.Assert(t, at > last, "rank %d", rank)
		assert.Assert(t, rank < 2 || at-last >= second/maxSearchRate-time.Microsecond, "rank %d follows after %s", rank, at-last)
		last = at
	}
	assert.Equal(t, searchOffset(1), searchStep)
	assert.Assert(t, searchOffset(299) < second, "300 hosts try within a second")
	assert.Equal(t, searchPeriod(24), minSearchPeriod)
	assert.Equal(t, searchPeriod(1000), 5*second)
	for _, tt := range []struct{ now, want time.Duration }{{5, 10}, {10, 10}, {12, 10}, {13, 13}, {20, 19}} {
		assert.Equal(t, currentTurn(tt.now*second, 10*second, 3*second), tt.want*second)
	}
}

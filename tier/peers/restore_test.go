package peers

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"loomgap/tier/config"
	"loomgap/tier/kernel"
)

// settleMost is by when an era is settled: the platform is read within retryMost.
const maxSettleTime = settleAfter + maxRetryDelay + time.Second

// report has an upstream report itself.
func (p *fakePlatform) report(name string, leaving bool) {
	p.change(config.DirectoryChange{Listed: []config.Listing{{Name: name, Group: "G", Slots: 1, Leaving: leaving}}})
}

// now is the platform's revision.
func (p *fakePlatform) now() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.revision
}

func leavingNames(k *kernel.Kernel) []string {
	out := []string{}
	for _, l := range k.View().Directory.All() {
		if l.Leaving {
			out = append(out, l.Name)
		}
	}
	return out
}

// returned runs a test of a feed whose platform names eras from the start.
func runFeedWithEras(t *testing.T, test func(p *fakePlatform, k *kernel.Kernel)) {
	runFeed(t, func(p *fakePlatform, k *kernel.Kernel) {
		p.set(func() {
			p.era = 1
			for i := range p.changes {
				p.changes[i].Era = 1
			}
		})
		advance(2 * maxSettleTime) // until the first era is settled
		test(p, k)
	})
}

// TestFeedKeepsWhatACopyLacks has the platform lose an upstream that lives, which lists
// itself again late, and one that has ended meanwhile.
func TestFeedKeepsWhatABackupLacks(t *testing.T) {
	runFeedWithEras(t, func(p *fakePlatform, k *kernel.Kernel) {
		old := p.now()
		p.list("U3", "U4")
		advance(time.Second)
		p.restore(old)
		advance(2 * time.Second)
		assert.DeepEqual(t, listedNames(k), []string{"U1", "U2", "U3", "U4"})
		p.list("U3")
		advance(time.Second)
		assert.DeepEqual(t, listedNames(k), []string{"U1", "U2", "U3"}) // lapseHold has passed
		advance(maxSettleTime)
		assert.DeepEqual(t, listedNames(k), []string{"U1", "U2", "U3"})
	})
}

// TestFeedDoesNotTakeBackWhatHasLeft has a copy list one upstream that has left and call
// one ready that leaves: the store drops the first after its silent status reports, and
// the second says again that it leaves.
func TestFeedDoesNotRelistWhatHasLeft(t *testing.T) {
	runFeedWithEras(t, func(p *fakePlatform, k *kernel.Kernel) {
		old := p.now()
		p.remove("U1")
		p.report("U2", true)
		advance(time.Second)
		p.restore(old)
		for range 35 {
			advance(100 * time.Millisecond)
			assert.DeepEqual(t, listedNames(k), []string{"U2"})
			assert.DeepEqual(t, leavingNames(k), []string{"U2"})
		}
		p.report("U2", true)
		p.remove("U1")
		advance(maxSettleTime)
		assert.DeepEqual(t, listedNames(k), []string{"U2"})
		assert.DeepEqual(t, leavingNames(k), []string{"U2"})
	})
}

// TestFeedTakesWhatStandsOnceSettled has a copy list an upstream that was taken for gone
// and lives: the platform still lists it when its silent status reports would have ended
// its entry.
func TestFeedAcceptsPlatformStateOnceSettled(t *testing.T) {
	runFeedWithEras(t, func(p *fakePlatform, k *kernel.Kernel) {
		old := p.now()
		p.remove("U1")
		advance(time.Second)
		p.restore(old)
		advance(maxSettleTime)
		assert.DeepEqual(t, listedNames(k), []string{"U1", "U2"})
	})
}

// TestFeedTakesChangesAtRevisionsGivenOutAgain has changes of the new history get the
// revisions that hosts have seen for others: after the first read, and before it.
func TestFeedAppliesChangesAtReusedRevisions(t *testing.T) {
	for _, name := range []string{"read before they are made", "read after they are made"} {
		t.Run(name, func(t *testing.T) {
			runFeedWithEras(t, func(p *fakePlatform, k *kernel.Kernel) {
				old := p.now()
				for range 5 {
					p.report("U1", false)
				}
				advance(time.Second)
				p.restore(old)
				if name == "read before they are made" {
					advance(time.Second)
				}
				p.list("U3")
				p.report("U2", true)
				advance(time.Second)
				assert.DeepEqual(t, listedNames(k), []string{"U1", "U2", "U3"})
				assert.DeepEqual(t, leavingNames(k), []string{"U2"})
			})
		})
	}
}

// TestFeedMissesNothingWhenTheRevisionIsReachedAgain has the new history pass the revision
// that the host would read on from, before the host asks.
func TestFeedMissesNothingWhenRevisionIsReused(t *testing.T) {
	runFeedWithEras(t, func(p *fakePlatform, k *kernel.Kernel) {
		old := p.now()
		p.report("U1", false)
		p.set(func() { p.unavailable = true })
		advance(4 * time.Second)
		p.restore(old)
		p.list("U3")
		for range 5 {
			p.report("U1", false)
		}
		p.set(func() { p.unavailable = false })
		advance(maxRetryDelay + 500*time.Millisecond)
		assert.DeepEqual(t, listedNames(k), []string{"U1", "U2", "U3"})
	})
}

// TestFeedReadsAnewAtOnce has a platform come back: the host reads it whole within its
// next read, once, and once more when the era is settled.
func TestFeedRereadsAtOnceAfterRestore(t *testing.T) {
	runFeedWithEras(t, func(p *fakePlatform, k *kernel.Kernel) {
		var before int
		p.set(func() { before = len(p.reads) })
		old := p.now()
		p.list("U3")
		advance(time.Second)
		p.restore(old)
		p.list("U4")
		advance(100 * time.Millisecond)
		assert.DeepEqual(t, listedNames(k), []string{"U1", "U2", "U3", "U4"})
		advance(maxSettleTime)
		p.set(func() { assert.DeepEqual(t, p.reads[before:], []bool{true, true}) })
	})
}

// TestFeedFollowsEvacuationsAcrossAReturn has a copy lack an evacuation that began and
// hold one that ended; each is written again, or is not.
func TestFeedFollowsEvacuationsAcrossRestore(t *testing.T) {
	for _, again := range []bool{true, false} {
		name := "not written again"
		if again {
			name = "written again"
		}
		t.Run(name, func(t *testing.T) {
			runFeedWithEras(t, func(p *fakePlatform, k *kernel.Kernel) {
				p.evacuate("Ended")
				old := p.now()
				p.resume("Ended")
				p.evacuate("Begun")
				advance(time.Second)
				p.restore(old)
				advance(3 * time.Second)
				assert.DeepEqual(t, k.View().Directory.EvacuatedHalls(), []string{"Begun"})
				want := []string{"Ended"}
				if again {
					p.evacuate("Begun")
					p.resume("Ended")
					advance(time.Second)
					want = []string{"Begun"}
					assert.DeepEqual(t, k.View().Directory.EvacuatedHalls(), want)
				}
				advance(maxSettleTime)
				assert.DeepEqual(t, k.View().Directory.EvacuatedHalls(), want)
			})
		})
	}
}

// TestFeedFollowsASecondReturn has the platform come back twice before the first return
// is over, and be away before and after.
func TestFeedFollowsSecondRestore(t *testing.T) {
	runFeedWithEras(t, func(p *fakePlatform, k *kernel.Kernel) {
		old := p.now()
		p.remove("U1")
		p.list("U3")
		advance(time.Second)
		p.set(func() { p.unavailable = true })
		advance(2 * time.Second)
		p.restore(old)
		p.set(func() { p.unavailable = false })
		advance(maxRetryDelay + 500*time.Millisecond)
		assert.DeepEqual(t, listedNames(k), []string{"U2", "U3"})
		p.list("U4")
		advance(300 * time.Millisecond) // less than lapseHold since the return
		p.set(func() { p.unavailable = true })
		p.restore(old)
		advance(3 * time.Second)
		p.set(func() { p.unavailable = false })
		advance(maxRetryDelay + 500*time.Millisecond)
		assert.DeepEqual(t, listedNames(k), []string{"U2", "U3", "U4"})
		p.remove("U1")
		p.list("U3", "U4")
		advance(maxSettleTime)
		assert.DeepEqual(t, listedNames(k), []string{"U2", "U3", "U4"})
	})
}

// TestChangesAfterAReturnReachAllHosts has hosts of two halls follow a platform that is
// away for two seconds and comes back from a copy. Each change that is made from then on,
// at revisions given out before, is known to all within the 3 s in which it is due, the
// first included. The platform is asked for everything by few, and no more often than one
// host that reads on asks and some that look whether it is back.
func TestChangesAfterRestoreReachAllHosts(t *testing.T) {
	const (
		bound   = 3 * time.Second
		look    = 50 * time.Millisecond
		changes = 10
	)
	for _, hosts := range []int{4, 16} {
		t.Run(fmt.Sprint(hosts), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				f := newTestFleet(t, ctx, hosts)
				p := f.platform
				p.set(func() { p.era = 1 })
				time.Sleep(2 * maxSettleTime)
				old := p.now()
				for i := range 2 * changes {
					p.list(fmt.Sprint("Lost", i))
				}
				time.Sleep(time.Second)
				p.set(func() { p.unavailable = true })
				time.Sleep(2 * time.Second)
				p.restore(old)
				var reads, watches int
				p.set(func() { p.unavailable, reads, watches = false, len(p.reads), p.watches })
				began := time.Now()
				for i := range changes {
					name := fmt.Sprint("New", i)
					p.list(name)
					took := time.Duration(0)
					for ; !f.knownBy(name) && took < 2*bound; took += look {
						time.Sleep(look)
					}
					assert.Check(t, took <= bound, "%s after %s", name, took)
				}
				seconds := int(time.Since(began).Seconds()) + 1
				p.set(func() {
					assert.Check(t, len(p.reads)-reads <= 2*maxFailedReaders+1, "%d whole reads", len(p.reads)-reads)
					assert.Check(t, p.watches-watches <= 2*2*maxFailedReaders+4*seconds, "%d watches in %d s", p.watches-watches, seconds)
				})
				cancel()
				time.Sleep(5 * time.Second)
			})
		})
	}
}

// TestStartingReaderLearnsWhatTheCopyLacks has a host start after the platform came back,
// read its copy and then meet a host that knows the era before, which announces nothing.
func TestStartingReaderLearnsWhatTheBackupLacks(t *testing.T) {
	runFeedWithEras(t, func(p *fakePlatform, k *kernel.Kernel) {
		old := p.now()
		p.remove("U1")
		p.list("U3")
		advance(time.Second)
		knowing := k.View().Directory.Whole()
		p.restore(old)
		fresh, _ := (*config.Directory)(nil).With(&config.DirectoryChange{Era: 2, Revision: old, Whole: true})
		read, err := p.Read(t.Context(), true)
		assert.NilError(t, err)
		read.Directory.MarkCopied()
		fresh, _ = fresh.With(&read.Directory)
		assert.Assert(t, fresh.Unsettled())
		fresh, _ = fresh.With(&knowing)
		assert.Equal(t, fresh.Digest(), k.View().Directory.Digest())
	})
}

// TestDocumentWithoutANumberDoesNotGoBack has documents whose author gives no version: one
// that a copy holds is not put in force, and one that is written after the return is.
func TestDocumentWithoutVersionIsNotRolledBack(t *testing.T) {
	k := newTestKernel(t, "Self")
	done := make(chan struct{})
	k.Do(func(s *kernel.State) {
		defer close(done)
		r := &eraTracker{}
		read := func(era, revision uint64, whole bool) {
			at := config.Position{Era: era, Revision: revision}
			p := &kernel.Published{
				Position: at, Document: &config.Document{}, Edition: config.Edition{Position: at},
				Directory: config.DirectoryChange{Era: era, Revision: revision, Whole: whole},
			}
			r.observe(k, s, p, k.Now())
			s.ApplyDirectoryChange(&p.Directory)
			k.AcceptDocument(s, p.Document, p.Edition)
		}
		read(2, 58, false)
		read(3, 54, true)
		assert.Equal(t, s.Edition().Position, config.Position{Era: 2, Revision: 58})
		read(3, 55, false)
		assert.Equal(t, s.Edition().Position, config.Position{Era: 3, Revision: 55})
	})
	<-done
}

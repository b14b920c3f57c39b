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

// maxSettleTime is the longest time until an era is settled.
const maxSettleTime = settleAfter + maxRetryDelay + time.Second

// report makes an upstream report itself.
func (p *fakePlatform) report(name string, leaving bool) {
	p.change(config.DirectoryChange{Listed: []config.Listing{{Name: name, Group: "G", Slots: 1, Leaving: leaving}}})
}

// currentRevision returns the platform's revision.
func (p *fakePlatform) currentRevision() uint64 {
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

// runFeedWithEras runs a test of a feed whose platform has eras and whose first era is settled.
func runFeedWithEras(t *testing.T, test func(p *fakePlatform, k *kernel.Kernel)) {
	runFeed(t, func(p *fakePlatform, k *kernel.Kernel) {
		p.set(func() {
			p.era = 1
			for i := range p.changes {
				p.changes[i].Era = 1
			}
		})
		advance(2 * maxSettleTime)
		test(p, k)
	})
}

// TestFeedKeepsWhatABackupLacks checks that a live upstream that the backup lacks stays listed
// until it registers again, while one that does not register again is removed.
func TestFeedKeepsWhatABackupLacks(t *testing.T) {
	runFeedWithEras(t, func(p *fakePlatform, k *kernel.Kernel) {
		backup := p.currentRevision()
		p.list("U3", "U4")
		advance(time.Second)
		p.restore(backup)
		advance(2 * time.Second)
		assert.DeepEqual(t, listedNames(k), []string{"U1", "U2", "U3", "U4"})
		p.list("U3")
		advance(time.Second)
		assert.DeepEqual(t, listedNames(k), []string{"U1", "U2", "U3"}) // removalHoldTime has passed
		advance(maxSettleTime)
		assert.DeepEqual(t, listedNames(k), []string{"U1", "U2", "U3"})
	})
}

// TestFeedDoesNotRelistWhatHasLeft checks that outdated entries of a backup do not list an
// upstream that has left, or make a leaving one ready.
func TestFeedDoesNotRelistWhatHasLeft(t *testing.T) {
	runFeedWithEras(t, func(p *fakePlatform, k *kernel.Kernel) {
		backup := p.currentRevision()
		p.remove("U1")
		p.report("U2", true)
		advance(time.Second)
		p.restore(backup)
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

// TestFeedAcceptsPlatformStateOnceSettled checks that an upstream that was removed before the
// restore is listed again if the platform still lists it once the era is settled.
func TestFeedAcceptsPlatformStateOnceSettled(t *testing.T) {
	runFeedWithEras(t, func(p *fakePlatform, k *kernel.Kernel) {
		backup := p.currentRevision()
		p.remove("U1")
		advance(time.Second)
		p.restore(backup)
		advance(maxSettleTime)
		assert.DeepEqual(t, listedNames(k), []string{"U1", "U2"})
	})
}

// TestFeedAppliesChangesAtReusedRevisions checks that changes of the new history apply at
// revisions that hosts have seen in the earlier one.
func TestFeedAppliesChangesAtReusedRevisions(t *testing.T) {
	for _, name := range []string{"read before they are made", "read after they are made"} {
		t.Run(name, func(t *testing.T) {
			runFeedWithEras(t, func(p *fakePlatform, k *kernel.Kernel) {
				backup := p.currentRevision()
				for range 5 {
					p.report("U1", false)
				}
				advance(time.Second)
				p.restore(backup)
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

// TestFeedMissesNothingWhenRevisionIsReused checks that no change is missed if the new history
// has already passed the revision from which the host would continue.
func TestFeedMissesNothingWhenRevisionIsReused(t *testing.T) {
	runFeedWithEras(t, func(p *fakePlatform, k *kernel.Kernel) {
		backup := p.currentRevision()
		p.report("U1", false)
		p.set(func() { p.unavailable = true })
		advance(4 * time.Second)
		p.restore(backup)
		p.list("U3")
		for range 5 {
			p.report("U1", false)
		}
		p.set(func() { p.unavailable = false })
		advance(maxRetryDelay + 500*time.Millisecond)
		assert.DeepEqual(t, listedNames(k), []string{"U1", "U2", "U3"})
	})
}

// TestFeedRereadsAtOnceAfterRestore checks that after a restore the host reads everything with
// its next read, and once more when the era is settled.
func TestFeedRereadsAtOnceAfterRestore(t *testing.T) {
	runFeedWithEras(t, func(p *fakePlatform, k *kernel.Kernel) {
		var before int
		p.set(func() { before = len(p.reads) })
		backup := p.currentRevision()
		p.list("U3")
		advance(time.Second)
		p.restore(backup)
		p.list("U4")
		advance(100 * time.Millisecond)
		assert.DeepEqual(t, listedNames(k), []string{"U1", "U2", "U3", "U4"})
		advance(maxSettleTime)
		p.set(func() { assert.DeepEqual(t, p.reads[before:], []bool{true, true}) })
	})
}

// TestFeedFollowsEvacuationsAcrossRestore restores a backup that lacks an evacuation in progress
// and contains one that has ended. Operators then write both changes again or not.
func TestFeedFollowsEvacuationsAcrossRestore(t *testing.T) {
	for _, rewritten := range []bool{true, false} {
		name := "not written again"
		if rewritten {
			name = "written again"
		}
		t.Run(name, func(t *testing.T) {
			runFeedWithEras(t, func(p *fakePlatform, k *kernel.Kernel) {
				p.evacuate("Ended")
				backup := p.currentRevision()
				p.resume("Ended")
				p.evacuate("Begun")
				advance(time.Second)
				p.restore(backup)
				advance(3 * time.Second)
				assert.DeepEqual(t, k.View().Directory.EvacuatedHalls(), []string{"Begun"})
				want := []string{"Ended"}
				if rewritten {
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

// TestFeedFollowsSecondRestore restores the platform a second time, after another outage, before
// the era of the first restore is settled.
func TestFeedFollowsSecondRestore(t *testing.T) {
	runFeedWithEras(t, func(p *fakePlatform, k *kernel.Kernel) {
		backup := p.currentRevision()
		p.remove("U1")
		p.list("U3")
		advance(time.Second)
		p.set(func() { p.unavailable = true })
		advance(2 * time.Second)
		p.restore(backup)
		p.set(func() { p.unavailable = false })
		advance(maxRetryDelay + 500*time.Millisecond)
		assert.DeepEqual(t, listedNames(k), []string{"U2", "U3"})
		p.list("U4")
		advance(300 * time.Millisecond) // less than removalHoldTime since the outage
		p.set(func() { p.unavailable = true })
		p.restore(backup)
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

// TestChangesAfterRestoreReachAllHosts checks that each change after a restore, at a reused
// revision, reaches all hosts within 3 s, and that few hosts read everything from the platform
// or poll it.
func TestChangesAfterRestoreReachAllHosts(t *testing.T) {
	const (
		bound        = 3 * time.Second
		pollInterval = 50 * time.Millisecond
		changes      = 10
		// failedReaders is how many hosts of a hall may read before the platform is back.
		failedReaders = 3
	)
	for _, hosts := range []int{4, 16} {
		t.Run(fmt.Sprint(hosts), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				f := newTestFleet(t, ctx, testFleetConfig{Hosts: hosts, Halls: 2, WatchWait: time.Second})
				p := f.platform
				p.set(func() { p.era = 1 })
				time.Sleep(2 * maxSettleTime)
				backup := p.currentRevision()
				for i := range 2 * changes {
					p.list(fmt.Sprint("Lost", i))
				}
				time.Sleep(time.Second)
				p.set(func() { p.unavailable = true })
				time.Sleep(2 * time.Second)
				p.restore(backup)
				var reads, watches int
				p.set(func() { p.unavailable, reads, watches = false, len(p.reads), p.watches })
				began := time.Now()
				for i := range changes {
					name := fmt.Sprint("New", i)
					p.list(name)
					took := time.Duration(0)
					for ; !f.listedByAll(name) && took < 2*bound; took += pollInterval {
						time.Sleep(pollInterval)
					}
					assert.Check(t, took <= bound, "%s after %s", name, took)
				}
				seconds := int(time.Since(began).Seconds()) + 1
				p.set(func() {
					assert.Check(t, len(p.reads)-reads <= 2*failedReaders+1, "%d whole reads", len(p.reads)-reads)
					assert.Check(t, p.watches-watches <= 2*2*failedReaders+4*seconds, "%d watches in %d s", p.watches-watches, seconds)
				})
				cancel()
				time.Sleep(5 * time.Second)
			})
		})
	}
}

// TestStartingReaderLearnsWhatTheBackupLacks checks that a host that has read only the restored
// platform adopts the directory of a host that knows the earlier era.
func TestStartingReaderLearnsWhatTheBackupLacks(t *testing.T) {
	runFeedWithEras(t, func(p *fakePlatform, k *kernel.Kernel) {
		backup := p.currentRevision()
		p.remove("U1")
		p.list("U3")
		advance(time.Second)
		known := k.View().Directory.Whole()
		p.restore(backup)
		fresh, _ := (*config.Directory)(nil).With(&config.DirectoryChange{Era: 2, Revision: backup, Whole: true})
		read, err := p.Read(t.Context(), true)
		assert.NilError(t, err)
		read.Directory.MarkCopied()
		fresh, _ = fresh.With(&read.Directory)
		assert.Assert(t, fresh.Unsettled())
		fresh, _ = fresh.With(&known)
		assert.Equal(t, fresh.Digest(), k.View().Directory.Digest())
	})
}

// TestDocumentWithoutVersionIsNotRolledBack checks that a document without a version is not
// activated if it comes from a backup, while one written after the restore is.
func TestDocumentWithoutVersionIsNotRolledBack(t *testing.T) {
	k := newTestKernel(t, "Self")
	done := make(chan struct{})
	k.Do(func(s *kernel.State) {
		defer close(done)
		r := &eraTracker{}
		read := func(era, revision uint64, whole bool) {
			at := config.Position{Era: era, Revision: revision}
			p := &kernel.Published{
				Position: at, Document: &config.Translation{Document: &config.Document{}}, Edition: config.Edition{Position: at},
				Directory: config.DirectoryChange{Era: era, Revision: revision, Whole: whole},
			}
			r.observe(k, s, p, k.Now())
			s.ApplyDirectoryChange(&p.Directory)
			k.AcceptTranslation(s, p.Document, p.Edition)
		}
		read(2, 58, false)
		read(3, 54, true)
		assert.Equal(t, s.Edition().Position, config.Position{Era: 2, Revision: 58})
		read(3, 55, false)
		assert.Equal(t, s.Edition().Position, config.Position{Era: 3, Revision: 55})
	})
	<-done
}

package peers

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"loomgap/tier/config"
	"loomgap/tier/kernel"
	"loomgap/tier/policy"
)

var errUnavailable = errors.New("platform is away")

// fakePlatform is an in-memory platform: a list of changes, each with its revision.
type fakePlatform struct {
	mu sync.Mutex
	// era is the era of all reads; 0 for a platform without eras.
	era      uint64
	revision uint64
	// from is the lowest revision after which the history can be read.
	from    uint64
	changes []config.DirectoryChange
	// counts holds the number of reports of each upstream, which a restore does not reset.
	counts      map[string]uint64
	unavailable bool
	// stale is the number of revisions that a stale read lags behind.
	stale uint64
	// reads holds, for each read, whether it had to be consistent.
	reads   []bool
	watches int
	updated chan struct{}
}

func newFakePlatform() *fakePlatform {
	return &fakePlatform{counts: map[string]uint64{}, updated: make(chan struct{})}
}

func (p *fakePlatform) change(c config.DirectoryChange) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.revision++
	c.Era, c.Revision = p.era, p.revision
	for i := range c.Listed {
		name := c.Listed[i].Name
		p.counts[name]++
		c.Listed[i].Era, c.Listed[i].Revision, c.Listed[i].Sequence = p.era, p.revision, p.counts[name]
	}
	for i := range c.Removed {
		c.Removed[i].Era, c.Removed[i].Revision = p.era, p.revision
	}
	for i := range c.Evacuated {
		c.Evacuated[i].Era, c.Evacuated[i].Revision = p.era, p.revision
	}
	for i := range c.Resumed {
		c.Resumed[i].Era, c.Resumed[i].Revision = p.era, p.revision
	}
	p.changes = append(p.changes, c)
	close(p.updated)
	p.updated = make(chan struct{})
}

// restore restores the platform from a backup made at a revision.
func (p *fakePlatform) restore(revision uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.era++
	p.revision = revision
	p.changes = slices.DeleteFunc(p.changes, func(c config.DirectoryChange) bool { return c.Revision > revision })
	close(p.updated)
	p.updated = make(chan struct{})
}

func (p *fakePlatform) list(names ...string) {
	c := config.DirectoryChange{}
	for _, n := range names {
		c.Listed = append(c.Listed, config.Listing{Name: n, Group: "G", Address: netip.MustParseAddrPort("127.0.0.1:1"), Slots: 1})
	}
	p.change(c)
}

func (p *fakePlatform) remove(names ...string) {
	c := config.DirectoryChange{}
	for _, n := range names {
		c.Removed = append(c.Removed, config.Removal{Name: n})
	}
	p.change(c)
}

func (p *fakePlatform) evacuate(hall string) {
	p.change(config.DirectoryChange{Evacuated: []config.Evacuation{{Hall: hall}}})
}

func (p *fakePlatform) resume(hall string) {
	p.change(config.DirectoryChange{Resumed: []config.Removal{{Name: hall}}})
}

// Read implements kernel.Source.
func (p *fakePlatform) Read(_ context.Context, consistent bool) (*kernel.Published, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.unavailable {
		return nil, errUnavailable
	}
	p.reads = append(p.reads, consistent)
	upTo := p.revision
	if !consistent {
		upTo -= min(p.stale, p.revision-1)
	}
	var d *config.Directory
	for i := range p.changes {
		if p.changes[i].Revision <= upTo {
			d, _ = d.With(&p.changes[i])
		}
	}
	whole := d.Whole()
	whole.Era, whole.Revision, whole.Removed, whole.Resumed = p.era, upTo, nil, nil
	for i := range whole.Listed {
		whole.Listed[i].Era = p.era
	}
	for i := range whole.Evacuated {
		whole.Evacuated[i].Era = p.era
	}
	return &kernel.Published{Position: config.Position{Era: p.era, Revision: upTo}, Directory: whole}, nil
}

// Watch implements kernel.Source.
func (p *fakePlatform) Watch(ctx context.Context, after config.Position, wait time.Duration) (*kernel.Published, error) {
	p.set(func() { p.watches++ })
	out, updated, err := p.since(after)
	if err != nil || out.Position.Revision > after.Revision || wait == 0 {
		return out, err
	}
	select {
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-time.After(wait):
	case <-updated:
	}
	out, _, err = p.since(after)
	return out, err
}

// Newest implements kernel.Source.
func (p *fakePlatform) Newest(context.Context) (config.Position, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.unavailable {
		return config.Position{}, errUnavailable
	}
	return config.Position{Era: p.era, Revision: p.revision}, nil
}

func (p *fakePlatform) since(after config.Position) (*kernel.Published, chan struct{}, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.unavailable {
		return nil, nil, errUnavailable
	}
	if after.Revision < p.from || after.Era != p.era {
		return nil, nil, kernel.ErrHistoryGone
	}
	out := &kernel.Published{
		Position: config.Position{Era: p.era, Revision: p.revision}, Directory: config.DirectoryChange{Era: p.era, Revision: p.revision},
	}
	for _, c := range p.changes {
		if c.Revision > after.Revision {
			out.Directory.Listed = append(out.Directory.Listed, c.Listed...)
			out.Directory.Removed = append(out.Directory.Removed, c.Removed...)
			out.Directory.Evacuated = append(out.Directory.Evacuated, c.Evacuated...)
			out.Directory.Resumed = append(out.Directory.Resumed, c.Resumed...)
		}
	}
	return out, p.updated, nil
}

// set changes the platform's behaviour.
func (p *fakePlatform) set(change func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	change()
}

// runFeed runs a test of a feed in virtual time.
func runFeed(t *testing.T, test func(p *fakePlatform, k *kernel.Kernel)) {
	synctest.Test(t, func(t *testing.T) {
		k, stop := kernel.New(kernel.Config{
			Settings: kernel.Settings{Host: "H1", Hall: "A", WatchWait: 3 * time.Second}, Log: zerolog.Nop(), Started: time.Now(),
			Fleet: policy.NewFleet(policy.FleetConfig{Random: rand.New(rand.NewPCG(1, 2))}),
		})
		defer stop()
		p := newFakePlatform()
		p.list("U1", "U2")
		ctx, cancel := context.WithCancel(t.Context())
		f := newFeed(k, p)
		done := make(chan struct{})
		go func() {
			defer close(done)
			f.loop(ctx)
		}()
		advance(time.Second)
		test(p, k)
		cancel()
		<-done
	})
}

func advance(d time.Duration) {
	time.Sleep(d)
	synctest.Wait()
}

func listedNames(k *kernel.Kernel) []string {
	out := []string{}
	for _, l := range k.View().Directory.All() {
		out = append(out, l.Name)
	}
	return out
}

func TestFeedFollowsChanges(t *testing.T) {
	runFeed(t, func(p *fakePlatform, k *kernel.Kernel) {
		assert.DeepEqual(t, listedNames(k), []string{"U1", "U2"})
		assert.Assert(t, k.View().Confirmed)
		p.list("U3")
		p.remove("U1")
		advance(time.Second)
		assert.DeepEqual(t, listedNames(k), []string{"U2", "U3"})
		p.set(func() { assert.DeepEqual(t, p.reads, []bool{false}) })
	})
}

// TestFeedReadsWholeAfterLostHistory checks that the read after a loss of history is consistent:
// a stale one would list removed upstreams again.
func TestFeedReadsWholeAfterLostHistory(t *testing.T) {
	runFeed(t, func(p *fakePlatform, k *kernel.Kernel) {
		p.set(func() { p.stale, p.from = 3, p.revision+2 })
		p.remove("U1")
		p.list("U3")
		advance(5 * time.Second)
		assert.DeepEqual(t, listedNames(k), []string{"U2", "U3"})
		p.set(func() { assert.DeepEqual(t, p.reads, []bool{false, true}) })
	})
}

// TestFeedKeepsRemovedUpstreamsAfterOutage checks that upstreams whose entries expired during an
// outage stay listed until they had time to register again.
func TestFeedKeepsRemovedUpstreamsAfterOutage(t *testing.T) {
	runFeed(t, func(p *fakePlatform, k *kernel.Kernel) {
		p.set(func() { p.unavailable = true })
		p.remove("U1", "U2")
		advance(5 * time.Second)
		assert.DeepEqual(t, listedNames(k), []string{"U1", "U2"})
		p.set(func() { p.unavailable = false })
		advance(time.Second + maxRetryDelay)
		assert.DeepEqual(t, listedNames(k), []string{"U1", "U2"})
		p.list("U2")
		advance(removalHoldTime + time.Second)
		assert.DeepEqual(t, listedNames(k), []string{"U2"})
	})
}

// TestFeedAppliesRemovalsThatOtherHostsRead checks that removals are not held if the platform was
// unavailable only to this host.
func TestFeedAppliesRemovalsThatOtherHostsRead(t *testing.T) {
	runFeed(t, func(p *fakePlatform, k *kernel.Kernel) {
		p.set(func() { p.unavailable = true })
		for range 10 {
			advance(500 * time.Millisecond)
			k.Do(func(s *kernel.State) { s.PlatformReadAt = k.Now() })
		}
		p.remove("U1")
		p.set(func() { p.unavailable = false })
		advance(time.Second + maxRetryDelay/2)
		assert.DeepEqual(t, listedNames(k), []string{"U2"})
	})
}

// TestFeedKeepsUpstreamsRemovedJustAfterOutage checks that removals shortly after an outage are
// held as well.
func TestFeedKeepsUpstreamsRemovedJustAfterOutage(t *testing.T) {
	runFeed(t, func(p *fakePlatform, k *kernel.Kernel) {
		p.set(func() { p.unavailable = true })
		advance(5 * time.Second)
		p.set(func() { p.unavailable = false })
		advance(maxRetryDelay + 100*time.Millisecond)
		p.remove("U1", "U2")
		advance(time.Second)
		assert.DeepEqual(t, listedNames(k), []string{"U1", "U2"})
		p.list("U2")
		advance(removalHoldTime + time.Second)
		assert.DeepEqual(t, listedNames(k), []string{"U2"})
	})
}

func TestFeedMarksPlatformDown(t *testing.T) {
	runFeed(t, func(p *fakePlatform, k *kernel.Kernel) {
		down := func() bool {
			out := make(chan bool, 1)
			k.Do(func(s *kernel.State) { out <- s.PlatformDown })
			return <-out
		}
		assert.Assert(t, !down())
		p.set(func() { p.unavailable = true })
		p.list("U3")
		advance(5 * time.Second)
		assert.Assert(t, down())
		p.set(func() { p.unavailable = false })
		advance(3 * time.Second)
		assert.Assert(t, !down())
		assert.DeepEqual(t, listedNames(k), []string{"U1", "U2", "U3"})
	})
}

// TestReaderWithoutAnswersMarksPlatformDown checks that a host whose read hangs no longer
// announces reads and marks the platform as down, without waiting for the read to fail.
func TestReaderWithoutAnswersMarksPlatformDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		k, stop := kernel.New(kernel.Config{
			Settings: kernel.Settings{Host: "H1", Hall: "A"}, Log: zerolog.Nop(), Started: time.Now(),
			Fleet: policy.NewFleet(policy.FleetConfig{Random: rand.New(rand.NewPCG(1, 2))}),
		})
		defer stop()
		counter := &announcementCounter{}
		k.Peers = counter
		k.Do(func(s *kernel.State) {
			s.Reading, s.Announcing, s.AnnouncedReadAt = true, true, k.Now()+time.Nanosecond
			s.Members["H2"] = kernel.Member{Host: "H2", Hall: "A", Live: true}
			s.Directory, _ = s.Directory.With(&config.DirectoryChange{Revision: 1})
		})
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go (&announcer{kernel: k}).loop(ctx)
		advance(announceInterval + time.Millisecond)
		assert.Assert(t, counter.count() > 0)
		advance(maxReadAge(&k.Settings))
		before := counter.count()
		advance(time.Second)
		assert.Equal(t, counter.count(), before)
		done := make(chan bool, 1)
		k.Do(func(s *kernel.State) { done <- s.PlatformDown })
		assert.Assert(t, <-done)
	})
}

// announcementCounter counts announcements of hosts that can read the platform, and keeps the
// hosts that received them.
type announcementCounter struct {
	mu    sync.Mutex
	calls int
	hosts map[string]bool
}

func (p *announcementCounter) count() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.calls
}

// Call implements kernel.PeerCaller.
func (p *announcementCounter) Call(_ context.Context, host, _ string, params, _ any) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if m, ok := params.(announcement); ok && m.Lost {
		return nil
	}
	p.calls++
	if p.hosts == nil {
		p.hosts = map[string]bool{}
	}
	p.hosts[host] = true
	return nil
}

// Connect implements kernel.PeerCaller.
func (*announcementCounter) Connect(context.Context, string) error {
	return nil
}

// Notify implements kernel.PeerCaller.
func (p *announcementCounter) Notify(context.Context, string, string, any) error { return nil }

// TestFeedFollowsEvacuations checks that a host learns of the beginning and the end of an
// evacuation, even if the platform loses its history or is unavailable in between.
func TestFeedFollowsEvacuations(t *testing.T) {
	dropHistory := func(p *fakePlatform) { p.set(func() { p.from = p.revision }) }
	tests := []struct {
		name   string
		before func(p *fakePlatform)
		after  func(p *fakePlatform)
	}{
		{"told at once", func(*fakePlatform) {}, func(*fakePlatform) {}},
		{"history forgotten", func(*fakePlatform) {}, dropHistory},
		{"platform away", func(p *fakePlatform) { p.set(func() { p.unavailable = true }); advance(5 * time.Second) }, func(p *fakePlatform) { p.set(func() { p.unavailable = false }) }},
		{
			"platform away, and history forgotten",
			func(p *fakePlatform) { p.set(func() { p.unavailable = true }); advance(5 * time.Second) },
			func(p *fakePlatform) { dropHistory(p); p.set(func() { p.unavailable = false }) },
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			runFeed(t, func(p *fakePlatform, k *kernel.Kernel) {
				for range 2 {
					tt.before(p)
					p.evacuate("A")
					tt.after(p)
					advance(2 * time.Second)
					assert.DeepEqual(t, k.View().Directory.EvacuatedHalls(), []string{"A"})
					tt.before(p)
					p.resume("A")
					tt.after(p)
					advance(2 * time.Second)
					assert.Equal(t, len(k.View().Directory.EvacuatedHalls()), 0)
				}
			})
		})
	}
}

// TestWarmupsSpreadOnlyWhereGroupLimitsThem checks that the remaining warm-up of an upstream
// changes the directory only if its group limits the rate of cold upstreams.
func TestWarmupsSpreadOnlyWhereGroupLimitsThem(t *testing.T) {
	for _, rate := range []float64{0, 4} {
		t.Run(fmt.Sprint("ColdRate=", rate), func(t *testing.T) {
			runFeed(t, func(p *fakePlatform, k *kernel.Kernel) {
				k.Do(func(s *kernel.State) {
					d := &config.Document{Groups: []config.Group{{Name: "G", Connections: 1, ColdRate: rate}}}
					k.AcceptTranslation(s, &config.Translation{Document: d}, config.Edition{Position: config.Position{Revision: 1}})
				})
				cold := func(left time.Duration) {
					p.change(config.DirectoryChange{Listed: []config.Listing{{
						Name: "U3", Group: "G", Address: netip.MustParseAddrPort("127.0.0.1:1"), Slots: 1, Warmup: config.Duration(left),
					}}})
					advance(time.Second)
				}
				cold(3 * time.Second)
				first := k.View().Directory.Digest()
				cold(1800 * time.Millisecond)
				assert.Equal(t, k.View().Directory.Digest() != first, rate > 0)
			})
		})
	}
}

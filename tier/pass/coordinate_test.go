package pass

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"loomgap/tier/config"
	"loomgap/tier/kernel"
)

// forwarding is a weak host and a strong one of the same hall, with upstreams.
type forwarding struct {
	cable        *cable
	weak, strong *host
	upstreams    [][]*upstream
}

func newForwarding(t *testing.T, reply func(shard, replica int) replyFunc) *forwarding {
	return newForwardingLogged(t, reply, nil)
}

// newForwardingLogged is newForwarding with a log of the weak host.
func newForwardingLogged(t *testing.T, reply func(shard, replica int) replyFunc, log io.Writer) *forwarding {
	w := newCable()
	f := &forwarding{
		cable:  w,
		weak:   newHost(t, hostConfig{name: "Weak", hall: "A", peers: w, cores: 0.2, log: log}),
		strong: newHost(t, hostConfig{name: "Strong", hall: "A", peers: w}),
	}
	// What is not the matter of a test does not depend on the machine's speed.
	f.weak.engine.coordinate.times = signTimes{first: testBound, next: testBound}
	w.hosts["Strong"] = f.strong
	f.upstreams = gatherers(t, f.weak, [2]string{"A", "A"}, reply)
	d := gatherDoc(0.8, 15)
	f.weak.accept(d)
	f.strong.share(f.weak, d)
	f.strong.kernel.SetPhase(kernel.PhaseReady)
	f.weak.member(f.strong)
	return f
}

// asked counts the calls of each shard for a request.
func (f *forwarding) asked(id string) []int {
	var out []int
	for _, us := range f.upstreams {
		out = append(out, us[0].seen(id)+us[1].seen(id))
	}
	return out
}

func wellReplied(s, _ int) replyFunc { return good(part(s)) }

// TestGatherIsForwardedToAStrongerHost has a weak host ask a strong one, in each
// state that this one can be in: the caller has the whole answer, and no shard is
// asked twice.
func TestGatherIsForwardedToAStrongerHost(t *testing.T) {
	soon := signTimes{first: time.Millisecond, next: testBound}
	tests := []struct {
		name   string
		change func(f *forwarding)
		// begun is true if the strong host makes the calls.
		begun bool
	}{
		{"well", func(*forwarding) {}, true},
		{"cut off", func(f *forwarding) { f.cable.cut["Strong"] = true }, false},
		{"frozen", func(f *forwarding) { f.cable.mute["Strong"] = true; f.weak.engine.coordinate.times = soon }, false},
		{"its sign is lost", func(f *forwarding) { f.cable.pushes = 0; f.weak.engine.coordinate.times = soon }, false},
		{"cannot be told to begin", func(f *forwarding) { f.cable.broken = map[string]bool{methodCoordinateBegin: true} }, false},
		{"stopping", func(f *forwarding) { f.strong.kernel.SetPhase(kernel.PhaseDraining) }, false},
		{"with an older route", func(f *forwarding) {
			d := gatherDoc(0.8, 14)
			f.strong.accept(d)
		}, false},
		{"with another document and the same route", func(f *forwarding) {
			d := gatherDoc(0.8, 15)
			d.Routes = append(d.Routes, config.Route{
				Name: "Idle", HostName: "other.example", Prefix: "/", Repeatable: true, MaxAttempts: 1,
				TimeLimit: 1000 * millisecond, Objective: 100 * millisecond, Group: "S0",
			})
			f.strong.accept(d)
		}, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newForwarding(t, wellReplied)
			tt.change(f)
			r := f.weak.ask(http.MethodGet, "/find/x", "one", 15000, "")
			assert.NilError(t, r.err)
			assert.Equal(t, r.status, http.StatusOK, r.body)
			assert.Equal(t, r.body, greatest(15, 0, 1, 2, 3, 4, 5))
			assert.Equal(t, len(stampsOf(r)), shards)
			assert.Equal(t, r.header.Get(names.Missing), "0")
			assert.Equal(t, r.header.Get(names.RequestID), "one")
			assert.DeepEqual(t, f.asked("one"), []int{1, 1, 1, 1, 1, 1})
			assert.Equal(t, f.cable.called(methodCoordinate), 1)
			f.cable.mu.Lock()
			defer f.cable.mu.Unlock()
			assert.Equal(t, f.strong.carried(), tt.begun)
		})
	}
}

// carried reports whether the host has made calls for a request.
func (h *host) carried() bool {
	near, _ := h.kernel.Fleet.RoutedPools("Find")
	return near.Count() > 0
}

// TestLostCoordinatorIsNotReplaced has a coordinator begin and fall silent: its
// calls may have run, so the host makes none of its own and says so soon.
func TestLostCoordinatorIsNotReplaced(t *testing.T) {
	f := newForwarding(t, func(int, int) replyFunc { return silent })
	f.cable.pushes = 1
	f.weak.engine.coordinate.times.next = 300 * time.Millisecond
	r := f.weak.ask(http.MethodGet, "/find/x", "one", 15000, "")
	assert.NilError(t, r.err)
	assert.Equal(t, r.status, http.StatusBadGateway)
	for _, n := range f.asked("one") {
		assert.Assert(t, n <= 2, "a shard is asked %d times", n)
	}
}

// TestRefusalOfACoordinatorIsPassedOn has a coordinator refuse: the caller learns
// that nothing ran, and when to come back.
func TestRefusalOfACoordinatorIsPassedOn(t *testing.T) {
	f := newForwarding(t, wellReplied)
	f.strong.do(func(s *kernel.State) {
		s.ApplyDirectoryChange(&config.DirectoryChange{Revision: 1000, Whole: true})
	})
	r := f.weak.ask(http.MethodGet, "/find/x", "one", 15000, "")
	assert.NilError(t, r.err)
	assert.Equal(t, r.status, http.StatusServiceUnavailable, r.body)
	assert.Assert(t, r.header.Get("Retry-After") != "")
	assert.DeepEqual(t, f.asked("one"), make([]int, shards))
}

// TestForwardedRequestEndsWithItsCaller looks at the upstreams' connections.
func TestForwardedRequestEndsWithItsCaller(t *testing.T) {
	ended := make(chan struct{}, 100)
	f := newForwarding(t, func(int, int) replyFunc {
		return func(u *upstream, c net.Conn, r *http.Request) bool {
			silent(u, c, r)
			ended <- struct{}{}
			return false
		}
	})
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		eventually(t, "all shards are asked", func() bool {
			for _, n := range f.asked("one") {
				if n == 0 {
					return false
				}
			}
			return true
		})
		cancel()
	}()
	r := f.weak.askIn(ctx, http.MethodGet, "/find/x", "one", 500000, "")
	assert.ErrorIs(t, r.err, context.Canceled)
	for range shards {
		<-ended
	}
}

// TestHostsAlikeForwardNothing has two hosts of the same strength.
func TestHostsAlikeForwardNothing(t *testing.T) {
	w := newCable()
	h := newHost(t, hostConfig{name: "H1", hall: "A", peers: w})
	mate := newHost(t, hostConfig{name: "H2", hall: "A", peers: w, cores: 1.9})
	w.hosts["H2"] = mate
	gatherers(t, h, [2]string{"A", "A"}, wellReplied)
	h.accept(gatherDoc(1, 15))
	h.member(mate)
	for i := range 5 {
		assert.Equal(t, h.ask(http.MethodGet, "/find/x", fmt.Sprint(i), 15000, "").status, http.StatusOK)
	}
	assert.Equal(t, w.called(methodCoordinate), 0)
}

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

// forwardSetup has a weak host, a strong host of the same hall, and upstreams.
type forwardSetup struct {
	network      *network
	weak, strong *host
	upstreams    [][]*fakeUpstream
}

func newForwardSetup(t *testing.T, reply func(shard, replica int) replyFunc) *forwardSetup {
	return newForwardSetupWithLog(t, reply, nil)
}

// newForwardSetupWithLog is newForwardSetup with a log for the weak host.
func newForwardSetupWithLog(t *testing.T, reply func(shard, replica int) replyFunc, log io.Writer) *forwardSetup {
	w := newNetwork()
	f := &forwardSetup{
		network: w,
		weak:    newHost(t, hostConfig{name: "Weak", hall: "A", peers: w, cores: 0.2, log: log}),
		strong:  newHost(t, hostConfig{name: "Strong", hall: "A", peers: w}),
	}
	// Long timeouts, so that a slow machine does not change the result.
	f.weak.engine.coordinate.heartbeat = heartbeatTimeouts{first: testTimeout, next: testTimeout}
	w.hosts["Strong"] = f.strong
	f.upstreams = newShardUpstreams(t, f.weak, [2]string{"A", "A"}, reply)
	d := gatherDoc(0.8, 15)
	f.weak.applyDocument(d)
	f.strong.share(f.weak, d)
	f.strong.kernel.SetPhase(kernel.PhaseReady)
	f.weak.addMember(f.strong)
	return f
}

// callsPerShard counts the calls of each shard for a request.
func (f *forwardSetup) callsPerShard(id string) []int {
	var out []int
	for _, us := range f.upstreams {
		out = append(out, us[0].seen(id)+us[1].seen(id))
	}
	return out
}

func replyWithPart(s, _ int) replyFunc { return good(shardRecords(s)) }

// unhedgedDoc is the document of newForwardSetup with one attempt a shard: a shard that is called twice was
// then called by two hosts, and not hedged by one on a slow machine.
func unhedgedDoc(top int) config.Document {
	d := gatherDoc(0.8, top)
	d.Routes[0].MaxAttempts = 1
	return d
}

// TestGatherIsForwardedToStrongerHost puts the strong host into different states: the
// caller always gets the whole response, and no shard is called twice.
func TestGatherIsForwardedToStrongerHost(t *testing.T) {
	soon := heartbeatTimeouts{first: time.Millisecond, next: testTimeout}
	tests := []struct {
		name   string
		change func(f *forwardSetup)
		// begun is true if the strong host makes the calls.
		begun bool
	}{
		{"well", func(*forwardSetup) {}, true},
		{"cut off", func(f *forwardSetup) { f.network.unreachable["Strong"] = true }, false},
		{"frozen", func(f *forwardSetup) {
			f.network.unresponsive["Strong"] = true
			f.weak.engine.coordinate.heartbeat = soon
		}, false},
		{"its sign is lost", func(f *forwardSetup) { f.network.pushesLeft = 0; f.weak.engine.coordinate.heartbeat = soon }, false},
		{"cannot be told to begin", func(f *forwardSetup) { f.network.failingMethods = map[string]bool{methodCoordinateBegin: true} }, false},
		{"stopping", func(f *forwardSetup) { f.strong.kernel.SetPhase(kernel.PhaseDraining) }, false},
		{"with an older route", func(f *forwardSetup) {
			f.strong.applyDocument(unhedgedDoc(14))
		}, false},
		{"with another document and the same route", func(f *forwardSetup) {
			d := unhedgedDoc(15)
			d.Routes = append(d.Routes, config.Route{
				Name: "Idle", HostName: "other.example", Prefix: "/", Repeatable: true, MaxAttempts: 1,
				TimeLimit: 1000 * millisecond, Objective: 100 * millisecond, Group: "S0",
			})
			f.strong.applyDocument(d)
		}, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newForwardSetup(t, replyWithPart)
			f.weak.applyDocument(unhedgedDoc(15))
			f.strong.applyDocument(unhedgedDoc(15))
			tt.change(f)
			r := f.weak.send(http.MethodGet, "/find/x", "one", 15000, "")
			assert.NilError(t, r.err)
			assert.Equal(t, r.status, http.StatusOK, r.body)
			assert.Equal(t, r.body, topRecords(15, 0, 1, 2, 3, 4, 5))
			assert.Equal(t, len(sortedStamps(r)), shards)
			assert.Equal(t, r.header.Get(names.Missing), "0")
			assert.Equal(t, r.header.Get(names.RequestID), "one")
			assert.DeepEqual(t, f.callsPerShard("one"), []int{1, 1, 1, 1, 1, 1})
			assert.Equal(t, f.network.callCount(methodCoordinate), 1)
			f.network.mu.Lock()
			defer f.network.mu.Unlock()
			assert.Equal(t, f.strong.madeCalls(), tt.begun)
		})
	}
}

// madeCalls reports whether the host has made calls for a request.
func (h *host) madeCalls() bool {
	near, _ := h.kernel.Fleet.RoutedLatencyPools("Find")
	return near.Count() > 0
}

// TestLostCoordinatorIsNotReplaced has a coordinator begin and become unresponsive. Since its
// calls may have run, the host must fail the request soon and make no calls of its own.
func TestLostCoordinatorIsNotReplaced(t *testing.T) {
	f := newForwardSetup(t, func(int, int) replyFunc { return hang })
	f.network.pushesLeft = 1
	f.weak.engine.coordinate.heartbeat.next = 300 * time.Millisecond
	r := f.weak.send(http.MethodGet, "/find/x", "one", 15000, "")
	assert.NilError(t, r.err)
	assert.Equal(t, r.status, http.StatusBadGateway)
	for _, n := range f.callsPerShard("one") {
		assert.Assert(t, n <= 2, "a shard was called %d times", n)
	}
}

// TestCoordinatorRefusalIsForwarded checks that the caller learns that the request did
// not run, and when to retry.
func TestCoordinatorRefusalIsForwarded(t *testing.T) {
	f := newForwardSetup(t, replyWithPart)
	f.strong.do(func(s *kernel.State) {
		s.ApplyDirectoryChange(&config.DirectoryChange{Revision: 1000, Whole: true})
	})
	r := f.weak.send(http.MethodGet, "/find/x", "one", 15000, "")
	assert.NilError(t, r.err)
	assert.Equal(t, r.status, http.StatusServiceUnavailable, r.body)
	assert.Assert(t, r.header.Get("Retry-After") != "")
	assert.DeepEqual(t, f.callsPerShard("one"), make([]int, shards))
}

// TestForwardedRequestStopsWhenCallerDisconnects checks that the calls of the coordinator
// are cancelled when the caller of the request is gone.
func TestForwardedRequestStopsWhenCallerDisconnects(t *testing.T) {
	ended := make(chan struct{}, 100)
	f := newForwardSetup(t, func(int, int) replyFunc {
		return func(u *fakeUpstream, c net.Conn, r *http.Request) bool {
			hang(u, c, r)
			ended <- struct{}{}
			return false
		}
	})
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		eventually(t, "all shards are asked", func() bool {
			for _, n := range f.callsPerShard("one") {
				if n == 0 {
					return false
				}
			}
			return true
		})
		cancel()
	}()
	r := f.weak.sendContext(ctx, http.MethodGet, "/find/x", "one", 500000, "")
	assert.ErrorIs(t, r.err, context.Canceled)
	for range shards {
		<-ended
	}
}

// TestEqualHostsDoNotForward has two hosts of about the same capacity.
func TestEqualHostsDoNotForward(t *testing.T) {
	w := newNetwork()
	h := newHost(t, hostConfig{name: "H1", hall: "A", peers: w})
	other := newHost(t, hostConfig{name: "H2", hall: "A", peers: w, cores: 1.9})
	w.hosts["H2"] = other
	newShardUpstreams(t, h, [2]string{"A", "A"}, replyWithPart)
	h.applyDocument(gatherDoc(1, 15))
	h.addMember(other)
	for i := range 5 {
		assert.Equal(t, h.send(http.MethodGet, "/find/x", fmt.Sprint(i), 15000, "").status, http.StatusOK)
	}
	assert.Equal(t, w.callCount(methodCoordinate), 0)
}

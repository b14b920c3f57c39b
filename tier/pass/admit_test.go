package pass

import (
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"loomgap/tier/config"
	"loomgap/tier/kernel"
)

var eastWestRegions = config.Regions{"A": "East", "B": "West"}

// twoHallSetup has a host in each of two halls, and an upstream of each shard in both
// halls.
type twoHallSetup struct {
	east, west *host
	upstreams  [][]*fakeUpstream
}

// newTwoHallSetup connects the hosts; the one in the east can call the other.
func newTwoHallSetup(t *testing.T, reply func(shard, replica int) replyFunc) *twoHallSetup {
	w := newNetwork()
	p := &twoHallSetup{
		east: newHost(t, hostConfig{name: "East1", hall: "A", peers: w, regions: eastWestRegions}),
		west: newHost(t, hostConfig{name: "West1", hall: "B", peers: w, regions: eastWestRegions}),
	}
	w.hosts["West1"] = p.west
	p.upstreams = newShardUpstreams(t, p.east, [2]string{"A", "B"}, reply)
	p.west.do(func(s *kernel.State) {
		whole := p.east.kernel.View().Directory.Whole()
		s.ApplyDirectoryChange(&whole)
	})
	p.east.addMember(p.west)
	return p
}

// homesDoc returns a document with a gather of all shards and a route to the first one,
// both with the given homes.
func homesDoc(homes ...string) config.Document {
	d := gatherDoc(0.5, 15)
	d.Routes[0].Homes = homes
	d.Routes = append(d.Routes, config.Route{
		Name: "One", HostName: "shop.example", Prefix: "/one/", MaxAttempts: 2,
		TimeLimit: 2000 * millisecond, Objective: 200 * millisecond, Group: "S0", Homes: homes,
	})
	return d
}

// lowCoverageDoc returns homesDoc with a gather that requires the coverage of one shard
// only.
func lowCoverageDoc(homes ...string) config.Document {
	d := homesDoc(homes...)
	d.Routes[0].Gather.Coverage = 0.1
	return d
}

// total counts the calls of all requests to the upstreams of one hall.
func (p *twoHallSetup) total(replica int) int {
	n := 0
	for _, us := range p.upstreams {
		n += us[replica].total()
	}
	return n
}

// evacuate tells the host that a hall is evacuated.
func (h *host) evacuate(hall string) {
	h.revision++
	c := config.DirectoryChange{Revision: h.revision, Evacuated: []config.Evacuation{{Hall: hall, Revision: h.revision}}}
	h.do(func(s *kernel.State) { s.ApplyDirectoryChange(&c) })
}

// resume tells the host that a hall is no longer evacuated.
func (h *host) resume(hall string) {
	h.revision++
	c := config.DirectoryChange{Revision: h.revision, Resumed: []config.Removal{{Name: hall, Revision: h.revision}}}
	h.do(func(s *kernel.State) { s.ApplyDirectoryChange(&c) })
}

// TestHomesApplyToEveryCall checks that no upstream outside the homes gets a call,
// whichever way the upstreams at home fail.
func TestHomesApplyToEveryCall(t *testing.T) {
	tests := []struct {
		name         string
		reply        func(shard int) replyFunc
		singleStatus int
	}{
		{"well", func(s int) replyFunc { return good(shardRecords(s)) }, http.StatusOK},
		{"silent", func(s int) replyFunc {
			if s%2 == 0 {
				return hang
			}
			return good(shardRecords(s))
		}, http.StatusGatewayTimeout},
		{"shed", func(int) replyFunc { return fail(http.StatusServiceUnavailable, true) }, http.StatusServiceUnavailable},
		{"fail", func(int) replyFunc { return fail(http.StatusInternalServerError, false) }, http.StatusInternalServerError},
		{"reset", func(int) replyFunc { return reset }, http.StatusBadGateway},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			p := newTwoHallSetup(t, func(s, replica int) replyFunc {
				if replica == 0 {
					return tt.reply(s)
				}
				return good(shardRecords(s))
			})
			d := homesDoc("East")
			p.east.applyDocument(d)
			p.west.applyDocument(d)
			p.east.send(http.MethodGet, "/find/x", "gather", 900, "")
			r := p.east.send(http.MethodPost, "/one/x", "single", 900, "an order")
			assert.NilError(t, r.err)
			assert.Equal(t, r.status, tt.singleStatus, r.body)
			assert.Equal(t, p.total(1), 0, "calls to upstreams that are not at home")
			assert.Assert(t, p.total(0) > 0)
		})
	}
}

// TestRequestWithoutUpstreamAtHomeIsRefused checks that a request is refused with
// Retry-After and without a call if no upstream is allowed.
func TestRequestWithoutUpstreamAtHomeIsRefused(t *testing.T) {
	tests := []struct {
		name   string
		homes  []string
		change func(h *host)
	}{
		{"no hall in the homes", []string{"North"}, func(*host) {}},
		{"all halls evacuated", nil, func(h *host) { h.evacuate("A"); h.evacuate("B") }},
		{"the home evacuated", []string{"East"}, func(h *host) { h.evacuate("A") }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			p := newTwoHallSetup(t, func(s, _ int) replyFunc { return good(shardRecords(s)) })
			p.east.applyDocument(homesDoc(tt.homes...))
			tt.change(p.east)
			for _, path := range []string{"/find/x", "/one/x"} {
				r := p.east.send(http.MethodGet, path, path, 900, "")
				assert.NilError(t, r.err)
				assert.Equal(t, r.status, http.StatusServiceUnavailable)
				after, err := strconv.ParseFloat(r.header.Get("Retry-After"), 64)
				assert.Assert(t, err == nil && after > 0)
			}
			assert.Equal(t, p.total(0)+p.total(1), 0)
		})
	}
}

// TestRelayAppliesItsOwnPlacement checks that a relay that knows of newer homes, or of an
// evacuation, makes none of the calls that a host sends it, and that other upstreams of the
// shards are called. The low coverage keeps the request going until the relay has reported
// all calls.
func TestRelayAppliesItsOwnPlacement(t *testing.T) {
	tests := []struct {
		name   string
		change func(west *host)
	}{
		{"homes", func(west *host) { west.applyDocument(lowCoverageDoc("East")) }},
		{"evacuation", func(west *host) { west.applyDocument(lowCoverageDoc()); west.evacuate("B") }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			p := newTwoHallSetup(t, func(s, _ int) replyFunc { return good(shardRecords(s)) })
			p.east.applyDocument(lowCoverageDoc())
			tt.change(p.west)
			// With the east hall evacuated, all calls go to the relay.
			p.east.evacuate("A")
			r := p.east.send(http.MethodGet, "/find/x", "one", 900, "")
			assert.NilError(t, r.err)
			assert.Equal(t, r.status, http.StatusServiceUnavailable, r.body)
			p.east.resume("A")
			r = p.east.send(http.MethodGet, "/find/x", "two", 900, "")
			assert.Equal(t, r.status, http.StatusOK, r.body)
			assert.Equal(t, len(sortedStamps(r)), shards)
			assert.Equal(t, p.total(1), 0, "calls that the relay should not have made")
		})
	}
}

// TestEvacuatedHallGetsNoCalls evacuates a hall, resumes it and evacuates the other one.
func TestEvacuatedHallGetsNoCalls(t *testing.T) {
	p := newTwoHallSetup(t, func(s, _ int) replyFunc { return good(shardRecords(s)) })
	p.east.applyDocument(homesDoc())
	p.west.applyDocument(homesDoc())
	p.east.evacuate("A")
	p.west.evacuate("A")
	for i := range 5 {
		r := p.east.send(http.MethodGet, "/find/x", fmt.Sprint("away", i), 900, "")
		assert.Equal(t, r.status, http.StatusOK, r.body)
	}
	assert.Equal(t, p.total(0), 0)
	p.east.resume("A")
	p.east.evacuate("B")
	r := p.east.send(http.MethodGet, "/find/x", "back", 900, "")
	assert.Equal(t, r.status, http.StatusOK, r.body)
	assert.Equal(t, p.total(0), shards)
}

// TestEvacuationAppliesToQueuedCalls checks that calls that wait for a slot of an upstream
// are not sent after its hall was evacuated.
func TestEvacuationAppliesToQueuedCalls(t *testing.T) {
	h := newHost(t, hostConfig{name: "H1", hall: "A"})
	release := make(chan struct{})
	u := newFakeUpstream(t, "U1", func(u *fakeUpstream, c net.Conn, r *http.Request) bool {
		<-release
		return good("held")(u, c, r)
	})
	h.listUpstream("G", "A", u, false)
	h.applyDocument(config.Document{
		Groups: []config.Group{{Name: "G", Connections: 1}},
		Routes: []config.Route{{
			Name: "One", HostName: "shop.example", Prefix: "/one/", MaxAttempts: 2,
			TimeLimit: 5000 * millisecond, Objective: 200 * millisecond, Group: "G",
		}},
	})
	var all sync.WaitGroup
	for i := range 20 {
		all.Go(func() { h.send(http.MethodPost, "/one/x", fmt.Sprint(i), 4000, "") })
	}
	eventually(t, "one call is there and others wait", func() bool { return u.total() == 1 && h.kernel.Fleet.State(h.kernel.Now())[0].Queued > 0 })
	h.evacuate("A")
	close(release)
	all.Wait()
	assert.Equal(t, u.total(), 1)
}

// TestForwardingRespectsHomes checks that a host forwards gathers to a coordinator only if
// the coordinator's hall is in the homes.
func TestForwardingRespectsHomes(t *testing.T) {
	tests := []struct {
		homes     []string
		forwarded bool
	}{
		{nil, true}, {[]string{"East"}, true}, {[]string{"West"}, false}, {[]string{"North"}, false},
	}
	for _, tt := range tests {
		t.Run(fmt.Sprint(tt.homes), func(t *testing.T) {
			f := newForwardSetup(t, replyWithPart)
			f.weak.kernel.Settings.Regions, f.strong.kernel.Settings.Regions = eastWestRegions, eastWestRegions
			d := gatherDoc(0.8, 15)
			d.Routes[0].Homes = tt.homes
			f.weak.applyDocument(d)
			f.strong.applyDocument(d)
			f.weak.send(http.MethodGet, "/find/x", "one", 900, "")
			assert.Equal(t, f.network.callCount(methodCoordinate) > 0, tt.forwarded)
		})
	}
}

// overloadable is an upstream that fails all requests once it has got more than limit
// within a second.
type overloadable struct {
	limit int
	mu    sync.Mutex
	at    []time.Time
	// overloaded is true once the limit was exceeded.
	overloaded bool
}

func (f *overloadable) arrive() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	f.at = append(f.at, now)
	n := 0
	for _, at := range f.at {
		if now.Sub(at) < time.Second {
			n++
		}
	}
	f.overloaded = f.overloaded || n > f.limit
	return !f.overloaded
}

func (f *overloadable) isOverloaded() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.overloaded
}

func (f *overloadable) reply(body string) replyFunc {
	return func(u *fakeUpstream, c net.Conn, r *http.Request) bool {
		if f.arrive() {
			return good(body)(u, c, r)
		}
		return fail(http.StatusInternalServerError, false)(u, c, r)
	}
}

// TestColdUpstreamsStayWithinColdRate has two hosts of a hall gather from cold upstreams:
// no upstream may get more calls within a second than its cold rate, and requests of both
// hosts must be served.
func TestColdUpstreamsStayWithinColdRate(t *testing.T) {
	const limit = 8
	var all [shards][2]*overloadable
	w := newNetwork()
	hosts := []*host{
		newHost(t, hostConfig{name: "H1", hall: "A", peers: w, regions: eastWestRegions}),
		newHost(t, hostConfig{name: "H2", hall: "A", peers: w, regions: eastWestRegions}),
	}
	w.hosts["H1"], w.hosts["H2"] = hosts[0], hosts[1]
	hosts[0].addMember(hosts[1])
	hosts[1].addMember(hosts[0])
	newShardUpstreams(t, hosts[0], [2]string{"A", "A"}, func(s, r int) replyFunc {
		all[s][r] = &overloadable{limit: limit}
		return all[s][r].reply(shardRecords(s))
	})
	d := gatherDoc(0.5, 15)
	for i := range d.Groups {
		d.Groups[i].Warmup, d.Groups[i].ColdRate = 60000*millisecond, limit
	}
	for _, h := range hosts {
		h.do(func(s *kernel.State) {
			cold := hosts[0].kernel.View().Directory.Whole()
			cold.Revision += 100
			for i := range cold.Listed {
				cold.Listed[i].Warmup, cold.Listed[i].Revision = 60000*millisecond, cold.Listed[i].Revision+100
			}
			s.ApplyDirectoryChange(&cold)
		})
		h.applyDocument(d)
	}
	served := [2]int{}
	var mu sync.Mutex
	var asking sync.WaitGroup
	for i := range 60 {
		asking.Go(func() {
			time.Sleep(time.Duration(i) * 20 * time.Millisecond)
			r := hosts[i%2].send(http.MethodGet, "/find/x", fmt.Sprint("r", i), 900, "")
			mu.Lock()
			defer mu.Unlock()
			if r.status == http.StatusOK {
				served[i%2]++
			}
		})
	}
	asking.Wait()
	for s := range all {
		for r, f := range all[s] {
			assert.Assert(t, !f.isOverloaded(), "upstream %d of shard %d was overloaded", r, s)
		}
	}
	assert.Assert(t, served[0] > 0 && served[1] > 0, "%v", served)
}

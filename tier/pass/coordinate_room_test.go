package pass

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"loomgap/tier/config"
	"loomgap/tier/kernel"
	"loomgap/tier/policy"
)

// roomSetup has a weak host and a strong host in one hall, a strong host in another hall, and
// upstreams in both.
type roomSetup struct {
	*forwardSetup
	// near and far are the strong hosts.
	near, far *host
	logs      map[*host]*lockedBuffer
}

func newRoomSetup(t *testing.T, overload policy.OverloadControl) *roomSetup {
	return newRoomSetupWithDocument(t, overload, roomDoc())
}

// start starts a host with a log.
func (s *roomSetup) start(t *testing.T, name, hall string, cores float64, overload policy.OverloadControl) *host {
	log := &lockedBuffer{}
	h := newHost(t, hostConfig{name: name, hall: hall, peers: s.network, cores: cores, regions: eastWestRegions, overload: overload, log: log})
	h.engine.coordinate.heartbeat = heartbeatTimeouts{first: testTimeout, next: testTimeout}
	s.network.addHost(h)
	s.logs[h] = log
	return h
}

// executed reports whether a host has answered a request by calls of its own. It may also have made
// calls as a relay of another one.
func (s *roomSetup) executed(h *host) bool {
	return strings.Contains(s.logs[h].String(), `"message":"request answered"`)
}

// roomDoc returns a document with a gather of rank 1, with an objective that a busy machine meets.
func roomDoc() config.Document {
	d := longObjectiveDoc(0.8, 15)
	d.Routes[0].Priority = 1
	return d
}

func newRoomSetupWithDocument(t *testing.T, overload policy.OverloadControl, d config.Document) *roomSetup {
	s := &roomSetup{forwardSetup: &forwardSetup{network: newNetwork()}, logs: map[*host]*lockedBuffer{}}
	s.weak = s.start(t, "Weak", "A", 0.2, overload)
	s.near, s.far = s.start(t, "Near", "A", 1, overload), s.start(t, "Far", "B", 1, overload)
	s.upstreams = newShardUpstreams(t, s.weak, [2]string{"A", "B"}, replyWithPart)
	s.weak.applyDocument(d)
	for _, h := range []*host{s.near, s.far} {
		h.share(s.weak, d)
		h.kernel.SetPhase(kernel.PhaseReady)
	}
	s.weak.addMember(s.near)
	s.weak.addMember(s.far)
	s.near.addMember(s.far)
	return s
}

// removeMember removes a member.
func (h *host) removeMember(name string) {
	h.do(func(s *kernel.State) {
		delete(s.Members, name)
		s.Changed()
	})
}

// gate returns the gate of the gather at a host.
func (h *host) gate() *policy.Gate {
	r := h.kernel.View().Index.RouteByName("Find")
	return h.engine.gateOf(&request{engine: h.engine, view: h.kernel.View(), route: r, plan: plan{groups: r.Gather.Groups}}).Gate
}

// startShortage brings the gate of a host into a shortage in which requests of rank 0 use all places
// and more of them wait. Their times are an hour ahead, so that the shortage does not end during the
// test. It returns a function that has a further request enter the gate, and one that ends them all.
func (h *host) startShortage() (enter func(now time.Duration, d policy.Demand) *policy.Ticket, release func()) {
	const inFlight, waiting, calls = 50, 200, 200
	g, now := h.gate(), h.kernel.Now()+time.Hour
	var tickets []*policy.Ticket
	enter = func(now time.Duration, d policy.Demand) *policy.Ticket {
		t := g.Enter(now, d)
		tickets = append(tickets, t)
		return t
	}
	enterUrgent := func(n int) {
		for range n {
			enter(now, policy.Demand{Route: "Other", ObjectiveAt: now + time.Hour, DeadlineAt: now + 4*time.Hour})
		}
	}
	enterUrgent(inFlight)
	for end := now + 5*time.Second; !g.Shortage(now) && now < end; now += 20 * time.Millisecond {
		for range calls {
			g.ObserveCall(now, policy.CallShed, policy.Load{}, time.Millisecond)
		}
		enterUrgent(1)
	}
	assert.Assert(h.t, g.Shortage(now))
	enterUrgent(waiting)
	return enter, func() {
		for len(tickets) > 0 {
			k := tickets[0]
			tickets = tickets[1:]
			if k.Refusal() != nil {
				continue
			}
			// Each one that leaves admits the next.
			<-k.Decided()
			g.Leave(h.kernel.Now(), k, policy.Completion{Took: time.Millisecond, Covered: true})
		}
	}
}

// useUpRoom brings the gate of a host into a shortage in which it refuses gathers at once, and
// returns a function that ends it. More gathers wait than can be served in time: with requests of
// rank 0 alone, a gather would wait for the share of the lower ranks.
func (h *host) useUpRoom() (release func()) {
	const (
		maxWaiting = 100
		// The gathers of the test come after those that wait here. It is less than the second
		// in which the gate expects the next place to become free.
		sooner = 250 * time.Millisecond
	)
	enter, release := h.startShortage()
	r, c := h.kernel.View().Index.Route("shop.example", "/find/x")
	gather := func(now time.Duration) policy.Demand {
		return policy.Demand{Route: "Other", Rank: r.Priority, ObjectiveAt: now + time.Duration(c.Patience), DeadlineAt: now + time.Duration(r.TimeLimit)}
	}
	for waiting := 0; ; waiting++ {
		assert.Assert(h.t, waiting < maxWaiting, "no gather is refused")
		now := h.kernel.Now()
		d := gather(now)
		d.ObjectiveAt -= sooner
		if enter(now, d).Refusal() != nil {
			break
		}
	}
	now := h.kernel.Now()
	assert.Equal(h.t, h.gate().Outlook(now, gather(now)).Decision, policy.DecisionRefuse)
	return release
}

// known returns what the host knows of the room of another one.
func (h *host) known(other string) (policy.KnownRoom, bool) {
	t := &h.engine.hosts
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.rooms[roomKey{host: other, gate: gateKey(h.kernel.View().Index.RouteByName("Find").Gather.Groups)}]
	if r == nil {
		return policy.KnownRoom{}, false
	}
	return *r, true
}

// learnFull has the host know that another one has no room, for longer than a test takes.
func (h *host) learnFull(other string) {
	k := roomKey{host: other, gate: gateKey(h.kernel.View().Index.RouteByName("Find").Gather.Groups)}
	h.engine.hosts.observeRoom(k, h.kernel.Now()+time.Hour, &roomReport{InFlight: 6, Places: 6, Waiting: 6})
}

// find sends a gather to a host.
func (h *host) find(id string) result {
	r := h.send(http.MethodGet, "/find/x", id, 15000, "")
	assert.NilError(h.t, r.err)
	return r
}

// assertServed checks that a request was answered with all parts and each shard was called once.
func (s *roomSetup) assertServed(t *testing.T, r result, id string) {
	t.Helper()
	assert.Equal(t, r.status, http.StatusOK, r.body)
	assert.Equal(t, r.body, topRecords(15, 0, 1, 2, 3, 4, 5))
	assert.DeepEqual(t, s.callsPerShard(id), []int{1, 1, 1, 1, 1, 1})
}

// assertRefused checks that a request was refused with Retry-After and no call was made.
func (s *roomSetup) assertRefused(t *testing.T, r result, id string) {
	t.Helper()
	assert.Equal(t, r.status, http.StatusServiceUnavailable, r.body)
	after, err := strconv.ParseFloat(r.header.Get("Retry-After"), 64)
	assert.NilError(t, err)
	assert.Assert(t, after > 0)
	assert.DeepEqual(t, s.callsPerShard(id), make([]int, shards))
}

// TestDeclinedRequestIsServedElsewhere guards against a declined request that has made calls, and
// against a request that is refused by the nearest hall while another one has room.
func TestDeclinedRequestIsServedElsewhere(t *testing.T) {
	s := newRoomSetup(t, policy.OverloadShortage)
	s.near.useUpRoom()
	s.assertServed(t, s.weak.find("one"), "one")
	assert.Equal(t, s.network.callCount(methodCoordinate), 2)
	assert.Assert(t, !s.executed(s.near) && s.executed(s.far) && !s.executed(s.weak))
	_, known := s.weak.known("Near")
	assert.Assert(t, known)

	s.weak.learnFull("Near")
	s.assertServed(t, s.weak.find("two"), "two")
	assert.Equal(t, s.network.callCount(methodCoordinate), 3, "the second request goes to the other hall at once")
}

// TestRequestDeclinedAfterBegin has the room used up between the heartbeat of the coordinator and
// the message that it may begin. It must not make a call, and the request be served elsewhere.
func TestRequestDeclinedAfterBegin(t *testing.T) {
	s := newRoomSetup(t, policy.OverloadShortage)
	s.network.callBeforeNext(methodCoordinateBegin, func() { s.near.useUpRoom() })
	s.assertServed(t, s.weak.find("one"), "one")
	assert.Assert(t, !s.executed(s.near) && s.executed(s.far))
}

// TestLastCoordinatorDecides guards against a request that is declined by all and then executed by
// the weak host, which would add to the shortage.
func TestLastCoordinatorDecides(t *testing.T) {
	s := newRoomSetup(t, policy.OverloadShortage)
	s.near.useUpRoom()
	s.far.useUpRoom()
	s.assertRefused(t, s.weak.find("one"), "one")
	assert.Equal(t, s.network.callCount(methodCoordinate), 2)
}

// TestAtMostTwoCoordinatorsAreTried has three coordinators without room: the second one decides.
func TestAtMostTwoCoordinatorsAreTried(t *testing.T) {
	s := newRoomSetup(t, policy.OverloadShortage)
	third := s.start(t, "Third", "B", 1, policy.OverloadShortage)
	third.share(s.weak, roomDoc())
	third.kernel.SetPhase(kernel.PhaseReady)
	s.weak.addMember(third)
	for _, h := range []*host{s.near, s.far, third} {
		h.useUpRoom()
	}
	s.assertRefused(t, s.weak.find("one"), "one")
	assert.Equal(t, s.network.callCount(methodCoordinate), 2)
	assert.Assert(t, !s.executed(s.weak))
}

// TestOnlyCoordinatorDoesNotDecline has no other host to try.
func TestOnlyCoordinatorDoesNotDecline(t *testing.T) {
	s := newRoomSetup(t, policy.OverloadShortage)
	s.weak.removeMember("Far")
	s.near.useUpRoom()
	s.assertRefused(t, s.weak.find("one"), "one")
	assert.Equal(t, s.network.callCount(methodCoordinate), 1)
}

// TestOlderSender guards against declining a request of a sender that does not know Busy: the
// coordinator decides by its gate.
func TestOlderSender(t *testing.T) {
	s := newRoomSetup(t, policy.OverloadShortage)
	s.network.setOlder()
	s.near.useUpRoom()
	s.assertRefused(t, s.weak.find("one"), "one")
	assert.Equal(t, s.network.callCount(methodCoordinate), 1)
	_, known := s.weak.known("Near")
	assert.Assert(t, !known)
}

// TestOlderCoordinator has coordinators that ignore the new fields and report no room.
func TestOlderCoordinator(t *testing.T) {
	s := newRoomSetup(t, policy.OverloadShortage)
	s.network.setOlder()
	s.near.kernel.Settings.Overload = policy.OverloadNone
	s.assertServed(t, s.weak.find("one"), "one")
	assert.Equal(t, s.network.callCount(methodCoordinate), 1)
	assert.Assert(t, s.executed(s.near))
}

// TestControlOff guards against any effect of the gates while the control is off.
func TestControlOff(t *testing.T) {
	s := newRoomSetup(t, policy.OverloadNone)
	s.near.useUpRoom()
	s.assertServed(t, s.weak.find("one"), "one")
	s.assertServed(t, s.near.find("two"), "two")
	assert.Equal(t, s.network.callCount(methodCoordinate), 1)
	assert.Assert(t, !s.executed(s.far))
}

// TestControlOffAtSender guards against a sender that lets coordinators decline although its control
// is off: the coordinator decides by its gate.
func TestControlOffAtSender(t *testing.T) {
	s := newRoomSetup(t, policy.OverloadShortage)
	s.weak.kernel.Settings.Overload = policy.OverloadNone
	s.near.useUpRoom()
	s.assertRefused(t, s.weak.find("one"), "one")
	assert.Equal(t, s.network.callCount(methodCoordinate), 1)
	_, known := s.weak.known("Near")
	assert.Assert(t, !known)
}

// TestAllHostsStartAtOnce has no report of any coordinator: the nearest one is used.
func TestAllHostsStartAtOnce(t *testing.T) {
	s := newRoomSetup(t, policy.OverloadShortage)
	for i := range 5 {
		id := fmt.Sprint(i)
		s.assertServed(t, s.weak.find(id), id)
	}
	assert.Equal(t, s.network.callCount(methodCoordinate), 5)
	assert.Assert(t, s.executed(s.near) && !s.executed(s.far))
}

// TestRoomIsReported checks that a coordinator reports its room only during a shortage, and that
// the end of the shortage ends the report.
func TestRoomIsReported(t *testing.T) {
	s := newRoomSetup(t, policy.OverloadShortage)
	s.assertServed(t, s.weak.find("one"), "one")
	_, known := s.weak.known("Near")
	assert.Assert(t, !known)

	_, release := s.near.startShortage()
	release()
	s.assertServed(t, s.weak.find("two"), "two")
	assert.Equal(t, s.network.callCount(methodCoordinate), 2, "the coordinator has room again")
	_, known = s.weak.known("Near")
	assert.Assert(t, known)

	s.near.kernel.Settings.Overload = policy.OverloadNone
	s.assertServed(t, s.weak.find("three"), "three")
	_, known = s.weak.known("Near")
	assert.Assert(t, !known)
}

// TestRoomInReply has a shortage begin after the heartbeat, so that the reply is the first message
// that reports it.
func TestRoomInReply(t *testing.T) {
	s := newRoomSetup(t, policy.OverloadShortage)
	s.network.callBeforeNext(methodCoordinateBegin, func() {
		_, release := s.near.startShortage()
		release()
	})
	s.assertServed(t, s.weak.find("one"), "one")
	_, known := s.weak.known("Near")
	assert.Assert(t, known)
}

// TestCoordinatorWithRoomIsLost has the coordinator with room die. The nearest one, which has none,
// is tried next and decides by its gate.
func TestCoordinatorWithRoomIsLost(t *testing.T) {
	s := newRoomSetup(t, policy.OverloadShortage)
	s.near.useUpRoom()
	s.weak.learnFull("Near")
	s.assertServed(t, s.weak.find("one"), "one")
	assert.Equal(t, s.network.callCount(methodCoordinate), 1)
	s.network.setUnreachable("Far")
	s.assertRefused(t, s.weak.find("two"), "two")
	assert.Equal(t, s.network.callCount(methodCoordinate), 3)
	assert.Assert(t, !s.executed(s.near) && !s.executed(s.weak))
}

// TestLinkFailsInOneDirection loses the heartbeats of all coordinators: none is told to begin, and
// no call is made twice.
func TestLinkFailsInOneDirection(t *testing.T) {
	s := newRoomSetup(t, policy.OverloadShortage)
	s.near.useUpRoom()
	s.network.losePushes()
	s.weak.engine.coordinate.heartbeat.first = 50 * time.Millisecond
	s.assertServed(t, s.weak.find("one"), "one")
	assert.Assert(t, !s.executed(s.near) && !s.executed(s.far) && s.executed(s.weak))
}

// TestHomesTakePrecedenceOverRoom guards against a request that leaves its home regions because
// these have no room.
func TestHomesTakePrecedenceOverRoom(t *testing.T) {
	d := roomDoc()
	d.Routes[0].Homes = []string{"East"}
	s := newRoomSetupWithDocument(t, policy.OverloadShortage, d)
	s.near.useUpRoom()
	s.assertRefused(t, s.weak.find("one"), "one")
	assert.Equal(t, s.network.callCount(methodCoordinate), 1)
	s.network.setSender(s.near)
	s.assertRefused(t, s.near.find("two"), "two")
	assert.Equal(t, s.network.callCount(methodCoordinate), 1)
}

// TestEvacuationTakesPrecedenceOverRoom guards against forwarding to an evacuated hall with room.
func TestEvacuationTakesPrecedenceOverRoom(t *testing.T) {
	s := newRoomSetup(t, policy.OverloadShortage)
	s.near.useUpRoom()
	s.weak.evacuate("B")
	s.assertRefused(t, s.weak.find("one"), "one")
	assert.Equal(t, s.network.callCount(methodCoordinate), 1)
}

// TestCoordinatorHandsOver has a coordinator get requests of callers, with and without room.
func TestCoordinatorHandsOver(t *testing.T) {
	tests := []struct {
		name   string
		change func(s *roomSetup)
		// served is false if the request is refused; forwards counts the hosts tried.
		served   bool
		forwards int
		byFar    bool
	}{
		{"with room", func(*roomSetup) {}, true, 0, false},
		{"without room", func(s *roomSetup) { s.near.useUpRoom() }, true, 1, true},
		{"with room again", func(s *roomSetup) { s.near.useUpRoom()() }, true, 0, false},
		{"without room in both halls", func(s *roomSetup) { s.near.useUpRoom(); s.far.useUpRoom() }, false, 1, false},
		{"cut off", func(s *roomSetup) { s.near.useUpRoom(); s.network.setUnreachable("Far") }, false, 1, false},
		{"other hall gives no sign", func(s *roomSetup) {
			s.near.useUpRoom()
			s.network.setUnresponsive("Far")
			s.near.engine.coordinate.heartbeat.first = 50 * time.Millisecond
		}, false, 1, false},
		{"other hall stopping", func(s *roomSetup) { s.near.useUpRoom(); s.far.kernel.SetPhase(kernel.PhaseDraining) }, false, 1, false},
		{"control off", func(s *roomSetup) {
			s.near.useUpRoom()
			s.near.kernel.Settings.Overload = policy.OverloadNone
		}, true, 0, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := newRoomSetup(t, policy.OverloadShortage)
			s.network.setSender(s.near)
			tt.change(s)
			r := s.near.find("one")
			if tt.served {
				s.assertServed(t, r, "one")
			} else {
				s.assertRefused(t, r, "one")
			}
			assert.Equal(t, s.network.callCount(methodCoordinate), tt.forwards)
			assert.Equal(t, s.executed(s.far), tt.byFar)
		})
	}
}

// TestSpentBeforeIsForwarded checks that a coordinator orders a retry by the time of its first
// attempt, as far as the sender knows it from the times that callers state.
func TestSpentBeforeIsForwarded(t *testing.T) {
	s := newRoomSetup(t, policy.OverloadShortage)
	v := s.weak.kernel.View()
	read := func(stated time.Duration) *request {
		r := httptest.NewRequest(http.MethodGet, "http://shop.example/find/x", http.NoBody)
		r.Header.Set(names.DeadlineMillis, strconv.FormatInt(stated.Milliseconds(), 10))
		q := &request{
			engine: s.weak.engine, view: v, times: requestTimes{startedAt: s.weak.kernel.Now()},
			in: inboundRequest{id: "one", method: http.MethodGet},
		}
		w := httptest.NewRecorder()
		assert.Assert(t, q.findRoute(w, r) && q.read(w, r), "%d %s", w.Code, w.Body)
		return q
	}
	limit := time.Duration(v.Index.RouteByName("Find").TimeLimit)
	assert.Equal(t, read(limit).coordinateRequest(t.Context()).SpentBeforeMicros, int64(0), "a first attempt")
	q := read(limit - 5*time.Second)
	in := q.coordinateRequest(t.Context())
	assert.Equal(t, in.SpentBeforeMicros, (5 * time.Second).Microseconds())
	got, declined := s.near.engine.accept(in)
	assert.Equal(t, declined, declineReason(""))
	d := got.demand()
	assert.Equal(t, d.Spent, 5*time.Second)
	assert.Equal(t, d.ObjectiveAt, got.times.startedAt+time.Duration(got.class.Patience)-5*time.Second)
	q.engine.kernel.Settings.Overload = policy.OverloadNone
	assert.Equal(t, q.coordinateRequest(t.Context()).SpentBeforeMicros, int64(0))
	assert.Equal(t, read(limit-5*time.Second).coordinateRequest(t.Context()).SpentBeforeMicros, int64(0))
}

package policy

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	loadHalls   = 6
	loadPerHall = 2
	// loadSenders is the usual number of weak hosts of a hall.
	loadSenders = 8
	loadPlaces  = 10
	loadService = 100 * time.Millisecond
	// loadObjective is also the longest wait plus service time of a request that is not refused.
	loadObjective = 300 * time.Millisecond
	loadBeat      = 40 * time.Millisecond
	// loadCapacity is the number of requests per second that a hall serves.
	loadCapacity = loadPerHall * loadPlaces * float64(time.Second/loadService)
)

// loadModel is a fleet of halls with coordinators and weak hosts, in virtual time. Each coordinator
// has a gate with a fixed number of places and a queue in the order of arrival.
type loadModel struct {
	random *rand.Rand
	now    time.Duration
	// events are the functions to call at each time.
	events map[time.Duration][]func()
	halls  int
	// choice is the choice that is tested.
	choice       func(c *CoordinatorChoice) (ChosenCoordinator, bool)
	coordinators []*loadCoordinator
	senders      []*loadSender
	// arrived, inTime and refused count the requests by hall and second.
	arrived, inTime, refused [loadHalls]map[int]float64
}

type loadCoordinator struct {
	name, hall string
	model      *loadModel
	inFlight   int
	waiting    []*loadRequest
	dead       bool
}

type loadSender struct {
	self Candidate
	// hall is the number of the hall. own is set for a host that executes requests itself.
	hall  int
	own   *loadCoordinator
	rooms map[string]*KnownRoom
}

type loadRequest struct {
	sender    *loadSender
	startedAt time.Duration
	tried     map[string]bool
	// declinedBy is the hall that declined the request.
	declinedBy string
	ended      bool
}

// chooseNearest is the choice without reports.
func chooseNearest(c *CoordinatorChoice) (ChosenCoordinator, bool) {
	best := Coordinators(c.Self, c.All)
	if c.SelfExecutes || len(best) == 0 {
		return ChosenCoordinator{}, false
	}
	return ChosenCoordinator{Candidate: best[0]}, true
}

// chooseFirstWithRoom takes the nearest one with room as last reported, without hysteresis.
func chooseFirstWithRoom(c *CoordinatorChoice) (ChosenCoordinator, bool) {
	best := c.sorted()
	i := max(slices.IndexFunc(best, func(o Candidate) bool { return o.Room.hasRoom(c.Now, 0) }), 0)
	return ChosenCoordinator{Candidate: best[i]}, true
}

func newLoadModel(halls int) *loadModel {
	m := &loadModel{
		random: rand.New(rand.NewPCG(3, 4)), now: time.Minute, events: map[time.Duration][]func(){}, halls: halls,
		choice: (*CoordinatorChoice).Choose,
	}
	for h := range halls {
		m.arrived[h], m.inTime[h], m.refused[h] = map[int]float64{}, map[int]float64{}, map[int]float64{}
		hall := fmt.Sprint("H", h)
		for i := range loadPerHall {
			c := &loadCoordinator{name: fmt.Sprint("C", h, i), hall: hall, model: m}
			m.coordinators = append(m.coordinators, c)
			m.senders = append(m.senders, &loadSender{self: Candidate{Host: c.name, Hall: hall, Capacity: 426}, hall: h, own: c, rooms: map[string]*KnownRoom{}})
		}
		for i := range loadSenders {
			m.senders = append(m.senders, &loadSender{self: Candidate{Host: fmt.Sprint("W", h, i), Hall: hall, Capacity: 66}, hall: h, rooms: map[string]*KnownRoom{}})
		}
	}
	return m
}

// roundTrip is 2 ms between the first two halls of each region of two halls and 16 ms between
// regions.
func (m *loadModel) roundTrip(a, b string) time.Duration {
	x, y := int(a[1]-'0'), int(b[1]-'0')
	switch {
	case x == y:
		return 0
	case x/2 == y/2:
		return 2 * time.Millisecond
	}
	return 16 * time.Millisecond
}

func (m *loadModel) after(d time.Duration, f func()) {
	m.events[m.now+d] = append(m.events[m.now+d], f)
}

// run advances the time; rate is the number of requests per second of a hall.
func (m *loadModel) run(d time.Duration, rate func(hall int) float64) {
	for end := m.now + d; m.now < end; m.now += time.Millisecond {
		for len(m.events[m.now]) > 0 {
			f := m.events[m.now][0]
			m.events[m.now] = m.events[m.now][1:]
			f()
		}
		delete(m.events, m.now)
		for h := range m.halls {
			for due := rate(h) / 1000; due > m.random.Float64(); due-- {
				m.start(h)
			}
		}
	}
}

func (m *loadModel) second() int { return int((m.now - time.Minute) / time.Second) }

// start has a random host of a hall get a request.
func (m *loadModel) start(hall int) {
	all := slices.DeleteFunc(slices.Clone(m.senders), func(s *loadSender) bool { return s.hall != hall })
	m.arrived[hall][m.second()]++
	m.place(&loadRequest{sender: all[m.random.IntN(len(all))], startedAt: m.now, tried: map[string]bool{}})
}

// place sends a request to the chosen coordinator, as package pass does.
func (m *loadModel) place(q *loadRequest) {
	s := q.sender
	if s.own != nil && !s.own.busy() {
		s.own.enter(q, false, 0)
		return
	}
	if len(q.tried) == 2 {
		m.serveAtOwn(q)
		return
	}
	chosen, ok := m.choose(q)
	if !ok || chosen.Host == s.self.Host {
		m.serveAtOwn(q)
		return
	}
	i := slices.IndexFunc(m.coordinators, func(c *loadCoordinator) bool { return c.name == chosen.Host })
	c := m.coordinators[i]
	mayDecline := chosen.MayDecline && (s.own != nil || len(q.tried) == 0)
	q.tried[c.name] = true
	half := max(m.roundTrip(s.self.Hall, c.hall)/2, time.Millisecond)
	m.after(half, func() { c.receive(q, mayDecline, half) })
}

func (m *loadModel) choose(q *loadRequest) (ChosenCoordinator, bool) {
	s := q.sender
	c := CoordinatorChoice{
		Now: m.now, Self: s.self, SelfExecutes: s.own != nil, DeclinedBy: q.declinedBy,
		Objective: loadObjective, Random: m.random.IntN,
	}
	for _, o := range m.coordinators {
		if q.tried[o.name] || o == s.own {
			continue
		}
		n := Candidate{Host: o.name, Hall: o.hall, Capacity: 426, RoundTrip: m.roundTrip(s.self.Hall, o.hall)}
		if r := s.rooms[o.name]; r != nil {
			n.Room = *r
		}
		c.All = append(c.All, n)
	}
	if s.own != nil {
		c.Self.Room.Observe(m.now, s.own.report())
		if wait := s.own.expectedWait(); m.now-q.startedAt+wait+loadService <= loadObjective {
			c.OwnWait = wait
		}
	}
	return m.choice(&c)
}

// serveAtOwn ends a request that no coordinator took. A weak host cannot serve it in time.
func (m *loadModel) serveAtOwn(q *loadRequest) {
	if q.sender.own == nil {
		m.refuse(q)
		return
	}
	q.sender.own.enter(q, false, 0)
}

func (m *loadModel) refuse(q *loadRequest) {
	if !q.ended {
		q.ended = true
		m.refused[q.sender.hall][m.second()]++
	}
}

// tell delivers the room of a coordinator to a sender.
func (c *loadCoordinator) tell(s *loadSender, half time.Duration, declined bool) {
	m := c.model
	r := c.report()
	if s.own == c {
		return
	}
	m.after(half, func() {
		if s.rooms[c.name] == nil {
			s.rooms[c.name] = &KnownRoom{}
		}
		s.rooms[c.name].Observe(m.now, r)
		if declined {
			s.rooms[c.name].Declined(m.now)
		}
	})
}

// report returns a report only while the coordinator is about full, as a gate measures a shortage
// only then.
func (c *loadCoordinator) report() *RoomReport {
	if len(c.waiting) == 0 && c.inFlight < loadPlaces*4/5 {
		return nil
	}
	return &RoomReport{InFlight: c.inFlight, Places: loadPlaces, Waiting: len(c.waiting)}
}

func (c *loadCoordinator) expectedWait() time.Duration {
	if c.inFlight < loadPlaces {
		return 0
	}
	return time.Duration(len(c.waiting)+1) * loadService / loadPlaces
}

func (c *loadCoordinator) busy() bool { return c.expectedWait() > 2*time.Millisecond }

// receive handles a forwarded request that arrives half a round trip after it was sent.
func (c *loadCoordinator) receive(q *loadRequest, mayDecline bool, half time.Duration) {
	m := c.model
	switch {
	case c.dead:
		// The sender's heartbeat timeout selects the next coordinator.
		m.after(50*time.Millisecond, func() { m.place(q) })
	case mayDecline && c.busy():
		c.tell(q.sender, half, true)
		m.after(half, func() {
			q.declinedBy = c.hall
			m.place(q)
		})
	default:
		c.enter(q, true, half)
	}
}

// enter queues a request, or refuses it if it would miss its objective.
func (c *loadCoordinator) enter(q *loadRequest, forwarded bool, half time.Duration) {
	m := c.model
	if m.now-q.startedAt+c.expectedWait()+loadService > loadObjective {
		c.tell(q.sender, half, false)
		m.refuse(q)
		return
	}
	c.waiting = append(c.waiting, q)
	if forwarded {
		c.beat(q, half)
	}
	c.next()
}

// beat sends heartbeats until the request ends.
func (c *loadCoordinator) beat(q *loadRequest, half time.Duration) {
	if q.ended || c.dead {
		return
	}
	c.tell(q.sender, half, false)
	c.model.after(loadBeat, func() { c.beat(q, half) })
}

func (c *loadCoordinator) next() {
	for c.inFlight < loadPlaces && len(c.waiting) > 0 {
		q := c.waiting[0]
		c.waiting = c.waiting[1:]
		c.inFlight++
		c.model.after(loadService, func() { c.end(q) })
	}
}

func (c *loadCoordinator) end(q *loadRequest) {
	m := c.model
	c.inFlight--
	if c.dead {
		m.refuse(q)
		return
	}
	q.ended = true
	if m.now-q.startedAt <= loadObjective {
		m.inTime[q.sender.hall][int((q.startedAt-time.Minute)/time.Second)]++
	}
	c.tell(q.sender, time.Millisecond, false)
	c.next()
}

// servedShare returns the share of a hall's requests served in time, of those that arrived in the
// given seconds.
func (m *loadModel) servedShare(hall, from, to int) float64 {
	served, all := 0.0, 0.0
	for s := from; s < to; s++ {
		served += m.inTime[hall][s]
		all += m.arrived[hall][s]
	}
	return served / all
}

// hotHall returns the rates of a fleet where hall 0 gets the given multiple of the others.
func hotHall(usual, factor float64) func(hall int) float64 {
	return func(hall int) float64 {
		if hall == 0 {
			return factor * usual
		}
		return usual
	}
}

// TestHallAtFiveTimesItsTraffic guards against a hall that refuses requests while others have room:
// the hall asks for one and a half times its own capacity, the fleet for half of all. It must be
// served as the others within 2 s. The order by distance is the control.
func TestHallAtFiveTimesItsTraffic(t *testing.T) {
	run := func(choice func(*CoordinatorChoice) (ChosenCoordinator, bool)) (first, then, others float64) {
		m := newLoadModel(loadHalls)
		m.choice = choice
		usual := 0.3 * loadCapacity
		m.run(2*time.Second, hotHall(usual, 1))
		m.run(10*time.Second, hotHall(usual, 5))
		m.run(time.Second, hotHall(0, 0))
		first, then, others = m.servedShare(0, 2, 4), m.servedShare(0, 4, 12), 1
		for h := 1; h < loadHalls; h++ {
			others = min(others, m.servedShare(h, 4, 12))
		}
		t.Logf("hot hall %.3f in the first 2 s, then %.3f; the others at least %.3f", first, then, others)
		return first, then, others
	}
	_, control, _ := run(chooseNearest)
	assert.Assert(t, control < 0.75, "%f", control)
	first, then, others := run((*CoordinatorChoice).Choose)
	assert.Assert(t, first > 0.9, "%f", first)
	assert.Assert(t, then > 0.95 && then > 0.95*others, "%f %f", then, others)
	assert.Assert(t, others > 0.95, "%f", others)
}

// TestHallAtTenTimesItsTrafficBeyondAllCapacity guards against a hall that is served far less than the
// others when the fleet has no room left, in both directions: the hot hall without the room of the
// others, and the others, whose senders know less of the room elsewhere, crowded out by the hot hall.
func TestHallAtTenTimesItsTrafficBeyondAllCapacity(t *testing.T) {
	m := newLoadModel(loadHalls)
	usual := 0.6 * loadCapacity
	m.run(2*time.Second, hotHall(usual, 1))
	m.run(10*time.Second, hotHall(usual, 10))
	m.run(time.Second, hotHall(0, 0))
	least, most, served := 1.0, 0.0, 0.0
	for h := range loadHalls {
		share := m.servedShare(h, 4, 12)
		t.Logf("hall %d: %.3f", h, share)
		least, most = min(least, share), max(most, share)
		for s := 4; s < 12; s++ {
			served += m.inTime[h][s] / 8
		}
	}
	t.Logf("served in time %.3f of the capacity", served/(loadHalls*loadCapacity))
	assert.Assert(t, served > 0.9*loadHalls*loadCapacity)
	assert.Assert(t, least > 0.75*most, "%.3f %.3f", least, most)
}

// TestCoordinatorThatReportedRoomDies guards against a sender that keeps using a coordinator that
// died after it reported room.
func TestCoordinatorThatReportedRoomDies(t *testing.T) {
	m := newLoadModel(2)
	m.run(time.Second, hotHall(0.3*loadCapacity, 3))
	for _, c := range m.coordinators {
		c.dead = c.name == "C10"
	}
	m.run(4*time.Second, hotHall(0.3*loadCapacity, 3))
	m.run(time.Second, hotHall(0, 0))
	t.Logf("hall 0: %.3f, hall 1: %.3f", m.servedShare(0, 2, 5), m.servedShare(1, 2, 5))
	assert.Assert(t, m.servedShare(0, 2, 5) > 0.8)
}

// TestBurstDoesNotSwing guards against a sender that moves all its requests between two halls. The
// reports of the near coordinator alternate every 50 ms during a burst; it must get only a part of
// the requests while it has room, and all of them 300 ms after the burst. The choice of the nearest
// one with room is the control.
func TestBurstDoesNotSwing(t *testing.T) {
	const (
		phase = 50 * time.Millisecond
		burst = 2 * time.Second
	)
	// run returns the share of requests that the near one gets while it has room during the
	// burst, and when it gets all after it.
	run := func(choice func(*CoordinatorChoice) (ChosenCoordinator, bool)) (share float64, backAfter time.Duration) {
		random := rand.New(rand.NewPCG(5, 6))
		near := Candidate{Host: "Near", Hall: "A", Capacity: 426}
		far := Candidate{Host: "Far", Hall: "B", Capacity: 426, RoundTrip: 16 * time.Millisecond}
		toNear, all, lastFar := 0.0, 0.0, time.Duration(0)
		for at := time.Duration(0); at < burst+time.Second; at += 2 * time.Millisecond {
			now := time.Minute + at
			full := at < burst && at/phase%2 == 0
			near.Room.Observe(now, &RoomReport{InFlight: loadPlaces - 1, Places: loadPlaces, Waiting: boolToInt(full)})
			c := CoordinatorChoice{
				Now: now, Self: Candidate{Host: "W", Hall: "A", Capacity: 66}, All: []Candidate{near, far},
				Objective: loadObjective, Random: random.IntN,
			}
			chosen, ok := choice(&c)
			assert.Assert(t, ok)
			assert.Assert(t, !full || chosen.Host == "Far")
			if chosen.Host == "Far" {
				lastFar = at
			}
			if at < burst && !full {
				all++
				toNear += float64(boolToInt(chosen.Host == "Near"))
			}
		}
		return toNear / all, lastFar - (burst - phase)
	}
	control, _ := run(chooseFirstWithRoom)
	assert.Equal(t, control, 1.0)
	share, backAfter := run((*CoordinatorChoice).Choose)
	t.Logf("%.2f of the requests while it has room, all after %s", share, backAfter)
	assert.Assert(t, share > 0.3 && share < 0.7, "%f", share)
	assert.Assert(t, backAfter <= roomHysteresis && backAfter > roomHysteresis/2, "%s", backAfter)
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

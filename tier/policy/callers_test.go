package policy

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// callerAddrOf returns the address of the i-th caller of a test.
func callerAddrOf(i int) netip.Addr {
	return netip.AddrFrom4([4]byte{10, byte(i >> 16), byte(i >> 8), byte(i)})
}

// callerModel is a server with few places whose queue is ordered by overShare and then by
// arrival. Time advances in steps of 1 ms.
type callerModel struct {
	shares *callerShares
	random *rand.Rand
	// ordered is false to serve in the order of arrival alone.
	ordered bool
	// attempts has the number of attempts of each caller's requests; the retries follow
	// immediately.
	attempts []int
	now      time.Duration
	waiting  []modelAttempt
	freeAt   []time.Duration
	served   []int
}

type modelAttempt struct {
	caller, left int
	until        time.Duration
}

const (
	modelPlaces  = 4
	modelService = 40 * time.Millisecond
	modelWait    = 100 * time.Millisecond
	modelTime    = 30 * time.Second
	// modelOverload is how many times the capacity the callers ask for, without retries.
	modelOverload = 2
)

// modelCapacity is the number of requests served in the time of the model.
const modelCapacity = modelPlaces * float64(modelTime/modelService)

// run returns the number of requests served of each caller.
func (m *callerModel) run() []int {
	m.freeAt, m.served = make([]time.Duration, modelPlaces), make([]int, len(m.attempts))
	perStep := modelOverload * modelCapacity / float64(modelTime/time.Millisecond)
	for ; m.now < modelTime; m.now += time.Millisecond {
		for due := perStep; due > m.random.Float64(); due-- {
			c := m.random.IntN(len(m.attempts))
			m.enter(modelAttempt{caller: c, left: m.attempts[c]})
		}
		m.expire()
		m.admit()
	}
	return m.served
}

func (m *callerModel) over(a modelAttempt) bool {
	return m.ordered && m.shares.overShare(m.now, callerAddrOf(a.caller))
}

// enter queues an attempt, or refuses it if the requests ahead take too long.
func (m *callerModel) enter(a modelAttempt) {
	ahead := 0
	for _, w := range m.waiting {
		if m.over(a) || !m.over(w) {
			ahead++
		}
	}
	a.left--
	if time.Duration(ahead)*modelService/modelPlaces > modelWait {
		m.refuse(a)
		return
	}
	a.until = m.now + modelWait
	m.waiting = append(m.waiting, a)
}

func (m *callerModel) refuse(a modelAttempt) {
	m.shares.refused(m.now, callerAddrOf(a.caller), m.now+modelWait)
	if a.left > 0 {
		m.enter(a)
	}
}

// expire refuses the attempts that have waited too long.
func (m *callerModel) expire() {
	all := m.waiting
	m.waiting = nil
	for _, a := range all {
		if m.now < a.until {
			m.waiting = append(m.waiting, a)
			continue
		}
		m.refuse(a)
	}
}

// admit serves the waiting attempts while there are free places.
func (m *callerModel) admit() {
	for i, at := range m.freeAt {
		if at > m.now || len(m.waiting) == 0 {
			continue
		}
		next := max(slices.IndexFunc(m.waiting, func(a modelAttempt) bool { return !m.over(a) }), 0)
		a := m.waiting[next]
		m.waiting = slices.Delete(m.waiting, next, next+1)
		m.shares.admitted(m.now, callerAddrOf(a.caller))
		m.served[a.caller]++
		m.freeAt[i] = m.now + modelService
	}
}

// runCallers runs a model with the given numbers of callers, and returns what a steady and a
// retrying caller get of their equal share of the capacity.
func runCallers(t *testing.T, steady, retrying int, ordered bool) (steadyShare, retryingShare float64) {
	m := callerModel{shares: newCallerShares(), random: rand.New(rand.NewPCG(1, 2)), ordered: ordered}
	m.attempts = append(slices.Repeat([]int{1}, steady), slices.Repeat([]int{4}, retrying)...)
	served := m.run()
	share := modelCapacity / float64(len(served))
	for i, n := range served {
		if i < steady {
			steadyShare += float64(n) / share / float64(steady)
		} else {
			retryingShare += float64(n) / share / float64(retrying)
		}
	}
	t.Logf("ordered=%t: steady %.2f, retrying %.2f of the equal share", ordered, steadyShare, retryingShare)
	return steadyShare, retryingShare
}

// TestSteadyCallerBesideRetryingCallers guards against callers that retry four times taking the
// capacity of those that do not, at twice the capacity. The order of arrival is the control.
func TestSteadyCallerBesideRetryingCallers(t *testing.T) {
	tests := []struct {
		name             string
		steady, retrying int
	}{
		{"one beside one", 1, 1},
		{"one of ten retries", 9, 1},
		{"a third retries", 20, 10},
		{"half retries", 15, 15},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			unordered, _ := runCallers(t, tt.steady, tt.retrying, false)
			ordered, retrying := runCallers(t, tt.steady, tt.retrying, true)
			assert.Assert(t, ordered > 0.9, "%f", ordered)
			assert.Assert(t, retrying > 0.5, "%f", retrying)
			assert.Assert(t, ordered >= unordered, "%f %f", ordered, unordered)
		})
	}
}

// TestGatewayIsServedWhenNobodyElseWaits guards against refusing many callers behind one address:
// they are over their share beside others, but the order alone never takes a free place.
func TestGatewayIsServedWhenNobodyElseWaits(t *testing.T) {
	c := newCallerShares()
	gateway := callerAddrOf(0)
	now := time.Minute
	for range 100 {
		c.admitted(now, gateway)
	}
	assert.Assert(t, !c.overShare(now, gateway), "nobody else is in the table")
	for i := range 10 {
		c.admitted(now, callerAddrOf(1+i))
	}
	assert.Assert(t, c.overShare(now, gateway))
	for i := range 10 {
		assert.Assert(t, !c.overShare(now, callerAddrOf(1+i)))
	}
	assert.Assert(t, !c.overShare(now+callerRetention, callerAddrOf(1)))
	c.admitted(now+callerRetention, gateway)
	assert.Assert(t, !c.overShare(now+callerRetention, gateway), "the others have left")
}

// TestHundredThousandCallers guards against unbounded memory, and against losing the most recent
// callers when there are more than the table holds.
func TestHundredThousandCallers(t *testing.T) {
	c := newCallerShares()
	heavy := callerAddrOf(1 << 20)
	now := time.Minute
	for i := range 100_000 {
		now += 10 * time.Microsecond
		c.admitted(now, callerAddrOf(i))
		if i%100 == 0 {
			c.admitted(now, heavy)
		}
		assert.Assert(t, len(c.byAddr) <= maxCallers)
		assert.Equal(t, len(c.byAddr), c.recent.Len())
	}
	assert.Equal(t, len(c.byAddr), maxCallers)
	assert.Assert(t, c.overShare(now, heavy))
	assert.Assert(t, !c.overShare(now, callerAddrOf(99_999)))
	assert.Assert(t, c.byAddr[callerAddrOf(0)] == nil, "the least recently used is evicted first")
	c.admitted(now+callerRetention, callerAddrOf(5))
	assert.Equal(t, len(c.byAddr), 1, "those that left are forgotten")
	assert.Assert(t, c.admittedSum > 0)
}

// TestCallerThatReturnsEarly checks that attempts before the given time count as usage and that
// attempts at that time do not.
func TestCallerThatReturnsEarly(t *testing.T) {
	const wait = 100 * time.Millisecond
	tests := []struct {
		name  string
		pause time.Duration
		want  bool
	}{
		{"immediately", time.Millisecond, true},
		{"just before its time", wait - 1, true},
		{"at its time", wait, false},
		{"after its time", wait + 1, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := newCallerShares()
			now := time.Minute
			for i := range 10 {
				c.admitted(now, callerAddrOf(i))
				c.admitted(now, callerAddrOf(i))
			}
			c.admitted(now, callerAddrOf(0))
			for range 5 {
				c.refused(now, callerAddrOf(0), now+wait)
				now += tt.pause
			}
			assert.Equal(t, c.overShare(now, callerAddrOf(0)), tt.want)
		})
	}
}

// TestTwoRequestsOfOneCallerReturnInTime guards against charging a caller for the earlier of two
// times that it was given.
func TestTwoRequestsOfOneCallerReturnInTime(t *testing.T) {
	const first, second = 100 * time.Millisecond, 200 * time.Millisecond
	for _, times := range [][2]time.Duration{{first, second}, {second, first}} {
		c := newCallerShares()
		a := callerAddrOf(0)
		now := time.Minute
		for _, d := range times {
			c.refused(now, a, now+d)
		}
		charged := c.byAddr[a].Value.(*callerUsage).early
		c.refused(now+first, a, now+2*second)
		assert.Equal(t, c.byAddr[a].Value.(*callerUsage).early, charged)
	}
}

// TestUsageDecaysAfterShortage guards against a caller that stays behind the others after it has
// returned to a steady rate.
func TestUsageDecaysAfterShortage(t *testing.T) {
	c := newCallerShares()
	heavy := callerAddrOf(0)
	now := time.Minute
	everyone := func() {
		for i := range 10 {
			c.admitted(now, callerAddrOf(i))
		}
	}
	for range 30 {
		everyone()
		for range 5 {
			c.admitted(now, heavy)
		}
		now += time.Second
	}
	assert.Assert(t, c.overShare(now, heavy))
	for range 5 {
		everyone()
		now += time.Second
	}
	assert.Assert(t, !c.overShare(now, heavy))
}

// TestUsageSurvivesLongRuns guards against an overflow of the growing unit of usage.
func TestUsageSurvivesLongRuns(t *testing.T) {
	c := newCallerShares()
	for i := range 100_000 {
		now := 100*24*time.Hour + time.Duration(i)*100*time.Millisecond
		c.admitted(now, callerAddrOf(0))
		c.admitted(now, callerAddrOf(1))
		for range 4 {
			c.admitted(now, callerAddrOf(2))
		}
		assert.Assert(t, !c.overShare(now, callerAddrOf(0)))
		if i > 10 {
			assert.Assert(t, c.overShare(now, callerAddrOf(2)), "%d", i)
		}
	}
	assert.Assert(t, !c.overShare(1000*24*time.Hour, callerAddrOf(2)))
}

// TestUnknownCallerIsNeverOverItsShare covers callers without a valid address.
func TestUnknownCallerIsNeverOverItsShare(t *testing.T) {
	c := newCallerShares()
	for i := range 100 {
		c.admitted(time.Minute, netip.Addr{})
		c.refused(time.Minute, netip.Addr{}, 2*time.Minute)
		c.admitted(time.Minute, callerAddrOf(i%3))
	}
	assert.Assert(t, !c.overShare(time.Minute, netip.Addr{}))
	assert.Equal(t, len(c.byAddr), 3, fmt.Sprint(c.byAddr))
}

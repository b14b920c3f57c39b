package peers

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	modelHalls = 6
	// modelLossRate is the fraction of heartbeats between live hosts that get no answer.
	modelLossRate = 0.05
	// modelStep is the step of the model's time; it divides a heartbeat interval.
	modelStep = 50 * time.Millisecond
)

// fleetModel simulates hosts of modelHalls halls in virtual time. Each has a member table and
// sends heartbeats in the same way as gossip with an adapter.
type fleetModel struct {
	random *rand.Rand
	now    time.Duration
	hosts  []*fleetModelHost
	// unanswered are the heartbeats in flight that will get no answer.
	unanswered []unansweredHeartbeat
}

type fleetModelHost struct {
	table *memberTable
	name  string
	hall  int
	// offset is when within an interval the host sends heartbeats.
	offset     time.Duration
	heartbeats int
	// urgentAt is when an extra heartbeat is due; 0 for never.
	urgentAt time.Duration
	// dead is true once the host has failed; pausedUntil is when a pause ends.
	dead        bool
	pausedUntil time.Duration
}

type unansweredHeartbeat struct {
	by, to *fleetModelHost
	// sentAt is when the first attempt was sent, dueAt when the last one times out.
	sentAt, dueAt time.Duration
	retried       bool
}

// newFleetModel returns a model of hosts that know all others, or only the first three of each
// hall.
func newFleetModel(hosts int, allKnown bool) *fleetModel {
	m := &fleetModel{random: rand.New(rand.NewPCG(7, 0)), now: time.Hour}
	var all []memberEntry
	for i := range hosts {
		e := newTestEntry(i, 1)
		e.Host, e.Hall = fmt.Sprintf("host-%d", i), fmt.Sprint("hall-", i%modelHalls)
		all = append(all, e)
		table := newMemberTable(memberTableConfig{Self: e, Interval: time.Second, Random: m.random})
		offset := time.Duration(m.random.Int64N(int64(time.Second/modelStep))) * modelStep
		m.hosts = append(m.hosts, &fleetModelHost{table: table, name: e.Host, hall: i % modelHalls, offset: offset})
	}
	known := all
	if !allKnown {
		known = all[:3*modelHalls]
	}
	for _, h := range m.hosts {
		h.table.merge(m.now, slices.Clone(known))
		h.table.updates = nil
		for _, r := range h.table.order {
			r.transmitsLeft = 0
		}
	}
	return m
}

func (m *fleetModel) paused(h *fleetModelHost) bool { return m.now < h.pausedUntil }

// run advances the time by d, and calls each after each step.
func (m *fleetModel) run(d time.Duration, each func()) {
	for until := m.now + d; m.now < until; {
		m.now += modelStep
		for _, h := range m.hosts {
			if h.dead || m.paused(h) {
				continue
			}
			if (m.now-h.offset)%time.Second == 0 {
				m.sendHeartbeats(h)
			}
			m.sendUrgent(h)
		}
		due := m.unanswered
		m.unanswered = nil
		for _, f := range due {
			m.handleTimeout(f)
		}
		each()
	}
}

// handleTimeout retries an unanswered heartbeat, or raises a suspicion if it was the retry.
func (m *fleetModel) handleTimeout(f unansweredHeartbeat) {
	switch {
	case m.now < f.dueAt:
		m.unanswered = append(m.unanswered, f)
	case f.by.dead || m.paused(f.by):
	case f.retried:
		f.by.table.recordUnanswered(m.now, f.to.name, f.sentAt)
	default:
		m.exchange(f.by, f.to, f.sentAt, true)
	}
}

func (m *fleetModel) sendHeartbeats(h *fleetModelHost) {
	h.heartbeats++
	h.table.tick(m.now, 1)
	hall, unresponsive, other := m.classifyHosts(h)
	partners := m.sampleHallPartners(h, hall)
	announces := m.announcer(h.hall) == h
	every := otherHallEvery * nonAnnouncerFactor
	if announces {
		every = otherHallEvery
	}
	switch {
	case announces && (h.heartbeats <= introductionHeartbeats || h.table.hasRecentSuspicions(m.now)):
		partners = append(partners, m.oneOfEachHall(other)...)
	case h.heartbeats%every == 0:
		partners = append(partners, sample(m.random.Perm, other, otherHallPartners)...)
	}
	if h.heartbeats%unresponsiveEvery == 0 {
		partners = append(partners, sample(m.random.Perm, unresponsive, unresponsivePartners)...)
	}
	for _, to := range partners {
		m.exchange(h, to, m.now, false)
	}
}

// sendUrgent sends the extra heartbeats of a host.
func (m *fleetModel) sendUrgent(h *fleetModelHost) {
	if h.urgentAt == 0 && h.table.takeUrgent() {
		h.urgentAt = m.now + urgentDelay
	}
	if h.urgentAt == 0 || m.now < h.urgentAt {
		return
	}
	h.urgentAt = 0
	hall, _, _ := m.classifyHosts(h)
	for _, to := range m.sampleHallPartners(h, hall) {
		m.exchange(h, to, m.now, false)
	}
}

// classifyHosts divides the hosts that a host knows as gossip.classifyHosts does with an adapter.
func (m *fleetModel) classifyHosts(h *fleetModelHost) (hall, unresponsive, other []*fleetModelHost) {
	for _, r := range h.table.order {
		to := m.hosts[hostIndex(r.Host)]
		switch {
		case !r.live:
			unresponsive = append(unresponsive, to)
		case to.hall == h.hall:
			hall = append(hall, to)
		default:
			other = append(other, to)
		}
	}
	return hall, unresponsive, other
}

func (m *fleetModel) sampleHallPartners(h *fleetModelHost, hall []*fleetModelHost) []*fleetModelHost {
	var suspects []*fleetModelHost
	for _, n := range h.table.suspected(h.table.Self.Hall) {
		suspects = append(suspects, m.hosts[hostIndex(n)])
	}
	return append(sample(m.random.Perm, suspects, suspectPartners), sample(m.random.Perm, hall, hallPartners)...)
}

// announcer returns the first live host of a hall.
func (m *fleetModel) announcer(hall int) *fleetModelHost {
	i := slices.IndexFunc(m.hosts, func(h *fleetModelHost) bool { return h.hall == hall && !h.dead })
	return m.hosts[i]
}

func (m *fleetModel) oneOfEachHall(other []*fleetModelHost) []*fleetModelHost {
	var out []*fleetModelHost
	for hall := range modelHalls {
		of := slices.DeleteFunc(slices.Clone(other), func(o *fleetModelHost) bool { return o.hall != hall })
		out = append(out, sample(m.random.Perm, of, 1)...)
	}
	return out
}

func (m *fleetModel) exchange(from, to *fleetModelHost, sentAt time.Duration, retried bool) {
	// A paused host answers when its pause ends.
	if to.dead || to.pausedUntil > m.now+heartbeatTimeout || m.random.Float64() < modelLossRate {
		if to.hall == from.hall {
			m.unanswered = append(m.unanswered, unansweredHeartbeat{by: from, to: to, sentAt: sentAt, dueAt: m.now + heartbeatTimeout, retried: retried})
		}
		return
	}
	known := len(from.table.order)
	m.deliver(to, from.table.entries(m.now), from.table.suspicions(m.now))
	reply := to.table.entries(m.now)
	if to.table.needsFullSync(known) {
		reply = to.table.fullSync(m.now)
	}
	m.deliver(from, reply, to.table.suspicions(m.now))
}

func (m *fleetModel) deliver(to *fleetModelHost, entries []memberEntry, suspicions []suspicion) {
	to.table.merge(m.now, entries)
	to.table.mergeSuspicions(m.now, suspicions)
}

func hostIndex(host string) int {
	var n int
	if _, err := fmt.Sscanf(host, "host-%d", &n); err != nil {
		panic(err)
	}
	return n
}

// liveRatio returns the fraction, of the matching pairs of a live host and another one, in which
// the first considers the second live.
func (m *fleetModel) liveRatio(match func(by, of *fleetModelHost) bool) float64 {
	live, pairs := 0, 0
	for _, by := range m.hosts {
		if by.dead {
			continue
		}
		for _, of := range m.hosts {
			if of == by || !match(by, of) {
				continue
			}
			pairs++
			if r := by.table.records[of.name]; r != nil && r.live {
				live++
			}
		}
	}
	return float64(live) / float64(max(pairs, 1))
}

func modelSizes() []int {
	return slices.DeleteFunc([]int{60, 300, 584}, func(n int) bool { return n > maxModelHosts })
}

// TestFailedHostsAreDetectedAtAnyFleetSize checks that when a sixth of the hosts fail at
// once, the hosts of their halls know 99% of the failures within 5 s, and those of other halls
// within 8 s.
func TestFailedHostsAreDetectedAtAnyFleetSize(t *testing.T) {
	for _, hosts := range modelSizes() {
		t.Run(fmt.Sprint(hosts), func(t *testing.T) {
			m := newFleetModel(hosts, true)
			m.run(5*time.Second, func() {})
			for i := range hosts / 6 {
				m.hosts[i].dead = true
			}
			failedAt := m.now
			var inHall, anywhere time.Duration
			m.run(15*time.Second, func() {
				if inHall == 0 && m.liveRatio(func(by, of *fleetModelHost) bool { return of.dead && by.hall == of.hall }) <= 0.01 {
					inHall = m.now - failedAt
				}
				if anywhere == 0 && m.liveRatio(func(_, of *fleetModelHost) bool { return of.dead }) <= 0.01 {
					anywhere = m.now - failedAt
				}
			})
			t.Logf("99%% of the failures known after %v in the hall, %v anywhere", inHall, anywhere)
			assert.Assert(t, inHall > 0 && inHall <= 5*time.Second, "in the hall after %v", inHall)
			assert.Assert(t, anywhere > 0 && anywhere <= 8*time.Second, "anywhere after %v", anywhere)
		})
	}
}

// TestLiveHostsStayLiveAtAnyFleetSize checks that no host considers a live one unresponsive
// for more than a second, although heartbeats are lost and hosts pause for a second.
func TestLiveHostsStayLiveAtAnyFleetSize(t *testing.T) {
	for _, hosts := range modelSizes() {
		t.Run(fmt.Sprint(hosts), func(t *testing.T) {
			m := newFleetModel(hosts, true)
			m.run(5*time.Second, func() {})
			unresponsiveSince := map[*memberRecord]time.Duration{}
			longest, inHall, step := time.Duration(0), time.Duration(0), 0
			m.run(20*time.Second, func() {
				if step++; step%5 == 0 {
					m.hosts[m.random.IntN(hosts)].pausedUntil = m.now + time.Second
				}
				for _, h := range m.hosts {
					for _, r := range h.table.order {
						if r.live {
							delete(unresponsiveSince, r)
							continue
						}
						if _, known := unresponsiveSince[r]; !known {
							unresponsiveSince[r] = m.now
						}
						longest = max(longest, m.now-unresponsiveSince[r])
						if r.Hall == h.table.Self.Hall {
							inHall = max(inHall, m.now-unresponsiveSince[r])
						}
					}
				}
			})
			t.Logf("a live host was considered unresponsive for up to %v, in its hall for up to %v", longest, inHall)
			assert.Assert(t, longest <= time.Second)
		})
	}
}

// TestHostsDiscoverEachOtherAtAnyFleetSize checks that hosts that start together with the
// same few seeds know 99% of their hall after 5 intervals, and 99% of all hosts after 15.
func TestHostsDiscoverEachOtherAtAnyFleetSize(t *testing.T) {
	for _, hosts := range modelSizes() {
		t.Run(fmt.Sprint(hosts), func(t *testing.T) {
			m := newFleetModel(hosts, false)
			m.run(5*time.Second, func() {})
			inHall := m.liveRatio(func(by, of *fleetModelHost) bool { return by.hall == of.hall })
			m.run(10*time.Second, func() {})
			anywhere := m.liveRatio(func(_, _ *fleetModelHost) bool { return true })
			t.Logf("known of the hall %.3f after 5 s, of all %.3f after 15 s", inHall, anywhere)
			assert.Assert(t, inHall >= 0.99, "known of the hall: %.3f", inHall)
			assert.Assert(t, anywhere >= 0.99, "known of all: %.3f", anywhere)
		})
	}
}

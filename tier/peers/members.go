package peers

import (
	"cmp"
	"math/bits"
	"net/netip"
	"slices"
	"time"

	"loomgap/tier/policy"
)

const (
	// heartbeatEntries is the most members that one heartbeat lists, so that its size does
	// not grow with the fleet.
	heartbeatEntries = 24
	// updateEntries is how many of these are members with recent changes. The rest are drawn
	// from all members, so that each is listed regularly.
	updateEntries = 12
	// fullSyncEntries is the most members that one full sync lists.
	fullSyncEntries = 1024
	// unresponsiveIntervals is the number of heartbeat intervals without a newer entry after
	// which a member is unresponsive. It is multiplied in larger fleets (unresponsiveAfter),
	// where each member is listed less often. A suspicion takes effect much earlier.
	unresponsiveIntervals = 6
	// forgetIntervals is the number of heartbeat intervals without a newer entry after which
	// a member is forgotten. It takes at least twice as long as becoming unresponsive.
	forgetIntervals = 120
)

// memberEntry is what heartbeats report of one entry host.
type memberEntry struct {
	Host string
	// Incarnation identifies the process; a later process of the host has a larger one.
	Incarnation string
	// Counter increases with each heartbeat of the process.
	Counter uint64
	// Leaving is true once the process has reported that it stops, and stays true.
	Leaving bool `json:",omitempty"`
	// Revision is the revision of the host's active document.
	Revision uint64
	// Hall and Peer are the host's hall and address, used if the document does not list it.
	Hall string         `json:",omitempty"`
	Peer netip.AddrPort `json:",omitzero"`
	// Capacity is as of policy.Capacity; 0 if the host did not report it.
	Capacity int `json:",omitempty"`
	// Age is the time since the member itself was heard, directly or through others.
	Age time.Duration `json:",omitempty"`
}

func (e *memberEntry) newerThan(o *memberEntry) bool {
	return cmp.Or(cmp.Compare(e.Incarnation, o.Incarnation), cmp.Compare(e.Counter, o.Counter)) > 0
}

// sameAs reports whether two entries are equal except for the fields that change with each
// heartbeat or document.
func (e *memberEntry) sameAs(o *memberEntry) bool {
	other := *o
	other.Counter, other.Revision, other.Age = e.Counter, e.Revision, e.Age
	return *e == other
}

// memberRecord is the newest entry of a member. All times are since the process started.
type memberRecord struct {
	memberEntry
	// updatedAt is when the newest entry arrived.
	updatedAt    time.Duration
	suspectState suspectState
	// live is the last result of isLive.
	live bool
	// orderIndex is the record's index in the table's order.
	orderIndex int
	// transmitsLeft is how many more messages list the member as an update.
	transmitsLeft int
}

type memberTableConfig struct {
	// Self is the entry of this host.
	Self memberEntry
	// Interval is the time between heartbeats; above 0.
	Interval time.Duration
	Random   policy.Random
}

// memberTable holds what one host knows of the others from heartbeats. A member is live,
// unresponsive or forgotten, depending on when it was last heard and on suspicions of it.
// The cost of a message does not grow with the fleet. A memberTable is not safe for
// concurrent use.
type memberTable struct {
	memberTableConfig
	// records holds the other hosts by name; order holds the same ones, shuffled by
	// appendRandom.
	records map[string]*memberRecord
	order   []*memberRecord
	// updates are the records with transmitsLeft above 0.
	updates []*memberRecord
	// suspects are the members with an open suspicion.
	suspects []*memberRecord
	// urgent is true while there is an update to send at once.
	urgent bool
	// refutedAt is when a suspicion was last refuted; 0 for never.
	refutedAt time.Duration
	// liveCount is the number of live records.
	liveCount int
	// changedHosts are the members that changed since takeChanges was last called.
	changedHosts []string
}

func newMemberTable(c memberTableConfig) *memberTable {
	return &memberTable{memberTableConfig: c, records: map[string]*memberRecord{}}
}

// tick begins a heartbeat of this host: it increments the counter of this host's entry, and
// marks members as unresponsive or forgets them.
func (t *memberTable) tick(now time.Duration, revision uint64) {
	t.Self.Counter++
	t.Self.Revision = revision
	forgetAfter := max(forgetIntervals*t.Interval, 2*t.unresponsiveAfter())
	for _, r := range slices.Clone(t.order) {
		if now-r.updatedAt > forgetAfter {
			t.forget(r)
			continue
		}
		t.updateLive(now, r)
	}
}

func (t *memberTable) forget(r *memberRecord) {
	last := t.order[len(t.order)-1]
	t.order[r.orderIndex], last.orderIndex = last, r.orderIndex
	t.order = t.order[:len(t.order)-1]
	t.updates = removeFirst(t.updates, r)
	t.suspects = removeFirst(t.suspects, r)
	delete(t.records, r.Host)
	if r.live {
		t.liveCount--
	}
	t.changedHosts = append(t.changedHosts, r.Host)
}

func (t *memberTable) leave() {
	t.Self.Leaving = true
	t.Self.Counter++
}

// merge applies the entries that another host reported. A process that has been reported as
// leaving stays leaving.
func (t *memberTable) merge(now time.Duration, entries []memberEntry) {
	for i := range entries {
		if e := &entries[i]; e.Host != t.Self.Host {
			t.mergeOne(now, e)
		}
	}
	t.updateSuspects(now)
}

func (t *memberTable) mergeOne(now time.Duration, e *memberEntry) {
	heardAt := now - max(e.Age, 0)
	e.Age = 0
	r := t.records[e.Host]
	if r == nil {
		r = &memberRecord{memberEntry: *e, updatedAt: now, suspectState: suspectState{heardAt: heardAt}, live: true, orderIndex: len(t.order)}
		t.records[e.Host], t.order = r, append(t.order, r)
		t.liveCount++
		t.queueUpdate(r)
		t.changedHosts = append(t.changedHosts, e.Host)
		return
	}
	if !e.newerThan(&r.memberEntry) {
		return
	}
	e.Leaving = e.Leaving || r.Leaving && e.Incarnation == r.Incarnation
	isUpdate := !e.sameAs(&r.memberEntry)
	changed := isUpdate || e.Revision != r.Revision
	r.memberEntry, r.updatedAt = *e, now
	switch {
	case r.suspectState.heard(heardAt):
		t.suspects = removeFirst(t.suspects, r)
		t.refutedAt = now
		t.queueUpdateFirst(r)
		t.markUrgent(r)
	case isUpdate:
		t.queueUpdate(r)
	}
	if changed {
		t.changedHosts = append(t.changedHosts, e.Host)
	}
	t.updateLive(now, r)
}

// updateLive updates a member's live state, liveCount and changedHosts.
func (t *memberTable) updateLive(now time.Duration, r *memberRecord) {
	if live := t.isLive(now, r); live != r.live {
		r.live = live
		if live {
			t.liveCount++
		} else {
			t.liveCount--
		}
		t.changedHosts = append(t.changedHosts, r.Host)
	}
}

// isLive reports whether a member is live: no suspicion of it has expired, and its newest
// entry arrived within unresponsiveAfter.
func (t *memberTable) isLive(now time.Duration, r *memberRecord) bool {
	if t.suspicionExpired(now, r) {
		return false
	}
	return now-r.updatedAt <= t.unresponsiveAfter()
}

// unresponsiveAfter is the time without a newer entry after which a member is unresponsive,
// if nobody suspects it.
func (t *memberTable) unresponsiveAfter() time.Duration {
	return unresponsiveIntervals * t.Interval * time.Duration(1+len(t.records)/heartbeatEntries)
}

// resetTimers restarts the timers of all members and drops all suspicions: after a pause of
// this process, missing entries and answers show nothing about the members.
func (t *memberTable) resetTimers(now time.Duration) {
	for _, r := range t.order {
		r.updatedAt, r.suspectState = now, suspectState{heardAt: now}
		t.updateLive(now, r)
	}
	t.suspects = nil
}

// maxTransmits is how many messages list a member as an update. It grows with the logarithm
// of the fleet size, as does the time in which an update reaches all hosts.
func (t *memberTable) maxTransmits() int { return 2 * bits.Len(uint(len(t.records))) }

// queueUpdate queues a member, so that the next messages list it.
func (t *memberTable) queueUpdate(r *memberRecord) {
	if r.transmitsLeft == 0 {
		t.updates = append(t.updates, r)
	}
	r.transmitsLeft = t.maxTransmits()
}

// queueUpdateFirst queues a member before all other updates, since other hosts may consider
// it unresponsive.
func (t *memberTable) queueUpdateFirst(r *memberRecord) {
	t.updates = slices.Insert(removeFirst(t.updates, r), 0, r)
	r.transmitsLeft = t.maxTransmits()
}

// entries returns the entries for one heartbeat: this host, then recently changed members,
// then live members, drawn at random if they are too many.
func (t *memberTable) entries(now time.Duration) []memberEntry {
	out := append(make([]memberEntry, 0, heartbeatEntries), t.Self)
	if len(t.order) < heartbeatEntries {
		return t.appendRandom(now, heartbeatEntries, nil, out)
	}
	listed := map[*memberRecord]bool{}
	for _, r := range slices.Clone(t.updates[:min(updateEntries, len(t.updates))]) {
		listed[r] = true
		t.updates = t.updates[1:]
		if r.transmitsLeft--; r.transmitsLeft > 0 {
			t.updates = append(t.updates, r)
		}
		if t.isLive(now, r) {
			out = append(out, r.entry(now))
		}
	}
	return t.appendRandom(now, heartbeatEntries, listed, out)
}

// needsFullSync reports whether a host that knows the given number of members needs a full
// sync.
func (t *memberTable) needsFullSync(known int) bool {
	return t.liveCount > heartbeatEntries && float64(known) < fullSyncThreshold*float64(t.liveCount)
}

// fullSync returns as many live members as one message may list, for a host that knows few.
// Without it, a host that starts in a large fleet would learn of only a few others with each
// heartbeat.
func (t *memberTable) fullSync(now time.Duration) []memberEntry {
	return t.appendRandom(now, fullSyncEntries, nil, []memberEntry{t.Self})
}

// appendRandom appends live members that are not listed yet, drawn at random, up to limit.
func (t *memberTable) appendRandom(now time.Duration, limit int, listed map[*memberRecord]bool, out []memberEntry) []memberEntry {
	drawsAll := len(t.order) < limit
	for i := 0; i < len(t.order) && len(out) < limit; i++ {
		if !drawsAll {
			t.swap(i, i+t.Random.IntN(len(t.order)-i))
		}
		if r := t.order[i]; !listed[r] && t.isLive(now, r) {
			out = append(out, r.entry(now))
		}
	}
	return out
}

func (t *memberTable) swap(i, j int) {
	t.order[i], t.order[j] = t.order[j], t.order[i]
	t.order[i].orderIndex, t.order[j].orderIndex = i, j
}

// entry returns what a message sent now reports of a member.
func (r *memberRecord) entry(now time.Duration) memberEntry {
	e := r.memberEntry
	e.Age = (now - r.suspectState.heardAt).Truncate(agePrecision)
	return e
}

// takeChanges returns the names of the members that changed since its last call, possibly
// with duplicates.
func (t *memberTable) takeChanges() []string {
	out := t.changedHosts
	t.changedHosts = nil
	return out
}

// removeFirst removes the first occurrence of an item.
func removeFirst[T comparable](items []T, item T) []T {
	if i := slices.Index(items, item); i >= 0 {
		return slices.Delete(items, i, i+1)
	}
	return items
}

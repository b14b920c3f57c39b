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
	// heartbeatEntries is the most members that one heartbeat lists, so that its size
	// does not grow with the fleet.
	heartbeatEntries = 24
	// newsEntries is how many of these are members of which something changed. The rest
	// are drawn from all, so that no member's entry stays out for long.
	updateEntries = 12
	// handoverEntries is the most members that are listed for a host that knows few.
	fullSyncEntries = 1024
	// silentHeartbeats is after how many intervals between heartbeats without a newer
	// entry a member is silent; as many again for each heartbeatEntries of members,
	// since news of one member is rarer in a large fleet. A suspicion is much faster.
	unresponsiveIntervals = 6
	// forgetHeartbeats is after how many intervals a member without a newer entry is
	// forgotten, and never before it was silent for as long as it took to be silent.
	forgetIntervals = 120
)

// memberEntry is what heartbeats report of one entry host.
type memberEntry struct {
	Host string
	// Incarnation names the process; a later one of the host has a larger one.
	Incarnation string
	// Counter rises with each heartbeat of the process.
	Counter uint64
	// Leaving is true once the process said that it stops; it stays true.
	Leaving bool `json:",omitempty"`
	// Revision is the configuration in force there.
	Revision uint64
	// Hall and Peer are where the host is, if no document says it.
	Hall string         `json:",omitempty"`
	Peer netip.AddrPort `json:",omitzero"`
	// Capacity is as of policy.Capacity; 0 if the host did not report it.
	Capacity int `json:",omitempty"`
	// Age is how long ago the member itself was heard, directly or through others.
	Age time.Duration `json:",omitempty"`
}

func (e *memberEntry) newerThan(o *memberEntry) bool {
	return cmp.Or(cmp.Compare(e.Incarnation, o.Incarnation), cmp.Compare(e.Counter, o.Counter)) > 0
}

// sameAs reports whether two entries differ at most in what each heartbeat changes.
func (e *memberEntry) sameAs(o *memberEntry) bool {
	other := *o
	other.Counter, other.Revision, other.Age = e.Counter, e.Revision, e.Age
	return *e == other
}

// memberRecord is the newest entry of a member. All times are since the process started.
type memberRecord struct {
	memberEntry
	// risenAt is when a newer entry last came.
	updatedAt    time.Duration
	suspectState suspectState
	// live is whether it counted as live when that was last worked out.
	live bool
	// place is its index in the table's order.
	orderIndex int
	// untold is in how many messages it is still listed as news.
	transmitsLeft int
}

type memberTableConfig struct {
	// Self is the entry of this host.
	Self memberEntry
	// Interval is the time between heartbeats; above 0.
	Interval time.Duration
	Random   policy.Random
}

// memberTable is what one host knows of the others, by their heartbeats: a member is
// live, silent or forgotten by when it was last heard and by who suspects it. It is pure:
// the time is handed in. What it does for a message costs no more in a larger fleet. It
// is not safe for concurrent use.
type memberTable struct {
	memberTableConfig
	// records holds the other hosts by name, order the same ones in no order.
	records map[string]*memberRecord
	order   []*memberRecord
	// news are those with untold above 0.
	updates []*memberRecord
	// suspects are those that are suspected, or were a moment ago.
	suspects []*memberRecord
	// urgent is true while there is something to pass on at once.
	urgent bool
	// endedAt is when a suspicion last ended; 0 for never.
	refutedAt time.Duration
	// lives counts the records that are live.
	liveCount int
	// touched are the names of members that changed since changes was last called.
	changedHosts []string
}

func newMemberTable(c memberTableConfig) *memberTable {
	return &memberTable{memberTableConfig: c, records: map[string]*memberRecord{}}
}

// tick begins a heartbeat of this host. It is where members turn silent, and are
// forgotten.
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

// merge takes in what another host reported. A process that is leaving stays so.
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

// updateLive notes whether a member counts as live now.
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

// isLive decides whether a member counts as live: no suspicion of it has stood for too
// long, and its newest entry came no longer ago than silentHeartbeats intervals, in a
// large fleet more.
func (t *memberTable) isLive(now time.Duration, r *memberRecord) bool {
	if t.suspicionExpired(now, r) {
		return false
	}
	return now-r.updatedAt <= t.unresponsiveAfter()
}

// silentAfter is how long no newer entry of a member may come until it is silent, if
// nobody suspects it.
func (t *memberTable) unresponsiveAfter() time.Duration {
	return unresponsiveIntervals * t.Interval * time.Duration(1+len(t.records)/heartbeatEntries)
}

// restartSilence counts the silence of all members from now on: after a pause of this
// process their silence shows nothing, nor that they did not answer it.
func (t *memberTable) resetTimers(now time.Duration) {
	for _, r := range t.order {
		r.updatedAt, r.suspectState = now, suspectState{heardAt: now}
		t.updateLive(now, r)
	}
	t.suspects = nil
}

// timesTold is how many messages list a member that is news. It grows with the logarithm
// of the fleet, as the time does in which news reaches all.
func (t *memberTable) maxTransmits() int { return 2 * bits.Len(uint(len(t.records))) }

// tell has the next messages list a member.
func (t *memberTable) queueUpdate(r *memberRecord) {
	if r.transmitsLeft == 0 {
		t.updates = append(t.updates, r)
	}
	r.transmitsLeft = t.maxTransmits()
}

// tellFirst is tell before all other news, for a member that others may take for silent.
func (t *memberTable) queueUpdateFirst(r *memberRecord) {
	t.updates = slices.Insert(removeFirst(t.updates, r), 0, r)
	r.transmitsLeft = t.maxTransmits()
}

// entries returns the entries for one heartbeat: this host, then members of which
// something changed, then live members, drawn at random if they are too many.
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

// handsOverTo reports whether a host that knows so many members is to get many.
func (t *memberTable) needsFullSync(known int) bool {
	return t.liveCount > heartbeatEntries && float64(known) < fullSyncThreshold*float64(t.liveCount)
}

// handover returns the entries for a host that knows few members: as many live ones as
// one message may have. Without it, a host that starts in a large fleet meets the others
// one heartbeat at a time.
func (t *memberTable) fullSync(now time.Duration) []memberEntry {
	return t.appendRandom(now, fullSyncEntries, nil, []memberEntry{t.Self})
}

// draw appends live members that are not listed yet, drawn at random, up to a number.
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

// entry is what a message sent now reports of a member.
func (r *memberRecord) entry(now time.Duration) memberEntry {
	e := r.memberEntry
	e.Age = (now - r.suspectState.heardAt).Truncate(agePrecision)
	return e
}

// changes returns the names of the members that changed since it was last called, some
// of them twice.
func (t *memberTable) takeChanges() []string {
	out := t.changedHosts
	t.changedHosts = nil
	return out
}

// removeFirst removes the first of some items that equals another.
func removeFirst[T comparable](items []T, item T) []T {
	if i := slices.Index(items, item); i >= 0 {
		return slices.Delete(items, i, i+1)
	}
	return items
}

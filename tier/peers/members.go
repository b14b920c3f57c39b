package peers

import (
	"cmp"
	"maps"
	"net/netip"
	"slices"
	"time"

	"loomgap/tier/policy"
)

const (
	// heartbeatEntries is the most members that one heartbeat lists, so that its size
	// does not grow with the fleet: 2,078 bytes at 24 members and 2,087 at 117 hosts,
	// before compression (BenchmarkBeat).
	heartbeatEntries = 24
	// silentHeartbeats is after how many intervals between heartbeats without a newer
	// entry a member is silent; as many again for each heartbeatEntries of members,
	// since news of one member is rarer in a large hall. With it no live host of 117
	// is taken for silent within 60 intervals (TestGossipReachesAHall).
	silentHeartbeats = 6
	// forgetHeartbeats is after how many intervals without a newer entry a member is
	// forgotten. Not measured.
	forgetHeartbeats = 120
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
}

func (e *memberEntry) newerThan(o *memberEntry) bool {
	return cmp.Or(cmp.Compare(e.Incarnation, o.Incarnation), cmp.Compare(e.Counter, o.Counter)) > 0
}

// memberRecord is the newest entry of a member.
type memberRecord struct {
	memberEntry
	// risenAt is when a newer entry last came, as time since the process started.
	risenAt time.Duration
}

// memberTableConfig configures a table.
type memberTableConfig struct {
	// Self is the entry of this host.
	Self memberEntry
	// Interval is the time between heartbeats; above 0.
	Interval time.Duration
	Random   policy.Random
}

// memberTable is what one host knows of the others, by their heartbeats: a member is
// live, silent or forgotten by the age of its newest entry. It is pure: the time is
// handed in. It is not safe for concurrent use.
type memberTable struct {
	memberTableConfig
	// records holds the other hosts by name.
	records map[string]*memberRecord
}

func newMemberTable(c memberTableConfig) *memberTable {
	return &memberTable{memberTableConfig: c, records: map[string]*memberRecord{}}
}

func (t *memberTable) tick(now time.Duration, revision uint64) {
	t.Self.Counter++
	t.Self.Revision = revision
	maps.DeleteFunc(t.records, func(_ string, r *memberRecord) bool { return now-r.risenAt > forgetHeartbeats*t.Interval })
}

func (t *memberTable) leave() {
	t.Self.Leaving = true
	t.Self.Counter++
}

// merge takes in what another host reported. A process that is leaving stays so.
func (t *memberTable) merge(now time.Duration, entries []memberEntry) {
	for _, e := range entries {
		r := t.records[e.Host]
		switch {
		case e.Host == t.Self.Host:
		case r == nil:
			t.records[e.Host] = &memberRecord{memberEntry: e, risenAt: now}
		case e.newerThan(&r.memberEntry):
			e.Leaving = e.Leaving || r.Leaving && e.Incarnation == r.Incarnation
			r.memberEntry, r.risenAt = e, now
		}
	}
}

// live decides whether a member counts as live: its newest entry came no longer ago
// than silentHeartbeats intervals, in a large fleet more.
func (t *memberTable) live(now time.Duration, r *memberRecord) bool {
	silentAfter := silentHeartbeats * t.Interval * time.Duration(1+len(t.records)/heartbeatEntries)
	return now-r.risenAt <= silentAfter
}

// restartSilence counts the silence of all members from now on: after a pause of this
// process their silence shows nothing.
func (t *memberTable) restartSilence(now time.Duration) {
	for _, r := range t.records {
		r.risenAt = now
	}
}

// entries returns the entries for one heartbeat: this host, then live members, drawn
// at random if they are too many, so that no member's entry stays out for long.
func (t *memberTable) entries(now time.Duration) []memberEntry {
	out := []memberEntry{t.Self}
	for _, m := range t.members(now) {
		if m.Live {
			out = append(out, m.Entry)
		}
	}
	if len(out) <= heartbeatEntries {
		return out
	}
	for i := 1; i < heartbeatEntries; i++ {
		j := i + t.Random.IntN(len(out)-i)
		out[i], out[j] = out[j], out[i]
	}
	return out[:heartbeatEntries]
}

// knownMember is one member as the table knows it.
type knownMember struct {
	Entry memberEntry
	Live  bool
}

func (t *memberTable) members(now time.Duration) []knownMember {
	out := make([]knownMember, 0, len(t.records))
	for _, r := range t.records {
		out = append(out, knownMember{Entry: r.memberEntry, Live: t.live(now, r)})
	}
	slices.SortFunc(out, func(a, b knownMember) int { return cmp.Compare(a.Entry.Host, b.Entry.Host) })
	return out
}

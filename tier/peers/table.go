// Package peers lets the entry hosts of the tier act together: membership by
// heartbeats, the spreading of configuration, the division of upstream slots,
// tickets for not-repeatable requests, and calls between hosts.
package peers

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"loomgap/tier/policy"
)

// Sizes of heartbeats.
const (
	// beatEntries bounds the members told of in one heartbeat, so that its size
	// does not grow with the fleet.
	beatEntries = 24
	// silentBeats is how many beats without news make a member silent, once for
	// each beatEntries of members: news of one member is rarer in a large hall.
	silentBeats = 6
	// forgetBeats is how many beats without news make a member forgotten.
	forgetBeats = 120
)

// Entry is what heartbeats tell of one entry host.
type Entry struct {
	Host string
	// Incarnation names the process; a later one of the host has a larger one.
	Incarnation string
	// Counter rises with each beat of the process.
	Counter uint64
	// Leaving is true once the process said that it stops; it stays true.
	Leaving bool `json:",omitempty"`
	// Revision is the configuration in force there.
	Revision uint64
	// Hall and Peer tell where the host is, if no document says it.
	Hall string         `json:",omitempty"`
	Peer netip.AddrPort `json:",omitzero"`
	// Capacity is how much it can carry, as of policy.Capacity; 0 if it did not say.
	Capacity int `json:",omitempty"`
}

type record struct {
	Entry
	// risenAt is when the counter last rose here.
	risenAt time.Duration
}

// Table is what one host knows of the others. It is pure: the time is handed
// in. It is not safe for concurrent use.
type Table struct {
	self    Entry
	beat    time.Duration
	random  policy.Random
	records map[string]*record
}

// TableConfig configures a table.
type TableConfig struct {
	Host, Incarnation string
	// Hall and Peer are told to others, if no document says them.
	Hall string
	Peer netip.AddrPort
	// Capacity is told to others.
	Capacity int
	Beat     time.Duration
	Random   policy.Random
}

// NewTable makes a table that knows only its own host.
func NewTable(c TableConfig) *Table {
	return &Table{
		self:    Entry{Host: c.Host, Incarnation: c.Incarnation, Hall: c.Hall, Peer: c.Peer, Capacity: c.Capacity},
		beat:    c.Beat,
		random:  c.Random,
		records: map[string]*record{},
	}
}

// Tick counts a beat of this host.
func (t *Table) Tick(now time.Duration, revision uint64) {
	t.self.Counter++
	t.self.Revision = revision
	for h, r := range t.records {
		if now-r.risenAt > forgetBeats*t.beat {
			delete(t.records, h)
		}
	}
}

// Leave marks this host as leaving.
func (t *Table) Leave() {
	t.self.Leaving = true
	t.self.Counter++
}

// Merge takes in what another host told.
func (t *Table) Merge(now time.Duration, entries []Entry) {
	for _, e := range entries {
		if e.Host != t.self.Host {
			t.merge(now, e)
		}
	}
}

func (t *Table) merge(now time.Duration, e Entry) {
	r := t.records[e.Host]
	if r == nil {
		t.records[e.Host] = &record{Entry: e, risenAt: now}
		return
	}
	if !newer(e, r.Entry) {
		return
	}
	e.Leaving = e.Leaving || r.Leaving && e.Incarnation == r.Incarnation
	r.Entry = e
	r.risenAt = now
}

// newer orders what is told of one host.
func newer(a, b Entry) bool {
	return cmp.Or(cmp.Compare(a.Incarnation, b.Incarnation), cmp.Compare(a.Counter, b.Counter)) > 0
}

// silentAfter is how long a member may go unheard of.
func (t *Table) silentAfter() time.Duration {
	return silentBeats * t.beat * time.Duration(1+len(t.records)/beatEntries)
}

// live reports whether a host's beats are heard of.
func (t *Table) live(now time.Duration, r *record) bool {
	return now-r.risenAt <= t.silentAfter()
}

// Refresh gives every member a new time to be heard of: after a pause of this
// process, silence tells nothing.
func (t *Table) Refresh(now time.Duration) {
	for _, r := range t.records {
		r.risenAt = now
	}
}

// HeartbeatEntries returns the entries for one heartbeat: this host, then members
// that were heard of, at random if they are too many, so that no member's news
// get old.
func (t *Table) HeartbeatEntries(now time.Duration) []Entry {
	heard := make([]*record, 0, len(t.records))
	for _, r := range t.records {
		if t.live(now, r) {
			heard = append(heard, r)
		}
	}
	slices.SortFunc(heard, func(a, b *record) int { return cmp.Compare(a.Host, b.Host) })
	if len(heard) > beatEntries-1 {
		for i := range beatEntries - 1 {
			j := i + t.random.IntN(len(heard)-i)
			heard[i], heard[j] = heard[j], heard[i]
		}
		heard = heard[:beatEntries-1]
	}
	out := []Entry{t.self}
	for _, r := range heard {
		out = append(out, r.Entry)
	}
	return out
}

// Seen is one member as the table knows it.
type Seen struct {
	Entry
	Live bool
}

// Members lists all known members, in order of name.
func (t *Table) Members(now time.Duration) []Seen {
	out := make([]Seen, 0, len(t.records))
	for _, r := range t.records {
		out = append(out, Seen{Entry: r.Entry, Live: t.live(now, r)})
	}
	slices.SortFunc(out, func(a, b Seen) int { return cmp.Compare(a.Host, b.Host) })
	return out
}

package config

import (
	"fmt"
	"net/netip"
	"testing"

	"github.com/google/go-cmp/cmp/cmpopts"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func at(era, revision uint64) Position { return Position{Era: era, Revision: revision} }

func TestPositionsAreOrderedByEraFirst(t *testing.T) {
	tests := []struct {
		name string
		a, b Position
		want int
	}{
		{"same era", at(1, 58), at(1, 54), 1},
		{"the later era counts, whatever its revision", at(2, 54), at(1, 58), 1},
		{"the same revision of two eras", at(1, 58), at(2, 58), -1},
		{"no era named", at(0, 58), at(0, 54), 1},
		{"one names none", at(2, 54), at(0, 58), -1},
		{"the same place, once without its era", at(2, 54), at(0, 54), 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			assert.Equal(t, tt.a.Compare(tt.b), tt.want)
			assert.Equal(t, tt.b.Compare(tt.a), -tt.want)
		})
	}
}

func TestEditionsAreOrderedByVersionFirst(t *testing.T) {
	tests := []struct {
		name   string
		a, b   Edition
		newer  bool
		behind bool
	}{
		{"a later version at a lower revision", Edition{28, at(2, 55)}, Edition{26, at(1, 58)}, true, false},
		{"an earlier version in a later era", Edition{12, at(2, 54)}, Edition{26, at(1, 58)}, false, true},
		{"the same version, written again", Edition{26, at(2, 56)}, Edition{26, at(1, 58)}, true, false},
		{"the same", Edition{26, at(1, 58)}, Edition{26, at(1, 58)}, false, false},
		{"no versions", Edition{0, at(1, 59)}, Edition{0, at(1, 58)}, true, false},
		{"from a host that names neither", Edition{0, at(0, 58)}, Edition{26, at(1, 58)}, false, true},
		{"a change from a host that names neither", Edition{0, at(0, 59)}, Edition{26, at(1, 58)}, true, false},
		{"the first", Edition{4, at(1, 2)}, Edition{}, true, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			assert.Equal(t, tt.a.Newer(tt.b), tt.newer)
			assert.Equal(t, tt.b.Newer(tt.a), tt.behind)
		})
	}
}

// listing returns a report of an upstream; its slots are the number of the report.
func listing(name string, p Position, sequence uint64, copied bool) Listing {
	return Listing{Name: name, Group: "G", Slots: int(sequence), Era: p.Era, Revision: p.Revision, Sequence: sequence, Copied: copied}
}

// TestCopiedEntriesAreProvisionalUntilEraIsSettled applies a complete listing from a
// restored store to a directory of the previous era, and checks the result before and
// after the era is settled.
func TestCopiedEntriesAreProvisionalUntilEraIsSettled(t *testing.T) {
	known := func(c DirectoryChange) *Directory {
		c.Era, c.Revision = 1, 58
		d, _ := (*Directory)(nil).With(&c)
		return d
	}
	removed := []Removal{{Name: "U", Era: 1, Revision: 50, Sequence: 7}}
	tests := []struct {
		name          string
		known         DirectoryChange
		read          []Listing
		before, after int // slots of U as listed, 0 if it is not
	}{
		{"it lacks one that lives", DirectoryChange{Listed: []Listing{listing("U", at(1, 57), 7, false)}}, nil, 7, 0},
		{"it holds one that is gone", DirectoryChange{Removed: removed}, []Listing{listing("U", at(2, 40), 5, true)}, 0, 5},
		{"one that is back has reported since", DirectoryChange{Removed: removed}, []Listing{listing("U", at(2, 45), 8, true)}, 8, 8},
		{"it holds an older report", DirectoryChange{Listed: []Listing{listing("U", at(1, 57), 7, false)}}, []Listing{listing("U", at(2, 40), 5, true)}, 7, 5},
		{"a later report at a lower revision", DirectoryChange{Listed: []Listing{listing("U", at(1, 57), 7, false)}}, []Listing{listing("U", at(2, 55), 8, true)}, 8, 8},
		{"a later report at the same revision", DirectoryChange{Listed: []Listing{listing("U", at(1, 57), 7, false)}}, []Listing{listing("U", at(2, 57), 8, true)}, 8, 8},
		{"the same report", DirectoryChange{Listed: []Listing{listing("U", at(1, 40), 5, false)}}, []Listing{listing("U", at(2, 40), 5, true)}, 5, 5},
		{"one that nobody knew", DirectoryChange{}, []Listing{listing("U", at(2, 40), 5, true)}, 5, 5},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			slots := func(d *Directory) int {
				l, _ := d.Find("U")
				return l.Slots
			}
			whole := DirectoryChange{Era: 2, Revision: 55, Whole: true, Listed: tt.read}
			d, _ := known(tt.known).With(&whole)
			assert.Equal(t, slots(d), tt.before)
			assert.Assert(t, d.Unsettled())
			// The reverse order: a host reads the backup first and then hears from a host that
			// knows the previous era.
			late, _ := (*Directory)(nil).With(&whole)
			old := known(tt.known).Whole()
			late, _ = late.With(&old)
			assert.Equal(t, slots(late), tt.before, "the order of arrival does not count")
			whole.Settled = 2
			for i := range whole.Listed {
				whole.Listed[i].Copied = false
			}
			settled, _ := d.With(&whole)
			assert.Equal(t, slots(settled), tt.after)
			again, changed := settled.With(&old)
			assert.Assert(t, !changed && slots(again) == tt.after, "the era before counts no more")
		})
	}
}

// TestSettlingSendsOnlyWhatChanged checks that settling an era does not send entries
// again that the backup left unchanged.
func TestSettlingSendsOnlyWhatChanged(t *testing.T) {
	d, _ := (*Directory)(nil).With(&DirectoryChange{Era: 1, Revision: 58, Listed: []Listing{listing("U", at(1, 40), 5, false), listing("V", at(1, 41), 5, false)}})
	settled, _ := d.With(&DirectoryChange{
		Era: 2, Revision: 56, Settled: 2, Whole: true, Listed: []Listing{listing("U", at(2, 40), 5, false), listing("V", at(2, 55), 6, false)},
	})
	change := settled.Since(d)
	assert.DeepEqual(t, change, DirectoryChange{Era: 2, Revision: 56, Settled: 2, Listed: []Listing{listing("V", at(2, 55), 6, false)}}, cmpopts.EquateComparable(netip.AddrPort{}))
	other, _ := d.With(&change)
	assert.Equal(t, other.Digest(), settled.Digest())
	other, _ = other.With(&DirectoryChange{Era: 2, Revision: 57, Removed: []Removal{{Name: "U", Era: 2, Revision: 57}}})
	assert.Equal(t, other.Size(), 1)
}

// TestChangesOfLaterEraApplyAtOnce checks that writes after a restore take effect
// although their revisions were already used in the previous era.
func TestChangesOfLaterEraApplyAtOnce(t *testing.T) {
	d, _ := (*Directory)(nil).With(&DirectoryChange{
		Era: 1, Revision: 58, Listed: []Listing{listing("U", at(1, 57), 7, false)}, Removed: []Removal{{Name: "V", Era: 1, Revision: 50, Sequence: 3}},
		Evacuated: []Evacuation{{Hall: "A", Era: 1, Revision: 51}}, Resumed: []Removal{{Name: "B", Era: 1, Revision: 52}},
	})
	d, changed := d.With(&DirectoryChange{
		Era: 2, Revision: 48, Removed: []Removal{{Name: "U", Era: 2, Revision: 45}}, Listed: []Listing{listing("V", at(2, 46), 4, false)},
		Resumed: []Removal{{Name: "A", Era: 2, Revision: 47}}, Evacuated: []Evacuation{{Hall: "B", Era: 2, Revision: 48}},
	})
	assert.Assert(t, changed)
	_, gone := d.Find("U")
	_, back := d.Find("V")
	assert.Assert(t, !gone && back && !d.Evacuated("A") && d.Evacuated("B"))
	assert.Equal(t, d.Position(), at(2, 48))
}

func TestCopiedEvacuationsAreProvisionalUntilEraIsSettled(t *testing.T) {
	d, _ := (*Directory)(nil).With(&DirectoryChange{
		Era: 1, Revision: 58, Evacuated: []Evacuation{{Hall: "Begun", Era: 1, Revision: 51}}, Resumed: []Removal{{Name: "Ended", Era: 1, Revision: 52}},
	})
	whole := DirectoryChange{Era: 2, Revision: 48, Whole: true, Evacuated: []Evacuation{{Hall: "Ended", Era: 2, Revision: 40, Copied: true}}}
	d, _ = d.With(&whole)
	assert.DeepEqual(t, d.EvacuatedHalls(), []string{"Begun"})
	whole.Settled, whole.Evacuated[0].Copied = 2, false
	d, _ = d.With(&whole)
	assert.DeepEqual(t, d.EvacuatedHalls(), []string{"Ended"})
}

// TestEntriesWithoutEra checks that entries without an era are ordered by their revisions
// until an era is settled, and are older than that era afterwards.
func TestEntriesWithoutEra(t *testing.T) {
	d, _ := (*Directory)(nil).With(&DirectoryChange{Revision: 58, Listed: []Listing{listing("U", at(0, 57), 0, false), listing("V", at(0, 50), 0, false)}})
	d, _ = d.With(&DirectoryChange{Era: 1, Revision: 58, Whole: true, Listed: []Listing{listing("U", at(1, 57), 7, true), listing("V", at(1, 50), 3, true)}})
	l, _ := d.Find("U")
	assert.Equal(t, l.Era, uint64(1), "the same entry, with its era")
	d, _ = d.With(&DirectoryChange{Revision: 59, Removed: []Removal{{Name: "V", Revision: 59}}})
	_, listed := d.Find("V")
	assert.Assert(t, !listed)
	d, _ = d.With(&DirectoryChange{Era: 2, Revision: 54, Settled: 2, Whole: true, Listed: []Listing{listing("V", at(2, 50), 3, false)}})
	_, listed = d.Find("V")
	assert.Assert(t, listed)
	assert.Equal(t, d.Size(), 1)
}

// fakeStore is a store with its backups and changes, and the report counts of its
// upstreams.
type fakeStore struct {
	era, revision uint64
	entries       map[string]Listing
	counts        map[string]uint64
	backups       []storeBackup
	changes       []DirectoryChange
}

type storeBackup struct {
	revision uint64
	entries  map[string]Listing
}

func (s *fakeStore) write(name string, live bool) {
	s.revision++
	c := DirectoryChange{Era: s.era, Revision: s.revision}
	if live {
		s.counts[name]++
		l := listing(name, at(s.era, s.revision), s.counts[name], false)
		s.entries[name] = l
		c.Listed = []Listing{l}
	} else {
		delete(s.entries, name)
		c.Removed = []Removal{{Name: name, Era: s.era, Revision: s.revision}}
	}
	s.changes = append(s.changes, c)
}

func (s *fakeStore) saveBackup() {
	entries := map[string]Listing{}
	for n, l := range s.entries {
		entries[n] = l
	}
	s.backups = append(s.backups, storeBackup{s.revision, entries})
}

func (s *fakeStore) restore(b storeBackup) {
	s.era++
	s.revision, s.entries = b.revision, map[string]Listing{}
	for n, l := range b.entries {
		l.Era = s.era
		s.entries[n] = l
	}
}

// readAll returns a complete listing; settled is whether its era is settled.
func (s *fakeStore) readAll(settled bool) DirectoryChange {
	c := DirectoryChange{Era: s.era, Revision: s.revision, Whole: true, Listed: []Listing{}}
	for _, l := range s.entries {
		c.Listed = append(c.Listed, l)
	}
	if settled {
		c.Settled = s.era
	} else {
		c.MarkCopied()
	}
	return c
}

// TestHostsAgreeAfterRestores simulates a store that is restored from backups, a host
// that reads it, and hosts that receive the changes late, twice, out of order and from
// one another. While an era is not settled, no listed upstream may go back to an older
// report; once it is settled, all hosts must list what the store holds.
func TestHostsAgreeAfterRestores(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &fakeStore{era: 1, revision: 1, entries: map[string]Listing{}, counts: map[string]uint64{}}
		hosts := make([]*Directory, 3)
		receive := func(i int, c DirectoryChange) {
			before := hosts[i]
			hosts[i], _ = before.With(&c)
			if c.Settled == c.Era {
				return
			}
			for _, l := range before.All() {
				if now, listed := hosts[i].Find(l.Name); listed {
					assert.Assert(t, now.Sequence >= l.Sequence, "%s went back from report %d to %d", l.Name, l.Sequence, now.Sequence)
				}
			}
		}
		write := func() {
			s.write(fmt.Sprint("U", rapid.IntRange(0, 3).Draw(t, "name")), rapid.Bool().Draw(t, "live"))
		}
		s.saveBackup()
		for i := range hosts {
			receive(i, s.readAll(false))
		}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			other := rapid.IntRange(1, len(hosts)-1).Draw(t, "host")
			switch rapid.IntRange(0, 7).Draw(t, "step") {
			case 0, 1, 2:
				write()
				receive(0, s.changes[len(s.changes)-1])
			case 3:
				s.saveBackup()
			case 4:
				s.restore(rapid.SampledFrom(s.backups).Draw(t, "copy"))
				for range rapid.IntRange(0, 3).Draw(t, "writes before it is read") {
					write()
				}
				receive(0, s.readAll(false))
			case 5:
				receive(other, hosts[0].Whole())
			case 6:
				if hosts[other].Era != hosts[0].Era {
					receive(0, hosts[other].Whole())
				}
			case 7:
				if len(s.changes) > 0 {
					receive(other, rapid.SampledFrom(s.changes).Draw(t, "late"))
				}
			}
		}
		receive(0, s.readAll(true))
		receive(1, hosts[0].Whole())
		receive(2, hosts[1].Whole())
		for i, h := range hosts {
			assert.Equal(t, h.Digest(), hosts[0].Digest(), "host %d", i)
			assert.Equal(t, h.Size(), len(s.entries), "host %d: %+v, store %+v", i, h, s.entries)
			for n, l := range s.entries {
				now, _ := h.Find(n)
				assert.Equal(t, now.Slots, l.Slots, n)
			}
		}
	})
}

// restoreCase is an entry that a host knows and one that it reads from a restored store.
type restoreCase struct {
	name        string
	known, read version
	// document is true for documents; their sequence is the version.
	document bool
	want     bool
}

// TestOrderingAfterRestore compares rules for deciding whether an entry read after a
// restore replaces the known one. Each rule must make the given number of wrong decisions,
// and the rule in use must make none.
func TestOrderingAfterRestore(t *testing.T) {
	cases := []restoreCase{
		{"an older document in the copy", version{at(1, 58), 26, false, 0}, version{at(2, 54), 12, true, 0}, true, false},
		{"the next document", version{at(1, 58), 26, false, 0}, version{at(2, 55), 28, false, 0}, true, true},
		{"an older report in the copy", version{at(1, 57), 7, false, 0}, version{at(2, 40), 5, true, 0}, false, false},
		{"a report written before the first read", version{at(1, 57), 7, false, 0}, version{at(2, 55), 8, true, 0}, false, true},
		{"a report written after it", version{at(1, 57), 7, false, 0}, version{at(2, 56), 8, false, 0}, false, true},
		{"an upstream in the copy that is gone", version{at(1, 50), 7, false, 0}, version{at(2, 40), 5, true, 0}, false, false},
		{"a removal after the return", version{at(1, 57), 7, false, 0}, version{at(2, 45), 0, false, 0}, false, true},
		{"an evacuation in the copy that has ended", version{at(1, 52), 0, false, 0}, version{at(2, 40), 0, true, 0}, false, false},
		{"the end of an evacuation after the return", version{at(1, 51), 0, false, 0}, version{at(2, 47), 0, false, 0}, false, true},
	}
	rules := []struct {
		name    string
		accepts func(c *restoreCase) bool
		wrong   int
	}{
		{"the revision alone, as before", func(c *restoreCase) bool { return c.read.Revision > c.known.Revision }, 5},
		{"era, then revision", func(c *restoreCase) bool { return c.read.Compare(c.known.Position) > 0 }, 4},
		{"the author's number alone", func(c *restoreCase) bool {
			if c.read.sequence > 0 && c.known.sequence > 0 {
				return c.read.sequence > c.known.sequence
			}
			return c.read.Revision > c.known.Revision
		}, 2},
		{"both, and copies give way", func(c *restoreCase) bool {
			if c.document {
				return Edition{c.read.sequence, c.read.Position}.Newer(Edition{c.known.sequence, c.known.Position})
			}
			return c.read.replaces(c.known)
		}, 0},
	}
	for _, r := range rules {
		wrong := 0
		for i := range cases {
			if r.accepts(&cases[i]) != cases[i].want {
				wrong++
				t.Logf("%s: %s is wrong", r.name, cases[i].name)
			}
		}
		assert.Equal(t, wrong, r.wrong, r.name)
	}
}

// TestReportsOfRestartedUpstream checks the order of reports of two processes of an
// upstream, one of which may be read from a restored backup.
func TestReportsOfRestartedUpstream(t *testing.T) {
	listed := func(era, revision, sequence uint64, startedMillis int64, copied bool) Listing {
		return Listing{Name: "U", Group: "G", Era: era, Revision: revision, Sequence: sequence, StartedMillis: startedMillis, Copied: copied}
	}
	tests := []struct {
		name        string
		known, read Listing
		want        bool
	}{
		{"a lower count of a later start", listed(1, 57, 90, 1000, false), listed(2, 40, 2, 2000, true), true},
		{"a higher count of an earlier start", listed(1, 57, 2, 2000, false), listed(2, 40, 90, 1000, true), false},
		{"the same start goes on", listed(1, 57, 7, 1000, false), listed(2, 40, 8, 1000, true), true},
		{"the same start, as before", listed(1, 57, 7, 1000, false), listed(2, 40, 7, 1000, true), false},
		{"later in one era", listed(1, 57, 90, 1000, false), listed(1, 58, 1, 2000, false), true},
		{"a platform that names no start", listed(1, 57, 7, 0, false), listed(2, 40, 8, 0, true), true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			d, _ := (*Directory)(nil).With(&DirectoryChange{Era: 1, Revision: 57, Listed: []Listing{tt.known}})
			next, _ := d.With(&DirectoryChange{Era: tt.read.Era, Revision: tt.read.Revision, Listed: []Listing{tt.read}})
			now, _ := next.Find("U")
			assert.Equal(t, now.StartedMillis == tt.read.StartedMillis && now.Sequence == tt.read.Sequence && now.Era == tt.read.Era, tt.want)
			same := tt.known.StartedMillis == now.StartedMillis
			assert.Equal(t, next.Digest() == d.Digest(), same, "hosts that know different starts have the same digest")
		})
	}
}

package peers

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"loomgap/tier/config"
	"loomgap/tier/kernel"
)

// known is what a starting host knows. The fields may become true in any order,
// since they come from the platform, from other hosts and from callers.
type startState struct {
	announcing, reading, source, directory, document, member, feedDown bool
}

// combination returns the n-th combination of what may be known.
func startStateOf(n int) startState {
	has := func(bit int) bool { return n>>bit&1 == 1 }
	return startState{has(0), has(1), has(2), has(3), has(4), has(5), has(6)}
}

const startStates = 1 << 7

// state makes the control state of a host that knows so much.
func (n startState) state() *kernel.State {
	s := &kernel.State{
		Members: map[string]kernel.Member{},
		ReadingState: kernel.ReadingState{
			HallAnnouncers: map[string]kernel.AnnouncerReport{}, OtherReaders: map[string]kernel.AnnouncerReport{},
			Announcing: n.announcing, Reading: n.reading, PlatformDown: n.feedDown,
		},
	}
	if n.source {
		s.AnnouncedReadAt = time.Millisecond
	}
	if n.directory {
		s.Directory, _ = s.Directory.With(&config.DirectoryChange{Revision: 1})
	}
	if n.document {
		s.Index = &config.Index{Edition: config.Edition{Position: config.Position{Revision: 7}}, Document: &config.Document{}}
	}
	if n.member {
		s.Members["Mate"] = kernel.Member{Host: "Mate", Hall: "A", Live: true}
	}
	return s
}

// TestStartingHostSurvivesWhatItLacks has a host announce, hear an announcement
// and send a heartbeat in every state that a start can pass through.
func TestStartingHostHandlesMissingState(t *testing.T) {
	for i := range startStates {
		n := startStateOf(i)
		t.Run(fmt.Sprintf("%+v", n), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				k := newTestKernel(t, "Self")
				k.Peers = &announcementCounter{}
				time.Sleep(time.Second)
				s := n.state()
				tl := &announcer{kernel: k}
				tl.announce(s)
				g := &gossip{
					kernel: k,
					table:  newMemberTable(memberTableConfig{Self: memberEntry{Host: "Self"}, Interval: time.Second}),
				}
				g.message(s, k.Now())
				newServerWithoutFetches(k).apply(s, &announcement{Host: "Other", Hall: "B", Age: time.Millisecond, Revision: 7, DirectoryRevision: 1})
				tl.announce(s)
				decideRole(k, s)
				synctest.Wait()
				told := k.Peers.(*announcementCounter).hosts["Mate"]
				assert.Assert(t, !told || n.directory, "a host without a directory announced one")
			})
		})
	}
}

// TestChangeIsNoDirectory has a starting host hear what changed before it has read
// anything, and its mate hear from it: the mate keeps what it lists.
func TestChangeDoesNotReplaceDirectory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		listing := func(name string, revision uint64) config.Listing {
			return config.Listing{Name: name, Group: "G", Hall: "A", Slots: 1, Revision: revision}
		}
		k := newTestKernel(t, "Starting")
		told := &announcementRecorder{last: map[string]announcement{}}
		k.Peers = told
		time.Sleep(time.Second)
		starting := startStateOf(0).state()
		starting.Announcing = true
		starting.Members["Mate"] = kernel.Member{Host: "Mate", Hall: "A", Live: true}
		server := newServerWithoutFetches(k)
		change := &config.DirectoryChange{Revision: 9, Listed: []config.Listing{listing("U9", 9)}}
		server.apply(starting, &announcement{Host: "Reader", Hall: "B", DirectoryRevision: 9, Directory: 1, Change: change})
		(&announcer{kernel: k}).announce(starting)
		synctest.Wait()
		_, announced := told.last["Mate"]
		assert.Assert(t, !announced, "a host without a directory announced one")
		assert.Equal(t, starting.Directory.Whole().Revision, uint64(0), "it would give others a directory of one upstream")

		whole := &config.DirectoryChange{Revision: 9, Whole: true, Listed: []config.Listing{listing("U1", 1), listing("U9", 9)}}
		server.apply(starting, &announcement{Host: "Reader", Hall: "B", DirectoryRevision: 9, Directory: 1, Change: whole})
		assert.Equal(t, starting.Directory.Size(), 2)
	})
}

package kernel

import (
	"time"

	"loomgap/tier/config"
)

// State is the control state. Only the control thread uses it.
type State struct {
	DocumentState
	ReadingState
	LeavingState
	// Directory holds the upstreams that have registered themselves; nil before the
	// first read. Its revision never decreases.
	Directory *config.Directory
	// Members holds the other entry hosts by name.
	Members map[string]Member
	// MemberChanges is incremented when members change, except when only Member.Revision
	// changes. While MemberChanges is unchanged, cached results computed from the members
	// remain valid.
	MemberChanges uint64
	// Pauses counts how often the control thread detected that this process had been paused.
	Pauses int

	// changed is true if a view has to be published after the current job.
	changed bool
	// publishedCopy is the copy of Members that views share; nil if it is outdated.
	publishedCopy map[string]Member
}

func newState() *State {
	return &State{
		Members:      map[string]Member{},
		LeavingState: LeavingState{Leaving: map[string]time.Duration{}, Returned: map[string]time.Duration{}},
		ReadingState: ReadingState{HallAnnouncers: map[string]AnnouncerReport{}, OtherReaders: map[string]AnnouncerReport{}},
	}
}

// Changed marks the whole state as changed, so that it is published after the current job.
func (s *State) Changed() {
	s.changed = true
	s.membersChanged()
}

// ApplyDirectoryChange applies a change to the directory.
func (s *State) ApplyDirectoryChange(c *config.DirectoryChange) {
	next, changed := s.Directory.With(c)
	s.Directory = next
	s.changed = s.changed || changed
}

// View is an immutable copy of parts of the control state. Its fields are described in State.
type View struct {
	DocumentState
	Directory     *config.Directory
	Members       map[string]Member
	MemberChanges uint64
	// Leaving is the set of leaving upstreams.
	Leaving        map[string]bool
	Reading        bool
	PlatformReadAt time.Duration
}

func (s *State) view() *View {
	leaving := make(map[string]bool, len(s.Leaving))
	for u := range s.Leaving {
		leaving[u] = true
	}
	return &View{
		DocumentState: s.DocumentState, Directory: s.Directory,
		Members: s.publishedMembers(), MemberChanges: s.MemberChanges, Leaving: leaving,
		Reading: s.Reading, PlatformReadAt: s.PlatformReadAt,
	}
}

// HallHosts returns the active entry hosts of this host's hall, including itself.
func (v *View) HallHosts(s *Settings) []string {
	out := []string{s.Host}
	for n, m := range v.Members {
		if m.Active() && m.Hall == s.Hall {
			out = append(out, n)
		}
	}
	return out
}

// LeavingState records which upstreams are leaving or have returned. All times are since
// the process started.
type LeavingState struct {
	// Leaving maps each leaving upstream to the time of its last leave notice.
	Leaving map[string]time.Duration
	// Returned maps each upstream to the time when it was last reported to be back. Earlier
	// leave notices are ignored.
	Returned map[string]time.Duration
}

// MarkLeaving records a leave notice that an upstream gave at the given time, unless the
// upstream has returned since.
func (s *State) MarkLeaving(upstream string, at time.Duration) {
	if returned := s.Returned[upstream]; returned > 0 && at <= returned {
		return
	}
	last, known := s.Leaving[upstream]
	if known && last >= at {
		return
	}
	s.Leaving[upstream] = at
	s.changed = s.changed || !known
}

// MarkReturned records that an upstream is back.
func (s *State) MarkReturned(upstream string, at time.Duration) {
	s.Returned[upstream] = at
	if _, known := s.Leaving[upstream]; known {
		delete(s.Leaving, upstream)
		s.changed = true
	}
}

// ReadingState describes which hosts read the platform and announce its content. All times
// are since the process started.
type ReadingState struct {
	// Reading is true while this host reads the platform.
	Reading bool
	// Announcing is true while this host announces published content to its hall:
	// what it reads itself, or what a reader in another hall announces to it.
	Announcing bool
	// PlatformDown is true while this host should read the platform but cannot, so that it
	// has to get published content from peers.
	PlatformDown bool
	// PlatformReadAt is the time of the last known read of the platform: by this host,
	// by another host of its hall, or by a reader that announces to the hall.
	PlatformReadAt time.Duration
	// OutageEndedAt is the time of the last known read before which no host was known to read
	// for so long that entries of upstreams may have expired; 0 for never.
	OutageEndedAt time.Duration
	// AnnouncedReadAt is when the content that this host announces was read from the
	// platform, by this host or by a reader in another hall; 0 for never.
	AnnouncedReadAt time.Duration
	// OwnReadAt is when this host last read the platform itself; 0 for never.
	OwnReadAt time.Duration
	// ShownPosition is the newest position of the platform that answers to this host, or to any
	// other reader that it knows of, have shown.
	ShownPosition config.Position
	// OvertakesUntil is the time up to which this host reads whatever other readers say, since the
	// platform has shown it more than them; 0 for never.
	OvertakesUntil time.Duration
	// RefusedAtStart is true once the platform has not answered this host while it had no directory.
	RefusedAtStart bool
	// FoundAt is when a search for a host that the platform serves made this host the reader;
	// 0 if this host has not been the reader since, or was made it by its rank.
	FoundAt time.Duration
	// HallAnnouncers holds the last announcement of each host that announces to this
	// hall, OtherReaders that of each reader in other halls.
	HallAnnouncers, OtherReaders map[string]AnnouncerReport
}

// NoteShown records a position that an answer of the platform has shown.
func (s *ReadingState) NoteShown(at config.Position) {
	if at.Compare(s.ShownPosition) > 0 {
		s.ShownPosition = at
	}
}

// AnnouncerReport describes the last announcement of a host that announces published
// content. Its times are since the process started.
type AnnouncerReport struct {
	// At is when the announcement arrived.
	At time.Duration
	// PlatformDown is true if the announcing host gets no answer from the platform.
	PlatformDown bool
	// Since is when the first announcement with the current PlatformDown arrived.
	Since time.Duration
	// AnsweredUntil is the time up to which the announcements say that the platform answers the
	// host, or a reader that the host hears; 0 if they never said so.
	AnsweredUntil time.Duration
}

// Next returns the report updated by another announcement of the same host. Without a further
// one, an announcement holds for the given time.
func (r AnnouncerReport) Next(now, holds time.Duration, platformDown bool) AnnouncerReport {
	if r.At == 0 || r.PlatformDown != platformDown {
		r.Since = now
	}
	r.At, r.PlatformDown = now, platformDown
	if platformDown {
		r.AnsweredUntil = min(r.AnsweredUntil, now)
	} else {
		r.AnsweredUntil = now + holds
	}
	return r
}

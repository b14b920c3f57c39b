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
	// Directory holds the upstreams that listed themselves; nil before it was
	// read. Its revision only rises.
	Directory *config.Directory
	// Members are the other entry hosts by name.
	Members map[string]Member
	// MemberChanges rises with each change of a member that decisions depend on; the
	// configuration in force there is none. While it stays the same, whatever follows
	// from the members alone stays too.
	MemberChanges uint64
	// Pauses counts the pauses of this process; it only rises.
	Pauses int

	// changed is true if a view has to be published after the job under way.
	changed bool
	// publishedCopy is the copy of Members that views have; nil if it is out of date.
	publishedCopy map[string]Member
}

func newState() *State {
	return &State{
		Members:      map[string]Member{},
		LeavingState: LeavingState{Leaving: map[string]time.Duration{}, Returned: map[string]time.Duration{}},
		ReadingState: ReadingState{HallAnnouncers: map[string]AnnouncerReport{}, OtherReaders: map[string]AnnouncerReport{}},
	}
}

// Changed has the state published after the job. Any part of it may have changed.
func (s *State) Changed() {
	s.changed = true
	s.membersChanged()
}

// ApplyDirectoryChange applies a change of the directory.
func (s *State) ApplyDirectoryChange(c *config.DirectoryChange) {
	next, changed := s.Directory.With(c)
	s.Directory = next
	s.changed = s.changed || changed
}

// View is an immutable copy of the control state; its fields are as in State.
type View struct {
	DocumentState
	Directory *config.Directory
	Members   map[string]Member
	// MemberChanges is as in State.
	MemberChanges uint64
	// Leaving is the set of the leaving upstreams.
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

// HallHosts lists the live entry hosts of this host's hall that do not leave, itself included.
func (v *View) HallHosts(s *Settings) []string {
	out := []string{s.Host}
	for n, m := range v.Members {
		if m.Active() && m.Hall == s.Hall {
			out = append(out, n)
		}
	}
	return out
}

// LeavingState holds the signs that upstreams leave or are back. All times are since
// the process started.
type LeavingState struct {
	// Leaving gives for each leaving upstream when its last sign was given.
	Leaving map[string]time.Duration
	// Returned gives for each upstream when it was last reported to be back; older
	// signs of leaving do not count.
	Returned map[string]time.Duration
}

// MarkLeaving notes a sign, given at a time, that an upstream leaves.
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

// MarkReturned notes that an upstream is back.
func (s *State) MarkReturned(upstream string, at time.Duration) {
	s.Returned[upstream] = at
	if _, known := s.Leaving[upstream]; known {
		delete(s.Leaving, upstream)
		s.changed = true
	}
}

// ReadingState is what a host knows of who reads the platform for whom. All times are
// since the process started.
type ReadingState struct {
	// Reading is true while this host reads the platform.
	Reading bool
	// Announcing is true while this host announces to its hall what is published:
	// what it reads itself, or what a reader in another hall announces to it.
	Announcing bool
	// PlatformDown is true while this host should read the platform, cannot, and has to
	// learn from peers what is published.
	PlatformDown bool
	// PlatformReadAt is when the platform was last read, as far as this host knows: by
	// itself, by another host of its hall, or by a reader that announces to the hall.
	PlatformReadAt time.Duration
	// AnnouncedReadAt is when what this host announces was read from the platform, by
	// itself or by a reader in another hall; 0 for never.
	AnnouncedReadAt time.Duration
	// OwnReadAt is when this host last read the platform itself; 0 for never.
	OwnReadAt time.Duration
	// HallAnnouncers holds the last announcement of each host that announces to this
	// hall, OtherReaders that of each reader in other halls.
	HallAnnouncers, OtherReaders map[string]AnnouncerReport
}

// AnnouncerReport is the last announcement of a host that announces what is
// published. Its times are since the process started.
type AnnouncerReport struct {
	// At is when it came.
	At time.Duration
	// PlatformDown is true if that host gets no answer of the platform; Since is when its first
	// announcement with this value of PlatformDown came.
	PlatformDown bool
	Since        time.Duration
}

// Next returns the report after a further announcement of the same host.
func (r AnnouncerReport) Next(now time.Duration, lost bool) AnnouncerReport {
	if r.At == 0 || r.PlatformDown != lost {
		r.Since = now
	}
	r.At, r.PlatformDown = now, lost
	return r
}

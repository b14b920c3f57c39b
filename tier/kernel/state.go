package kernel

import (
	"maps"
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
	// Pauses counts the pauses of this process; it only rises.
	Pauses int

	// changed is true if a view has to be published after the job under way.
	changed bool
}

func newState() *State {
	return &State{
		Members:      map[string]Member{},
		LeavingState: LeavingState{Leaving: map[string]time.Duration{}, Returned: map[string]time.Duration{}},
		ReadingState: ReadingState{HallAnnouncers: map[string]AnnouncerReport{}, OtherReaders: map[string]AnnouncerReport{}},
	}
}

// Changed has the state published after the job.
func (s *State) Changed() { s.changed = true }

// List applies a change of the directory.
func (s *State) List(c *config.DirectoryChange) {
	next, changed := s.Directory.With(c)
	s.Directory = next
	s.changed = s.changed || changed
}

// View is an immutable copy of the control state; its fields are as in State.
type View struct {
	DocumentState
	Directory *config.Directory
	Members   map[string]Member
	// Leaving is the set of the leaving upstreams.
	Leaving        map[string]bool
	Reading        bool
	PlatformReadAt time.Duration
	Pauses         int
}

func (s *State) view() *View {
	return &View{
		DocumentState: s.DocumentState, Directory: s.Directory,
		Members: maps.Clone(s.Members), Leaving: s.names(),
		Reading: s.Reading, PlatformReadAt: s.PlatformReadAt, Pauses: s.Pauses,
	}
}

// Hall lists the live entry hosts of this host's hall that do not leave, itself included.
func (v *View) Hall(s *Settings) []string {
	out := []string{s.Host}
	for n, m := range v.Members {
		if m.Staying() && m.Hall == s.Hall {
			out = append(out, n)
		}
	}
	return out
}

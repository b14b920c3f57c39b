package kernel

import (
	"maps"
	"net/netip"
	"time"

	"loomgap/tier/config"
	"loomgap/tier/policy"
)

// Phase is where a host is in its life.
type Phase string

// The phases.
const (
	PhaseStarting Phase = "Starting"
	PhaseReady    Phase = "Ready"
	PhaseDraining Phase = "Draining"
)

// Settings are the flags and environment variables of a daemon, checked.
type Settings struct {
	// Host is the name of this host in the document.
	Host string
	// Hall is its data hall.
	Hall string
	// Incarnation names this process; a later process of the host has a larger one.
	Incarnation string
	// Listen is where callers come in.
	Listen netip.AddrPort
	// Operate is where operators come in.
	Operate netip.AddrPort
	// Metrics is where metrics are served besides at Operate; the zero value
	// for nowhere.
	Metrics netip.AddrPort
	// Peer is where other entry hosts come in.
	Peer netip.AddrPort
	// Platform is where the platform's service is read.
	Platform netip.AddrPort
	// Seeds are other entry hosts, asked at start.
	Seeds []netip.AddrPort
	// Beat is the time between heartbeats.
	Beat time.Duration
	// WatchWait is how long one read of the platform waits for news.
	WatchWait time.Duration
	// TicketLife is how long a ticket is remembered.
	TicketLife time.Duration
	// Settle is how long a stopping host still takes requests, so that the
	// balancer sees that it is not ready.
	Settle time.Duration
	// SettleAsks is how often it must have told that it is not ready before it
	// stops taking requests, if that takes no longer than SettleMost.
	SettleAsks int
	// SettleMost is the longest time that it waits for that; Settle or more.
	SettleMost time.Duration
	// StopBound is the longest time that a planned stop takes.
	StopBound time.Duration
	// LeavingHold is how long an upstream is taken for leaving after its last
	// sign, though its status says that it stays.
	LeavingHold time.Duration
	// TraceRatio is the share of requests whose spans are logged.
	TraceRatio float64
	// Adapter names the adapter of the platform; empty for loomgap's own
	// platform protocol and callers.
	Adapter string
	// RetryBudget bounds the calls beyond the first of each routed request.
	RetryBudget RetryBudget
	// LogRate is the most log lines a second about single requests.
	LogRate int
	// Cores is the share of processors that this host may use; above 0.
	Cores float64
	// LinkMbits is the rate of its link in Mbit/s; 0 for no limit.
	LinkMbits float64
	// Regions says where the data halls lie.
	Regions config.Regions
	// ColdFactor and ColdSlack are by how much all hosts together may exceed what a
	// cold upstream bears within a second: so many times as much, and so many
	// requests besides.
	ColdFactor, ColdSlack float64
}

// Region is the region of this host's data hall; empty if it is not known.
func (s *Settings) Region() string { return s.Regions[s.Hall] }

// Capacity is how much the host can carry, as of policy.Capacity; a host whose
// settings do not say it counts as one core.
func (s *Settings) Capacity() int {
	cores := s.Cores
	if cores <= 0 {
		cores = 1
	}
	return policy.Capacity(cores, s.LinkMbits)
}

// Live are the settings that may change while the process runs.
type Live struct {
	// Seeds are other entry hosts to join at.
	Seeds []netip.AddrPort
	// RetryBudget bounds the calls beyond the first.
	RetryBudget RetryBudget
}

// RetryBudget bounds the calls beyond the first that a group of upstreams gets from
// all hosts together, within the span that the platform counts in.
type RetryBudget struct {
	// Ratio is the part of the requests that may be repeated.
	Ratio float64
	// Slack is how many retries are allowed besides.
	Slack float64
}

// Member is another entry host, as believed.
type Member struct {
	Host        string
	Incarnation string
	Hall        string
	Peer        netip.AddrPort
	// Live is true while its heartbeats are heard of.
	Live bool
	// Leaving is true once it said that it stops.
	Leaving  bool
	Revision uint64
	// Capacity is how much it can carry, as of policy.Capacity; above 0.
	Capacity int
}

// Callable reports whether requests and calls may be handed to the host.
func (m *Member) Callable() bool { return m.Live && !m.Leaving && m.Peer.IsValid() }

// SourceSign is the last announcement of a host that announces what is published.
type SourceSign struct {
	At time.Duration
	// Lost is true if that host does not hear the platform; Since is from when on
	// it has told so, or told that it does.
	Lost  bool
	Since time.Duration
}

// Next is what is heard of a host after this.
func (h SourceSign) Next(now time.Duration, lost bool) SourceSign {
	out := SourceSign{At: now, Lost: lost, Since: h.Since}
	if h.At == 0 || h.Lost != lost {
		out.Since = now
	}
	return out
}

// State is the control state. Only the control thread uses it.
type State struct {
	// Index is the document in force; nil before the first. Its revision only rises.
	Index *config.Index
	// Newest is the highest revision seen, refused ones included; it only rises.
	Newest uint64
	// Refused says why the newest refused document was refused.
	Refused string
	// Published is the highest revision seen or told of by a peer; not below
	// Newest. It takes no part in accepting a document.
	Published uint64
	// Directory holds the upstreams that listed themselves; nil before it was
	// read. Its revision only rises.
	Directory *config.Directory
	// Members are the other entry hosts by name.
	Members map[string]Member
	// Leaving gives for each upstream when it last gave a sign that it leaves.
	Leaving map[string]time.Duration
	// Returned gives for each upstream when it was last said to be back; older
	// signs of leaving do not count.
	Returned map[string]time.Duration
	// Reading is true while this host reads the platform.
	Reading bool
	// Announcing is true while this host announces to its hall what is published: what it
	// reads itself, or hears from a reader in another hall.
	Announcing bool
	// PlatformHeard is when the hall last heard the platform.
	PlatformHeard time.Duration
	// FeedDown is true while this host cannot read what the platform publishes
	// and has to learn it from peers.
	FeedDown bool
	// SourceAt is when what this host tells was read from the platform, by itself
	// or by the reader that it heard it from; 0 for never.
	SourceAt time.Duration
	// ReadAt is when this host last read the platform itself; 0 for never.
	ReadAt time.Duration
	// HallSources holds what was last heard from each host that tells this hall, and
	// OtherSources the same of those in other halls that read the platform.
	HallSources, OtherSources map[string]SourceSign
	// Pauses counts the pauses of this process.
	Pauses int
	// Confirmed is true once a peer told that it has no newer document than
	// the one in force here. Before that a stale platform could make a host that
	// starts serve an older document than it did before.
	Confirmed bool

	changed bool
}

func newState() *State {
	return &State{Members: map[string]Member{}, Leaving: map[string]time.Duration{}, Returned: map[string]time.Duration{}, HallSources: map[string]SourceSign{}, OtherSources: map[string]SourceSign{}}
}

// Changed has the state published after the job.
func (s *State) Changed() { s.changed = true }

// NotePublished takes in what a peer told of a document that it refused and that was
// not seen here.
func (s *State) NotePublished(published uint64, refused string) {
	if published <= s.Published {
		return
	}
	s.Published, s.changed = published, true
	if refused != "" {
		s.Refused = refused
	}
}

// List takes a change of the directory in.
func (s *State) List(c *config.DirectoryChange) {
	next, changed := s.Directory.With(c)
	s.Directory = next
	s.changed = s.changed || changed
}

// MarkLeaving notes a sign, given at a time, that an upstream leaves.
func (s *State) MarkLeaving(upstream string, at time.Duration) {
	if at <= s.Returned[upstream] && s.Returned[upstream] > 0 {
		return
	}
	old, known := s.Leaving[upstream]
	if known && old >= at {
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

func (s *State) leaving() map[string]bool {
	out := make(map[string]bool, len(s.Leaving))
	for u := range s.Leaving {
		out[u] = true
	}
	return out
}

// View is an immutable copy of the control state.
type View struct {
	// Index is nil until a document was accepted.
	Index         *config.Index
	Published     uint64
	Newest        uint64
	Refused       string
	Directory     *config.Directory
	Members       map[string]Member
	Leaving       map[string]bool
	Reading       bool
	PlatformHeard time.Duration
	Pauses        int
	Confirmed     bool
}

func (s *State) view() *View {
	return &View{
		Index: s.Index, Published: s.Published, Newest: s.Newest, Refused: s.Refused, Directory: s.Directory,
		Members: maps.Clone(s.Members), Leaving: s.leaving(),
		Reading: s.Reading, PlatformHeard: s.PlatformHeard, Pauses: s.Pauses, Confirmed: s.Confirmed,
	}
}

// Hall lists the live entry hosts of a hall that stay, this one included.
func (v *View) Hall(s *Settings) []string {
	out := []string{s.Host}
	for n, m := range v.Members {
		if m.Live && !m.Leaving && m.Hall == s.Hall {
			out = append(out, n)
		}
	}
	return out
}

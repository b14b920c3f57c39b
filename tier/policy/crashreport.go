package policy

import (
	"cmp"
	"net/netip"
	"slices"
	"time"
)

const (
	// crashReportLife is how long a crash report counts: people mend what a request
	// crashes, which takes hours.
	crashReportTTL = 24 * time.Hour
	// restartLeast is less than an upstream takes to start again and to crash once more.
	minRestartTime = time.Second
)

// CrashReport is evidence that a request crashes the upstreams that run it: some crashed
// while they ran it, and none had answered it.
type CrashReport struct {
	// ID is unique among the reports of all hosts, Attempt among the attempts of a
	// request.
	ID, Attempt uint64
	// Isolated is true if the request ran at one upstream only, and nowhere else in
	// the same attempt: another cause is less likely then.
	Isolated bool `json:"Alone,omitempty"`
	// Upstream is the one that crashed last.
	Upstream string
	// Caller is where the request came from.
	Caller netip.Addr `json:",omitzero"`
	// Cleared is true once an upstream has answered the request to the same caller
	// after all: the report does not count any more.
	Cleared bool `json:"Void,omitempty"`
	// CallerOnly is true once an upstream has answered the request to another caller:
	// the report counts for its own caller only.
	CallerOnly bool `json:"Narrow,omitempty"`
	// Remaining is how long the report still counts.
	Remaining time.Duration `json:"Left"`
}

// SuspectReport is all crash reports of one request, as hosts exchange them.
type SuspectReport struct {
	Fingerprint Fingerprint
	Crashes     []CrashReport `json:"Strikes"`
}

type crash struct {
	CrashReport
	// until is when it ceases to count.
	until time.Duration
}

func (c *crash) countsFor(now time.Duration, caller netip.Addr) bool {
	return !c.Cleared && now < c.until && (!c.CallerOnly || c.Caller == caller)
}

func (c *crash) learn(cleared, callerOnly bool) bool {
	isNew := cleared && !c.Cleared || callerOnly && !c.CallerOnly
	c.Cleared, c.CallerOnly = c.Cleared || cleared, c.CallerOnly || callerOnly
	return isNew
}

// Weights of crash reports, for what is forgotten first.
const (
	// weightNone is of a report that does not count.
	weightNone = iota
	// weightShared is of a crash while other calls of the request were in progress.
	weightShared
	// weightIsolated is of a crash that has hardly another cause.
	weightIsolated
)

func (c *crash) weight(now time.Duration) int {
	switch {
	case c.Cleared || now >= c.until:
		return weightNone
	case !c.Isolated:
		return weightShared
	default:
		return weightIsolated
	}
}

// countCrashes counts how often upstreams crashed: reports of one upstream at one time
// are of one crash.
func countCrashes(reports []*crash) int {
	slices.SortFunc(reports, func(a, b *crash) int {
		return cmp.Or(cmp.Compare(a.Upstream, b.Upstream), cmp.Compare(a.until, b.until))
	})
	n := 0
	for i, c := range reports {
		if i == 0 || reports[i-1].Upstream != c.Upstream || c.until-reports[i-1].until >= minRestartTime {
			n++
		}
	}
	return n
}

package policy

import (
	"cmp"
	"net/netip"
	"slices"
	"time"
)

const (
	// crashReportTTL is how long a crash report counts. It leaves time to fix the bug in the
	// upstreams.
	crashReportTTL = 24 * time.Hour
	// minRestartTime is a lower bound of the time between two crashes of one upstream.
	// Reports that are closer together are about the same crash.
	minRestartTime = time.Second
)

// CrashReport is evidence that a request crashes upstreams: at least one crashed while
// running it, and none had answered it before.
type CrashReport struct {
	// ID is unique among the reports of all hosts. Attempt identifies the run of the request
	// during which the upstream crashed.
	ID, Attempt uint64
	// Isolated is true if no other call of that run was in progress, which makes another
	// cause of the crash unlikely.
	Isolated bool `json:"Alone,omitempty"`
	// Upstream is the one that crashed last.
	Upstream string
	// Caller is the address that the request came from; the zero value if unknown.
	Caller netip.Addr `json:",omitzero"`
	// Cleared is true once an upstream has answered the request for the same caller. The
	// report then no longer counts.
	Cleared bool `json:"Void,omitempty"`
	// CallerOnly is true once an upstream has answered the request for another caller. The
	// report then counts only for its own caller.
	CallerOnly bool `json:"Narrow,omitempty"`
	// Remaining is how long the report still counts.
	Remaining time.Duration `json:"Left"`
}

// SuspectReport holds the crash reports of one request, as hosts exchange them.
type SuspectReport struct {
	Fingerprint Fingerprint
	Crashes     []CrashReport `json:"Strikes"`
}

type crash struct {
	CrashReport
	// until is when the report stops counting.
	until time.Duration
}

func (c *crash) countsFor(now time.Duration, caller netip.Addr) bool {
	return !c.Cleared && now < c.until && (!c.CallerOnly || c.Caller == caller)
}

func (c *crash) merge(cleared, callerOnly bool) bool {
	changed := cleared && !c.Cleared || callerOnly && !c.CallerOnly
	c.Cleared, c.CallerOnly = c.Cleared || cleared, c.CallerOnly || callerOnly
	return changed
}

// Weights of crash reports. Reports with the lowest weight are evicted first.
const (
	// weightNone is the weight of a report that does not count.
	weightNone = iota
	// weightShared is the weight of a crash while other calls of the request were in
	// progress.
	weightShared
	// weightIsolated is the weight of a crash that is unlikely to have another cause.
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

// countCrashes counts the crashes behind the reports. Reports about the same upstream at
// about the same time count as one crash.
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

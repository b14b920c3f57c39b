package config

import (
	"net/netip"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Listing is the entry with which an upstream registers itself with the platform.
type Listing struct {
	// Name is chosen by the upstream; Name and StartedMillis together identify one process.
	Name  string
	Group string
	// Hall is its data hall; empty if it did not report one.
	Hall    string `json:",omitempty"`
	Address netip.AddrPort
	// Slots is the number of calls that it handles concurrently.
	Slots int
	// Leaving is true if it gets no new calls.
	Leaving bool `json:",omitempty"`
	// Warmup is the remaining warm-up time at Revision; 0 if the upstream has warmed up.
	// A cold upstream can handle only a few requests per second.
	Warmup Duration `json:",omitempty"`
	// Era and Revision are the platform's position of the entry; Revision is above 0.
	Era      uint64 `json:",omitempty"`
	Revision uint64
	// Sequence numbers the reports of the upstream's process; 0 if it does not number them.
	Sequence uint64 `json:",omitempty"`
	// StartedMillis is the start time of its process by its own clock, in milliseconds
	// since the Unix epoch; 0 if it does not report one. A process that starts later under
	// the same name does not know the reports of the one before.
	StartedMillis int64 `json:"Born,omitempty"`
	// Copied is true if the entry may come from the backup that its era began with: the
	// upstream may have reported since, in the previous era.
	Copied bool `json:",omitempty"`
}

func (l *Listing) version() version {
	return version{Position: Position{Era: l.Era, Revision: l.Revision}, startedMillis: l.StartedMillis, sequence: l.Sequence, copied: l.Copied}
}

// content returns the listing without the fields that order it.
func (l Listing) content() Listing {
	l.Era, l.Revision, l.Sequence, l.Copied = 0, 0, 0, false
	return l
}

// sameReport reports whether two listings stem from the same report, which may occur in
// two eras: in the history of the one and in the backup that the other began with.
// Otherwise the whole directory would be sent to all hosts once an era is settled.
func (l Listing) sameReport(other Listing) bool {
	l.Era, l.Copied = other.Era, other.Copied
	return l == other
}

// hash returns a hash of the listing that does not depend on its position.
func (l *Listing) hash() uint64 {
	text := make([]byte, 0, 96)
	for _, field := range []string{l.Name, l.Group, l.Hall} {
		text = append(append(text, field...), 0)
	}
	text = l.Address.AppendTo(text)
	text = strconv.AppendInt(append(text, 0), int64(l.Slots), 10)
	text = strconv.AppendBool(append(text, 0), l.Leaving)
	if l.StartedMillis > 0 {
		text = strconv.AppendInt(append(text, 0), l.StartedMillis, 10)
	}
	if l.Warmup > 0 {
		text = strconv.AppendInt(append(text, 0), l.warmupSteps(), 10)
	}
	return xxhash.Sum64(text)
}

// warmupStep is the precision with which hosts compare remaining warm-up times. Otherwise
// each heartbeat of a cold upstream would be sent to all hosts as a change.
const warmupStep = Duration(time.Second)

// warmupSteps returns the remaining warm-up time in steps, rounded up.
func (l *Listing) warmupSteps() int64 { return int64((l.Warmup + warmupStep - 1) / warmupStep) }

// ClearUnlimitedWarmups clears the warm-up of upstreams whose group has no ColdRate,
// since no decision depends on it. Otherwise the reports of a whole hall that warms up
// would be sent to all hosts as changes.
func (x *Index) ClearUnlimitedWarmups(listed []Listing) {
	if x == nil {
		return
	}
	for i := range listed {
		if g := x.Group(listed[i].Group); g != nil && g.ColdRate <= 0 {
			listed[i].Warmup = 0
		}
	}
}

package config

import (
	"net/netip"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Listing is one upstream as it listed itself with the platform.
type Listing struct {
	// Name is the upstream's own; with Born it names one start of it.
	Name string
	// Group is the group that it belongs to.
	Group string
	// Hall is its data hall; empty if it did not say.
	Hall    string `json:",omitempty"`
	Address netip.AddrPort
	// Slots is how many calls it works on at once.
	Slots int
	// Leaving tells that it gets no new work.
	Leaving bool `json:",omitempty"`
	// Warmup is how much longer it was cold at Revision; a cold upstream can handle only
	// a few requests per second. 0 for one that has warmed up.
	Warmup Duration `json:",omitempty"`
	// Era and Revision are the platform's position of this entry; Revision is above 0.
	Era      uint64 `json:",omitempty"`
	Revision uint64
	// Sequence is the upstream's own count of its reports since Born; 0 if it gives none.
	Sequence uint64 `json:",omitempty"`
	// Born is when its process started, in milliseconds since 1970 by its own clock; 0 if
	// it does not say. A later one under the same name knows nothing of the one before.
	Born int64 `json:",omitempty"`
	// Copied is true if the entry may come from the copy that its era began with. The
	// upstream may have reported since, in the era before.
	Copied bool `json:",omitempty"`
}

func (l *Listing) mark() mark {
	return mark{Position: Position{Era: l.Era, Revision: l.Revision}, born: l.Born, sequence: l.Sequence, copied: l.Copied}
}

// content is the listing without what orders it.
func (l Listing) content() Listing {
	l.Era, l.Revision, l.Sequence, l.Copied = 0, 0, 0, false
	return l
}

// sameReport reports whether two listings are of one report, which may stand in two eras: in
// the history of the one and in the copy that the other began with. Without it, the whole
// directory is sent to all hosts once an era is settled.
func (l Listing) sameReport(other Listing) bool {
	l.Era, l.Copied = other.Era, other.Copied
	return l == other
}

// hash names what is listed, whatever its revision.
func (l *Listing) hash() uint64 {
	text := make([]byte, 0, 96)
	for _, field := range []string{l.Name, l.Group, l.Hall} {
		text = append(append(text, field...), 0)
	}
	text = l.Address.AppendTo(text)
	text = strconv.AppendInt(append(text, 0), int64(l.Slots), 10)
	text = strconv.AppendBool(append(text, 0), l.Leaving)
	if l.Born > 0 {
		text = strconv.AppendInt(append(text, 0), l.Born, 10)
	}
	if l.Warmup > 0 {
		text = strconv.AppendInt(append(text, 0), l.warmupSteps(), 10)
	}
	return xxhash.Sum64(text)
}

// warmupStep is the precision with which hosts compare the warm-up that an upstream has
// left. Without it, each heartbeat of a cold upstream is sent to all hosts as a change.
const warmupStep = Duration(time.Second)

// warmupSteps is how much longer the upstream is cold, in started steps.
func (l *Listing) warmupSteps() int64 { return int64((l.Warmup + warmupStep - 1) / warmupStep) }

// ClearUnlimitedWarmups clears the warm-up of upstreams whose group sets no ColdRate, since
// no decision reads it. Without it, the reports of a whole hall that warms up are sent to
// all hosts as changes.
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

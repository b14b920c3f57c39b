package config

import (
	"net/netip"
	"time"
)

// MaxBytes is the size in bytes of the largest value that the platform holds.
const MaxBytes = 1 << 20

// Document is the whole configuration of the tier. It is the map of the
// product: what can be configured stands here.
type Document struct {
	// Based is the revision that the document was composed from. A document
	// published at revision R is valid only if Based is R-1, so of two
	// operators who compose from the same revision only the first is accepted.
	Based uint64
	// Classes are the classes of request, each with a unique name.
	Classes []Class
	// Hosts are the entry hosts, each with a unique name.
	Hosts []Host
	// Upstreams are the back ends, each with a unique name and address.
	Upstreams []Upstream
	// Services are what callers ask, each with a unique name.
	Services []Service
	// Groups are sets of upstreams that list themselves with the platform.
	Groups []Group `json:",omitempty"`
	// Routes map requests that the tier passes on to groups.
	Routes []Route `json:",omitempty"`
	// Limits bound what callers of routes may send.
	Limits Limits `json:",omitzero"`
}

// HedgeMode says when a second replica is asked while the first is at work.
type HedgeMode string

// The hedge modes.
const (
	// HedgeNone never asks a second replica.
	HedgeNone HedgeMode = "None"
	// HedgeLearned asks one after a quantile of the latencies that were measured.
	HedgeLearned HedgeMode = "Learned"
)

// Class holds the deadline and the limits of a class of request.
type Class struct {
	Name string
	// Deadline is the time a request has unless its caller gives less; above 0.
	Deadline Duration
	// MaxDeadline bounds what a caller may give; not below Deadline.
	MaxDeadline Duration
	// Margin is kept back from the deadline for the way home; below Deadline.
	Margin Duration
	// Worth is what an answer on time counts; 1 or more.
	Worth int
	// Coverage is the share of shards, 0 to 1, that is enough after Patience.
	Coverage float64
	// Patience is how long a full answer is waited for although Coverage is met.
	Patience Duration
	// Hedge is the hedge mode.
	Hedge HedgeMode
	// HedgeQuantile is the latency quantile after which to hedge; above 0.5, below 1.
	HedgeQuantile float64
	// HedgeBudget is the most extra calls for one needed call; 0 to 0.2.
	HedgeBudget float64
	// Choice names the registered chooser of replicas.
	Choice string
	// Admission names the registered admission rule.
	Admission string
	// MaxInFlight bounds the requests of the class in one entry host; 1 or more.
	MaxInFlight int
}

// Host is an entry host.
type Host struct {
	Name string
	// Hall is the data hall of the host.
	Hall string
	// Peer is where other entry hosts reach it.
	Peer netip.AddrPort
}

// Upstream is a back end.
type Upstream struct {
	Name    string
	Hall    string
	Address netip.AddrPort
	// Slots is how many calls it works on at once; 1 or more.
	Slots int
	// Connections is how many connections it takes; not below Slots.
	Connections int
	// Leaving tells that it gets no new work.
	Leaving bool
}

// Service is a body of data, divided into shards by key.
type Service struct {
	Name string
	// KeySpace is the number of keys; keys run from 0 to KeySpace-1.
	KeySpace uint32
	// MapRevision rises whenever the shards change.
	MapRevision uint64
	// Shards cover the key space with no gap and no overlap, in order of key.
	Shards []Shard
}

// Shard is a half-open range of keys and the upstreams that answer for it.
type Shard struct {
	Name string
	From uint32
	// To is above From.
	To uint32
	// Replicas are names of upstreams, at least one, none twice.
	Replicas []string
}

// Duration is a time.Duration that is written with its unit, as in "250ms".
type Duration time.Duration

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil {
		return err
	}
	*d = Duration(v)
	return nil
}

// DefaultClass returns the settings of a class that the document leaves out.
func DefaultClass() Class {
	return Class{
		Deadline:      Duration(300 * time.Millisecond),
		MaxDeadline:   Duration(5 * time.Second),
		Margin:        Duration(5 * time.Millisecond),
		Worth:         1,
		Coverage:      1,
		Hedge:         HedgeLearned,
		HedgeQuantile: 0.985,
		HedgeBudget:   0.03,
		Choice:        "LeastTime",
		Admission:     "Worth",
		MaxInFlight:   1000,
	}
}

package config

import (
	"math"
	"net/netip"
	"time"
)

// MaxBytes is the size of the largest value that the platform stores, in bytes.
const MaxBytes = 1 << 20

// Document is the whole configuration of the tier.
type Document struct {
	// Based is the revision that the document was composed from. A document published at
	// revision R is valid only if Based is R-1, so if two operators start from the same
	// revision, only the first document is accepted.
	Based uint64
	// Classes are the request classes; their names are unique.
	Classes []Class
	// Hosts are the entry hosts; their names are unique.
	Hosts []Host
	// Upstreams are the back ends; their names and addresses are unique.
	Upstreams []Upstream
	// Services are the data sets that callers query; their names are unique.
	Services []Service
	// Groups are sets of upstreams that register themselves with the platform.
	Groups []Group `json:",omitempty"`
	// Routes map the requests that the tier forwards to groups.
	Routes []Route `json:",omitempty"`
	// Limits bound the requests of routes.
	Limits Limits `json:",omitzero"`
}

// HedgeMode says when a call is hedged, that is, repeated on a second replica before the
// first has answered.
type HedgeMode string

// The hedge modes.
const (
	// HedgeNone never hedges.
	HedgeNone HedgeMode = "None"
	// HedgeLearned hedges after a quantile of the observed latencies.
	HedgeLearned HedgeMode = "Learned"
)

// Class holds the deadlines and limits of a class of requests.
type Class struct {
	Name string
	// Deadline applies to requests whose caller gives none; above 0.
	Deadline Duration
	// MaxDeadline is the longest deadline that a caller may give; not below Deadline.
	MaxDeadline Duration
	// Margin is the part of the deadline reserved for returning the answer; below
	// Deadline.
	Margin Duration
	// Worth is the value of an answer within the deadline; 1 or more.
	Worth int
	// Coverage is the fraction of shards, 0 to 1, that suffices after Patience.
	Coverage float64
	// Patience is how long a request waits for all shards even if Coverage is reached.
	Patience Duration
	Hedge    HedgeMode
	// HedgeQuantile is the latency quantile after which a call is hedged; above 0.5 and
	// below 1.
	HedgeQuantile float64
	// HedgeBudget is the maximum number of hedges per regular call; 0 to 0.2.
	HedgeBudget float64
	// Choice is the replica selection policy, one of Choices.
	Choice string
	// Admission is the admission policy, one of Admissions.
	Admission string
	// MaxInFlight limits the concurrent requests of the class per entry host; 1 or more.
	MaxInFlight int
}

// Host is an entry host.
type Host struct {
	Name string
	Hall string
	// Peer is the address at which other entry hosts reach it.
	Peer netip.AddrPort
}

// Upstream is a back end.
type Upstream struct {
	Name    string
	Hall    string
	Address netip.AddrPort
	// Slots is the number of calls that it handles concurrently; 1 or more.
	Slots int
	// Connections is the number of connections that it accepts; not below Slots.
	Connections int
	// Leaving is true if it gets no new calls.
	Leaving bool
}

// Service is a data set that is divided into shards by key.
type Service struct {
	Name string
	// KeySpace is the number of keys; keys run from 0 to KeySpace-1.
	KeySpace uint32
	// MapRevision increases whenever the shards change.
	MapRevision uint64
	// Shards cover the key space without gaps or overlaps, sorted by key.
	Shards []Shard
}

// Shard is a half-open key range and the upstreams that serve it.
type Shard struct {
	Name string
	From uint32
	// To is the key after the last one; above From.
	To uint32
	// Replicas are names of upstreams, at least one, without duplicates.
	Replicas []string
}

// Duration is a time.Duration that is encoded as text with its unit, such as "250ms".
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

// FromMillis converts milliseconds to a duration. A number beyond what a duration holds gives
// the nearest one.
func FromMillis(n int64) Duration {
	const limit = math.MaxInt64 / int64(time.Millisecond)
	return Duration(time.Duration(min(max(n, -limit), limit)) * time.Millisecond)
}

// FromSeconds is FromMillis for seconds.
func FromSeconds(n float64) Duration {
	const limit = math.MaxInt64 / int64(time.Second)
	return Duration(min(max(n, -float64(limit)), float64(limit)) * float64(time.Second))
}

// DefaultClass returns the values of the class settings that a document omits.
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

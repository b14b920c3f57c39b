package kernel

import (
	"net/netip"
	"time"

	"loomgap/tier/config"
	"loomgap/tier/policy"
)

// Settings are the flags and environment variables of a daemon, checked.
type Settings struct {
	// Host is the name of this host in the document.
	Host string
	// Hall is its data hall.
	Hall string
	// Incarnation names this process; a later process of the host has a larger one.
	Incarnation string
	// Listen is where callers connect.
	Listen netip.AddrPort
	// Operate is where operators connect.
	Operate netip.AddrPort
	// Metrics is where metrics are served besides at Operate; the zero value
	// for nowhere.
	Metrics netip.AddrPort
	// Peer is where other entry hosts connect.
	Peer netip.AddrPort
	// Platform is where the platform's service is read.
	Platform netip.AddrPort
	// Seeds are other entry hosts, asked at start.
	Seeds []netip.AddrPort
	// Beat is the time between heartbeats.
	Beat time.Duration
	// WatchWait is how long one read of the platform waits for a change.
	WatchWait time.Duration
	// TicketLife is how long a ticket is remembered.
	TicketLife time.Duration
	// Settle is how long a stopping host still takes requests, so that the
	// balancer sees that it is not ready.
	Settle time.Duration
	// SettleAsks is how often it must have answered that it is not ready before it
	// stops taking requests, if that takes no longer than SettleMost.
	SettleAsks int
	// SettleMost is the longest time that it waits for that; Settle or more.
	SettleMost time.Duration
	// StopBound is the longest time that a planned stop takes.
	StopBound time.Duration
	// LeavingHold is how long an upstream counts as leaving after its last
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
	// cold upstream can handle within a second: so many times as much, and so many
	// requests besides.
	ColdFactor, ColdSlack float64
}

// Region is the region of this host's data hall; empty if it is not known.
func (s *Settings) Region() string { return s.Regions[s.Hall] }

// defaultCores is the share of processors of a host whose settings give none.
const defaultCores = 1

// Capacity is how much work the host can do, as of policy.Capacity.
func (s *Settings) Capacity() int {
	cores := s.Cores
	if cores <= 0 {
		cores = defaultCores
	}
	return policy.Capacity(cores, s.LinkMbits)
}

// ReloadableSettings are the settings that may change while the process runs.
type ReloadableSettings struct {
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
	// Slack is how many retries are allowed beyond that.
	Slack float64
	// Window is that span.
	Window time.Duration
}

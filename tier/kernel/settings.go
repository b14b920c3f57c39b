package kernel

import (
	"cmp"
	"net/netip"
	"time"

	"loomgap/tier/config"
	"loomgap/tier/policy"
)

// Settings are the validated flags and environment variables of a daemon.
type Settings struct {
	// Host is the name of this host in the document.
	Host string
	// Hall is the data hall of this host.
	Hall string
	// Incarnation identifies this process. It is larger than that of each earlier
	// process of the host.
	Incarnation string
	// Listen is the address for callers.
	Listen netip.AddrPort
	// Operate is the address for operators.
	Operate netip.AddrPort
	// Metrics is an additional address that serves metrics, besides Operate; the zero
	// value for none.
	Metrics netip.AddrPort
	// Peer is the address for other entry hosts.
	Peer netip.AddrPort
	// Platform is the address of the platform's service.
	Platform netip.AddrPort
	// Seeds are the addresses of other entry hosts to contact at start.
	Seeds []netip.AddrPort
	// Beat is the heartbeat interval.
	Beat time.Duration
	// WatchWait is how long one read of the platform waits for a change.
	WatchWait time.Duration
	// TicketLife is the lifetime of a ticket.
	TicketLife time.Duration
	// Settle is how long a stopping host still accepts requests, so that the load
	// balancer can see that it is not ready.
	Settle time.Duration
	// SettleAsks is the number of readiness checks that a stopping host answers with
	// not ready before it stops accepting requests, unless SettleMost passes first.
	SettleAsks int
	// SettleMost is the longest time to wait for SettleAsks; at least Settle.
	SettleMost time.Duration
	// StopBound is the longest time that a graceful shutdown takes.
	StopBound time.Duration
	// LeavingHold is how long an upstream stays marked as leaving after its last leave
	// notice, even if its status says otherwise.
	LeavingHold time.Duration
	// TraceRatio is the fraction of requests whose spans are logged.
	TraceRatio float64
	// Adapter is the name of the platform adapter; empty for loomgap's own platform
	// protocol and callers.
	Adapter string
	// DocumentBytes is the size of the largest document that the platform stores; 0 for
	// config.MaxBytes.
	DocumentBytes int64
	// RetryBudget limits the calls beyond the first of each routed request.
	RetryBudget RetryBudget
	// LogRate limits the log lines about single requests, in lines per second.
	LogRate int
	// Cores is the number of processors that this host may use, which may be a fraction;
	// if not above 0, defaultCores applies.
	Cores float64
	// LinkMbits is the bandwidth of the host's link in Mbit/s; 0 for no limit.
	LinkMbits float64
	// MemoryMB is the memory above which this process is ended, in MB; 0 if it is not known.
	MemoryMB float64
	// Descriptors is the number of descriptors that this process may have open; 0 for the limit
	// that it was started with.
	Descriptors int
	// Regions maps data halls to regions.
	Regions config.Regions
	// ColdFactor and ColdSlack limit the requests that all hosts together send to a
	// cold upstream within a second: ColdFactor times its rate plus ColdSlack.
	ColdFactor, ColdSlack float64
	// Overload is the overload control of routed requests; empty for none.
	Overload policy.OverloadControl
}

// Region returns the region of this host's data hall; empty if it is not known.
func (s *Settings) Region() string { return s.Regions[s.Hall] }

// defaultCores is used if the settings give no number of processors.
const defaultCores = 1

// Capacity returns the capacity of this host as defined by policy.Capacity.
func (s *Settings) Capacity() int {
	cores := s.Cores
	if cores <= 0 {
		cores = defaultCores
	}
	return policy.Capacity(cores, s.LinkMbits)
}

// Memory returns the memory that this process may use, in bytes.
func (s *Settings) Memory() int64 {
	return int64(cmp.Or(max(s.MemoryMB, 0), defaultMemoryMB) * memoryUnit)
}

// ReloadableSettings are the settings that may change while the process runs.
type ReloadableSettings struct {
	// Seeds are the addresses of other entry hosts to join.
	Seeds []netip.AddrPort
	// RetryBudget limits the calls beyond the first of each routed request.
	RetryBudget RetryBudget
}

// RetryBudget limits the retries that all hosts together send to a group of upstreams
// within a time window.
type RetryBudget struct {
	// Ratio is the number of retries allowed per request.
	Ratio float64
	// Slack is the number of retries allowed in addition.
	Slack float64
	// Window is the window in which the platform counts requests and retries.
	Window time.Duration
}

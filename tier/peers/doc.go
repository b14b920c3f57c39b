// Package peers implements the exchanges between the entry hosts of the tier.
//
// It owns the connections between hosts (node.go, conn.go) and the protocols on them, each
// with its messages and both its ends in one file:
//
//   - heartbeat.go: heartbeats (method Beat), which spread membership and the revision of
//     the active document. partners.go chooses the receivers of a heartbeat. members.go and
//     suspicion.go decide which members are live, unresponsive or forgotten, and which ones
//     a heartbeat lists. roster.go writes the members to the control state. compare.go
//     handles differences between what sender and receiver know.
//   - fetch.go: fetches of a document or the directory by a host that lacks it
//   - announcement.go: announcements of what the platform publishes, to the hosts of a hall.
//     In discovery.go, a host that receives no announcement asks for one.
//   - crash_reports.go: reports of requests that are suspected of crashing upstreams
//
// It also reads the platform and decides which hosts do: feed.go and reader.go if an adapter
// is set, watch.go for loomgap's own platform protocol. shares.go divides the slots of
// upstreams among the hosts of a hall.
//
// It relies on package kernel for the control thread and the state that it changes, on policy
// for the rules about suspected requests, on config for documents and the directory, and on
// JSON-RPC 2.0 over TCP with its own framing (codec.go).
//
// # Concurrency
//
// Membership, fetches in progress and the last announcements are used on the control thread
// only. The feed is one goroutine, which reads and passes the results to the control thread.
// Messages are sent by separate goroutines and served by those of the connection; both access
// the state through kernel.Kernel.Do. Connections are guarded by the mutexes of node, outgoing
// and peerConn.
//
// Start reading at reader.go (who reads the platform) and heartbeat.go. Importing the package
// registers the plug-ins Peers, Feed and Platform. Other packages use Rank, Owner, Shares and
// ErrNoPeer, and hosts in tests use ServeCrashReports.
package peers

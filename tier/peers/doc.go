// Package peers lets the entry hosts of the tier act together.
//
// It owns the connections between hosts (node.go) and the exchanges on them, each
// with its messages and both its ends in one file:
//
//   - heartbeat.go: membership and revisions, by the method Beat; partners.go chooses
//     whom a heartbeat goes to, members.go and suspicion.go decide who is live, silent or
//     forgotten, and what a heartbeat lists; roster.go writes that into the control state;
//     compare.go says what follows where sender and receiver know different things
//   - fetch.go: a host that lacks a document or the directory gets it from another
//   - announcement.go: a host that knows what is published sends it to its hall; seek.go
//     has a host that hears none ask for one
//   - strikes.go: reports of requests that are suspected of crashing upstreams
//
// It also reads the platform, and decides which host does: feed.go and reader.go where
// an adapter is set, watch.go for loomgap's own platform protocol. shares.go divides
// the slots of upstreams between the hosts of a hall.
//
// It relies on package kernel for the control thread and the state that all this
// changes, on policy for the rules about suspected requests, on config for documents
// and the directory, and on JSON-RPC 2.0 over TCP with frames of its own (codec.go).
//
// # Concurrency
//
// Membership, fetches under way and what was announced are used on the control thread
// only. The feed is one goroutine that reads and hands what it read to the control
// thread. Messages are sent by goroutines of their own and served by those of the
// connection; both reach state through kernel.Kernel.Do. Connections are guarded by
// the mutexes of node, outgoing and peerConn.
//
// Begin with reader.go (who reads the platform) and heartbeat.go. Importing the package
// registers the plug-ins Peers, Feed and Platform; of its names others use Rank, Owner,
// Shares and ErrNoPeer, and hosts in tests ServeStrikes.
package peers

// Package pass serves routed requests: it finds the route of an opaque HTTP request,
// passes the request on to one upstream, or to one of each shard, and gives the caller
// the upstream's answer, or the greatest records of all.
//
// It owns the callers' server, the connections to upstreams (link), and what this host
// knows of other hosts as relays and coordinators (hostTracker). All of it lives in
// memory and ends with the process.
//
// It relies on package policy for decisions: which upstream gets a call, when a call is
// hedged or retried, when a run ends, which host coordinates. Package runner carries
// these out and calls back. Package kernel gives the view of configuration and hosts,
// and the calls between hosts. This package decides only what its constants say.
//
// # The way of a request
//
// Begin reading at ServeHTTP in serve.go, which lists the stages. Their files, in order:
//
//	start.go              wait for the first configuration
//	inbound.go            find the route, read the request, and what of it is passed on
//	refuse.go             refuse, with each Retry-After
//	coordinate_client.go  hand a gather over to a coordinator (coordinators.go), a
//	                      stronger host that carries it out (coordinate_server.go)
//	plan.go               which upstreams may answer, and which group of a split
//	run.go                make the calls; admit.go whether a call may be sent
//	call.go               one call to an upstream, on a connection of conn.go
//	relay_client.go       calls to another hall, in batches through a relay, a host
//	                      there that makes them (relay_server.go)
//	merge.go              merge the parts; relay_records.go fetch what they lack
//	answer.go             answer the caller; outcome.go the log line and metrics
//
// exchange.go has what both exchanges between hosts share. engine.follow takes each view
// of the kernel in: shares.go, preconnect.go, warmup.go.
//
// # Concurrency
//
// The control thread runs follow and what it calls. Each request has a goroutine of
// its caller, or of the host that sent it, and calls run in goroutines of the runner.
// A request takes one view and keeps it, but for the check just before each call.
//
// # Embedding
//
// Importing the package registers its plug-in, which serves routed requests if an
// adapter is set; nothing is exported.
package pass

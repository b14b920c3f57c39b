// Package pass serves routed requests: it finds the route of an HTTP request, passes the
// request on to one upstream, or to one upstream of each shard, and returns the upstream's
// response, or the merged greatest records of all shards.
//
// It owns the HTTP server for callers, the connections to upstreams (connPool), and what
// this host knows of other hosts as relays and coordinators (hostTracker). All of it is
// kept in memory only.
//
// Decisions are made by package policy: which upstream gets a call, when a call is hedged
// or retried, when a run ends, and which host coordinates. Package runner carries them out
// and calls back. Package kernel provides the view of configuration and hosts, and the
// calls between hosts.
//
// # Request processing
//
// ServeHTTP in serve.go lists the stages of a request. The files, in the order of the
// stages:
//
//	start.go              wait for the first configuration
//	inbound.go            find the route, read the request, build what upstreams get
//	refuse.go             refuse requests, with Retry-After
//	coordinate_client.go  forward a gather to a coordinator (coordinators.go), a host
//	                      with more capacity that executes it (coordinate_server.go)
//	plan.go               select the upstreams of each part and the group of a split
//	run.go                make the calls; admit.go checks each one before it is sent
//	call.go               one call to an upstream, on a connection of conn.go
//	relay_client.go       calls to another hall, in batches through a relay, a host
//	                      there that makes them (relay_server.go)
//	merge.go              merge the parts; relay_records.go fetches omitted records
//	answer.go             respond to the caller; outcome.go logs and counts the outcome
//
// exchange.go is shared by the relay and coordinator protocols. engine.applyView applies
// each new view of the kernel; see shares.go, preconnect.go and warmup.go.
//
// # Concurrency
//
// applyView and its callees run on the control thread. Each request runs on the goroutine
// of its caller, or of the message of the host that sent it, and calls run on goroutines of
// the runner. A request uses one view throughout, except for the check just before each
// call.
//
// # Embedding
//
// Importing the package registers its plug-in, which serves routed requests if an adapter
// is set. Nothing is exported.
package pass

// Package entry serves callers in loomgap's own query language: it parses a
// question or an order, admits it, calls the upstreams of its shards as package
// policy decides, merges the parts, and describes the answer.
//
// The package is a plug-in of the kernel and exports nothing. It owns the HTTP
// servers of callers and operators, the connections to the upstreams of the
// document, and the tickets that make an order run at most once. It relies on
// policy for every decision, on runner to carry one out, on kernel for the
// configuration in force, and on peers for calls to other entry hosts.
//
// A question goes from service.go (the generated interface) through ask.go, whose
// calls are made by call.go over client.go, to answer.go. An order goes through
// order.go, which asks ticket.go whether it may run. endpoint.go follows the
// configuration: it divides the slots of the upstreams among the hosts of the
// data hall. A host without a slot of an upstream calls it through the host that
// has them (sendRelay). status.go reads what upstreams say of themselves.
//
// Requests are served on goroutines of their own. Only endpoint.go, and the jobs
// that status.go hands to the kernel, run on the control thread.
package entry

// Package entry serves callers in loomgap's own query language. It parses a question (Ask)
// or an order, admits it, calls the upstreams of its shards as package policy decides,
// merges the parts, and builds the answer.
//
// The package is a plug-in of the kernel and exports nothing. It runs the HTTP servers of
// callers and operators, keeps the connections to upstreams, and stores the tickets that
// ensure that an order runs at most once. It depends on policy for decisions, on runner to
// execute them, on kernel for the active configuration, and on peers for calls to other
// entry hosts.
//
// A question passes through service.go (the generated interface) and ask.go to answer.go;
// its calls are made by call.go using client.go. An order passes through order.go, which
// checks with ticket.go whether it may run. endpoint.go applies the configuration and
// divides the slots of the upstreams among the hosts of the data hall. A host without slots
// of an upstream calls it through the host that owns them (sendRelay). status.go polls the
// status of upstreams.
//
// Each request is served in its own goroutine. Only the code of endpoint.go and the jobs
// that status.go passes to the kernel run on the control thread.
package entry

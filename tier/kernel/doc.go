// Package kernel holds the control state of an entry host and the registry of its
// plug-ins.
//
// The control State consists of the active document, the directory of upstreams, the
// members, and who reads the platform. The package decides which published document
// becomes active (document.go), whether the process was paused (control.go), whether the
// host is ready, and when a stopping host may exit (lifecycle.go). Plug-ins make all
// other decisions.
//
// The package depends on config, which defines documents, and on policy, whose Fleet all
// traffic shares. A platform adapter registers itself here (adapter.go) and provides a
// Source, which package peers reads.
//
// # Concurrency
//
// A single goroutine, the control thread, runs all jobs passed to Kernel.Do in order.
// Only these jobs may use State. After a job that changed the state, the control thread
// publishes an immutable View through an atomic pointer, which any goroutine may read,
// and calls the functions passed to Kernel.OnView. A job must not call Do, which may
// block on the control thread itself. All other methods of Kernel are safe for concurrent
// use.
//
// Start reading with State in state.go, then Kernel in kernel.go and control in
// control.go. A program that embeds the tier creates a Kernel with New, finds plug-ins
// with Pipeline and runs them. Plugin, Source and PeerCaller are the interfaces to
// implement. The parts of State are exported so that tests of other packages can build
// one.
package kernel

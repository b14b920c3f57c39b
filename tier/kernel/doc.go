// Package kernel runs the control thread of an entry host and the registry of its
// plug-ins.
//
// It owns the control State: the document in force, the directory of upstreams, the
// members, and who reads the platform. It decides which published document is put in
// force (document.go), whether the process was paused (control.go), and whether the
// host is ready and when a stopping host may end (lifecycle.go). All other decisions
// are those of the plug-ins.
//
// It relies on packages config (what a document is) and policy (the Fleet, which the
// traffic shares). The adapter of a platform registers itself here (adapter.go) and
// gives a Source; package peers reads that.
//
// # Concurrency
//
// One control thread runs all jobs given to Kernel.Do, in order; State is used there
// only. After a job that changed the state it publishes an immutable View through one
// atomic pointer, which any goroutine may read, and calls the functions given to
// Kernel.OnView. A job must not call Do, since that may wait for the thread itself.
// All other methods of Kernel are safe for concurrent use.
//
// Begin with State in state.go, then Kernel in kernel.go and control in control.go.
// Who embeds the tier makes a Kernel by New, finds the plug-ins by Pipeline and runs
// them; Plugin, Source and PeerCaller are the interfaces to implement. The parts of State
// are exported types so that tests of other packages can build one.
package kernel

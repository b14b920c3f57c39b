package kernel

import "loomgap/tier/policy"

// GateState is the state of the gate of one set of groups.
type GateState struct {
	policy.GateState
	// Groups names the set: its first group and the number of groups.
	Groups string
	// RefusedRecently counts the requests refused within the last 10 to 20 seconds.
	RefusedRecently uint64
}

// RegisterGates sets the function that returns the states of the gates of this host. It is
// called by the plug-in that has the gates.
func (k *Kernel) RegisterGates(list func() []GateState) { k.gates.Store(&list) }

// Gates returns the states of the gates of this host; none if no plug-in has gates.
func (k *Kernel) Gates() []GateState {
	list := k.gates.Load()
	if list == nil {
		return nil
	}
	return (*list)()
}

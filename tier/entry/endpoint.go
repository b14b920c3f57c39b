package entry

import (
	"maps"
	"slices"

	"loomgap/tier/config"
	"loomgap/tier/kernel"
	"loomgap/tier/peers"
	"loomgap/tier/policy"
)

// endpoint is how this host reaches one upstream of its data hall.
type endpoint struct {
	connections int
	client      *client
	// owner is the host that makes the calls for this host; empty if this host has
	// slots of its own.
	owner string
}

// endpointInputs are the parts of a view that the endpoints are computed from.
type endpointInputs struct {
	index   *config.Index
	hosts   []string
	leaving map[string]bool
}

func (b *endpointInputs) equal(o *endpointInputs) bool {
	return b.index == o.index && slices.Equal(b.hosts, o.hosts) && maps.Equal(b.leaving, o.leaving)
}

// updateEndpoints updates slots and endpoints for a new view. It does so only if their
// inputs have changed, because ranking all hosts for all upstreams is expensive. It runs on
// the control thread.
func (e *engine) updateEndpoints(v *kernel.View) {
	if v.Index == nil {
		return
	}
	s := &e.kernel.Settings
	hosts := v.HallHosts(s)
	slices.Sort(hosts)
	next := endpointInputs{index: v.Index, hosts: hosts, leaving: v.Leaving}
	if e.endpointInputs.equal(&next) {
		return
	}
	e.endpointInputs = next
	e.replaceEndpoints(v, hosts)
}

// replaceEndpoints sets the slots and the endpoint of each upstream of the data hall.
func (e *engine) replaceEndpoints(v *kernel.View, hosts []string) {
	s := &e.kernel.Settings
	old, next := *e.endpoints.Load(), map[string]*endpoint{}
	shares := peers.Shares(v, s)
	for i := range shares {
		u := v.Index.Upstream(shares[i].Name)
		p := &endpoint{connections: max(u.Connections/len(hosts), 1)}
		if shares[i].Slots == 0 {
			p.owner = peers.Owner(u.Name, hosts)
			shares[i].Slots = u.Slots // the owner enforces the limit
		}
		if o := old[u.Name]; o != nil && o.client.address == u.Address && o.connections == p.connections {
			p.client = o.client
		} else {
			p.client = newClient(u, p.connections, e.kernel.Budgets.Replies.Account())
		}
		next[u.Name] = p
	}
	granted := e.kernel.Fleet.Apply(e.kernel.Now(), shares)
	e.endpoints.Store(&next)
	for name, p := range old {
		if next[name] == nil || next[name].client != p.client {
			p.client.close()
		}
	}
	// Requests must not run on the control thread.
	go policy.NotifyGranted(granted)
}

// endpoint returns the endpoint of an upstream; nil if it is in another data hall.
func (e *engine) endpoint(upstream string) *endpoint { return (*e.endpoints.Load())[upstream] }

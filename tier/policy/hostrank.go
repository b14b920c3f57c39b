package policy

import "cmp"

// HostRank ranks hosts for a task that one of them does: coordinators first (IsCoordinator),
// then by rendezvous hashing, so that tasks with different keys spread over the hosts. All
// hosts with the same view of the others compute the same order.
type HostRank struct {
	// Key identifies the task.
	Key string
	// Strongest is the capacity of the strongest host.
	Strongest int
}

// Compare orders two hosts, the higher ranked first.
func (r HostRank) Compare(a, b Candidate) int {
	return cmp.Or(
		cmp.Compare(r.class(&a), r.class(&b)),
		cmp.Compare(RendezvousHash(r.Key, a.Host), RendezvousHash(r.Key, b.Host)),
		cmp.Compare(a.Host, b.Host),
	)
}

// class is 0 for a host with enough capacity to coordinate and 1 for others.
func (r HostRank) class(c *Candidate) int {
	if IsCoordinator(c.Capacity, r.Strongest) {
		return 0
	}
	return 1
}

package policy

import (
	"time"

	"loomgap/tier/query"
)

type part struct {
	replicas []*Upstream
	// reason is empty while open or included.
	reason   query.Reason
	included bool
	closed   bool
	// held is true while the part waits for a call of another part: see doubt. It
	// owes a retry if a call of it was given up for that.
	held, owes bool
	tries      int
	// sends counts the attempts sent, arrivals those of them that may have
	// reached an upstream, and ran those that may have run there.
	sends, arrivals, ran int
	// hedged is true once a second replica was asked; there is no third.
	hedged bool
	// unhedged is why no second replica was asked when it was last considered.
	unhedged HedgeObstacle
	live     []int
	tried    []*Upstream
	// retryAt is when a refused shard is tried again; 0 for never.
	retryAt time.Duration
}

type phase string

const (
	phaseQueued phase = "Queued"
	phaseSent   phase = "Sent"
	phaseDone   phase = "Done"
)

type attempt struct {
	part     int
	upstream *Upstream
	phase    phase
	sentAt   time.Duration
	// hedgeAge is how long after sentAt it is hedged.
	hedgeAge time.Duration
	waiter   *Waiter
	// alone is true if the run was doubted and had no other call under way when it
	// was sent; abandoned once it was given up though its part is open.
	alone, abandoned bool
}

// account takes an outcome out of what may have run and arrived.
func (p *part) account(o CallOutcome) {
	if o.NotRun() {
		p.ran--
	}
	if !o.arrived() {
		p.arrivals--
	}
}

func (r *Run) sent(p *part) bool {
	for _, n := range p.live {
		if r.attempts[n].phase == phaseSent {
			return true
		}
	}
	return false
}

func (p *part) remove(n int) {
	for i, m := range p.live {
		if m == n {
			p.live = append(p.live[:i], p.live[i+1:]...)
			return
		}
	}
}

func (p *part) forget(u *Upstream) {
	for i, t := range p.tried {
		if t == u {
			p.tried = append(p.tried[:i], p.tried[i+1:]...)
			return
		}
	}
}

func (p *part) hasTried(u *Upstream) bool {
	for _, t := range p.tried {
		if t == u {
			return true
		}
	}
	return false
}

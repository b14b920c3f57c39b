package pass

import (
	"context"
	"fmt"
	"time"

	"loomgap/tier/peers"
	"loomgap/tier/policy"
)

// Bounds of sharing calls out among the hosts of a hall.
const (
	// spreadAbove is the most calls of one request that one host makes. Each
	// call costs some 0.2 ms of a core, and hosts have small parts of one.
	spreadAbove = 24
	// spreadReserve is how much earlier the first answer of a host within the
	// hall is wanted than the answer that it becomes a part of.
	spreadReserve = 2 * time.Millisecond
)

// owners shares calls out among the hosts of this hall: each upstream has one
// host that makes the calls to it, the same for all who see the same hosts, so
// that this host has connections there and learns soon how the upstream does.
// The calls of this host itself are under its own name. Hosts that owe an
// answer are passed over.
func (e *Engine) owners(upstreams []string, owing map[string]int) map[string][]int {
	k := e.kernel
	v, now := k.View(), k.Now()
	hosts := []string{k.Settings.Host}
	e.relays.mu.Lock()
	for n, m := range v.Members {
		if m.Live && !m.Leaving && m.Hall == k.Settings.Hall && m.Peer.IsValid() && owing[n] == 0 && e.relays.answers(n, now) {
			hosts = append(hosts, n)
		}
	}
	e.relays.mu.Unlock()
	out := map[string][]int{}
	for i, u := range upstreams {
		owner := peers.Owner(u, hosts)
		out[owner] = append(out[owner], i)
	}
	return out
}

// spread begins the calls of a batch, here and at other hosts of the hall; the
// batch is locked.
func (b *batch) spread(ctx context.Context) {
	own := b.engine.kernel.Settings.Host
	shares := map[string][]int{}
	if b.in.Spread && len(b.in.Upstreams) > spreadAbove {
		shares = b.engine.owners(b.in.Upstreams, nil)
	} else {
		for i := range b.in.Upstreams {
			shares[own] = append(shares[own], i)
		}
	}
	for host, calls := range shares {
		if host != own {
			go b.forward(ctx, host, calls)
			continue
		}
		for _, i := range calls {
			ctx, cancel := context.WithCancel(ctx)
			c := &relayedCall{cancel: cancel}
			b.calls[i] = c
			go b.call(ctx, i, b.in.Upstreams[i], c)
		}
	}
}

// forward has another host of the hall make some calls of the batch.
func (b *batch) forward(ctx context.Context, host string, calls []int) {
	e := b.engine
	k := e.kernel
	started := k.Now()
	way := e.relays.sent(host, started)
	in := *b.in
	in.ID = fmt.Sprintf("%s/%s", b.in.ID, host)
	in.Spread, in.Upstreams = false, nil
	for _, i := range calls {
		in.Upstreams = append(in.Upstreams, b.in.Upstreams[i])
	}
	first := time.Duration(b.in.FirstMillis)*time.Millisecond - way - spreadReserve
	in.FirstMillis = max(first, gatherLeast).Milliseconds()
	in.DeadlineMillis = max((b.deadline - started).Milliseconds(), 1)
	left := map[int]bool{}
	for _, i := range calls {
		left[i] = true
	}
	var reply GatherReply
	err := e.callRelay(ctx, host, MethodGather, &in, &reply, b.deadline)
	took := k.Now() - started
	switch {
	case err == nil:
		e.relays.answered(host, k.Now(), max(took-time.Duration(reply.HeldMicros)*time.Microsecond, time.Microsecond))
		b.adopt(calls, left, &reply)
	case ctx.Err() != nil:
		e.relays.unanswered(host, k.Now(), took > max(first, 0)+way+relaySilent)
	default:
		e.relays.unanswered(host, k.Now(), true)
	}
	for err == nil && reply.Open > 0 && ctx.Err() == nil {
		reply = GatherReply{}
		if err = e.callRelay(ctx, host, MethodRest, BatchName{ID: in.ID}, &reply, b.deadline); err == nil {
			b.adopt(calls, left, &reply)
		}
	}
	if ctx.Err() != nil {
		e.stopRelay(host, BatchName{ID: in.ID, Left: b.abandoned()}, b.in.RequestID)
	}
	b.lose(left, err)
}

// adopt takes in what another host answered.
func (b *batch) adopt(calls []int, left map[int]bool, r *GatherReply) {
	var ended []GatheredCall
	for _, c := range r.Ended {
		if c.Index < 0 || c.Index >= len(calls) || !left[calls[c.Index]] {
			continue
		}
		c.Index = calls[c.Index]
		delete(left, c.Index)
		ended = append(ended, c)
	}
	b.end(ended, r.Records)
}

// lose reports the calls that another host left without an outcome.
func (b *batch) lose(left map[int]bool, err error) {
	outcome := policy.CallBroken
	if unreached(err) {
		outcome = policy.CallUnreachable
	}
	var ended []GatheredCall
	for i := range left {
		ended = append(ended, GatheredCall{Index: i, Outcome: string(outcome)})
	}
	b.end(ended, nil)
}

func (b *batch) abandoned() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.left
}

package main

import (
	"context"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// balancer stands in for the platform's balancer: it asks each host whether it
// is ready and gives out the ready ones in turn.
type balancer struct {
	// hosts are the callers' addresses of entry hosts, operate the operators'
	// addresses of the same hosts in the same order.
	hosts, operate []netip.AddrPort
	client         *http.Client
	// probeBound is how long a host may take to say whether it is ready.
	probeBound time.Duration
	// ready holds the hosts that requests go to; admitting orders those that
	// change it.
	ready     atomic.Pointer[[]netip.AddrPort]
	admitting sync.Mutex
	turn      atomic.Uint64
}

// Times of the balancer. Not measured.
const (
	// balanceEvery is the time between two probes of a host.
	balanceEvery = 100 * time.Millisecond
	// balanceBound is the probeBound of scenarios.
	balanceBound = 500 * time.Millisecond
)

// run probes the hosts until the context ends, each by itself, so that one that
// is slow to answer delays none.
func (b *balancer) run(ctx context.Context) {
	ready := make([]atomic.Bool, len(b.hosts))
	var all sync.WaitGroup
	for i, o := range b.operate {
		all.Go(func() {
			for ctx.Err() == nil {
				ready[i].Store(b.isReady(ctx, o))
				b.admit(ready)
				time.Sleep(balanceEvery)
			}
		})
	}
	all.Wait()
}

// admit sends requests to the hosts that are ready, or where none is, to those
// that were.
func (b *balancer) admit(ready []atomic.Bool) {
	b.admitting.Lock()
	defer b.admitting.Unlock()
	var hosts []netip.AddrPort
	for i := range ready {
		if ready[i].Load() {
			hosts = append(hosts, b.hosts[i])
		}
	}
	if len(hosts) > 0 {
		b.ready.Store(&hosts)
	}
}

func (b *balancer) isReady(ctx context.Context, at netip.AddrPort) bool {
	ctx, cancel := context.WithTimeout(ctx, b.probeBound)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+at.String()+"/ready", nil)
	if err != nil {
		return false
	}
	reply, err := b.client.Do(r)
	if err != nil {
		return false
	}
	defer reply.Body.Close()
	return reply.StatusCode == http.StatusOK
}

// next returns the host of the next request.
func (b *balancer) next() netip.AddrPort {
	hosts := *b.ready.Load()
	return hosts[b.turn.Add(1)%uint64(len(hosts))]
}

// TestBalancerAsksEachHostByItself has one host not answer until another was
// asked several times: that one must be taken out meanwhile.
func TestBalancerAsksEachHostByItself(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	var asked atomic.Int64
	out := make(chan struct{})
	slow := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		select {
		case <-out:
		case <-r.Context().Done():
		}
	}))
	defer slow.Close()
	stopping := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if asked.Add(1) > 1 {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		if asked.Load() == 4 {
			close(out)
		}
	}))
	defer stopping.Close()
	well := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	defer well.Close()
	b := &balancer{client: &http.Client{}, probeBound: longestWait}
	for _, s := range []*httptest.Server{slow, stopping, well} {
		at := netip.MustParseAddrPort(strings.TrimPrefix(s.URL, "http://"))
		b.hosts = append(b.hosts, at)
		b.operate = append(b.operate, at)
	}
	b.ready.Store(&b.hosts)
	go b.run(ctx)
	<-out
	assert.NilError(t, await("the stopping host is out", func() bool {
		for _, h := range *b.ready.Load() {
			if h == b.hosts[1] {
				return false
			}
		}
		return true
	}))
}

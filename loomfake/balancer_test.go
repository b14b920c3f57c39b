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
	probeTimeout time.Duration
	// ready holds the hosts that requests go to; admitting orders those that
	// change it.
	ready     atomic.Pointer[[]netip.AddrPort]
	updateMu  sync.Mutex
	nextIndex atomic.Uint64
}

// Times of the balancer. Not measured.
const (
	// balanceEvery is the time between two probes of a host.
	balancerProbeInterval = 100 * time.Millisecond
	// balanceBound is the probeBound of scenarios.
	balancerProbeTimeout = 500 * time.Millisecond
)

// run probes the hosts until the context ends, each by itself, so that one that
// is slow to answer delays none.
func (b *balancer) run(ctx context.Context) {
	ready := make([]atomic.Bool, len(b.hosts))
	var wg sync.WaitGroup
	for i, o := range b.operate {
		wg.Go(func() {
			for ctx.Err() == nil {
				ready[i].Store(b.isReady(ctx, o))
				b.updateReady(ready)
				time.Sleep(balancerProbeInterval)
			}
		})
	}
	wg.Wait()
}

// admit sends requests to the hosts that are ready, or where none is, to those
// that were.
func (b *balancer) updateReady(ready []atomic.Bool) {
	b.updateMu.Lock()
	defer b.updateMu.Unlock()
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

func (b *balancer) isReady(ctx context.Context, addr netip.AddrPort) bool {
	ctx, cancel := context.WithTimeout(ctx, b.probeTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr.String()+"/ready", nil)
	if err != nil {
		return false
	}
	resp, err := b.client.Do(r)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// next returns the host of the next request.
func (b *balancer) next() netip.AddrPort {
	hosts := *b.ready.Load()
	return hosts[b.nextIndex.Add(1)%uint64(len(hosts))]
}

// TestBalancerAsksEachHostByItself has one host not answer until another was
// asked several times: that one must be taken out meanwhile.
func TestBalancerProbesHostsIndependently(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	var asked atomic.Int64
	release := make(chan struct{})
	slow := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		select {
		case <-release:
		case <-r.Context().Done():
		}
	}))
	defer slow.Close()
	stopping := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if asked.Add(1) > 1 {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		if asked.Load() == 4 {
			close(release)
		}
	}))
	defer stopping.Close()
	healthy := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	defer healthy.Close()
	b := &balancer{client: &http.Client{}, probeTimeout: maxWait}
	for _, s := range []*httptest.Server{slow, stopping, healthy} {
		at := netip.MustParseAddrPort(strings.TrimPrefix(s.URL, "http://"))
		b.hosts = append(b.hosts, at)
		b.operate = append(b.operate, at)
	}
	b.ready.Store(&b.hosts)
	go b.run(ctx)
	<-release
	assert.NilError(t, waitUntil("the stopping host is out", func() bool {
		for _, h := range *b.ready.Load() {
			if h == b.hosts[1] {
				return false
			}
		}
		return true
	}))
}

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

// balancer is a stand-in for the platform's load balancer. It probes the readiness of
// the hosts and selects the ready ones round-robin.
type balancer struct {
	// hosts are the callers' addresses of the entry hosts, operate their operators'
	// addresses in the same order.
	hosts, operate []netip.AddrPort
	client         *http.Client
	probeTimeout   time.Duration
	// ready holds the hosts that receive requests; updateMu serializes its updates.
	ready     atomic.Pointer[[]netip.AddrPort]
	updateMu  sync.Mutex
	nextIndex atomic.Uint64
}

// Times of the balancer in scenarios.
const (
	balancerProbeInterval = 100 * time.Millisecond
	balancerProbeTimeout  = 500 * time.Millisecond
)

// run probes the hosts until ctx ends. It probes them independently, so that a slow host
// does not delay the others.
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

// updateReady selects the ready hosts for requests. If no host is ready, it keeps the
// previous selection.
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

// next returns the host for the next request.
func (b *balancer) next() netip.AddrPort {
	hosts := *b.ready.Load()
	return hosts[b.nextIndex.Add(1)%uint64(len(hosts))]
}

// TestBalancerProbesHostsIndependently checks that a host that does not answer its probe does
// not delay the removal of a stopping host.
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

package main

import (
	"context"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"
)

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
	l := &load{client: &http.Client{}, probeBound: longestWait}
	for _, s := range []*httptest.Server{slow, stopping, well} {
		at := netip.MustParseAddrPort(strings.TrimPrefix(s.URL, "http://"))
		l.config.Hosts = append(l.config.Hosts, at)
		l.config.Operate = append(l.config.Operate, at)
	}
	l.ready.Store(&l.config.Hosts)
	go l.balance(ctx)
	<-out
	assert.NilError(t, await("the stopping host is out", func() bool {
		for _, h := range *l.ready.Load() {
			if h == l.config.Hosts[1] {
				return false
			}
		}
		return true
	}))
}

package policy

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// minPoolLatency is the lowest recorded latency, in microseconds.
	minPoolLatency = 1
	// maxPoolLatency is the highest recorded latency, in microseconds. A minute is longer
	// than any request takes.
	maxPoolLatency = 60_000_000
	// poolDigits is the number of significant digits of a latency in the histogram, 1 to 5.
	poolDigits = 2
	// poolRefresh is the number of new latencies after which the cached quantiles are
	// discarded.
	poolRefresh = 64
	// poolWindow is the number of latencies in a window of a service's pool.
	poolWindow = 20_000
	// routedWindow is the number of latencies in a window of a route's pool. It is smaller
	// because the upstreams of a route change quickly.
	routedWindow = 2_000
	// poolSettledDivisor divides the size of a window. Until the current window holds that
	// many latencies, quantiles come from the previous one.
	poolSettledDivisor = 4
	// minPoolSamples is the number of latencies that a pool needs before its quantiles are
	// used.
	minPoolSamples = 50
	// defaultMedian is the median of a pool with fewer latencies than minPoolSamples.
	defaultMedian = 10 * time.Millisecond
)

// LatencyPool holds the latencies of all replicas of a service. An upstream is slow compared
// with the quantiles of the pool; its own quantiles would hide that. The pool is used with
// the fleet locked.
type LatencyPool struct {
	// current and previous are the histograms of the current and the previous window.
	current  *hdrhistogram.Histogram
	previous *hdrhistogram.Histogram
	// window is the number of latencies in a window.
	window int64
	// fresh counts the latencies since the cached quantiles were discarded.
	fresh int
	// quantiles caches values read from the histogram.
	quantiles map[float64]time.Duration
}

func newPool(window int64) *LatencyPool {
	return &LatencyPool{
		current:   hdrhistogram.New(minPoolLatency, maxPoolLatency, poolDigits),
		previous:  hdrhistogram.New(minPoolLatency, maxPoolLatency, poolDigits),
		quantiles: map[float64]time.Duration{},
		window:    window,
	}
}

func (p *LatencyPool) record(d time.Duration) {
	// RecordValue does not fail for values between the bounds of the histogram.
	_ = p.current.RecordValue(min(max(d.Microseconds(), minPoolLatency), maxPoolLatency))
	p.fresh++
	if p.current.TotalCount() >= p.window {
		p.previous, p.current = p.current, p.previous
		p.current.Reset()
	}
	if p.fresh >= poolRefresh {
		p.fresh = 0
		clear(p.quantiles)
	}
}

// known reports whether the pool holds enough latencies to use its quantiles.
func (p *LatencyPool) known() bool { return p.Count() >= minPoolSamples }

// Count returns the number of latencies in both windows.
func (p *LatencyPool) Count() int64 { return p.current.TotalCount() + p.previous.TotalCount() }

// median returns the median latency, or defaultMedian while the pool holds too few latencies.
func (p *LatencyPool) median() time.Duration {
	if !p.known() {
		return defaultMedian
	}
	return p.quantile(0.5)
}

// quantile returns a latency quantile of the recent calls for q from 0 to 1. It caches the
// value until poolRefresh new latencies were recorded.
func (p *LatencyPool) quantile(q float64) time.Duration {
	if d, ok := p.quantiles[q]; ok {
		return d
	}
	h := p.current
	if h.TotalCount() < p.window/poolSettledDivisor && p.previous.TotalCount() > 0 {
		h = p.previous
	}
	d := time.Duration(h.ValueAtQuantile(q*100)) * time.Microsecond
	p.quantiles[q] = d
	return d
}

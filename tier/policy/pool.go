package policy

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// poolLowest is the least latency that is told from others, in microseconds.
	minPoolLatency = 1
	// poolHighest is the greatest latency, in microseconds: a minute, longer than any
	// request of today takes.
	maxPoolLatency = 60_000_000
	// poolDigits is the number of significant digits of a latency, 1 to 5 for the
	// histogram.
	poolDigits = 2
	// poolRefresh is the number of new latencies after which quantiles are read from the
	// histogram anew.
	poolRefresh = 64
	// poolWindow is the number of latencies after which older ones are dropped, in the pool
	// of a service.
	poolWindow = 20_000
	// routedWindow is the same in the pool of a route, whose requests go to other upstreams
	// from one moment to the next.
	routedWindow = 2_000
	// poolSettled divides the window: quantiles are those of the window before until so
	// large a part of the present one has come.
	poolSettledDivisor = 4
	// poolEnough is the number of latencies from which on a pool is known.
	minPoolSamples = 50
	// poolFallback is the median of a pool that is not known.
	defaultMedian = 10 * time.Millisecond
)

// LatencyPool holds the latencies of all replicas of one service. A quantile of one
// upstream would hide that the upstream is slow; the pool's shows it. It is used with
// the fleet locked.
type LatencyPool struct {
	// current and previous are the histograms of the present window and the one before.
	current  *hdrhistogram.Histogram
	previous *hdrhistogram.Histogram
	// window is how many latencies are looked at before older ones are dropped.
	window int64
	// fresh counts latencies since the cached quantiles were made.
	fresh int
	// quantiles caches what was read from the histogram.
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
	// A value between the bounds of the histogram is never an error.
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

func (p *LatencyPool) known() bool { return p.Count() >= minPoolSamples }

// Count is how many latencies are looked at.
func (p *LatencyPool) Count() int64 { return p.current.TotalCount() + p.previous.TotalCount() }

// median is the middle latency, or a fixed guess while little is known.
func (p *LatencyPool) median() time.Duration {
	if !p.known() {
		return defaultMedian
	}
	return p.quantile(0.5)
}

// quantile is a latency quantile of the recent calls, 0 to 1. It is read from the
// histogram once in many latencies and cached between.
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

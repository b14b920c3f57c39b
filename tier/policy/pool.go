package policy

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Bounds of a pool's histogram, in microseconds, and its refresh.
const (
	poolLowest   = 1
	poolHighest  = 60_000_000
	poolDigits   = 2
	poolRefresh  = 64
	poolWindow   = 20_000
	routedWindow = 2_000
	poolEnough   = 50
	poolFallback = 10 * time.Millisecond
)

// Pool holds the latencies of all replicas of one service. A quantile of one
// upstream would hide that the upstream is slow; the pool's shows it.
type Pool struct {
	current  *hdrhistogram.Histogram
	previous *hdrhistogram.Histogram
	// window is how many samples are looked at before older ones are dropped.
	window int64
	// fresh counts samples since the cached quantiles were made.
	fresh     int
	median    time.Duration
	quantiles map[float64]time.Duration
}

// NewPool makes an empty pool.
func NewPool() *Pool {
	return &Pool{
		current:   hdrhistogram.New(poolLowest, poolHighest, poolDigits),
		previous:  hdrhistogram.New(poolLowest, poolHighest, poolDigits),
		quantiles: map[float64]time.Duration{},
		window:    poolWindow,
	}
}

// newRoutedPool makes an empty pool that follows changes sooner: a route's
// requests go to other upstreams from one moment to the next.
func newRoutedPool() *Pool {
	p := NewPool()
	p.window = routedWindow
	return p
}

// Record takes a latency in.
func (p *Pool) Record(d time.Duration) {
	_ = p.current.RecordValue(min(max(d.Microseconds(), poolLowest), poolHighest))
	p.fresh++
	if p.current.TotalCount() >= p.window {
		p.previous, p.current = p.current, p.previous
		p.current.Reset()
	}
	if p.fresh >= poolRefresh {
		p.refresh()
	}
}

func (p *Pool) refresh() {
	p.fresh = 0
	p.median = 0
	clear(p.quantiles)
}

// Known reports whether there are enough samples to learn from.
func (p *Pool) Known() bool {
	return p.Count() >= poolEnough
}

// Count is how many samples are looked at.
func (p *Pool) Count() int64 { return p.current.TotalCount() + p.previous.TotalCount() }

// Median is the middle latency, or a fixed guess while little is known.
func (p *Pool) Median() time.Duration {
	if !p.Known() {
		return poolFallback
	}
	if p.median == 0 {
		p.median = p.Quantile(0.5)
	}
	return p.median
}

// Quantile is a latency quantile of the recent calls. It is read from the
// histogram once in many samples and kept between.
func (p *Pool) Quantile(q float64) time.Duration {
	if d, ok := p.quantiles[q]; ok {
		return d
	}
	h := p.current
	if h.TotalCount() < p.window/4 && p.previous.TotalCount() > 0 {
		h = p.previous
	}
	d := time.Duration(h.ValueAtQuantile(q*100)) * time.Microsecond
	p.quantiles[q] = d
	return d
}

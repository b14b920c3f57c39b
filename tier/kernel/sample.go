package kernel

import (
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"
)

// defaultLogRate is the most lines a second about single requests, where the
// settings name none: a few for each request of a busy small host.
const defaultLogRate = 200

// rateSampler lets a number of lines through each second and counts the rest.
type rateSampler struct {
	rate int64
	// started is the origin of second; the clock of day may jump.
	started time.Time
	second  atomic.Int64
	lines   atomic.Int64
	dropped *metrics.Counter
}

var _ zerolog.Sampler = (*rateSampler)(nil)

func newRateSampler(rate int) *rateSampler {
	if rate <= 0 {
		rate = defaultLogRate
	}
	return &rateSampler{
		rate: int64(rate), started: time.Now(),
		dropped: metrics.GetOrCreateCounter("loomgap_log_lines_dropped_total"),
	}
}

// Sample implements zerolog.Sampler. Two goroutines that see a new second at
// once may let a few lines more through.
func (s *rateSampler) Sample(zerolog.Level) bool {
	second := int64(time.Since(s.started) / time.Second)
	if s.second.Swap(second) != second {
		s.lines.Store(0)
	}
	if s.lines.Add(1) <= s.rate {
		return true
	}
	s.dropped.Inc()
	return false
}

package kernel

import (
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"
)

// defaultLogRate is the default limit of RequestLog, in lines per second.
const defaultLogRate = 200

// rateSampler passes a limited number of lines per second and counts the dropped ones.
type rateSampler struct {
	// rate is the limit in lines per second.
	rate int64
	// started is the origin of second. It is read on the monotonic clock, since the
	// wall clock may jump.
	started time.Time
	// second is the current second since started.
	second atomic.Int64
	// lines counts the lines of the current second.
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

// Sample implements zerolog.Sampler. When two goroutines see a new second at the same
// time, a few extra lines may pass.
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

package replay

import (
	"fmt"
	"io"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"loomgap/tier/config"
	"loomgap/tier/policy"
)

// Report is the result of a replay.
type Report struct {
	name string
	// seconds is the virtual time that is counted.
	seconds float64
	classes []*classResult
}

func (w *world) report() *Report {
	return &Report{name: w.config.Name, seconds: (w.config.duration - w.config.warmup).Seconds(), classes: w.results}
}

// Header is the head of the table that Print writes rows of.
const Header = "| Case | Class | Answered | Refused | p50 ms | p99 ms | p99.9 ms | Coverage | Complete | Extra | Worth/s |\n" +
	"| --- | --- | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: |\n"

// Print writes a report as rows of a Markdown table, one for each class. Latencies
// are in milliseconds.
func (r *Report) Print(out io.Writer) {
	for _, c := range r.classes {
		fmt.Fprintf(out, "| %s | %s | %d | %d | %.1f | %.1f | %.1f | %.5f | %.4f | %.2f%% | %.0f |\n", r.name, c.name, c.answers, c.refusals,
			millis(c.quantile(0.5)), millis(c.quantile(0.99)), millis(c.quantile(0.999)), c.coverage(),
			float64(c.complete)/float64(max(c.answers, 1)), 100*c.extraLoad(), r.worthPerSecond())
	}
}

func millis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// worthPerSecond is the worth of the complete answers, for each second.
func (r *Report) worthPerSecond() float64 {
	total := 0
	for _, c := range r.classes {
		total += c.worth * c.complete
	}
	return float64(total) / r.seconds
}

type classResult struct {
	name  string
	worth int
	// answers and refusals count requests, complete those answers that lack
	// nothing.
	answers, refusals, complete int
	// asked and included count parts, attempts the calls made for them.
	asked, included, attempts int
	latency                   *hdrhistogram.Histogram
}

// Bounds of the latencies that a result counts.
const (
	// maxLatencyMicros is the longest latency counted, a minute in microseconds: more
	// than any deadline of a case.
	maxLatencyMicros = 60_000_000
	// latencySignificantDigits is how many significant digits of a latency are kept.
	latencySignificantDigits = 3
)

func newClassResult(c *config.Class) *classResult {
	return &classResult{name: c.Name, worth: c.Worth, latency: hdrhistogram.New(1, maxLatencyMicros, latencySignificantDigits)}
}

// recordRefusal counts a request that was recordRefusal. Like answered it does nothing on nil,
// during the warm-up.
func (c *classResult) recordRefusal() {
	if c != nil {
		c.refusals++
	}
}

func (c *classResult) recordAnswer(took time.Duration, r *policy.Result, shards int) {
	if c == nil {
		return
	}
	c.answers++
	c.asked += shards
	c.included += r.Included
	c.attempts += r.Attempts
	if r.Included == shards {
		c.complete++
	}
	_ = c.latency.RecordValue(took.Microseconds()) // a case's deadline is far below longestMicros
}

// quantile is a latency quantile of the answers, 0 to 1.
func (c *classResult) quantile(q float64) time.Duration {
	return time.Duration(c.latency.ValueAtQuantile(q*100)) * time.Microsecond
}

// coverage is the share of the parts asked that the answers include.
func (c *classResult) coverage() float64 { return float64(c.included) / float64(max(c.asked, 1)) }

// extraLoad is calls over parts asked, less 1.
func (c *classResult) extraLoad() float64 {
	return float64(c.attempts)/float64(max(c.asked, 1)) - 1
}

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
	// seconds is the virtual time after the warm-up.
	seconds float64
	classes []*classResult
}

func (w *world) report() *Report {
	return &Report{name: w.config.Name, seconds: (w.config.duration - w.config.warmup).Seconds(), classes: w.results}
}

// Header is the header of the Markdown table whose rows Print writes.
const Header = "| Case | Class | Answered | Refused | p50 ms | p99 ms | p99.9 ms | Coverage | Complete | Extra | Worth/s |\n" +
	"| --- | --- | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: |\n"

// Print writes a row of the Markdown table for each class.
func (r *Report) Print(out io.Writer) {
	for _, c := range r.classes {
		fmt.Fprintf(out, "| %s | %s | %d | %d | %.1f | %.1f | %.1f | %.5f | %.4f | %.2f%% | %.0f |\n", r.name, c.name, c.answers, c.refusals,
			millis(c.quantile(0.5)), millis(c.quantile(0.99)), millis(c.quantile(0.999)), c.coverage(),
			float64(c.complete)/float64(max(c.answers, 1)), 100*c.extraLoad(), r.worthPerSecond())
	}
}

func millis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// worthPerSecond returns the total worth of the complete answers per second.
func (r *Report) worthPerSecond() float64 {
	total := 0
	for _, c := range r.classes {
		total += c.worth * c.complete
	}
	return float64(total) / r.seconds
}

// classResult accumulates the results of the requests of one class.
type classResult struct {
	name  string
	worth int
	// answers and refusals count requests, complete the answers that include every
	// shard.
	answers, refusals, complete int
	// queried counts shards over all requests, included those in the answers, and
	// attempts the calls made for them.
	queried, included, attempts int
	latency                     *hdrhistogram.Histogram
}

// Range and precision of the latency histogram.
const (
	maxLatencyMicros         = 60_000_000 // a minute, longer than any deadline of a case
	latencySignificantDigits = 3
)

func newClassResult(c *config.Class) *classResult {
	return &classResult{name: c.Name, worth: c.Worth, latency: hdrhistogram.New(1, maxLatencyMicros, latencySignificantDigits)}
}

// recordRefusal counts a refused request. Like recordAnswer, it does nothing on a nil
// receiver, which stands for requests during the warm-up.
func (c *classResult) recordRefusal() {
	if c != nil {
		c.refusals++
	}
}

// recordAnswer counts an answered request.
func (c *classResult) recordAnswer(took time.Duration, r *policy.Result, shards int) {
	if c == nil {
		return
	}
	c.answers++
	c.queried += shards
	c.included += r.Included
	c.attempts += r.Attempts
	if r.Included == shards {
		c.complete++
	}
	_ = c.latency.RecordValue(took.Microseconds()) // deadlines are below maxLatencyMicros
}

// quantile returns the latency of the answers at quantile q, 0 to 1.
func (c *classResult) quantile(q float64) time.Duration {
	return time.Duration(c.latency.ValueAtQuantile(q*100)) * time.Microsecond
}

// coverage returns the fraction of the queried shards that the answers include.
func (c *classResult) coverage() float64 { return float64(c.included) / float64(max(c.queried, 1)) }

// extraLoad returns the number of calls beyond one per queried shard, as a fraction of
// the queried shards.
func (c *classResult) extraLoad() float64 {
	return float64(c.attempts)/float64(max(c.queried, 1)) - 1
}

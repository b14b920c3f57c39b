package replay

import (
	"fmt"
	"io"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"loomgap/tier/policy"
)

// Tally is what became of the requests of one class.
type Tally struct {
	Class    string
	Worth    int
	Answered int
	Refused  int
	Complete int
	// Asked and Included count parts, Attempts the calls made for them.
	Asked, Included, Attempts int
	latency                   *hdrhistogram.Histogram
	// Objective is when an answer counts in full, Earned the sum of what answers
	// within it earn, for routed requests.
	Objective time.Duration
	Earned    float64
}

const longestMicros = 60_000_000

func newTally(l *Load) *Tally {
	return &Tally{Class: l.Class.Name, Worth: l.Class.Worth, latency: hdrhistogram.New(1, longestMicros, 3)}
}

// refused and finished do nothing on a nil tally, during the warm-up.
func (t *Tally) refused() {
	if t != nil {
		t.Refused++
	}
}

func (t *Tally) finished(took time.Duration, r *policy.Result, shards int) {
	if t == nil {
		return
	}
	t.Answered++
	t.Asked += shards
	t.Included += r.Included
	t.Attempts += r.Attempts
	if took <= t.Objective {
		share := float64(r.Included) / float64(shards)
		t.Earned += share * share
	}
	if r.Included == shards {
		t.Complete++
	}
	_ = t.latency.RecordValue(took.Microseconds())
}

// Quantile is a latency quantile of the answers, 0 to 1.
func (t *Tally) Quantile(q float64) time.Duration {
	return time.Duration(t.latency.ValueAtQuantile(q*100)) * time.Microsecond
}

// Coverage is the share of the parts asked that the answers include.
func (t *Tally) Coverage() float64 { return float64(t.Included) / float64(max(t.Asked, 1)) }

// ExtraLoad is calls over parts asked, less 1.
func (t *Tally) ExtraLoad() float64 { return float64(t.Attempts)/float64(max(t.Asked, 1)) - 1 }

// Report is the result of a replay.
type Report struct {
	Case    string
	Seconds float64
	Classes []*Tally
	// Crash is what became of the requests, in a case with Crash.
	Crash CrashTally
}

func (w *world) report() *Report {
	return &Report{Case: w.c.Name, Seconds: (w.c.Length - w.c.Warm).Seconds(), Classes: w.tallies, Crash: w.crash}
}

// WorthPerSecond is the worth of the complete answers, for each second.
func (r *Report) WorthPerSecond() float64 {
	total := 0
	for _, t := range r.Classes {
		total += t.Worth * t.Complete
	}
	return float64(total) / r.Seconds
}

// Print writes a report as rows of a Markdown table.
func (r *Report) Print(out io.Writer) {
	for _, t := range r.Classes {
		fmt.Fprintf(out, "| %s | %s | %d | %d | %.1f | %.1f | %.1f | %.5f | %.4f | %.2f%% | %.0f |\n", r.Case, t.Class, t.Answered, t.Refused,
			ms(t.Quantile(0.5)), ms(t.Quantile(0.99)), ms(t.Quantile(0.999)), t.Coverage(),
			float64(t.Complete)/float64(max(t.Answered, 1)), 100*t.ExtraLoad(), r.WorthPerSecond())
	}
}

// Header is the head of the table that Print writes rows of.
const Header = "| Case | Class | Answered | Refused | p50 ms | p99 ms | p99.9 ms | Coverage | Complete | Extra | Worth/s |\n" +
	"| --- | --- | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: |\n"

func ms(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

package main

import (
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// writeReport writes a report in Markdown: the injected faults, the checks, the latencies
// and the violations.
func (s *soak) writeReport(w io.Writer, violations []string) {
	fmt.Fprintf(w, "# Soak, seed %d\n\n%d hosts, %d callers, %d requests, faults for %s\n\n| Injected | Times |\n| --- | ---: |\n", s.Seed, len(s.hosts), s.Callers, len(s.requests), s.FaultDuration)
	s.writeTable(w, s.injected)
	fmt.Fprintf(w, "\n| Checked | Times |\n| --- | ---: |\n")
	s.writeTable(w, s.checked)
	fmt.Fprintf(w, "\n| Kind | Answered | p50 ms | p99 ms | p99.9 ms | not 200 |\n| --- | ---: | ---: | ---: | ---: | ---: |\n")
	for _, kind := range []requestKind{kindGather, kindSafe, kindUnsafe} {
		s.writeLatencies(w, kind)
	}
	peak := int64(0)
	for _, h := range s.hosts {
		peak = max(peak, h.peakMemory)
	}
	fmt.Fprintf(w, "\nlargest resident memory of a daemon: %d MB\n", peak>>20)
	fmt.Fprintf(w, "\n%d broken\n", len(violations))
	for _, b := range violations {
		fmt.Fprintln(w, "- "+b)
	}
}

// latencyDigits is the number of significant digits of a latency.
const latencyDigits = 2

// writeLatencies writes the latencies of the requests of a kind, and how many were not
// answered with status 200.
func (s *soak) writeLatencies(w io.Writer, kind requestKind) {
	h := hdrhistogram.New(1, int64(time.Minute/time.Microsecond), latencyDigits)
	notOK := 0
	for _, a := range s.requests {
		switch {
		case a.kind != kind:
		case a.status == http.StatusOK && a.err == nil:
			_ = h.RecordValue((a.endedAt - a.sentAt).Microseconds()) // the caller's timeouts are below the maximum
		default:
			notOK++
		}
	}
	ms := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	fmt.Fprintf(w, "| %s | %d | %.1f | %.1f | %.1f | %d |\n", kind, h.TotalCount(), ms(50), ms(99), ms(99.9), notOK)
}

// writeTable writes the rows of a table of counts, sorted by name.
func (s *soak) writeTable(w io.Writer, counts map[string]int) {
	for _, n := range slices.Sorted(maps.Keys(counts)) {
		fmt.Fprintf(w, "| %s | %d |\n", n, counts[n])
	}
}

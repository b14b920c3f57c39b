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

// report writes what was injected, checked and measured.
func (s *soak) report(w io.Writer, broken []string) {
	fmt.Fprintf(w, "# Soak, seed %d\n\n%d hosts, %d callers, %d requests, faults for %s\n\n| Injected | Times |\n| --- | ---: |\n", s.Seed, len(s.hosts), s.Callers, len(s.asked), s.For)
	s.table(w, s.injected)
	fmt.Fprintf(w, "\n| Checked | Times |\n| --- | ---: |\n")
	s.table(w, s.checked)
	fmt.Fprintf(w, "\n| Kind | Answered | p50 ms | p99 ms | p99.9 ms | not 200 |\n| --- | ---: | ---: | ---: | ---: | ---: |\n")
	for _, kind := range []soakKind{kindGather, kindSafe, kindUnsafe} {
		s.reportKind(w, kind)
	}
	fmt.Fprintf(w, "\n%d broken\n", len(broken))
	for _, b := range broken {
		fmt.Fprintln(w, "- "+b)
	}
}

// latencyDigits is how many significant digits of a latency the report keeps.
const latencyDigits = 2

// reportKind writes the latencies of the requests of a kind.
func (s *soak) reportKind(w io.Writer, kind soakKind) {
	h := hdrhistogram.New(1, int64(time.Minute/time.Microsecond), latencyDigits)
	others := 0
	for _, a := range s.asked {
		switch {
		case a.kind != kind:
		case a.status == http.StatusOK && a.err == nil:
			_ = h.RecordValue((a.ended - a.at).Microseconds()) // within bounds by the caller's own
		default:
			others++
		}
	}
	ms := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	fmt.Fprintf(w, "| %s | %d | %.1f | %.1f | %.1f | %d |\n", kind, h.TotalCount(), ms(50), ms(99), ms(99.9), others)
}

func (s *soak) table(w io.Writer, counts map[string]int) {
	for _, n := range slices.Sorted(maps.Keys(counts)) {
		fmt.Fprintf(w, "| %s | %d |\n", n, counts[n])
	}
}

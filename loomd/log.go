package main

import (
	"io"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"
	"github.com/rs/zerolog/diode"
)

// logBufferLines is how many lines wait for a slow reader before the oldest are
// lost: some seconds of a busy host, about a megabyte.
const logBufferLines = 4096

// logTimeFormat is the form of times in lines: in UTC, with the milliseconds that tell
// which of two hosts was first.
const logTimeFormat = "2006-01-02T15:04:05.000Z07:00"

func init() {
	zerolog.TimeFieldFormat = logTimeFormat
	zerolog.TimestampFunc = func() time.Time { return time.Now().UTC() }
}

// newLog makes a log of JSON lines whose callers never wait for the writer:
// lines that nobody takes in time are lost and counted. The function it returns
// writes what is left.
func newLog(w io.Writer) (zerolog.Logger, func()) {
	lost := metrics.GetOrCreateCounter("loomgap_log_lines_lost_total")
	// Without an interval the writer sleeps until there is a line.
	d := diode.NewWriter(w, logBufferLines, 0, func(missed int) { lost.Add(missed) })
	return zerolog.New(d).With().Timestamp().Logger(), func() { _ = d.Close() }
}

package main

import (
	"io"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"
	"github.com/rs/zerolog/diode"
)

// logBufferLines is the number of lines that wait for a slow reader before the oldest
// are dropped. The buffer takes about a megabyte.
const logBufferLines = 4096

// logTimeFormat has milliseconds, so that lines of several hosts can be ordered.
const logTimeFormat = "2006-01-02T15:04:05.000Z07:00"

func init() {
	zerolog.TimeFieldFormat = logTimeFormat
	zerolog.TimestampFunc = func() time.Time { return time.Now().UTC() }
}

// newLog returns a logger of JSON lines that never blocks its callers: lines that the
// writer does not accept in time are dropped and counted. The returned function flushes
// the buffer.
func newLog(w io.Writer) (zerolog.Logger, func()) {
	lost := metrics.GetOrCreateCounter("loomgap_log_lines_lost_total")
	// A poll interval of 0 makes the writer wait for lines instead of polling.
	d := diode.NewWriter(w, logBufferLines, 0, func(missed int) { lost.Add(missed) })
	return zerolog.New(d).With().Timestamp().Logger(), func() { _ = d.Close() }
}

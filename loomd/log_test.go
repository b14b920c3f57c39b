package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"os"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"gotest.tools/v3/assert"
)

// TestLogDoesNotBlockOnSlowReader guards against a logger that blocks when its output is
// not read, and against dropped lines that are not counted.
func TestLogDoesNotBlockOnSlowReader(t *testing.T) {
	r, w, err := os.Pipe()
	assert.NilError(t, err)
	log, flush := newLog(w)
	const lines = 20 * logBufferLines
	for i := range lines {
		log.Info().Int("Line", i).Msg("a line")
	}
	read := make(chan int)
	go func() {
		n := 0
		for s := bufio.NewScanner(r); s.Scan(); {
			n++
		}
		read <- n
	}()
	flush()
	_ = w.Close()
	n := <-read
	assert.Assert(t, n > 0 && n < lines, "%d lines", n)
	lost := metrics.GetOrCreateCounter("loomgap_log_lines_lost_total").Get()
	assert.Equal(t, uint64(n)+lost, uint64(lines))
}

func TestLogTimesHaveMilliseconds(t *testing.T) {
	var out bytes.Buffer
	log, flush := newLog(&out)
	log.Info().Msg("x")
	flush()
	var line struct{ Time time.Time }
	assert.NilError(t, json.Unmarshal(out.Bytes(), &line))
	assert.Assert(t, bytes.Contains(out.Bytes(), []byte(line.Time.Format(logTimeFormat))), out.String())
	assert.Equal(t, line.Time.Location(), time.UTC)
}

package main

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestEndlessReplyOfHostEnds guards against a reply that does not end, which took the memory of the operator's
// machine until the timeout.
func TestEndlessReplyOfHostEnds(t *testing.T) {
	var written atomic.Int64
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		block := []byte(strings.Repeat(" ", 1<<20))
		for written.Load() < 4*maxReplyBytes {
			n, err := w.Write(block)
			written.Add(int64(n))
			if err != nil {
				return
			}
		}
	}))
	defer s.Close()
	c := connection{timeout: time.Minute}
	r, err := http.NewRequestWithContext(t.Context(), http.MethodGet, s.URL, nil)
	assert.NilError(t, err)
	resp, err := c.doer().Do(r)
	assert.NilError(t, err)
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	assert.ErrorContains(t, err, "too large")
	assert.Assert(t, written.Load() < 2*maxReplyBytes, "%d bytes", written.Load())
}

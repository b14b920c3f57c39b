package pass

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestRecordsToSend(t *testing.T) {
	tests := []struct{ top, parts, of, want int }{
		{50, 8, 25, 28},
		{50, 1, 25, 9},
		{50, 15, 90, 19},
		{50, 25, 25, 50},
		{50, 3, 0, 50},
		{5, 8, 25, 5},
	}
	for _, tt := range tests {
		assert.Equal(t, recordsToSend(tt.top, tt.parts, tt.of), tt.want, "%+v", tt)
	}
}

// TestOmittedRecordsAreFetched has half of the shards in another hall. If these have the
// greatest records, more are needed than the relay sends at first.
func TestOmittedRecordsAreFetched(t *testing.T) {
	const top = 25
	even := func(s int) string { return shardRecords(s) }
	skewed := func(s int) string {
		if s < shards/2 {
			return shardRecords(s)
		}
		return strings.ReplaceAll(shardRecords(s), ".", "z")[:10*recordBytes]
	}
	// high makes the records of the remote shards the greatest.
	high := func(s int) string {
		var b strings.Builder
		for text := skewed(s); len(text) >= recordBytes; text = text[recordBytes:] {
			if s < shards/2 {
				b.WriteString(text[:recordBytes])
				continue
			}
			b.WriteString("z" + text[1:recordBytes])
		}
		return b.String()
	}
	tests := []struct {
		name  string
		parts func(int) string
		// fetched is true if omitted records are fetched.
		fetched bool
		// fetchFails makes fetching the omitted records fail.
		fetchFails bool
		shards     int
	}{
		{"evenly spread", even, false, false, shards},
		{"all in the other hall", high, true, false, shards},
		{"all in the other hall, which is cut off then", high, true, true, shards / 2},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			w := newNetwork()
			h := newHost(t, hostConfig{name: "H1", hall: "A", peers: w})
			far := newHost(t, hostConfig{name: "Far", hall: "B", peers: w})
			w.hosts["Far"] = far
			if tt.fetchFails {
				w.failingMethods = map[string]bool{methodRecords: true}
			}
			var all []string
			for s := range shards {
				text := tt.parts(s)
				hall := "A"
				if s >= shards/2 {
					hall = "B"
				}
				h.listUpstream(fmt.Sprint("S", s), hall, newFakeUpstream(t, fmt.Sprint("U", s), good(text)), false)
				if tt.fetchFails && hall == "B" {
					continue
				}
				for ; len(text) >= recordBytes; text = text[recordBytes:] {
					all = append(all, text[:recordBytes])
				}
			}
			d := gatherDoc(0.4, top)
			h.applyDocument(d)
			far.share(h, d)
			h.addMember(far)
			r := h.send(http.MethodGet, "/find/x", "one", 1500, "")
			assert.NilError(t, r.err)
			slices.Sort(all)
			slices.Reverse(all)
			assert.Equal(t, r.body, strings.Join(all[:top], ""))
			assert.Equal(t, len(sortedStamps(r)), tt.shards)
			assert.Equal(t, w.callCount(methodRecords) > 0, tt.fetched)
			assert.Equal(t, h.engine.relay.fullRecordRoutes.enabled("Find", h.kernel.Now()), tt.fetched)
			if !tt.fetched || tt.fetchFails {
				return
			}
			// From now on, all records are sent at once.
			before := w.callCount(methodRecords)
			assert.Equal(t, h.send(http.MethodGet, "/find/x", "two", 1500, "").body, r.body)
			assert.Equal(t, w.callCount(methodRecords), before)
		})
	}
}

// TestBatchKeepsOmittedRecords fetches records that a batch has omitted, and sends invalid
// requests for records.
func TestBatchKeepsOmittedRecords(t *testing.T) {
	b := newBatch(t, 1, 0, time.Second)
	b.in.Top, b.in.TotalParts, b.unreported.merger.top = 25, 50, 25
	b.engine.relay.served.add("B", b)
	b.engine.handleRelay()
	b.endCall(callReport{Stamp: "S"}, []byte(strings.Repeat("0123456789abcdef", 25)))
	out, last := b.nextReply()
	assert.Assert(t, last)
	sent := len(out.Records) / recordBytes
	assert.Equal(t, sent, recordsToSend(25, 1, 50))
	assert.Equal(t, out.OmittedID, 1)
	for _, bad := range []string{`{`, `{"ID":"B"}`, `{"ID":"B","Cut":2}`, `{"ID":"C","Cut":1}`} {
		_, err := b.engine.kernel.Handler(methodRecords)(t.Context(), []byte(bad))
		assert.Assert(t, err != nil, bad)
	}
	rest, err := b.engine.kernel.Handler(methodRecords)(t.Context(), []byte(`{"ID":"B","Cut":1}`))
	assert.NilError(t, err)
	assert.Equal(t, len(rest.(*recordsReply).Records)/recordBytes, 25-sent)
}

package wire

import (
	"strings"
	"testing"

	"github.com/go-json-experiment/json"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"loomgap/tier/query"
)

// TestMessageFormat compares the JSON form of every message, which must stay compatible, to
// a golden file: first with all fields set, then with none.
func TestMessageFormat(t *testing.T) {
	id := Identity{RequestID: "q1", Attempt: 2, Shard: "S1", MapRevision: 3}
	info := UpstreamInfo{Oldest: 4, Newest: 5, Leaving: true}
	field := query.Field{Name: "Stock", Value: "7"}
	part := PartReply{Identity: id, UpstreamInfo: info, Snapshot: 5, Count: 6, Rows: []query.Row{{Key: "8", Fields: []query.Field{field}}}}
	messages := []any{
		&PartRequest{Identity: id, Service: "Orders", From: 1, To: 9, Snapshot: 5, DeadlineMillis: 10, Question: query.Question{
			Verb: "Ask", Where: []query.Condition{{Field: "Stock", Operator: "=", Value: "7"}}, SortBy: "Stock", Descending: true, Limit: 11,
		}},
		&PlaceRequest{Identity: id, Service: "Orders", Key: 8, DeadlineMillis: 10, Fields: []query.Field{field}},
		&part,
		&RefusalReply{Identity: id, UpstreamInfo: info, Refused: RefusalShed},
		&StatusReply{UpstreamInfo: info, InUse: 1, Slots: 2},
		&DocumentReply{Revision: 1, Text: "{}"},
		&PackedDocument{Revision: 1, Packed: []byte{1, 2, 3}},
		&LiveReply{Version: 1, Entries: []LiveEntry{{Name: "H1", State: LiveLeaving}}},
		&OrderRequest{Ticket: "H1/a/1", Statement: "place", Class: "Counter", DeadlineMillis: 10, Trace: "00-1"},
		&RelayRequest{
			Upstream: "U1", Service: "Orders", Path: PathPart, Body: "{}", Identity: id, Snapshot: 5, DeadlineMillis: 10, Trace: "00-1",
		},
		&RelayReply{Outcome: "OK", Part: part},
		&PartRequest{}, &PlaceRequest{}, &PartReply{}, &RefusalReply{}, &StatusReply{}, &DocumentReply{}, &PackedDocument{}, &LiveReply{},
		&OrderRequest{}, &RelayRequest{}, &RelayReply{},
		[]RefusalKind{RefusalShed, RefusalLate, RefusalLeaving, RefusalSnapshotGone, RefusalMoved},
		[]LiveState{LiveLive, LiveLeaving},
		[]string{PathPart, PathPlace, PathStatus, PathDocument, PathLive},
	}
	var out strings.Builder
	for _, m := range messages {
		text, err := json.Marshal(m, json.Deterministic(true))
		assert.NilError(t, err)
		out.Write(text)
		out.WriteByte('\n')
	}
	golden.Assert(t, out.String(), "messages.golden")
}

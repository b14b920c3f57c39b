package entry

import (
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"loomgap/tier/config"
	"loomgap/tier/policy"
	"loomgap/tier/wire"
)

// TestClassify guards, among others, against a reply with a status that means nothing, such as 000,
// that counts as the statement that a request did not run.
func TestClassify(t *testing.T) {
	id := wire.Identity{RequestID: "R1", Attempt: 3, Shard: "S1", MapRevision: 2}
	other := wire.Identity{RequestID: "R1", Attempt: 2, Shard: "S1", MapRevision: 2}
	body := func(v any) []byte {
		text, err := wire.Encode(v)
		assert.NilError(t, err)
		return text
	}
	part := func(i wire.Identity, snapshot uint64) []byte {
		return body(wire.PartReply{Identity: i, Snapshot: snapshot})
	}
	refusal := func(i wire.Identity, k wire.RefusalKind) []byte {
		return body(wire.RefusalReply{Identity: i, Refused: k})
	}
	lost := errors.New("connection lost")
	tests := []struct {
		name string
		in   reply
		want policy.CallOutcome
	}{
		{"whole reply", reply{status: 200, body: part(id, 7), reached: true}, policy.CallOK},
		{"earlier attempt", reply{status: 200, body: part(other, 7), reached: true}, policy.CallMalformed},
		{"another snapshot", reply{status: 200, body: part(id, 8), reached: true}, policy.CallMalformed},
		{"cut short", reply{status: 200, body: part(id, 7)[:20], reached: true}, policy.CallMalformed},
		{"unreadable", reply{status: 200, err: lost, reached: true}, policy.CallMalformed},
		{"empty", reply{status: 200, reached: true}, policy.CallMalformed},
		{"no connection", reply{err: lost}, policy.CallUnreachable},
		{"lost after connecting", reply{err: lost, reached: true}, policy.CallBroken},
		{"shed", reply{status: 503, body: refusal(id, wire.RefusalShed), reached: true}, policy.CallShed},
		{"late", reply{status: 503, body: refusal(id, wire.RefusalLate), reached: true}, policy.CallShed},
		{"leaving", reply{status: 503, body: refusal(id, wire.RefusalLeaving), reached: true}, policy.CallLeaving},
		{"snapshot gone", reply{status: 409, body: refusal(id, wire.RefusalSnapshotGone), reached: true}, policy.CallSnapshotGone},
		{"moved", reply{status: 409, body: refusal(id, wire.RefusalMoved), reached: true}, policy.CallMoved},
		{"another call's refusal", reply{status: 503, body: refusal(other, wire.RefusalShed), reached: true}, policy.CallMalformed},
		{"unknown refusal", reply{status: 503, body: refusal(id, "Tired"), reached: true}, policy.CallMalformed},
		{"refusal with status 000", reply{status: 0, body: refusal(id, wire.RefusalShed), reached: true}, policy.CallMalformed},
		{"refusal with an interim status", reply{status: 101, body: refusal(id, wire.RefusalShed), reached: true}, policy.CallMalformed},
		{"refusal with a status of success", reply{status: 202, body: refusal(id, wire.RefusalShed), reached: true}, policy.CallMalformed},
		{"refusal with another error", reply{status: 500, body: refusal(id, wire.RefusalMoved), reached: true}, policy.CallMalformed},
		{"bare status", reply{status: http.StatusBadGateway, body: []byte("bad gateway"), reached: true}, policy.CallMalformed},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			got, _ := classify(&tt.in, id, 7)
			assert.Equal(t, got, tt.want)
		})
	}
}

// TestStatusErrorIsReadable guards against an error text that formats an error which is nil.
func TestStatusErrorIsReadable(t *testing.T) {
	tests := []struct {
		name   string
		status int
		body   string
		want   string
	}{
		{"another status with a valid body", http.StatusServiceUnavailable, "{}", "status call answered with 503 Service Unavailable"},
		{"another status with an invalid body", http.StatusBadGateway, "<html>", "status call answered with 502 Bad Gateway"},
		{"invalid body", http.StatusOK, "<html>", "decode status: "},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.WriteHeader(tt.status)
				_, _ = io.WriteString(w, tt.body)
			}))
			defer server.Close()
			at := netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://"))
			c := newClient(&config.Upstream{Address: at}, 1, nil)
			defer c.close()
			_, err := c.status(t.Context())
			assert.ErrorContains(t, err, tt.want)
			assert.Assert(t, !strings.Contains(err.Error(), "%!"), "%v", err)
		})
	}
}

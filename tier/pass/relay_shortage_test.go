package pass

import (
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"loomgap/tier/config"
	"loomgap/tier/policy"
)

// TestRelayReportsLoadsWhenAsked guards against senders that do not know the queues of far
// upstreams during a shortage, and against larger messages for senders that do not ask.
func TestRelayReportsLoadsWhenAsked(t *testing.T) {
	loaded := func(u *fakeUpstream, c net.Conn, r *http.Request) bool {
		id := r.Header.Get(names.RequestID)
		return writeResponse(c, http.StatusOK, map[string]string{names.RequestID: id, names.Stamp: "stamp-" + u.name, names.Load: "2,5,3"}, shardRecords(0))
	}
	h := newHost(t, hostConfig{name: "Relay", hall: "B"})
	h.applyDocument(gatherDoc(1, 10))
	u := newFakeUpstream(t, "U0", loaded)
	h.listUpstream("S0", "B", u, false)
	for _, asked := range []bool{false, true} {
		out, err := h.engine.onBatch(t.Context(), &batchRequest{
			ID: "B", Route: "Find", RequestID: "r", Method: "GET", Head: "GET /find/x HTTP/1.1\r\nX-Id: r\r\n",
			Upstreams: []string{"U0"}, Top: 10, FirstMillis: 1000, DeadlineMillis: 2000, Loads: asked,
		})
		assert.NilError(t, err)
		c := out.(*batchReply).Ended[0]
		want := policy.Load{}
		if asked {
			want = policy.Load{Running: 2, Waiting: 5, Slots: 3}
		}
		assert.Equal(t, c.Stamp, "stamp-U0")
		assert.Equal(t, c.load(), want)
	}
}

// TestBadLoadOfRelayIsIgnored guards against reading a load that another version sends in
// another form.
func TestBadLoadOfRelayIsIgnored(t *testing.T) {
	for _, l := range [][]int{nil, {1}, {1, 2}, {1, 2, 3, 4}} {
		c := callReport{Load: l}
		assert.Equal(t, c.load(), policy.Load{})
	}
}

// TestRelayQueuesByRankOnlyIfSent guards against another order of the calls of senders that
// are older or measure no shortage.
func TestRelayQueuesByRankOnlyIfSent(t *testing.T) {
	b := &servedBatch{in: &batchRequest{Rank: 2, ObjectiveMillis: 250}, startedAt: time.Minute, deadline: time.Minute + time.Second}
	u := &policy.Upstream{}
	w := b.waiter(u)
	assert.Equal(t, w.Rank, 2)
	assert.Equal(t, w.ObjectiveAt, time.Minute+250*time.Millisecond)
	assert.Equal(t, w.Deadline, b.deadline)
	b.in = &batchRequest{}
	w = b.waiter(u)
	assert.Equal(t, w.Rank, 0)
	assert.Equal(t, w.ObjectiveAt, time.Duration(0))
	assert.Equal(t, w.Deadline, b.deadline)
}

// TestSenderSendsRankOnlyDuringShortage guards against a changed order at relays below the
// knee, and against messages without the rank during a shortage.
func TestSenderSendsRankOnlyDuringShortage(t *testing.T) {
	const ms = time.Millisecond
	h := newHost(t, hostConfig{name: "H1", hall: "A"})
	now := h.kernel.Now()
	withWaiting := func(waiting int) *gate {
		g := policy.NewGate(policy.GateConfig{Base: 1})
		demand := policy.Demand{Route: "Find", ObjectiveAt: now + 100*ms, DeadlineAt: now + time.Second}
		for range 4 {
			g.Enter(now, demand)
		}
		for range 10 {
			g.ObserveCallEnd(now, policy.CallEnd{
				Upstream: "U", Outcome: policy.CallOK, Coverage: 1, Took: 100 * ms, Load: policy.Load{Running: 2, Waiting: waiting, Slots: 2},
			})
		}
		g.Enter(now+200*ms, demand)
		return &gate{Gate: g}
	}
	tests := []struct {
		name    string
		gate    *gate
		rank    int
		ordered bool
	}{
		{"no gate", nil, 0, false},
		{"no shortage", withWaiting(0), 0, false},
		{"a shortage", withWaiting(8), 2, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := &config.Route{Name: "Find", Priority: 2, Objective: 300 * millisecond, Gather: &config.Gather{Top: 10}}
			q := &request{engine: h.engine, route: r, gate: tt.gate}
			q.times.startedAt, q.times.deadline = now, now+time.Second
			in := q.newBatchRequest(t.Context(), nil, 0)
			assert.Equal(t, in.Loads, tt.gate != nil)
			assert.Equal(t, in.Rank, tt.rank)
			assert.Equal(t, in.ObjectiveMillis > 0, tt.ordered)
			assert.Assert(t, in.ObjectiveMillis <= 300)
		})
	}
}

package pass

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"go.opentelemetry.io/otel/trace/noop"
	"gotest.tools/v3/assert"

	"loomgap/tier/kernel"
	"loomgap/tier/policy"
)

// newBatch returns a batch of calls that the test ends itself.
func newBatch(t *testing.T, calls int, due, deadline time.Duration) *servedBatch {
	k, closeKernel := kernel.New(kernel.Config{
		Log: zerolog.Nop(), Tracer: noop.NewTracerProvider().Tracer(""), Started: time.Now(),
		Fleet: policy.NewFleet(policy.FleetConfig{}),
	})
	t.Cleanup(closeKernel)
	return &servedBatch{
		engine: &engine{kernel: k}, in: &batchRequest{ID: "B"},
		firstDueAt: due, deadline: deadline, cancel: func() {}, unreported: unreported{merger: merger{top: 1}}, openCalls: calls,
		calls: map[int]*servedCall{}, finished: make(chan struct{}), changed: make(chan struct{}, 1),
	}
}

// TestBatchReplyTimes ends the calls of a batch at certain times, and checks when replies
// are due and how many calls they report.
func TestBatchReplyTimes(t *testing.T) {
	const ms = time.Millisecond
	type endCall struct {
		after  time.Duration
		failed bool
	}
	type sentReply struct {
		at    time.Duration
		calls int
	}
	tests := []struct {
		name string
		ends []endCall
		want []sentReply
	}{
		{"all in time", []endCall{{10 * ms, false}, {20 * ms, false}, {20 * ms, false}}, []sentReply{{20 * ms, 3}}},
		{"one is stuck", []endCall{{10 * ms, false}, {20 * ms, false}, {300 * ms, false}}, []sentReply{{50 * ms, 2}, {300 * ms, 1}}},
		{
			"a stuck one holds nothing back",
			[]endCall{{60 * ms, false}, {65 * ms, false}, {300 * ms, false}},
			[]sentReply{{50 * ms, 0}, {68 * ms, 2}, {300 * ms, 1}},
		},
		{
			"a failure is told at once",
			[]endCall{{1 * ms, true}, {2 * ms, true}, {20 * ms, false}},
			[]sentReply{{3 * ms, 2}, {20 * ms, 1}},
		},
		{"the deadline ends it", []endCall{{10 * ms, false}, {20 * ms, false}, {2000 * ms, false}}, []sentReply{{50 * ms, 2}, {1000 * ms, 0}}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newBatch(t, len(tt.ends), 50*ms, 1000*ms)
				for i, e := range tt.ends {
					go func() {
						time.Sleep(e.after)
						c := callReport{Index: i, Stamp: "S"}
						if e.failed {
							c = callReport{Index: i, Outcome: string(policy.CallStalled)}
						}
						b.endCall(c, nil)
					}()
				}
				var got []sentReply
				for last := false; !last; {
					var r *batchReply
					r, last = b.nextReply()
					got = append(got, sentReply{b.engine.kernel.Now(), len(r.Ended)})
				}
				assert.Assert(t, slices.Equal(got, tt.want), "%v", got)
				time.Sleep(2 * time.Second) // wait for the calls still in flight
			})
		})
	}
}

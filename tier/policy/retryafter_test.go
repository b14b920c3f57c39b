package policy

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestRetryIn(t *testing.T) {
	const now = time.Minute
	backedOff := func(d time.Duration) *Upstream { return &Upstream{backoff: backoff{until: now + d}} }
	ejected := func(d time.Duration) *Upstream { return &Upstream{ejection: ejection{until: now + d}} }
	leaving := &Upstream{leaving: true}
	tests := []struct {
		name     string
		replicas [][]*Upstream
		coverage float64
		want     time.Duration
	}{
		{"one is fit", [][]*Upstream{{backedOff(time.Second), backedOff(-time.Second)}}, 0, 0},
		{"the first that is fit again counts", [][]*Upstream{{backedOff(time.Second), ejected(300 * time.Millisecond)}}, 0, 300 * time.Millisecond},
		{"one that leaves does not count", [][]*Upstream{{leaving, backedOff(time.Second)}}, 0, time.Second},
		{"none is listed", [][]*Upstream{{}}, 0, 0},
		{"enough parts are fit now", [][]*Upstream{{backedOff(0)}, {backedOff(0)}, {backedOff(time.Second)}}, 0.6, 0},
		{"the last part that is needed counts", [][]*Upstream{{backedOff(0)}, {backedOff(time.Second)}, {backedOff(2 * time.Second)}}, 0.6, time.Second},
		{"too few parts have an upstream", [][]*Upstream{{backedOff(time.Second)}, {}, {}}, 0.6, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := NewFleet(FleetConfig{})
			assert.Equal(t, f.RetryIn(now, tt.replicas, tt.coverage), tt.want)
		})
	}
}

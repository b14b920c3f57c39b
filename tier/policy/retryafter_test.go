package policy

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestRetryIn(t *testing.T) {
	const now = time.Minute
	rests := func(d time.Duration) *Upstream { return &Upstream{backoff: backoff{until: now + d}} }
	ejected := func(d time.Duration) *Upstream { return &Upstream{ejection: ejection{until: now + d}} }
	leaving := &Upstream{leaving: true}
	tests := []struct {
		name     string
		replicas [][]*Upstream
		coverage float64
		want     time.Duration
	}{
		{"one is fit", [][]*Upstream{{rests(time.Second), rests(-time.Second)}}, 0, 0},
		{"the first that is fit again counts", [][]*Upstream{{rests(time.Second), ejected(300 * time.Millisecond)}}, 0, 300 * time.Millisecond},
		{"one that leaves does not count", [][]*Upstream{{leaving, rests(time.Second)}}, 0, time.Second},
		{"none is listed", [][]*Upstream{{}}, 0, 0},
		{"enough parts are fit now", [][]*Upstream{{rests(0)}, {rests(0)}, {rests(time.Second)}}, 0.6, 0},
		{"the last part that is needed counts", [][]*Upstream{{rests(0)}, {rests(time.Second)}, {rests(2 * time.Second)}}, 0.6, time.Second},
		{"too few parts have an upstream", [][]*Upstream{{rests(time.Second)}, {}, {}}, 0.6, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := NewFleet(FleetConfig{})
			assert.Equal(t, f.RetryIn(now, tt.replicas, tt.coverage), tt.want)
		})
	}
}

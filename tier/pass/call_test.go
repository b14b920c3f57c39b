package pass

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"loomgap/tier/policy"
)

// TestNoteKeepAlive reads how long an upstream keeps an idle connection.
func TestNoteKeepAlive(t *testing.T) {
	tests := []struct {
		header string
		want   time.Duration
	}{
		{"", idleUnknown},
		{"max=5", idleUnknown},
		{"timeout=x", idleUnknown},
		{"timeout=-1", idleUnknown},
		{"timeout=5", 5*time.Second - idleReserve},
		{"timeout= 5 , max=100", 5*time.Second - idleReserve},
		{"timeout=0", -idleReserve},
	}
	for _, tt := range tests {
		n := &conn{idleBound: idleUnknown}
		n.noteKeepAlive(http.Header{"Keep-Alive": {tt.header}})
		assert.Equal(t, n.idleBound, tt.want, tt.header)
	}
}

// TestLoadOf reads the load that an upstream reports.
func TestLoadOf(t *testing.T) {
	tests := []struct {
		text string
		want policy.Load
	}{
		{"1,2,3", policy.Load{Running: 1, Waiting: 2, Slots: 3}},
		{" 1 , 2 , 3 ", policy.Load{Running: 1, Waiting: 2, Slots: 3}},
		{"", policy.Load{}},
		{"1,2", policy.Load{}},
		{"1,-2,3", policy.Load{}},
		{"a,b,c", policy.Load{}},
	}
	for _, tt := range tests {
		assert.Equal(t, loadOf(tt.text), tt.want, tt.text)
	}
}

package pass

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"loomgap/tier/policy"
)

func TestUpdateIdleTimeout(t *testing.T) {
	tests := []struct {
		header string
		want   time.Duration
	}{
		{"", defaultIdleTimeout},
		{"max=5", defaultIdleTimeout},
		{"timeout=x", defaultIdleTimeout},
		{"timeout=-1", defaultIdleTimeout},
		{"timeout=5", 5*time.Second - idleTimeoutMargin},
		{"timeout= 5 , max=100", 5*time.Second - idleTimeoutMargin},
		{"timeout=0", -idleTimeoutMargin},
	}
	for _, tt := range tests {
		n := &conn{idleTimeout: defaultIdleTimeout}
		n.updateIdleTimeout(http.Header{"Keep-Alive": {tt.header}})
		assert.Equal(t, n.idleTimeout, tt.want, tt.header)
	}
}

func TestParseLoad(t *testing.T) {
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
		assert.Equal(t, parseLoad(tt.text), tt.want, tt.text)
	}
}

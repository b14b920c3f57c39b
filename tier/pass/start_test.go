package pass

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"loomgap/tier/config"
	"loomgap/tier/kernel"
)

// TestMarkReady checks which views make a starting host ready.
func TestMarkReady(t *testing.T) {
	index, directory := &config.Index{}, &config.Directory{}
	tests := []struct {
		name      string
		age       time.Duration
		index     *config.Index
		directory *config.Directory
		confirmed bool
		want      kernel.Phase
	}{
		{"no document", time.Minute, nil, directory, true, kernel.PhaseStarting},
		{"no upstreams", time.Minute, index, nil, true, kernel.PhaseStarting},
		{"not confirmed", time.Millisecond, index, directory, false, kernel.PhaseStarting},
		{"confirmed", time.Millisecond, index, directory, true, kernel.PhaseReady},
		{"never confirmed", confirmTimeout, index, directory, false, kernel.PhaseReady},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			h := newHost(t, hostConfig{name: "H1", hall: "A", age: tt.age})
			v := kernel.View{Directory: tt.directory}
			v.Index, v.Confirmed = tt.index, tt.confirmed
			markReady(h.kernel, &v)
			assert.Equal(t, h.kernel.Phase(), tt.want)
		})
	}
}

package peers

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
)

// TestMoreHostsWatchWhileTheHallReadsNothing counts the hosts of a hall that watch.
func TestMoreHostsWatchWhileTheHallReadsNothing(t *testing.T) {
	tests := []struct{ hosts, silentTurns, want int }{
		{1, 0, 1},
		{2, 0, 2},
		{9, 0, 2},
		{9, 1, 3},
		{9, 2, 4},
		{9, 50, 4},
		{3, 50, 3},
	}
	for _, tt := range tests {
		t.Run(fmt.Sprintf("%d hosts, %d silent turns", tt.hosts, tt.silentTurns), func(t *testing.T) {
			names := rankedHosts(tt.hosts)
			watching := 0
			for _, n := range names {
				if shouldWatch(names, n, tt.silentTurns) {
					watching++
				}
			}
			assert.Equal(t, watching, tt.want)
		})
	}
}

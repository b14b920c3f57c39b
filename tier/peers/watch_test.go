package peers

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
)

// TestMoreHostsWatchWhileTheHallReadsNothing checks the number of watchers of a hall by the
// number of missed reads.
func TestMoreHostsWatchWhileTheHallReadsNothing(t *testing.T) {
	tests := []struct{ hosts, missedReads, want int }{
		{1, 0, 1},
		{2, 0, 2},
		{9, 0, 2},
		{9, 1, 3},
		{9, 2, 4},
		{9, 50, 4},
		{3, 50, 3},
	}
	for _, tt := range tests {
		t.Run(fmt.Sprintf("%d hosts, %d silent turns", tt.hosts, tt.missedReads), func(t *testing.T) {
			names := rankedHosts(tt.hosts)
			watching := 0
			for _, n := range names {
				if shouldWatch(names, n, tt.missedReads) {
					watching++
				}
			}
			assert.Equal(t, watching, tt.want)
		})
	}
}

package pass

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestSpentIsDerivedFromStatedTimes guards against retries that pass for first attempts, and
// against first attempts that pass for retries for long after callers lowered their limit.
func TestSpentIsDerivedFromStatedTimes(t *testing.T) {
	const s, ms = time.Second, time.Millisecond
	type attempt struct {
		at            time.Duration
		route         string
		stated, spent time.Duration
	}
	tests := []struct {
		name     string
		attempts []attempt
	}{
		{"first attempt", []attempt{{s, "Find", 900 * ms, 0}}},
		{"retry", []attempt{{s, "Find", 900 * ms, 0}, {2 * s, "Find", 650 * ms, 250 * ms}, {2 * s, "Find", 900 * ms, 0}}},
		{"raised limit", []attempt{{s, "Find", 900 * ms, 0}, {2 * s, "Find", 1000 * ms, 0}, {3 * s, "Find", 900 * ms, 100 * ms}}},
		{"other route", []attempt{{s, "Find", 900 * ms, 0}, {2 * s, "Buy", 300 * ms, 0}, {3 * s, "Find", 300 * ms, 600 * ms}}},
		{"previous interval counts", []attempt{
			{s, "Find", 900 * ms, 0}, {30 * s, "Find", 300 * ms, 600 * ms}, {59 * s, "Find", 300 * ms, 600 * ms},
		}},
		{"lowered limit is forgotten", []attempt{
			{s, "Find", 900 * ms, 0}, {30 * s, "Find", 300 * ms, 600 * ms}, {60 * s, "Find", 300 * ms, 0}, {61 * s, "Find", 200 * ms, 100 * ms},
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var stated longestTimes
			for i, a := range tt.attempts {
				assert.Equal(t, stated.record(a.at, a.route, a.stated)-a.stated, a.spent, "attempt %d", i)
			}
		})
	}
}

// TestStatedTimesOfRemovedRoutesAreForgotten guards against stated times of removed routes,
// which would accumulate with each change of the document.
func TestStatedTimesOfRemovedRoutesAreForgotten(t *testing.T) {
	var stated longestTimes
	stated.record(time.Second, "Find", 900*time.Millisecond)
	stated.record(time.Second, "Gone", 900*time.Millisecond)
	stated.forget(func(route string) bool { return route == "Find" })
	assert.Equal(t, stated.record(time.Second, "Find", 400*time.Millisecond)-400*time.Millisecond, 500*time.Millisecond)
	assert.Equal(t, stated.record(time.Second, "Gone", 400*time.Millisecond)-400*time.Millisecond, time.Duration(0))
}

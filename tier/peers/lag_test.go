package peers

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"loomgap/tier/config"
	"loomgap/tier/kernel"
)

// TestLagChecksAreCheapAndQuiet guards against checks that load the platform in calm, or that take the
// ordinary way of a change from the reader to a host for a reader that lags behind.
func TestLagChecksAreCheapAndQuiet(t *testing.T) {
	const calmTime = 30 * time.Second
	for _, tt := range []struct{ hosts, halls int }{{1, 1}, {6, 1}, {9, 3}, {24, 3}, {60, 5}} {
		t.Run(fmt.Sprintf("%d hosts, %d halls", tt.hosts, tt.halls), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				random := rand.New(rand.NewPCG(1, 67))
				log := &eventLog{started: time.Now()}
				ctx, cancel := context.WithCancel(t.Context())
				f := newTestFleet(t, ctx, testFleetConfig{
					Hosts: tt.hosts, Halls: tt.halls, WatchWait: testWatchWait, Log: zerolog.New(log),
					MessageDelay: func() time.Duration { return 10 * time.Millisecond },
				})
				time.Sleep(testStartTime)
				f.resetReads()
				for end := time.Now().Add(calmTime); time.Now().Before(end); {
					f.platform.list(fmt.Sprint("U", random.IntN(20)))
					time.Sleep(time.Duration(random.IntN(1500)) * time.Millisecond)
				}
				most := min(tt.hosts, lagCheckers) * int(calmTime/time.Second) * 4 / 3
				f.mu.Lock()
				assert.Check(t, f.checks <= most, "%d checks in %s", f.checks, calmTime)
				f.mu.Unlock()
				assert.Check(t, f.hostsWithMoreReads(0) <= 1, "hosts beside the reader read the platform")
				assert.Check(t, !strings.Contains(log.String(), "lag behind"))
				cancel()
				time.Sleep(testStartTime)
			})
		})
	}
}

// TestKnownBeforeNeedsAnsweredHost guards against a platform that is lost for good once it comes back from a
// copy without an era: what is known counts only while another host is answered, or was lately.
func TestKnownBeforeNeedsAnsweredHost(t *testing.T) {
	shown := config.Position{Era: 1, Revision: 7}
	const now = time.Minute
	for _, tt := range []struct {
		name          string
		answeredUntil time.Duration
		want          config.Position
	}{
		{"never", 0, config.Position{}},
		{"now", now + time.Second, shown},
		{"lately", now - upheldTime + time.Second, shown},
		{"long ago", now - upheldTime, config.Position{}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			s := &kernel.State{ReadingState: kernel.ReadingState{
				ShownPosition: shown, OtherReaders: map[string]kernel.AnnouncerReport{"H2": {At: 1, AnsweredUntil: tt.answeredUntil}},
			}}
			assert.Equal(t, knownBefore(s, now), tt.want)
		})
	}
	assert.Assert(t, isBehind(config.Position{Era: 1, Revision: 6}, shown))
	assert.Assert(t, !isBehind(shown, shown))
	assert.Assert(t, !isBehind(config.Position{Era: 2, Revision: 1}, shown), "another era has other revisions")
}

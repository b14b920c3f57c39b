package replay

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"loomgap/tier/config"
)

// routedCase returns a case whose upstreams are busy for about a third of the time and
// pause periodically; one in six is eight times slower for a while.
func routedCase(shards, replicas, hosts int, farDelay time.Duration) routedSetup {
	const (
		service = 20 * time.Millisecond
		slots   = 2
		busy    = 0.35
	)
	c := Case{
		Seed: 1, duration: 12 * time.Second, warmup: 2 * time.Second, hosts: hosts,
		shards: shards, replicas: replicas,
		capacity: capacity{slots: slots, backlog: 12, serviceTime: service, sigma: 0.35},
		delay:    250 * time.Microsecond,
		faults:   faults{slowOneIn: 6, slowFactor: 8, slowFrom: 4 * time.Second, slowUntil: 9 * time.Second},
		loads: []load{{
			class: caseClass("Sweep", 1, 2*time.Second), shards: shards,
			rate: busy * slots * float64(replicas) / service.Seconds(),
		}},
	}
	return routedSetup{Case: c, routed: routedParams{
		route: config.Route{
			Name: "Sweep", Repeatable: true, MaxAttempts: 2,
			TimeLimit: config.Duration(2 * time.Second), Objective: config.Duration(200 * time.Millisecond),
			Gather: &config.Gather{Top: 10, Coverage: 0.5},
		},
		halls: min(3, hosts), farDelay: farDelay, ratio: 0.2, slack: 56 * float64(max(hosts/8, 1)) / 2,
		pauseDuration: 250 * time.Millisecond, pauseInterval: 6 * time.Second,
	}}
}

// TestRoutedPolicyBeatsBaselineAtAnyFleetSize requires that the default policies score higher
// than the baseline wherever a shard has several upstreams, and not lower elsewhere.
func TestRoutedPolicyBeatsBaselineAtAnyFleetSize(t *testing.T) {
	tests := []struct {
		shards, replicas, hosts int
		farDelay                time.Duration
		// minGain is the minimum gain in mean score.
		minGain float64
	}{
		{2, 1, 4, 8 * time.Millisecond, -0.001},
		{2, 4, 4, 2 * time.Millisecond, 0.08},
		{20, 2, 8, 8 * time.Millisecond, 0.08},
		{50, 3, 30, 24 * time.Millisecond, 0.08},
		{90, 3, 60, 8 * time.Millisecond, 0.08},
		{200, 2, 300, 8 * time.Millisecond, 0.08},
	}
	var cases []routedSetup
	for _, tt := range tests {
		chosen := routedCase(tt.shards, tt.replicas, tt.hosts, tt.farDelay)
		plain := chosen
		plain.routed.plain = true
		cases = append(cases, plain, chosen)
	}
	reports := runRouted(t, cases...)
	for i, tt := range tests {
		plain, chosen := reports[2*i], reports[2*i+1]
		name := fmt.Sprintf("%d shards of %d, %d hosts, %s", tt.shards, tt.replicas, tt.hosts, tt.farDelay)
		t.Logf("%s: plain %.3f, chosen %.3f, extra calls %.1f%%", name, plain.meanScore(), chosen.meanScore(), 100*chosen.classes[0].extraLoad())
		assert.Check(t, chosen.meanScore() >= plain.meanScore()+tt.minGain, name)
		assert.Check(t, chosen.classes[0].extraLoad() <= 0.25, name)
	}
}

// TestForwardingRaisesScore requires that forwarding gathers from weak to strong hosts
// raises the score. A weak host alone spends most of the objective on processing the answers.
func TestForwardingRaisesScore(t *testing.T) {
	alone := routedCase(90, 3, 60, 8*time.Millisecond)
	alone.loads[0].rate /= 4
	r := &alone.routed
	r.route.Objective = config.Duration(100 * time.Millisecond)
	r.processing = processingTimes{strongHosts: 6, strong: 120 * time.Microsecond, weak: 750 * time.Microsecond}
	forwarded := alone
	forwarded.routed.forward = true
	reports := runRouted(t, alone, forwarded)
	without, with := reports[0], reports[1]
	t.Logf("mean score alone %.3f, forwarded %.3f, extra calls %.1f%% and %.1f%%", without.meanScore(), with.meanScore(),
		100*without.classes[0].extraLoad(), 100*with.classes[0].extraLoad())
	assert.Check(t, with.meanScore() >= without.meanScore()+0.15)
	assert.Check(t, with.classes[0].extraLoad() <= 0.25)
}

// TestRetryReserveWhenMostUpstreamsShed requires that the reserve of the retry budget
// raises the score while 8 in 10 upstreams shed 6 in 10 calls, compared with hosts that
// only use the retries that their requests have earned.
func TestRetryReserveWhenMostUpstreamsShed(t *testing.T) {
	tests := []struct {
		hosts, shards, replicas int
		// rate is the number of gathers per second, slack the retry slack of a shard
		// within ten seconds.
		rate, slack float64
		// minGain is the minimum gain in mean score.
		minGain float64
	}{
		{8, 50, 2, 67, 54, 0},
		{23, 180, 3, 4, 630, 0.1},
		{36, 180, 12, 29, 640, 0.3},
		{72, 180, 12, 58, 640, 0.05},
	}
	var cases []routedSetup
	for _, tt := range tests {
		c := routedCase(tt.shards, tt.replicas, tt.hosts, 8*time.Millisecond)
		c.duration, c.warmup = 22*time.Second, 12*time.Second
		c.faults = faults{}
		c.capacity.slots, c.capacity.backlog = 3, 18
		c.loads[0].rate = tt.rate
		r := &c.routed
		r.route.Objective, r.route.Gather.Coverage = config.Duration(300*time.Millisecond), 0.95
		r.slack = tt.slack * 0.9 * 0.8
		r.shedding = sheddingFault{upstreamShare: 0.8, callShare: 0.6, from: 12 * time.Second, until: 21 * time.Second}
		withoutReserve := c
		r.window = 10 * time.Second
		cases = append(cases, withoutReserve, c)
	}
	reports := runRouted(t, cases...)
	for i, tt := range tests {
		withoutReserve, withReserve := reports[2*i], reports[2*i+1]
		name := fmt.Sprintf("%d hosts, %d shards of %d", tt.hosts, tt.shards, tt.replicas)
		t.Logf("%s: mean score %.3f without the reserve, %.3f with it; extra calls %.1f%%, %.1f%%", name, withoutReserve.meanScore(), withReserve.meanScore(),
			100*withoutReserve.classes[0].extraLoad(), 100*withReserve.classes[0].extraLoad())
		assert.Check(t, withReserve.meanScore() >= withoutReserve.meanScore()+tt.minGain, name)
	}
}

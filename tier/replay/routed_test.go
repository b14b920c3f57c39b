package replay

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"loomgap/tier/config"
)

// routedCase is a site of so many shards, upstreams of each and hosts: upstreams
// are busy for a third of the time, pause, and one in six is eight times slower for
// a while.
func routedCase(shards, replicas, hosts int, farHop time.Duration) routedSetup {
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
		halls: min(3, hosts), farDelay: farHop, ratio: 0.2, slack: 56 * float64(max(hosts/8, 1)) / 2,
		pauseFor: 250 * time.Millisecond, pauseEvery: 6 * time.Second,
	}}
}

// TestRoutedPolicyBeatsBaselineAtAnySize plays sites of 2 to 200 shards, 1 to 4 upstreams
// each, 4 to 300 hosts and other distances. Nowhere may the chosen policy earn
// less than the plain one, and where there is a choice of upstreams it must earn
// more.
func TestRoutedPolicyBeatsBaselineAtAnySize(t *testing.T) {
	tests := []struct {
		shards, replicas, hosts int
		farHop                  time.Duration
		// gain is how much more must be earned at least, of 1.
		gain float64
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
		chosen := routedCase(tt.shards, tt.replicas, tt.hosts, tt.farHop)
		plain := chosen
		plain.routed.plain = true
		cases = append(cases, plain, chosen)
	}
	reports := runRouted(t, cases...)
	for i, tt := range tests {
		plain, chosen := reports[2*i], reports[2*i+1]
		name := fmt.Sprintf("%d shards of %d, %d hosts, %s", tt.shards, tt.replicas, tt.hosts, tt.farHop)
		t.Logf("%s: plain %.3f, chosen %.3f, extra calls %.1f%%", name, plain.meanScore(), chosen.meanScore(), 100*chosen.classes[0].extraLoad())
		assert.Check(t, chosen.meanScore() >= plain.meanScore()+tt.gain, name)
		assert.Check(t, chosen.classes[0].extraLoad() <= 0.25, name)
	}
}

// TestForwardingRaisesScore plays a fleet of 60 hosts, of which six
// are strong, with 90 shards: a weak host takes 0.75 ms of its own for each
// answer, so that a gather alone takes it 68 ms, a strong one 0.12 ms. Requests
// come at random hosts, upstreams pause, are busy and a sixth of them slow.
// Forwarding must earn 0.15 more of each request than hosts that make
// all calls themselves.
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
	t.Logf("alone %.3f, forwarded %.3f, extra calls %.1f%% and %.1f%%", without.meanScore(), with.meanScore(),
		100*without.classes[0].extraLoad(), 100*with.classes[0].extraLoad())
	assert.Check(t, with.meanScore() >= without.meanScore()+0.15)
	assert.Check(t, with.classes[0].extraLoad() <= 0.25)
}

// TestRetryReserveWhenMostUpstreamsShed replays a fleet's worst load: eight in ten upstreams shed six in
// ten calls for nine seconds. Gathers are carried out by the hosts given, which divide the
// slack of the retries. What a request earns in that time is compared with hosts that make
// no retries beyond those that their requests have earned.
func TestRetryReserveWhenMostUpstreamsShed(t *testing.T) {
	tests := []struct {
		hosts, shards, replicas int
		// rate is gathers a second, slack that of a shard in ten seconds.
		rate, slack float64
		// gain is how much more must be earned at least, of 1.
		gain float64
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
		r.shedding = sheddingFault{share: 0.8, part: 0.6, from: 12 * time.Second, until: 21 * time.Second}
		saved := c
		r.window = 10 * time.Second
		cases = append(cases, saved, c)
	}
	reports := runRouted(t, cases...)
	for i, tt := range tests {
		saved, reserve := reports[2*i], reports[2*i+1]
		name := fmt.Sprintf("%d hosts, %d shards of %d", tt.hosts, tt.shards, tt.replicas)
		t.Logf("%s: %.3f earned with what was saved up, %.3f with the reserve; extra calls %.1f%%, %.1f%%", name, saved.meanScore(), reserve.meanScore(),
			100*saved.classes[0].extraLoad(), 100*reserve.classes[0].extraLoad())
		assert.Check(t, reserve.meanScore() >= saved.meanScore()+tt.gain, name)
	}
}

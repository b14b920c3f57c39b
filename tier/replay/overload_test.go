package replay

import (
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"loomgap/tier/config"
	"loomgap/tier/policy"
)

// Targets of docs/design/LOAD.md, section 2.
const (
	// minKneeShare is the share of the on-time answers at the knee that remains beyond it.
	minKneeShare = 0.9
	// minUrgentShare is the share of urgent requests that keep their objective at twice the
	// capacity.
	minUrgentShare = 0.95
	// maxShedShare is the share of calls that upstreams may shed.
	maxShedShare = 0.01
	// maxRefusalWait is the longest time to a refusal, as a share of the objective.
	maxRefusalWait = 0.1
	// minRankShare and minHallShare are the lowest rates at which a rank and a hall are
	// served, as shares of the rate of all and of the other halls.
	minRankShare, minHallShare = 0.25, 0.75
	// minSteadyShare is the share of its requests that a steady caller keeps.
	minSteadyShare = 0.9
	// minKeptShare is the share of callers who come as told and are served. The time is
	// computed from a measured throughput, which may be a tenth off.
	minKeptShare = 0.9
)

func gatherRoute(name string, rank int, rate float64, service, objective, limit time.Duration, coverage float64) overloadRoute {
	return overloadRoute{
		Route: config.Route{
			Name: name, Repeatable: true, MaxAttempts: 2, Priority: rank,
			TimeLimit: config.Duration(limit), Objective: config.Duration(objective),
			Gather: &config.Gather{Top: 10, Coverage: coverage},
		},
		rate: rate, service: service,
	}
}

// deploymentA and deploymentB return the gathers of the deployments of
// docs/design/LOAD.md, section 1.
func deploymentA() []overloadRoute {
	return []overloadRoute{
		gatherRoute("Gather1", 1, 31.7, 28*time.Millisecond, 300*time.Millisecond, 4*time.Second, 0.95),
		gatherRoute("Gather2", 2, 10.6, 9200*time.Microsecond, 120*time.Millisecond, 2*time.Second, 0.85),
	}
}

func deploymentB() []overloadRoute {
	return []overloadRoute{
		gatherRoute("Gather1", 1, 25.2, 11*time.Millisecond, 150*time.Millisecond, 800*time.Millisecond, 0.95),
		gatherRoute("Gather2", 0, 14.6, 3800*time.Microsecond, 80*time.Millisecond, 500*time.Millisecond, 0.85),
	}
}

// deployments are the deployments that a load is replayed for.
var deployments = []struct {
	name   string
	routes func() []overloadRoute
}{{"A", deploymentA}, {"B", deploymentB}}

// times returns traffic at a multiple of the normal traffic.
func times(f float64) func(int, int) float64 { return func(int, int) float64 { return f } }

// ofCapacity returns traffic at a multiple of the capacity of healthy upstreams.
func ofCapacity(f float64, routes []overloadRoute) func(int, int) float64 {
	return times(f * overloadReplicas * overloadSlots / normalDemand(routes))
}

// compareControl replays a load with control off and on.
func compareControl(t *testing.T, p overloadParams) (off, on *overloadReport) {
	t.Helper()
	without, with := p, p
	without.control, with.control = policy.OverloadNone, policy.OverloadShortage
	var both sync.WaitGroup
	both.Go(func() { off = runOverload(t, t.Name(), without) })
	both.Go(func() { on = runOverload(t, t.Name(), with) })
	both.Wait()
	t.Log(off.log(), on.log())
	return off, on
}

// forDeployments runs a test of a load for each deployment.
func forDeployments(t *testing.T, test func(*testing.T, []overloadRoute)) {
	for _, d := range deployments {
		t.Run(d.name, func(t *testing.T) {
			t.Parallel()
			test(t, d.routes())
		})
	}
}

// kneeLoads are the loads, as shares of the capacity, among which the knee is sought.
var kneeLoads = []float64{0.6, 0.7, 0.8, 0.9, 1}

// kneeOf returns the most requests that are answered on time at loads up to the capacity,
// with the upstreams and callers of a case but without control.
func kneeOf(t *testing.T, p overloadParams) int {
	t.Helper()
	onTime := make([]int, len(kneeLoads))
	var all sync.WaitGroup
	for i, f := range kneeLoads {
		all.Go(func() {
			c := p
			c.control = policy.OverloadNone
			c.traffic = times(f * p.capacity() / normalDemand(p.routes))
			onTime[i] = runOverload(t, t.Name(), c).of(ofAll).onTime
		})
	}
	all.Wait()
	t.Logf("on time without control at loads %v of the capacity: %v", kneeLoads, onTime)
	best := 0
	for _, n := range onTime {
		best = max(best, n)
	}
	return best
}

// checkKnee requires that on-time answers stay level with the knee.
func checkKnee(t *testing.T, r *overloadReport) {
	t.Helper()
	knee := kneeOf(t, *r.params)
	got := r.of(ofAll).onTime
	assert.Check(t, float64(got) >= minKneeShare*float64(knee), "%d on time, %d at the knee", got, knee)
}

// checkTargets requires what holds under any load: hardly any call is shed, refusals come
// early, and no rank starves.
func checkTargets(t *testing.T, r *overloadReport) {
	t.Helper()
	all := r.of(ofAll)
	shed := share(r.sheds, r.calls)
	assert.Check(t, shed < maxShedShare, "share of calls shed: %.4f", shed)
	wait := quantile(all.refusalShares, 0.99)
	assert.Check(t, wait <= maxRefusalWait, "refused after %.3f of the objective", wait)
	for i := range r.params.routes {
		name := r.params.routes[i].Name
		rate := r.of(name).rate()
		assert.Check(t, rate >= minRankShare*all.rate(), "%s is served at %.2f, all at %.2f", name, rate, all.rate())
	}
}

// TestTwiceTheCapacity guards against congestion collapse under lasting overload, and
// against urgent requests that miss their objective then.
func TestTwiceTheCapacity(t *testing.T) {
	forDeployments(t, func(t *testing.T, routes []overloadRoute) {
		_, on := compareControl(t, overloadParams{size: smallSize, routes: routes, traffic: ofCapacity(2, routes)})
		checkTargets(t, on)
		checkKnee(t, on)
		checkUrgent(t, on)
	})
}

// checkUrgent requires that requests of the most urgent rank keep their objective, as far as
// they fit beside the admissions that lower ranks get.
func checkUrgent(t *testing.T, r *overloadReport) {
	t.Helper()
	urgent := &r.params.routes[0]
	for i := range r.params.routes {
		if o := &r.params.routes[i]; o.Priority < urgent.Priority {
			urgent = o
		}
	}
	c := r.of(urgent.Name)
	demand := float64(c.asked) * urgent.service.Seconds() / (loadUntil - loadFrom).Seconds()
	fits := min((1-minRankShare)*r.params.capacity()/demand, 1)
	got := share(c.onTime, c.asked)
	assert.Check(t, got >= minUrgentShare*fits, "%s: %.3f on time, %.3f fit", urgent.Name, got, fits)
}

// TestSevenTimesTheCapacity guards against congestion collapse when most requests cannot be
// served.
func TestSevenTimesTheCapacity(t *testing.T) {
	forDeployments(t, func(t *testing.T, routes []overloadRoute) {
		_, on := compareControl(t, overloadParams{size: smallSize, routes: routes, traffic: ofCapacity(7, routes)})
		checkTargets(t, on)
		checkKnee(t, on)
	})
}

// TestStepOfFiveSeconds guards against a limit that outlasts the overload.
func TestStepOfFiveSeconds(t *testing.T) {
	forDeployments(t, func(t *testing.T, routes []overloadRoute) {
		_, on := compareControl(t, overloadParams{size: smallSize, routes: routes, traffic: ofCapacity(1.5, routes)})
		checkTargets(t, on)
		after := on.of(ofAfter)
		assert.Check(t, after.refused == 0 && after.failed == 0, "%+v", after)
	})
}

// TestOneRankAtEightTimes guards against a rank whose traffic displaces the others. The traffic
// of both ranks is normally half of the capacity.
func TestOneRankAtEightTimes(t *testing.T) {
	forDeployments(t, func(t *testing.T, routes []overloadRoute) {
		for i := range routes {
			t.Run(routes[i].Name, func(t *testing.T) {
				normal := ofCapacity(0.5, routes)
				_, on := compareControl(t, overloadParams{size: smallSize, routes: routes, traffic: func(route, hall int) float64 {
					if route == i {
						return 8 * normal(route, hall)
					}
					return normal(route, hall)
				}})
				checkTargets(t, on)
			})
		}
	})
}

// TestThreeInTenUpstreamsSlower guards against hosts that send calls to slow upstreams while
// others have free slots. The load is the capacity of healthy upstreams.
func TestThreeInTenUpstreamsSlower(t *testing.T) {
	forDeployments(t, func(t *testing.T, routes []overloadRoute) {
		_, on := compareControl(t, overloadParams{size: smallSize, routes: routes, traffic: ofCapacity(1, routes), slow: true})
		checkTargets(t, on)
		checkKnee(t, on)
	})
}

// TestThirdOfCallersRetryingImmediately guards against callers that get more than their share
// by retrying.
func TestThirdOfCallersRetryingImmediately(t *testing.T) {
	forDeployments(t, func(t *testing.T, routes []overloadRoute) {
		_, on := compareControl(t, overloadParams{size: smallSize, routes: routes, traffic: ofCapacity(2, routes), eagerOneIn: 3})
		checkTargets(t, on)
		checkSteady(t, on)
	})
}

// checkSteady requires that steady callers are served like the others.
func checkSteady(t *testing.T, r *overloadReport) {
	t.Helper()
	steady, all := r.of(ofSteady).rate(), r.of(ofAll).rate()
	assert.Check(t, steady >= minSteadyShare*all, "steady callers are served at %.3f, all at %.3f", steady, all)
}

// failingLoad is seven times the normal traffic of deployment A, as a multiple of the capacity
// of healthy upstreams.
const failingLoad = 1.15

// TestSevenTimesTheTrafficWithSlowUpstreamsAndRetries guards against the congestion collapse
// of docs/design/LOAD.md, section 1.
func TestSevenTimesTheTrafficWithSlowUpstreamsAndRetries(t *testing.T) {
	forDeployments(t, func(t *testing.T, routes []overloadRoute) { testFailingLoad(t, smallSize, routes) })
}

// TestSevenTimesTheTrafficAtFullSize guards against a limit that is too coarse when a host has
// a single place as its share.
func TestSevenTimesTheTrafficAtFullSize(t *testing.T) { testFailingLoad(t, fullSize, deploymentA()) }

func testFailingLoad(t *testing.T, size overloadSize, routes []overloadRoute) {
	t.Helper()
	_, on := compareControl(t, overloadParams{size: size, routes: routes, traffic: ofCapacity(failingLoad, routes), slow: true, eagerOneIn: 3})
	checkTargets(t, on)
	checkSteady(t, on)
	checkKnee(t, on)
}

// TestHallAtFiveTimes and TestHallAtTenTimes guard against a hall whose callers are refused
// while there is capacity in others. The normal traffic is a fifth of the capacity.
func TestHallAtFiveTimes(t *testing.T) { testBusyHall(t, 5) }

func TestHallAtTenTimes(t *testing.T) { testBusyHall(t, 10) }

func testBusyHall(t *testing.T, traffic float64) {
	forDeployments(t, func(t *testing.T, routes []overloadRoute) {
		normal := ofCapacity(0.2, routes)
		_, on := compareControl(t, overloadParams{size: smallSize, routes: routes, traffic: func(route, hall int) float64 {
			if hall == 0 {
				return traffic * normal(route, hall)
			}
			return normal(route, hall)
		}})
		checkTargets(t, on)
		busy, other := on.of(ofSettled+" "+hallName(0)), on.of(ofSettled+" "+hallName(1))
		assert.Check(t, busy.onTimeRate() >= minHallShare*other.onTimeRate(),
			"%.2f of the busy hall on time, %.2f of another", busy.onTimeRate(), other.onTimeRate())
	})
}

// TestCallersRetryingAsTold guards against a Retry-After at which there is no room.
func TestCallersRetryingAsTold(t *testing.T) {
	forDeployments(t, func(t *testing.T, routes []overloadRoute) {
		_, on := compareControl(t, overloadParams{size: smallSize, routes: routes, traffic: ofCapacity(1.5, routes)})
		checkTargets(t, on)
		kept := share(on.kept, on.promised)
		assert.Check(t, on.promised > 0 && kept >= minKeptShare, "%d came as told, share served: %.3f", on.promised, kept)
	})
}

// TestControlChangesNothingBelowKnee guards against decisions of the gate without a shortage.
func TestControlChangesNothingBelowKnee(t *testing.T) {
	forDeployments(t, func(t *testing.T, routes []overloadRoute) {
		for _, slow := range []bool{false, true} {
			off, on := compareControl(t, overloadParams{size: smallSize, routes: routes, traffic: times(3), slow: slow})
			assert.Equal(t, off.String(), on.String())
		}
	})
}

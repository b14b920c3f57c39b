package policy

import (
	"testing"
	"time"
)

func deploymentA() shortageConfig {
	return shortageConfig{
		hosts: 12, halls: 6, parts: 45, replicas: 3, slots: 2, queue: 12, service: 20 * time.Millisecond,
		slowShare: 0.3, slowFactor: 3, farDelay: 5 * time.Millisecond, objective: 300 * time.Millisecond, coverage: 0.95,
	}
}

func TestTrial(t *testing.T) {
	for _, o := range []time.Duration{120, 200, 300} {
		for _, l := range []float64{1, 20} {
			c := deploymentA()
			c.objective = o * time.Millisecond
			c.startLimit = l
			m := newShortageModel(t, c)
			m.measure(3*time.Second, 4*time.Second)
			t.Log(o, l, m.report(4*time.Second))
		}
	}
}

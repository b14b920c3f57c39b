package pass

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"loomgap/tier/policy"
)

// MethodConditions tells the hosts of a hall which of its upstreams do worse than
// others, or answer nobody for the moment.
const MethodConditions = "Conditions"

// Times of conditions told within a hall.
const (
	// conditionsEvery is how often a host looks whether it has something to tell:
	// a fraction of the time for which upstreams pause.
	conditionsEvery = 40 * time.Millisecond
	// conditionsAgain is how often it tells what has not changed.
	conditionsAgain = time.Second
	// conditionsBound is how long telling one host may take.
	conditionsBound = 500 * time.Millisecond
)

// Conditions are what a host that makes calls for others tells its hall.
type Conditions struct {
	Host string
	// Worse are the upstreams that do worse than others, Stalled those that
	// answer nobody for the moment; the rest do well.
	Worse   []policy.Condition `json:",omitempty"`
	Stalled []string           `json:",omitempty"`
}

// key tells whether two conditions are worth a message: how slow or faulty an
// upstream is to the digit is not.
func (c *Conditions) key() string {
	var b strings.Builder
	for _, w := range c.Worse {
		b.WriteString(w.Upstream)
	}
	b.WriteByte('/')
	for _, s := range c.Stalled {
		b.WriteString(s)
	}
	return b.String()
}

// told is what this host told its hall last.
type told struct {
	mu       sync.Mutex
	lookedAt time.Duration
	key      string
	at       time.Duration
}

// due tells whether it is time to look, and notes it.
func (t *told) due(now time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if now-t.lookedAt < conditionsEvery {
		return false
	}
	t.lookedAt = now
	return true
}

// changed tells whether conditions are to be told, and notes that they are.
func (t *told) changed(now time.Duration, key string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	nothing := len(key) == 1
	if key == t.key && (nothing || now-t.at < conditionsAgain) {
		return false
	}
	t.key, t.at = key, now
	return true
}

// tellConditions tells the hall what this host knows of its upstreams, if it is
// time and something changed. A host that makes calls for others sees most calls
// to them; the others of the hall see few and would learn late.
func (e *Engine) tellConditions() {
	k := e.kernel
	now := k.Now()
	if !e.told.due(now) {
		return
	}
	c := Conditions{Host: k.Settings.Host, Worse: k.Fleet.Conditions(now), Stalled: k.Fleet.StalledNear(now)}
	slices.SortFunc(c.Worse, func(a, b policy.Condition) int { return strings.Compare(a.Upstream, b.Upstream) })
	if !e.told.changed(now, c.key()) {
		return
	}
	for n, m := range k.View().Members {
		if m.Live && !m.Leaving && m.Hall == k.Settings.Hall {
			go e.sendConditions(n, &c)
		}
	}
}

func (e *Engine) sendConditions(host string, c *Conditions) {
	ctx, cancel := context.WithTimeout(context.Background(), conditionsBound)
	defer cancel()
	if err := e.kernel.Peers.Notify(ctx, host, MethodConditions, c); err != nil {
		e.kernel.Log.Debug().Err(err).Str("Peer", host).Msg("conditions not told")
	}
}

// onConditions takes in what another host of the hall tells.
func (e *Engine) onConditions(_ context.Context, params json.RawMessage) (any, error) {
	var c Conditions
	if err := json.Unmarshal(params, &c); err != nil {
		return nil, fmt.Errorf("bad conditions: %w", err)
	}
	k := e.kernel
	k.Fleet.TakeConditions(k.Now(), k.Settings.Hall, c.Worse)
	k.Fleet.TakeStalled(k.Now(), c.Host, c.Stalled)
	return struct{}{}, nil
}

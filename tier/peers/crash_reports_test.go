package peers

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"go.opentelemetry.io/otel/trace/noop"
	"gotest.tools/v3/assert"

	"loomgap/tier/kernel"
	"loomgap/tier/policy"
)

// strikeNet joins hosts in memory; each message takes strikeHop.
type crashReportNetwork struct {
	mu           sync.Mutex
	kernels      map[string]*kernel.Kernel
	disconnected map[string]bool
	messages     int
	bytes        int
}

const messageDelay = 8 * time.Millisecond

var _ kernel.PeerCaller = (*crashReportNetwork)(nil)

// Call implements kernel.PeerCaller.
func (n *crashReportNetwork) Call(ctx context.Context, host, method string, params, result any) error {
	in, err := json.Marshal(params)
	if err != nil {
		return err
	}
	n.mu.Lock()
	n.messages++
	n.bytes += len(in)
	to, disconnected := n.kernels[host], n.disconnected[host]
	n.mu.Unlock()
	if to == nil || disconnected {
		return ErrNoPeer
	}
	time.Sleep(messageDelay)
	out, err := to.Handler(method)(ctx, in)
	if err != nil {
		return err
	}
	text, err := json.Marshal(out)
	if err != nil {
		return err
	}
	return json.Unmarshal(text, result)
}

// Notify implements kernel.PeerCaller.
func (n *crashReportNetwork) Notify(ctx context.Context, host, method string, params any) error {
	var none any
	return n.Call(ctx, host, method, params, &none)
}

// Connect implements kernel.PeerCaller.
func (n *crashReportNetwork) Connect(context.Context, string) error { return nil }

func (n *crashReportNetwork) sent() (messages, bytes int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.messages, n.bytes
}

// cutOff has a host neither reach others nor be reached, or ends that.
func (n *crashReportNetwork) disconnect(host string, disconnected bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.disconnected[host] = disconnected
}

// newStrikeNet makes hosts of three halls that know each other.
func newCrashReportNetwork(t *testing.T, hosts int) *crashReportNetwork {
	n := &crashReportNetwork{kernels: map[string]*kernel.Kernel{}, disconnected: map[string]bool{}}
	// Messages on their way end before the test does.
	t.Cleanup(func() { time.Sleep(time.Second) })
	members := map[string]kernel.Member{}
	for i := range hosts {
		name := fmt.Sprint("H", i)
		members[name] = kernel.Member{Host: name, Hall: fmt.Sprint("Hall", i%3), Live: true, Peer: netip.MustParseAddrPort("192.0.2.1:1")}
	}
	for i := range hosts {
		n.add(t, i, members)
	}
	return n
}

// add starts host i, which knows some members.
func (n *crashReportNetwork) add(t *testing.T, i int, members map[string]kernel.Member) *kernel.Kernel {
	name := fmt.Sprint("H", i)
	k, stop := kernel.New(kernel.Config{
		Settings: kernel.Settings{Host: name, Hall: fmt.Sprint("Hall", i%3)}, Log: zerolog.Nop(),
		Tracer: noop.NewTracerProvider().Tracer(""), Started: time.Now(),
		Fleet: policy.NewFleet(policy.FleetConfig{Random: rand.New(rand.NewPCG(uint64(i), 1))}),
	})
	k.Peers = n
	stopCrashReports := ServeCrashReports(k)
	t.Cleanup(func() {
		stopCrashReports()
		stop()
	})
	k.Do(func(s *kernel.State) {
		for h, m := range members {
			if h != name {
				s.Members[h] = m
			}
		}
		s.Changed()
	})
	n.mu.Lock()
	defer n.mu.Unlock()
	n.kernels[name] = k
	return k
}

// suspected counts the hosts that suspect or refuse a request.
func (n *crashReportNetwork) suspected(f policy.Fingerprint) int {
	count := 0
	for _, k := range n.kernels {
		if k.Fleet.WorstVerdict(k.Now(), f) != policy.VerdictClean {
			count++
		}
	}
	return count
}

// seeStrike has a host see a strike, as if told of it by itself.
func addCrash(k *kernel.Kernel, f policy.Fingerprint, id uint64) {
	k.Fleet.MergeReports(k.Now(), []policy.SuspectReport{{Fingerprint: f, Crashes: []policy.CrashReport{{
		ID: id, Attempt: id, Upstream: "U", Remaining: time.Hour,
	}}}})
}

// TestStrikesReachAllHosts has one host see a strike: all know of it within 100 ms, for
// some 12 messages of each host, whatever the size of the fleet.
func TestStrikesReachAllHosts(t *testing.T) {
	for _, hosts := range slices.Compact([]int{2, 7, 60, maxFleetHosts}) {
		t.Run(fmt.Sprint(hosts), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n := newCrashReportNetwork(t, hosts)
				time.Sleep(2500 * time.Millisecond)
				before, _ := n.sent()
				addCrash(n.kernels["H0"], "F", 1)
				time.Sleep(100 * time.Millisecond)
				messages, bytes := n.sent()
				assert.Assert(t, n.suspected("F") >= hosts-hosts/50, "%d of %d know", n.suspected("F"), hosts)
				assert.Assert(t, messages-before <= maxReportTargets*hosts, "%d messages", messages-before)
				t.Logf("%d hosts: %d know after 100 ms, %d messages, %d bytes", hosts, n.suspected("F"), messages-before, bytes)
				time.Sleep(3 * time.Second)
				assert.Equal(t, n.suspected("F"), hosts)
			})
		})
	}
}

// TestManyStrikesCostBoundedBytes has 300 hosts see 3,000 strikes of other requests
// (60 and 600 with the race detector) within a second, as when all upstreams end: what each sends stays below 100 KB a
// second.
func TestManyStrikesCostBoundedBytes(t *testing.T) {
	const hosts = maxFleetHosts
	synctest.Test(t, func(t *testing.T) {
		n := newCrashReportNetwork(t, hosts)
		time.Sleep(2500 * time.Millisecond)
		_, before := n.sent()
		id := uint64(0)
		for range 100 {
			for i := range hosts / 10 {
				id++
				addCrash(n.kernels[fmt.Sprint("H", (int(id)*7+i)%hosts)], policy.Fingerprint(fmt.Sprintf("%016d", id)), id)
			}
			time.Sleep(10 * time.Millisecond)
		}
		messages, bytes := n.sent()
		each := (bytes - before) / hosts
		t.Logf("%d messages, %d bytes a second of each host", messages, each)
		assert.Assert(t, each < 100<<10, "%d bytes a second of each host", each)
	})
}

// TestHostThatWasAwayLearnsOfStrikes has a host be cut off, and another start, while a
// strike is told of: both know of it three seconds after they are back.
func TestHostThatWasAwayLearnsOfStrikes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newCrashReportNetwork(t, 7)
		n.disconnect("H3", true)
		addCrash(n.kernels["H0"], "F", 1)
		time.Sleep(time.Second)
		away := n.kernels["H3"]
		assert.Equal(t, away.Fleet.WorstVerdict(away.Now(), "F"), policy.VerdictClean)
		n.disconnect("H3", false)
		started := n.add(t, 7, n.kernels["H0"].View().Members)
		time.Sleep(3 * time.Second)
		for _, k := range []*kernel.Kernel{away, started} {
			assert.Equal(t, k.Fleet.WorstVerdict(k.Now(), "F"), policy.VerdictSuspected, k.Settings.Host)
		}
	})
}

// TestBadStrikesAreRefused has another host tell what cannot be strikes: nothing of it
// is taken.
func TestBadStrikesAreRefused(t *testing.T) {
	report := `{"Fingerprint":"F","Strikes":[{"ID":1,"Attempt":1,"Upstream":"U","Left":1000000000}]}`
	many := func(n int, item string) string {
		return strings.TrimSuffix(strings.Repeat(item+",", n), ",")
	}
	tests := []struct {
		name, text string
		good       bool
	}{
		{"good", `{"Reports":[` + report + `]}`, true},
		{"none", `{}`, true},
		{"no object", `[]`, false},
		{"cut off", `{"Reports":[`, false},
		{"no fingerprint", `{"Reports":[{"Strikes":[]}]}`, false},
		{"a long fingerprint", `{"Reports":[{"Fingerprint":"` + strings.Repeat("F", maxFingerprintBytes+1) + `"}]}`, false},
		{"too many requests", `{"Reports":[` + many(policy.MaxReports+1, report) + `]}`, false},
		{"too many strikes", `{"Reports":[{"Fingerprint":"F","Strikes":[` + many(maxCrashesPerRequest+1, `{"ID":1,"Left":1000}`) + `]}]}`, false},
		{"a caller that is none", `{"Reports":[{"Fingerprint":"F","Strikes":[{"ID":1,"Caller":"nobody"}]}]}`, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				k := newCrashReportNetwork(t, 1).kernels["H0"]
				_, err := k.Handler(methodExchangeCrashReports)(t.Context(), json.RawMessage(tt.text))
				if tt.good {
					assert.NilError(t, err)
					return
				}
				assert.ErrorIs(t, err, errInvalidCrashReports)
				assert.Equal(t, k.Fleet.WorstVerdict(k.Now(), "F"), policy.VerdictClean)
			})
		})
	}
}

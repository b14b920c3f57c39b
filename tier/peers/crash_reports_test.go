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

// crashReportNetwork connects hosts in memory; each message takes messageDelay.
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

// disconnect cuts a host off from all others, or connects it again.
func (n *crashReportNetwork) disconnect(host string, disconnected bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.disconnected[host] = disconnected
}

// newCrashReportNetwork returns a network of hosts in three halls that know each other.
func newCrashReportNetwork(t *testing.T, hosts int) *crashReportNetwork {
	n := &crashReportNetwork{kernels: map[string]*kernel.Kernel{}, disconnected: map[string]bool{}}
	// Let messages in flight arrive before the test ends.
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

// addCrash makes a host record a crash.
func addCrash(k *kernel.Kernel, f policy.Fingerprint, id uint64) {
	k.Fleet.MergeReports(k.Now(), []policy.SuspectReport{{Fingerprint: f, Crashes: []policy.CrashReport{{
		ID: id, Attempt: id, Upstream: "U", Remaining: time.Hour,
	}}}})
}

// TestCrashReportsReachAllHosts checks that a crash report reaches nearly all hosts within
// 100 ms and all within seconds, with a bounded number of messages per host.
func TestCrashReportsReachAllHosts(t *testing.T) {
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

// TestManyCrashReportsUseBoundedTraffic checks that each host sends less than 100 KiB per second
// while many upstreams crash.
func TestManyCrashReportsUseBoundedTraffic(t *testing.T) {
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

// TestDisconnectedHostLearnsOfCrashReports checks that a host that was disconnected and one that
// has just started learn of earlier crashes within three seconds.
func TestDisconnectedHostLearnsOfCrashReports(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newCrashReportNetwork(t, 7)
		n.disconnect("H3", true)
		addCrash(n.kernels["H0"], "F", 1)
		time.Sleep(time.Second)
		disconnected := n.kernels["H3"]
		assert.Equal(t, disconnected.Fleet.WorstVerdict(disconnected.Now(), "F"), policy.VerdictClean)
		n.disconnect("H3", false)
		started := n.add(t, 7, n.kernels["H0"].View().Members)
		time.Sleep(3 * time.Second)
		for _, k := range []*kernel.Kernel{disconnected, started} {
			assert.Equal(t, k.Fleet.WorstVerdict(k.Now(), "F"), policy.VerdictSuspected, k.Settings.Host)
		}
	})
}

// TestInvalidCrashReportsAreRejected checks that an invalid message is rejected as a whole.
func TestInvalidCrashReportsAreRejected(t *testing.T) {
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
		{"too many requests", `{"Reports":[` + many(policy.MaxSuspectReports+1, report) + `]}`, false},
		{"too many strikes", `{"Reports":[{"Fingerprint":"F","Strikes":[` + many(maxCrashReportsPerRequest+1, `{"ID":1,"Left":1000}`) + `]}]}`, false},
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

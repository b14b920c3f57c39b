package peers

import (
	"context"
	"encoding/json"
	"fmt"
	"net/netip"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"loomgap/tier/config"
	"loomgap/tier/kernel"
	"loomgap/tier/policy"
)

// fleetOf are hosts in virtual time that read one platform and announce to one
// another; a message takes a millisecond.
type testFleet struct {
	platform *fakePlatform
	kernels  map[string]*kernel.Kernel

	mu sync.Mutex
	// refused are the hosts that the platform turns away.
	refused map[string]bool
}

// Call implements kernel.PeerCaller.
func (f *testFleet) Call(ctx context.Context, host, method string, params, _ any) error {
	time.Sleep(time.Millisecond)
	text, err := json.Marshal(params)
	if err != nil {
		return err
	}
	_, err = f.kernels[host].Handler(method)(ctx, text)
	return err
}

// Notify implements kernel.PeerCaller.
func (f *testFleet) Notify(ctx context.Context, host, method string, params any) error {
	return f.Call(ctx, host, method, params, nil)
}

// Connect implements kernel.PeerCaller.
func (f *testFleet) Connect(context.Context, string) error { return nil }

// refuse has the platform turn a host away, or serve it again.
func (f *testFleet) refuse(host string, refused bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.refused[host] = refused
}

// sourceOf is the platform as one host reads it.
type hostSource struct {
	fleet *testFleet
	host  string
}

func (s *hostSource) err() error {
	s.fleet.mu.Lock()
	defer s.fleet.mu.Unlock()
	if s.fleet.refused[s.host] {
		return errUnavailable
	}
	return nil
}

// Read implements kernel.Source.
func (s *hostSource) Read(ctx context.Context, exact bool) (*kernel.Published, error) {
	if err := s.err(); err != nil {
		return nil, err
	}
	return s.fleet.platform.Read(ctx, exact)
}

// Watch implements kernel.Source; a watch under way when the host is turned away
// ends in vain.
func (s *hostSource) Watch(ctx context.Context, after config.Position, wait time.Duration) (*kernel.Published, error) {
	if err := s.err(); err != nil {
		return nil, err
	}
	out, err := s.fleet.platform.Watch(ctx, after, wait)
	if refused := s.err(); refused != nil {
		return nil, refused
	}
	return out, err
}

// newFleetOf starts hosts of two halls that know one another.
func newTestFleet(t *testing.T, ctx context.Context, hosts int) *testFleet {
	f := &testFleet{platform: newFakePlatform(), kernels: map[string]*kernel.Kernel{}, refused: map[string]bool{}}
	f.platform.list("U0")
	members := map[string]kernel.Member{}
	at := netip.MustParseAddrPort("127.0.0.1:1")
	for i := range hosts {
		s := kernel.Settings{Host: fmt.Sprint("H", i), Hall: string(rune('A' + i%2)), Peer: at, WatchWait: time.Second, Adapter: "Test"}
		k, stop := kernel.New(kernel.Config{Settings: s, Log: zerolog.Nop(), Started: time.Now(), Fleet: policy.NewFleet(policy.FleetConfig{})})
		t.Cleanup(stop)
		k.Peers = f
		f.kernels[s.Host] = k
		members[s.Host] = kernel.Member{Host: s.Host, Hall: s.Hall, Peer: at, Live: true, Capacity: s.Capacity()}
	}
	for host, k := range f.kernels {
		// What is announced is enough: nothing is fetched.
		kernel.HandleMessage(k, methodAnnounce, "announcement", newServerWithoutFetches(k).onAnnouncement)
		k.Do(func(s *kernel.State) {
			for n, m := range members {
				if n != host {
					s.Members[n] = m
				}
			}
		})
		r := &feed{kernel: k, source: &hostSource{fleet: f, host: host}, announcer: &announcer{kernel: k}}
		k.OnView(r.announcer.onView)
		go r.loop(ctx)
		go r.announcer.loop(ctx)
	}
	return f
}

// reader is the host that reads the platform for all; empty for none or several.
func (f *testFleet) reader() string {
	found := ""
	for n, k := range f.kernels {
		if k.View().Reading {
			if found != "" {
				return ""
			}
			found = n
		}
	}
	return found
}

// knownBy reports whether all hosts list an upstream.
func (f *testFleet) knownBy(name string) bool {
	for _, k := range f.kernels {
		if !slices.Contains(listedNames(k), name) {
			return false
		}
	}
	return true
}

// TestNewsArriveWhileTheReaderIsTurnedAway has the platform turn the reader away
// for 20 s and publish something each second: all hosts know each within 2.2 s, the
// time to notice a reader that hears nothing, once. Where a host that is turned
// away is taken for the reader again by what it hears from others, the gaps recur.
func TestChangesArriveWhileTheReaderIsRefused(t *testing.T) {
	const (
		bound = 2200 * time.Millisecond
		look  = 50 * time.Millisecond
	)
	for _, hosts := range []int{4, 16} {
		t.Run(fmt.Sprint(hosts), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				f := newTestFleet(t, ctx, hosts)
				time.Sleep(5 * time.Second)
				first := f.reader()
				assert.Assert(t, first != "", "not one reader")
				f.refuse(first, true)
				late := 0
				for i := range 20 {
					name := fmt.Sprint("U", i+1)
					f.platform.list(name)
					took := time.Duration(0)
					for ; !f.knownBy(name) && took < 10*time.Second; took += look {
						time.Sleep(look)
					}
					if took > 2*announceInterval {
						late++
					}
					assert.Check(t, took <= bound, "%s after %s", name, took)
					time.Sleep(max(time.Second-took, 0))
				}
				assert.Check(t, late <= 3, "%d of 20 came late", late)
				cancel()
				time.Sleep(5 * time.Second)
			})
		})
	}
}

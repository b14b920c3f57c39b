package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"loomgap/platform"
	"loomgap/platform/mock"
	"loomgap/tier/kernel"
)

// regressionSeeds are seeds that have revealed a bug, with its cause.
var regressionSeeds = []struct {
	seed  uint64
	cause string
}{
	{4, "a fault on a host that was down already waited for the daemon started since, and never ended"},
	{10, "as seed 4"},
	{311, "the check took two requests that were under way at once for one after the other, just as a version came in force; later, two faults that ended together published the older version last"},
	{40, "two hosts of the soak were given one port, which was free when each was asked for"},
}

// TestSoak runs short soaks with fixed seeds, including all regression seeds.
func TestSoak(t *testing.T) {
	seeds := []uint64{20261202, 7}
	for _, f := range regressionSeeds {
		seeds = append(seeds, f.seed)
	}
	for _, seed := range seeds {
		t.Run(fmt.Sprint("Seed", seed), func(t *testing.T) { runSoak(t, seed, false) })
	}
	t.Run("Evacuation", func(t *testing.T) { runSoak(t, 24, true) })
}

// TestSoakMemory guards against endless bytes of upstreams, in a head or a body, that take a daemon above its
// memory: real daemons without the race detector, which takes several times the memory.
func TestSoakMemory(t *testing.T) {
	c := soakConfigOf(t, 55, false)
	c.Daemon, c.ChecksMemory = filepath.Join(programs, plainDaemon), true
	runSoakOf(t, c)
}

func runSoak(t *testing.T, seed uint64, evacuate bool) { runSoakOf(t, soakConfigOf(t, seed, evacuate)) }

func soakConfigOf(t *testing.T, seed uint64, evacuate bool) soakConfig {
	return soakConfig{
		Seed: seed, FaultDuration: 4 * time.Second, Daemon: filepath.Join(programs, "loomd"), Hosts: 2, Callers: 6, Shards: 4, Dir: t.TempDir(),
		Evacuate: evacuate,
	}
}

func runSoakOf(t *testing.T, c soakConfig) {
	seed := c.Seed
	s, cleanUp, err := newSoak(c)
	assert.NilError(t, err)
	err = s.run(t.Context())
	cleanUp()
	violations := s.check()
	if err != nil || len(violations) > 0 {
		for _, h := range s.hosts {
			t.Logf("%s:\n%s", h.name, controlLines(t, h.logPath))
		}
		t.Fatalf("seed %d: %v\n%s", seed, err, strings.Join(violations, "\n"))
	}
	assert.Assert(t, len(s.requests) > 0)
}

// TestClosedSoakLeavesNoDaemons checks that closing a soak waits for its daemons to end.
// Otherwise the daemons of the next soak in the process could not bind the same addresses.
func TestClosedSoakLeavesNoDaemons(t *testing.T) {
	s, cleanUp, err := newSoak(soakConfig{Seed: 1, Daemon: filepath.Join(programs, "loomd"), Hosts: 2, Shards: 2, Dir: t.TempDir()})
	assert.NilError(t, err)
	assert.NilError(t, s.waitReady(t.Context()))
	cleanUp()
	for _, h := range s.hosts {
		select {
		case <-h.ended:
		default:
			t.Errorf("daemon of %s is still running", h.name)
		}
	}
}

// TestVersionsArePublishedInOrder checks that concurrent faults publish their
// configurations in order: the store ends up with the newest one, which has all routes.
func TestVersionsArePublishedInOrder(t *testing.T) {
	const concurrent = 8
	for range 50 {
		s := finishedSoak()
		s.store, s.versions, s.routeCount = mock.NewStore(), nil, 0
		server := httptest.NewServer(s.store)
		var all sync.WaitGroup
		for range concurrent {
			all.Go(func() { s.must(s.publish()) })
		}
		all.Wait()
		source, closeSource := platform.Open(kernel.SourceConfig{Address: netip.MustParseAddrPort(server.Listener.Addr().String())})
		p, err := source.Read(t.Context(), true)
		closeSource()
		server.Close()
		assert.NilError(t, err)
		assert.Equal(t, len(p.Document.Document.Routes), 3+concurrent)
		for i, v := range s.versions {
			assert.Equal(t, v.routeCount, i+1)
		}
	}
}

// controlMessages are the log messages about how a daemon follows the platform.
var controlMessages = []string{
	"daemon started", "daemon stopping", "platform reader role changed", "platform became unavailable", "platform became available again",
	"history no longer available", "document", "directory", "process was paused", "connection to peer is unresponsive",
}

// controlLines returns the lines of a daemon's log that contain controlMessages. A failed
// soak prints them, since the log itself is removed after the test.
func controlLines(t *testing.T, file string) string {
	text, err := os.ReadFile(file)
	assert.NilError(t, err)
	lines := slices.DeleteFunc(strings.Split(string(text), "\n"), func(l string) bool {
		return !slices.ContainsFunc(controlMessages, func(m string) bool { return strings.Contains(l, m) })
	})
	return strings.Join(lines, "\n")
}

// finishedSoak returns a soak as after a run without requests, with two shards per gather.
func finishedSoak() *soak {
	s := &soak{soakConfig: soakConfig{Shards: 2}, soakHistory: soakHistory{checked: map[string]int{}, injected: map[string]int{}}}
	s.shardSets = [][]string{{"set0-a", "set0-b"}, {"set1-a", "set1-b"}}
	s.versions = []publishedVersion{{0, 1}, {0, 2}}
	s.hosts = []*soakHost{{}}
	for _, g := range []string{"set0-a", "set0-b", "set1-a", "set1-b", "single"} {
		for _, n := range []string{"1", "2", "3"} {
			s.upstreams = append(s.upstreams, &soakUpstream{Upstream: mock.Upstream{Name: g + n, Body: strings.Repeat(g+n, 16)[:32]}, group: g})
		}
	}
	return s
}

func (s *soak) upstreamNamed(name string) *soakUpstream {
	for _, u := range s.upstreams {
		if u.Name == name {
			return u
		}
	}
	return nil
}

func (s *soak) addArrival(name, id string, at time.Duration) {
	u := s.upstreamNamed(name)
	u.arrivals = append(u.arrivals, arrival{at: at, id: id, ran: true})
}

// gatherAnswer returns a gather with the correct answer from the named upstreams.
func (s *soak) gatherAnswer(id string, missing string, names ...string) soakRequest {
	a := soakRequest{id: id, kind: "gather", status: http.StatusOK, header: http.Header{}}
	var stamps, records []string
	for _, n := range names {
		u := s.upstreamNamed(n)
		stamps = append(stamps, u.Stamp(id))
		records = append(records, u.Body[:16], u.Body[16:])
	}
	for i := range records {
		for j := range records {
			if records[i] > records[j] {
				records[i], records[j] = records[j], records[i]
			}
		}
	}
	a.body = []byte(strings.Join(records, ""))
	a.header.Set(platform.Headers.Parts, strings.Join(stamps, ", "))
	a.header.Set(platform.Headers.Missing, missing)
	return a
}

// TestEachCheckDetectsViolation checks that the violation of each guarantee is reported.
func TestEachCheckDetectsViolation(t *testing.T) {
	second := time.Second
	tests := []struct {
		guarantee string
		violate   func(s *soak)
	}{
		{"", func(*soak) {}},
		{"at most once", func(s *soak) {
			s.addArrival("single1", "x", 0)
			s.addArrival("single2", "x", 0)
			s.requests = append(s.requests, soakRequest{id: "x", kind: "unsafe", status: 502})
		}},
		{"a refusal is true", func(s *soak) {
			s.addArrival("single1", "x", 0)
			s.requests = append(s.requests, soakRequest{id: "x", kind: "unsafe", status: 503})
		}},
		{"a refusal is true", func(s *soak) {
			s.addArrival("set0-a1", "x", 0)
			s.requests = append(s.requests, soakRequest{id: "x", kind: "gather", status: 503})
		}},
		{"attempts", func(s *soak) {
			for _, n := range []string{"single1", "single2", "single3"} {
				s.addArrival(n, "x", 0)
			}
			s.requests = append(s.requests, soakRequest{id: "x", kind: "safe", status: 502})
		}},
		{"own whole answer", func(s *soak) { s.requests[0].body = s.requests[0].body[:16] }},
		{"own whole answer", func(s *soak) { s.requests[0].id = "another" }},
		{"own whole answer", func(s *soak) {
			h := s.requests[0].header
			h.Set(platform.Headers.Parts, h.Get(platform.Headers.Parts)+", "+s.upstreamNamed("set0-a1").Stamp("g"))
		}},
		{"one set of shards", func(s *soak) {
			s.addArrival("set1-b1", "m", 0)
			s.addArrival("set0-a1", "m", 0)
			s.requests = append(s.requests, s.gatherAnswer("m", "0", "set0-a1", "set1-b1"))
		}},
		{"true coverage", func(s *soak) { s.requests[0].header.Set(platform.Headers.Missing, "1") }},
		{"least coverage", func(s *soak) {
			s.addArrival("set0-a1", "m", 0)
			s.requests = append(s.requests, s.gatherAnswer("m", "1", "set0-a1"))
		}},
		{"no way back", func(s *soak) {
			s.addArrival("single1", "x", 0)
			a := soakRequest{id: "x", kind: "safe", status: 200, route: 2, header: http.Header{}, body: []byte(s.upstreamNamed("single1").Body)}
			a.header.Set(platform.Headers.Stamp, s.upstreamNamed("single1").Stamp("x"))
			s.requests = append(s.requests, a, soakRequest{id: "y", kind: "safe", status: 404, route: 2, sentAt: second})
		}},
		{"in force everywhere", func(s *soak) {
			s.requests = append(s.requests, soakRequest{id: "y", kind: "safe", status: 404, route: 1, sentAt: 20 * second})
		}},
		{"leaving upstreams", func(s *soak) {
			s.upstreamNamed("single1").leavingAt = second
			s.addArrival("single1", "x", 30*second)
		}},
		{"evacuated halls", func(s *soak) {
			s.evacuatedAt = second
			u := s.upstreamNamed("single1")
			u.hall = halls[0]
			s.addArrival("single1", "x", 10*second)
		}},
		{"repeats", func(s *soak) {
			for i := range 60 {
				id := string(rune('A' + i))
				s.addArrival("single1", id, second)
				s.addArrival("single2", id, second)
			}
		}},
		{"a planned stop cuts nothing", func(s *soak) {
			s.hosts[0].stopTimes = []time.Duration{9 * second}
			s.addArrival("single1", "x", 10*second)
			s.requests = append(s.requests, soakRequest{id: "x", kind: "safe", err: errors.New("cut"), sentAt: 10 * second, endedAt: 11 * second})
		}},
		{"memory", func(s *soak) {
			s.ChecksMemory = true
			s.hosts[0].peakMemory = soakMemoryMB<<20 + 1
		}},
		{"recovery", func(s *soak) {
			s.requests = append(s.requests, soakRequest{id: "z", kind: "safe", status: 502, sentAt: 40 * second, endedAt: 41 * second})
		}},
	}
	for _, tt := range tests {
		s := finishedSoak()
		s.addArrival("set0-a1", "g", 0)
		s.addArrival("set0-b1", "g", 0)
		s.requests = append(s.requests, s.gatherAnswer("g", "0", "set0-a1", "set0-b1"))
		tt.violate(s)
		violations := s.check()
		if tt.guarantee == "" {
			assert.Equal(t, len(violations), 0, "%v", violations)
			continue
		}
		found := false
		for _, b := range violations {
			found = found || strings.HasPrefix(b, tt.guarantee+":")
		}
		assert.Assert(t, found, "%s: %v", tt.guarantee, violations)
		s.writeReport(io.Discard, violations)
	}
}

// TestUpstreamSlotsQueueAndShed guards against an overload without effect: an upstream must run
// no more requests than it has slots, shed those beyond its queue and report both.
func TestUpstreamSlotsQueueAndShed(t *testing.T) {
	l := newUpstreamSlots()
	end, started := make(chan struct{}), make(chan struct{}, soakSlots+soakQueue)
	var all sync.WaitGroup
	for range soakSlots + soakQueue {
		assert.Assert(t, l.reserve())
		all.Go(func() { l.run(t.Context(), func() { started <- struct{}{}; <-end }) })
	}
	for range soakSlots {
		<-started
	}
	assert.Assert(t, !l.reserve())
	assert.Equal(t, l.load(), "4,12,4")
	assert.Equal(t, len(started), 0)
	close(end)
	all.Wait()
	assert.Equal(t, l.load(), "0,0,4")
	assert.Assert(t, l.reserve())
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	for range soakSlots {
		<-l.free
	}
	l.run(ctx, func() { t.Error("a request whose caller left runs") })
	assert.Equal(t, l.load(), "0,0,4")
}

// TestConcurrentRequestsAreNotCompared checks that checkVersions reports a refused request
// only if it was sent after a served one had ended: a host may apply a version while both
// are in flight.
func TestConcurrentRequestsAreNotCompared(t *testing.T) {
	const second = time.Second
	tests := []struct {
		name                      string
		served, refused, answered time.Duration
		violations                int
	}{
		{"at once", 2 * second, 3 * second, 4 * second, 0},
		{"one after the other", 2 * second, 5 * second, 4 * second, 1},
		{"the other way round", 6 * second, 5 * second, 7 * second, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := &soak{hosts: []*soakHost{{}}, soakHistory: soakHistory{versions: make([]publishedVersion, 2), checked: map[string]int{}}}
			s.requests = []soakRequest{
				{status: http.StatusOK, route: 2, sentAt: tt.served, endedAt: tt.answered},
				{status: http.StatusNotFound, route: 2, sentAt: tt.refused, endedAt: tt.refused + second/2},
			}
			c := &checker{soak: s}
			c.checkVersions()
			assert.Equal(t, len(c.violations), tt.violations, "%v", c.violations)
		})
	}
}

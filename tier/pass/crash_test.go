package pass

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"loomgap/tier/config"
	"loomgap/tier/kernel"
)

// Upstreams of all shards ended together, within a second, again and again: one
// request crashed whatever ran it, and it kept coming back at other hosts under a new
// ID. A gather sent it to an upstream of each shard at once and tried each call that
// broke at the other replica, so that one attempt of its caller took 38 to 40 of 40
// upstreams; nothing of it was remembered, so that its repeats took them again as soon
// as they were back. Of 60 gathers a second none were served for up to ten seconds,
// and under the worst request 154 upstreams ended. The logs had 20 to 32 calls for
// each attempt, as for any other request, and 39 calls in 120 ms ended like this:
//
//	"Call":1,"Outcome":"Broken","TookMillis":16,"message":"call ended"

// Times and counts of these tests.
const (
	// crashRepeats is how often the request comes, each crashGap once.
	crashAttempts = 16
	crashInterval = 100 * time.Millisecond
	// crashDown is how long an upstream is away, less than a gap.
	crashDowntime = 30 * time.Millisecond
	// crashLate is how long some requests run until their upstreams end: longer than
	// until a call is hedged.
	lateCrashDelay = 60 * time.Millisecond
	// crashReaching is how many of the attempts may reach upstreams: those that
	// show what the request does, and some that were on their way meanwhile.
	maxReachingAttempts = 6
)

// crashable is a stand-in that crashes when it runs a marked request, and is back at
// the same address after crashDown. A request marked as late runs for crashLate before,
// whatever becomes of its call.
func crashOnMarked(s int) replyFunc {
	return func(u *fakeUpstream, c net.Conn, r *http.Request) bool {
		if !strings.Contains(r.RequestURI, "crash") {
			return good(shardRecords(s))(u, c, r)
		}
		if strings.Contains(r.RequestURI, "late") {
			time.Sleep(lateCrashDelay)
		}
		u.crash(crashDowntime)
		return false
	}
}

// crash ends the upstream, with its connections, and starts it again in a while.
func (u *fakeUpstream) crash(down time.Duration) {
	u.mu.Lock()
	old := u.listener
	u.mu.Unlock()
	_ = old.Close()
	u.resetConns()
	time.AfterFunc(down, func() {
		l, err := net.Listen("tcp", old.Addr().String())
		if err != nil {
			return // it crashed again before, and is back already
		}
		u.mu.Lock()
		u.listener = l
		u.mu.Unlock()
		u.t.Cleanup(func() { _ = l.Close() })
		u.serve(l)
	})
}

// crashSite is hosts that callers ask in turn, and the upstreams behind them.
type crashSetup struct {
	hosts     []*host
	upstreams [][]*fakeUpstream
}

// reached reports whether an attempt reached any upstream.
func (s *crashSetup) reached(id string) bool {
	for _, us := range s.upstreams {
		for _, u := range us {
			if u.seen(id) > 0 {
				return true
			}
		}
	}
	return false
}

// crashDoc has a gather of all shards and a route to one of them.
func crashDoc() config.Document {
	d := gatherDoc(0.8, 15)
	d.Routes = append(d.Routes, config.Route{
		Name: "Look", HostName: "shop.example", Prefix: "/look/", Repeatable: true, MaxAttempts: 2,
		TimeLimit: 2000 * millisecond, Objective: 200 * millisecond, Group: "S0",
	})
	return d
}

func crashReply(s, _ int) replyFunc { return crashOnMarked(s) }

// share gives a host the directory of another and the document.
func (h *host) share(from *host, d config.Document) {
	whole := from.kernel.View().Directory.Whole()
	h.do(func(s *kernel.State) { s.ApplyDirectoryChange(&whole) })
	h.applyDocument(d)
}

// alikeSite has three hosts of the upstreams' hall.
func sameHallSetup(t *testing.T) *crashSetup {
	w, s := newNetwork(), &crashSetup{}
	for i := range 3 {
		n := fmt.Sprint("H", i)
		h := newHost(t, hostConfig{name: n, hall: "A", peers: w})
		w.hosts[n] = h
		s.hosts = append(s.hosts, h)
	}
	s.upstreams = newShardUpstreams(t, s.hosts[0], [2]string{"A", "A"}, crashReply)
	s.hosts[0].applyDocument(crashDoc())
	for _, h := range s.hosts[1:] {
		h.share(s.hosts[0], crashDoc())
	}
	for _, h := range s.hosts {
		for _, o := range s.hosts {
			if o != h {
				h.addMember(o)
			}
		}
	}
	return s
}

// relayedSite has the upstreams in another hall, called by a host there.
func relayedSetup(t *testing.T) *crashSetup {
	w := newNetwork()
	h := newHost(t, hostConfig{name: "Near", hall: "A", peers: w})
	relay := newHost(t, hostConfig{name: "Relay", hall: "B", peers: w})
	w.hosts["Near"], w.hosts["Relay"] = h, relay
	us := newShardUpstreams(t, h, [2]string{"B", "B"}, crashReply)
	h.applyDocument(crashDoc())
	relay.share(h, crashDoc())
	h.addMember(relay)
	relay.addMember(h)
	return &crashSetup{hosts: []*host{h}, upstreams: us}
}

// forwardedSite has a weak host hand its gathers over to a strong one.
func forwardedSetup(t *testing.T) *crashSetup {
	f := newForwardSetup(t, crashReply)
	f.network.hosts["Weak"] = f.weak
	f.weak.applyDocument(crashDoc())
	f.strong.applyDocument(crashDoc())
	f.strong.addMember(f.weak)
	return &crashSetup{hosts: []*host{f.weak}, upstreams: f.upstreams}
}

// TestCrashingRequestIsContained has a request that crashes its upstreams come again
// and again, at each host in turn: a few attempts show what it does, the others reach
// no upstream and are refused, and other requests are served.
func TestCrashingRequestIsContained(t *testing.T) {
	tests := []struct {
		name, path string
		setup      func(t *testing.T) *crashSetup
	}{
		{"gather", "/find/", sameHallSetup},
		{"gather, late", "/find/late/", sameHallSetup},
		{"one upstream", "/look/", sameHallSetup},
		{"one upstream, late", "/look/late/", sameHallSetup},
		{"gather through a relay", "/find/", relayedSetup},
		{"gather at a coordinator", "/find/", forwardedSetup},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := tt.setup(t)
			var last result
			reached := 0
			for i := range crashAttempts {
				id := fmt.Sprint("crash-", i)
				last = s.hosts[i%len(s.hosts)].send(http.MethodGet, tt.path+"crash", id, 2000, "")
				assert.NilError(t, last.err)
				if s.reached(id) {
					reached++
				}
				time.Sleep(crashInterval)
			}
			assert.Assert(t, reached <= maxReachingAttempts, "%d of %d attempts reached upstreams", reached, crashAttempts)
			assert.Equal(t, last.status, http.StatusServiceUnavailable)
			assert.Assert(t, last.header.Get("Retry-After") != "")
			for i, h := range s.hosts {
				eventually(t, "another request is served", func() bool {
					return h.send(http.MethodGet, tt.path+"sound", fmt.Sprint("sound-", i), 2000, "").status == http.StatusOK
				})
			}
		})
	}
}

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

// The tests of this file guard against a request that crashes every upstream that runs it.
// Hedges, retries and repeated attempts at other hosts would spread it to all upstreams.

const (
	// The request is sent crashAttempts times, once every crashInterval.
	crashAttempts = 16
	crashInterval = 100 * time.Millisecond
	// crashDowntime is how long a crashed upstream is down; shorter than crashInterval.
	crashDowntime = 30 * time.Millisecond
	// lateCrashDelay is how long some requests run before they crash the upstream; longer
	// than the time until a call is hedged.
	lateCrashDelay = 60 * time.Millisecond
	// maxReachingAttempts limits the attempts that reach upstreams: those needed to detect
	// the crashes, and some already in flight.
	maxReachingAttempts = 6
)

// crashOnMarked returns a reply that crashes the upstream on a marked request and restarts
// it at the same address after crashDowntime. A request marked as late runs for
// lateCrashDelay first, even if its call is cancelled.
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

// crash closes the upstream and its connections, and restarts it after the given time.
func (u *fakeUpstream) crash(down time.Duration) {
	u.mu.Lock()
	old := u.listener
	u.mu.Unlock()
	_ = old.Close()
	u.resetConns()
	time.AfterFunc(down, func() {
		l, err := net.Listen("tcp", old.Addr().String())
		if err != nil {
			return // it has crashed again and was restarted already
		}
		u.mu.Lock()
		u.listener = l
		u.mu.Unlock()
		u.t.Cleanup(func() { _ = l.Close() })
		u.serve(l)
	})
}

// crashSetup has hosts that are called in turn, and the upstreams behind them.
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

// crashDoc returns a document with a gather of all shards and a route to one of them.
func crashDoc() config.Document {
	d := gatherDoc(0.8, 15)
	d.Routes = append(d.Routes, config.Route{
		Name: "Look", HostName: "shop.example", Prefix: "/look/", Repeatable: true, MaxAttempts: 2,
		TimeLimit: 2000 * millisecond, Objective: 200 * millisecond, Group: "S0",
	})
	return d
}

func crashReply(s, _ int) replyFunc { return crashOnMarked(s) }

// share gives the host the directory of another host, and a document.
func (h *host) share(from *host, d config.Document) {
	whole := from.kernel.View().Directory.Whole()
	h.do(func(s *kernel.State) { s.ApplyDirectoryChange(&whole) })
	h.applyDocument(d)
}

// sameHallSetup has three hosts in the hall of the upstreams.
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

// relayedSetup has the upstreams in another hall, called through a relay there.
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

// forwardedSetup has a weak host that forwards its gathers to a strong one.
func forwardedSetup(t *testing.T) *crashSetup {
	f := newForwardSetup(t, crashReply)
	f.network.hosts["Weak"] = f.weak
	f.weak.applyDocument(crashDoc())
	f.strong.applyDocument(crashDoc())
	f.strong.addMember(f.weak)
	return &crashSetup{hosts: []*host{f.weak}, upstreams: f.upstreams}
}

// TestCrashingRequestIsContained repeats a crashing request at each host in turn: only a
// few attempts may reach upstreams, the others are refused, and other requests are served.
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

package entry

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/go-json-experiment/json"

	"loomgap/tier/kernel"
	"loomgap/tier/policy"
	"loomgap/tier/wire"
)

// Times and limits of the status reader.
const (
	// statusInterval is the time between two rounds, and the age of what is known of an
	// upstream after which its status is read.
	statusInterval = time.Second
	// statusTimeout is the longest time for one status call.
	statusTimeout = 500 * time.Millisecond
	// statusConcurrency is how many status calls are made at once.
	statusConcurrency = 16
	// statusPerRound is how many upstreams one round reads, so that the cost of a round
	// does not grow with the fleet.
	statusPerRound = 50
	// startInterval is the time between two rounds while the host starts, when it can't
	// serve until it knows the snapshots.
	startInterval = 100 * time.Millisecond
	// startHeartbeats is how many heartbeat intervals a starting host waits for a peer to
	// confirm its configuration before it serves without.
	startHeartbeats = 10
)

// statusReader reads the status endpoints of upstreams. What they report is a hint:
// it brings the snapshots held and signs of leaving, and is never taken as evidence
// that an upstream is healthy.
type statusReader struct{ *engine }

func (r *statusReader) loop(ctx context.Context) {
	for ctx.Err() == nil {
		known := r.round(ctx)
		r.kernel.Do(r.markLeaving)
		if known > 0 {
			r.markReady()
		}
		pause := statusInterval
		if r.kernel.Phase() == kernel.PhaseStarting {
			pause = startInterval
		}
		kernel.Sleep(ctx, pause)
	}
}

// markLeaving passes the upstreams that said they leave to the control state. It
// runs on the control thread.
func (r *statusReader) markLeaving(s *kernel.State) {
	now := r.kernel.Now()
	for _, u := range r.kernel.Fleet.Leaving() {
		if _, known := s.Leaving[u]; !known {
			s.MarkLeaving(u, now)
		}
	}
}

// markReady makes the host ready once it has a document that is no older than a
// peer's, and has read the status of each upstream. If no peer answers in time, the
// host serves with the document that it has.
func (r *statusReader) markReady() {
	v := r.kernel.View()
	if v.Index == nil || r.kernel.Phase() != kernel.PhaseStarting {
		return
	}
	serveUnconfirmed := len(v.Index.Document.Hosts) < 2 || r.kernel.Now() > startHeartbeats*r.kernel.Settings.Beat
	if !v.Confirmed && !serveUnconfirmed {
		return
	}
	r.kernel.SetPhase(kernel.PhaseReady)
	r.kernel.Log.Info().Bool("Confirmed", v.Confirmed).Msg("host ready")
}

// round reads the upstreams that no call has reported on lately, and returns how
// many upstreams there are. While the host starts it reads all, later a few a
// round: an upstream that is called reports with each reply.
func (r *statusReader) round(ctx context.Context) int {
	endpoints := *r.endpoints.Load()
	now, limit := r.kernel.Now(), statusPerRound
	if r.kernel.Phase() == kernel.PhaseStarting {
		limit = len(endpoints)
	}
	slots := make(chan struct{}, statusConcurrency)
	var all sync.WaitGroup
	for _, name := range r.kernel.Fleet.SilentSince(now-statusInterval, limit) {
		p := endpoints[name]
		if p == nil {
			continue
		}
		r.kernel.Fleet.NoteStatusRead(now, name)
		slots <- struct{}{}
		all.Go(func() {
			defer func() { <-slots }()
			r.read(ctx, name, p)
		})
	}
	all.Wait()
	return len(endpoints)
}

func (r *statusReader) read(ctx context.Context, name string, p *endpoint) {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	status, err := p.client.status(ctx)
	if err != nil {
		r.kernel.Log.Debug().Err(err).Str("Upstream", name).Msg("status not read")
		return
	}
	now := r.kernel.Now()
	if u := r.kernel.Fleet.Find(name); u != nil {
		window := policy.Window{Oldest: status.Oldest, Newest: status.Newest, Known: status.Newest > 0}
		r.kernel.Fleet.NoteStatus(now, u, window, status.Leaving)
	}
	if r.kernel.View().Leaving[name] {
		r.kernel.Do(func(s *kernel.State) { r.updateLeaving(s, name, now, status.Leaving) })
	}
}

// updateLeaving takes in what a leaving upstream reports: that it still leaves, or
// after the hold that it is back. If it is not, its first refusal marks it as leaving
// again. It runs on the control thread.
func (r *statusReader) updateLeaving(s *kernel.State, name string, now time.Duration, leaving bool) {
	if leaving {
		s.MarkLeaving(name, now)
		return
	}
	if at, known := s.Leaving[name]; known && now-at > r.kernel.Settings.LeavingHold {
		s.MarkReturned(name, now)
	}
}

func (c *client) status(ctx context.Context) (*wire.StatusReply, error) {
	r := c.do(ctx, wire.PathStatus, http.Header{"Content-Type": {"application/json"}}, []byte("{}"))
	if r.err != nil {
		return nil, r.err
	}
	var s wire.StatusReply
	if err := json.Unmarshal(r.body, &s); err != nil || r.status != http.StatusOK {
		return nil, fmt.Errorf("status %d: %w", r.status, err)
	}
	return &s, nil
}

package entry

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/go-json-experiment/json"

	"loomgap/tier/kernel"
	"loomgap/tier/policy"
	"loomgap/tier/wire"
)

// Intervals and limits of the status reader.
const (
	// statusInterval is the time between two rounds, and the time without a report of an
	// upstream after which its status is read.
	statusInterval = time.Second
	// statusTimeout limits one status call.
	statusTimeout = 500 * time.Millisecond
	// statusConcurrency limits the concurrent status calls.
	statusConcurrency = 16
	// statusPerRound limits the upstreams that one round reads, so that the cost of a
	// round does not grow with the fleet.
	statusPerRound = 50
	// startStatusInterval is the time between two rounds while the host starts. It is short,
	// because the host cannot serve until it knows the snapshots.
	startStatusInterval = 100 * time.Millisecond
	// confirmIntervals is the number of heartbeat intervals that a starting host waits for
	// a peer to confirm its configuration before it serves without confirmation.
	confirmIntervals = 10
)

// errStatusCall is wrapped when an upstream answers a status call with another status than 200.
var errStatusCall = errors.New("status call answered with")

// statusReader polls the status endpoints of upstreams. It learns which snapshots they hold
// and whether they are leaving. A status is only a hint and never counts as evidence that an
// upstream is healthy.
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
			pause = startStatusInterval
		}
		kernel.Sleep(ctx, pause)
	}
}

// markLeaving records in the control state the upstreams that reported that they are
// leaving. It runs on the control thread.
func (r *statusReader) markLeaving(s *kernel.State) {
	now := r.kernel.Now()
	for _, u := range r.kernel.Fleet.Leaving() {
		if _, known := s.Leaving[u]; !known {
			s.MarkLeaving(u, now)
		}
	}
}

// markReady makes a starting host ready once its document is confirmed to be the newest. If
// no peer confirms it in time, or the document has no other host, the host serves without
// confirmation. It is called after a round, so the snapshots of the upstreams are known.
func (r *statusReader) markReady() {
	v := r.kernel.View()
	if v.Index == nil || r.kernel.Phase() != kernel.PhaseStarting {
		return
	}
	serveUnconfirmed := len(v.Index.Document.Hosts) < 2 || r.kernel.Now() > confirmIntervals*r.kernel.Settings.Beat
	if !v.Confirmed && !serveUnconfirmed {
		return
	}
	r.kernel.SetPhase(kernel.PhaseReady)
	r.kernel.Log.Info().Bool("Confirmed", v.Confirmed).Msg("host ready")
}

// round reads the status of upstreams without a recent report, and returns the number of
// known upstreams. It reads all of them while the host starts and a limited number later,
// since an upstream that is called reports its state with each reply.
func (r *statusReader) round(ctx context.Context) int {
	endpoints := *r.endpoints.Load()
	now, limit := r.kernel.Now(), statusPerRound
	if r.kernel.Phase() == kernel.PhaseStarting {
		limit = len(endpoints)
	}
	slots := make(chan struct{}, statusConcurrency)
	var all sync.WaitGroup
	for _, name := range r.kernel.Fleet.NotReportedSince(now-statusInterval, limit) {
		p := endpoints[name]
		if p == nil {
			continue
		}
		r.kernel.Fleet.RecordStatusRead(now, name)
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
		r.kernel.Log.Debug().Err(err).Str("Upstream", name).Msg("failed to read upstream status")
		return
	}
	now := r.kernel.Now()
	if u := r.kernel.Fleet.Find(name); u != nil {
		window := policy.SnapshotRange{Oldest: status.Oldest, Newest: status.Newest, Known: status.Newest > 0}
		r.kernel.Fleet.RecordStatus(now, u, window, status.Leaving)
	}
	if r.kernel.View().Leaving[name] {
		r.kernel.Do(func(s *kernel.State) { r.updateLeaving(s, name, now, status.Leaving) })
	}
}

// updateLeaving applies the status of an upstream marked as leaving: it extends the mark, or
// removes it once LeavingHold has passed. If the upstream is leaving after all, its next
// refusal marks it again. It runs on the control thread.
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
	r := c.do(ctx, wire.PathStatus, http.Header{"Content-Type": {"application/json"}}, []byte("{}"), maxStatusBytes)
	defer r.release()
	if r.err != nil {
		return nil, r.err
	}
	if r.status != http.StatusOK {
		return nil, fmt.Errorf("%w %d %s", errStatusCall, r.status, http.StatusText(r.status))
	}
	var s wire.StatusReply
	if err := json.Unmarshal(r.body, &s); err != nil {
		return nil, fmt.Errorf("decode status: %w", err)
	}
	return &s, nil
}

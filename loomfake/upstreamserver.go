package main

import (
	"math"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"loomgap/tier/config"
	"loomgap/tier/wire"
)

// upstreamFaults are the faults and the state of a stand-in upstream, which POST /Fake
// changes. Shares are probabilities from 0 to 1.
type upstreamFaults struct {
	// Service is the median service time.
	Service config.Duration
	// StraggleShare of the calls take StraggleFactor times as long.
	StraggleShare, StraggleFactor float64
	// DropShare of the calls run, but their connection is closed without a reply.
	DropShare float64
	// CrossShare of the replies carry the identity and the count of another call.
	CrossShare float64
	// WrongSnapshotShare of the parts come from the snapshot after the requested one, and
	// state that snapshot.
	WrongSnapshotShare float64
	// GarbageShare of the replies are malformed JSON.
	GarbageShare float64
	// CutShare of the replies are truncated.
	CutShare float64
	// EndlessShare of the replies never end.
	EndlessShare float64
	// FloodShare of the replies never end either, and are sent as fast as the host reads them.
	FloodShare float64
	// ShedShare of the calls are refused without running.
	ShedShare float64
	// Draining refuses new calls and reports the upstream as leaving in every reply.
	Draining bool
	// LieHealth makes the status endpoint report an upstream that is idle and not
	// leaving.
	LieHealth bool
	// Oldest and Newest are the range of snapshots held.
	Oldest, Newest uint64
	// MapRevision is the revision of the shard map served.
	MapRevision uint64
}

// upstreamConfig are the fixed settings of a stand-in upstream.
type upstreamConfig struct {
	// slots limits the calls that run at once, connections the open connections.
	slots, connections int
	// keySpace is the number of keys.
	keySpace uint
	// seed seeds the service times and the faults.
	seed uint64
}

// serviceSigma is the standard deviation of the logarithm of the service times.
const serviceSigma = 0.5

// upstream is a stand-in for an upstream that speaks the protocol of package wire.
type upstream struct {
	config upstreamConfig
	// slots holds an element for each running call.
	slots chan struct{}
	// waiting counts the calls that wait for a slot.
	waiting atomic.Int64

	// mu guards the fields below.
	mu     sync.Mutex
	faults upstreamFaults
	random *rand.Rand
	// runs counts how often each order ran, by request ID.
	runs map[string]int
	// arrived counts all calls, including refused ones.
	arrived int
}

func newUpstream(c upstreamConfig, f upstreamFaults) *upstream {
	return &upstream{
		config: c, slots: make(chan struct{}, c.slots), faults: f,
		random: rand.New(rand.NewPCG(c.seed, 0)), runs: map[string]int{},
	}
}

func (u *upstream) handler() http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("POST "+wire.PathPart, jsonHandler(u.onPart))
	m.HandleFunc("POST "+wire.PathPlace, jsonHandler(u.onPlace))
	m.HandleFunc("POST "+wire.PathStatus, u.onStatus)
	m.HandleFunc("POST /Fake", u.onFake)
	m.HandleFunc("GET /Runs", u.onRuns)
	return m
}

// chance returns true with the probability of a share. All calls draw from one seeded
// source.
func (u *upstream) chance(share float64) bool {
	if share <= 0 {
		return false
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.random.Float64() < share
}

func (u *upstream) currentFaults() upstreamFaults {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.faults
}

func (f *upstreamFaults) upstreamInfo() wire.UpstreamInfo {
	return wire.UpstreamInfo{Oldest: f.Oldest, Newest: f.Newest, Leaving: f.Draining}
}

func (u *upstream) serviceTime(f *upstreamFaults) time.Duration {
	u.mu.Lock()
	defer u.mu.Unlock()
	factor := math.Exp(serviceSigma * u.random.NormFloat64())
	if f.StraggleShare > 0 && u.random.Float64() < f.StraggleShare {
		factor *= f.StraggleFactor
	}
	return time.Duration(factor * float64(f.Service))
}

// refuse replies that a call did not run and for which reason.
func refuse(w http.ResponseWriter, f *upstreamFaults, id wire.Identity, kind wire.RefusalKind) {
	code := http.StatusServiceUnavailable
	if kind == wire.RefusalMoved || kind == wire.RefusalSnapshotGone {
		code = http.StatusConflict
	}
	writeJSON(w, code, wire.RefusalReply{Identity: id, UpstreamInfo: f.upstreamInfo(), Refused: kind})
}

// acquireSlot waits for a slot until the deadline, or refuses the call. If it returns true
// the call may run, and the caller must release the slot.
func (u *upstream) acquireSlot(w http.ResponseWriter, r *http.Request, f *upstreamFaults, id wire.Identity, deadline time.Time) bool {
	u.mu.Lock()
	u.arrived++
	u.mu.Unlock()
	switch {
	case f.Draining:
		refuse(w, f, id, wire.RefusalLeaving)
		return false
	case u.chance(f.ShedShare):
		refuse(w, f, id, wire.RefusalShed)
		return false
	case u.waiting.Add(1) > int64(backlog+u.config.slots):
		u.waiting.Add(-1)
		refuse(w, f, id, wire.RefusalShed)
		return false
	case id.MapRevision != f.MapRevision:
		u.waiting.Add(-1)
		refuse(w, f, id, wire.RefusalMoved)
		return false
	}
	defer u.waiting.Add(-1)
	timer := time.NewTimer(time.Until(deadline))
	defer timer.Stop()
	select {
	case u.slots <- struct{}{}:
		return true
	case <-timer.C:
		refuse(w, f, id, wire.RefusalLate)
	case <-r.Context().Done():
	}
	return false
}

func (u *upstream) onPart(w http.ResponseWriter, r *http.Request, in *wire.PartRequest) {
	u.serve(w, r, &upstreamCall{identity: in.Identity, deadlineMillis: in.DeadlineMillis, snapshot: in.Snapshot}, func(f *upstreamFaults, out *wire.PartReply) {
		if u.chance(f.WrongSnapshotShare) {
			out.Snapshot++
		}
		out.Count, out.Rows = answerQuestion(&in.Question, in.From, in.To, uint32(u.config.keySpace), out.Snapshot)
	})
}

func (u *upstream) onPlace(w http.ResponseWriter, r *http.Request, in *wire.PlaceRequest) {
	u.serve(w, r, &upstreamCall{identity: in.Identity, deadlineMillis: in.DeadlineMillis, orderID: in.RequestID}, func(_ *upstreamFaults, out *wire.PartReply) {
		out.Count = 1
	})
}

// upstreamCall is a call to a stand-in upstream.
type upstreamCall struct {
	identity       wire.Identity
	deadlineMillis int64
	// snapshot is the requested snapshot; 0 means the newest.
	snapshot uint64
	// orderID is the request ID of a call that is not repeatable, and empty otherwise.
	orderID string
}

// serve runs a call in a slot for its service time, lets fill complete the reply, and
// sends it.
func (u *upstream) serve(w http.ResponseWriter, r *http.Request, c *upstreamCall, fill func(*upstreamFaults, *wire.PartReply)) {
	f := u.currentFaults()
	if !u.acquireSlot(w, r, &f, c.identity, time.Now().Add(time.Duration(c.deadlineMillis)*time.Millisecond)) {
		return
	}
	defer func() { <-u.slots }()
	if c.snapshot == 0 {
		c.snapshot = f.Newest
	}
	if c.snapshot < f.Oldest || c.snapshot > f.Newest {
		refuse(w, &f, c.identity, wire.RefusalSnapshotGone)
		return
	}
	if c.orderID != "" {
		u.mu.Lock()
		u.runs[c.orderID]++
		u.mu.Unlock()
	}
	select {
	case <-time.After(u.serviceTime(&f)):
	case <-r.Context().Done():
		return
	}
	out := wire.PartReply{Identity: c.identity, UpstreamInfo: f.upstreamInfo(), Snapshot: c.snapshot}
	fill(&f, &out)
	u.reply(w, r, &f, out)
}

// reply sends a reply, or a broken one according to the faults.
func (u *upstream) reply(w http.ResponseWriter, r *http.Request, f *upstreamFaults, out wire.PartReply) {
	switch {
	case u.chance(f.DropShare):
		panic(http.ErrAbortHandler)
	case u.chance(f.GarbageShare):
		_, _ = w.Write([]byte(`{"RequestID": "x", "Attempt": }` + strings.Repeat("garbage", 100)))
	case u.chance(f.CutShare):
		w.Header().Set("Content-Length", "1000")
		_, _ = w.Write([]byte(`{"RequestID":"` + out.RequestID))
		panic(http.ErrAbortHandler)
	case u.chance(f.EndlessShare):
		writeEndlessly(w, r, make([]byte, 16), time.Millisecond)
	case u.chance(f.FloodShare):
		writeEndlessly(w, r, make([]byte, floodBlockBytes), 0)
	case u.chance(f.CrossShare):
		out.RequestID = "another-" + out.RequestID
		out.Count += 7
		writeJSON(w, http.StatusOK, out)
	default:
		writeJSON(w, http.StatusOK, out)
	}
}

// floodBlockBytes is the size of a block of an endless reply that is sent as fast as the host reads.
const floodBlockBytes = 64 << 10

// writeEndlessly writes blocks of spaces, with a pause after each, until the client gives up.
func writeEndlessly(w http.ResponseWriter, r *http.Request, block []byte, pause time.Duration) {
	for i := range block {
		block[i] = ' '
	}
	for r.Context().Err() == nil {
		if _, err := w.Write(block); err != nil {
			return
		}
		_ = http.NewResponseController(w).Flush()
		time.Sleep(pause)
	}
}

func (u *upstream) onStatus(w http.ResponseWriter, _ *http.Request) {
	f := u.currentFaults()
	out := wire.StatusReply{UpstreamInfo: f.upstreamInfo(), InUse: len(u.slots), Slots: u.config.slots}
	if f.LieHealth {
		out.Leaving, out.InUse = false, 0
	}
	writeJSON(w, http.StatusOK, out)
}

// onFake changes the faults that the body names and keeps the others.
func (u *upstream) onFake(w http.ResponseWriter, r *http.Request) {
	u.mu.Lock()
	defer u.mu.Unlock()
	f := u.faults
	if err := wire.Decode(r.Body, wire.MaxBodyBytes, &f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	u.faults = f
	writeJSON(w, http.StatusOK, f)
}

// runsReply is the reply to GET /Runs.
type runsReply struct {
	// Arrived counts all calls, including refused ones.
	Arrived int
	Runs    []orderRuns
}

// orderRuns tells how often an order ran.
type orderRuns struct {
	RequestID string
	Runs      int
}

func (u *upstream) onRuns(w http.ResponseWriter, _ *http.Request) {
	u.mu.Lock()
	defer u.mu.Unlock()
	out := runsReply{Arrived: u.arrived, Runs: []orderRuns{}}
	for id, n := range u.runs {
		out.Runs = append(out.Runs, orderRuns{RequestID: id, Runs: n})
	}
	writeJSON(w, http.StatusOK, out)
}

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

// faults are the switches of a stand-in upstream; POST /Fake sets them all.
// Shares are probabilities, 0 to 1.
type faults struct {
	// Service is the median service time.
	Service config.Duration
	// StraggleShare of the calls take StraggleFactor times as long.
	StraggleShare, StraggleFactor float64
	// DropShare of the calls run, and their connection closes with no reply.
	DropShare float64
	// CrossShare of the replies are another call's: its identity, its count.
	CrossShare float64
	// WrongSnapshotShare of the parts come from another snapshot, and say so.
	WrongSnapshotShare float64
	// GarbageShare of the replies cannot be read.
	GarbageShare float64
	// CutShare of the replies end half-way.
	CutShare float64
	// EndlessShare of the replies never end.
	EndlessShare float64
	// ShedShare of the calls are refused, not run.
	ShedShare float64
	// Draining refuses new work and says so in every reply.
	Draining bool
	// LieHealth makes the status endpoint report neither leaving nor load.
	LieHealth bool
	// Oldest and Newest are the snapshots held.
	Oldest, Newest uint64
	// MapRevision is the shard map served.
	MapRevision uint64
}

type upstreamConfig struct {
	// slots is how many calls run at once, connections how many connections it
	// accepts.
	slots, connections int
	// keySpace is the number of keys of the data.
	keySpace uint
	// seed draws the service times and faults.
	seed uint64
}

// serviceSigma is the spread of the service times, the standard deviation of their
// logarithm.
const serviceSigma = 0.5

type upstream struct {
	config  upstreamConfig
	slots   chan struct{}
	waiting atomic.Int64
	mu      sync.Mutex
	faults  faults
	random  *rand.Rand
	// runs counts how often each order ran; used with mu held.
	runs map[string]int
	// arrived counts the calls that came, refused ones included; used with mu held.
	arrived int
}

func newUpstream(c upstreamConfig, f faults) *upstream {
	return &upstream{
		config: c, slots: make(chan struct{}, c.slots), faults: f,
		random: rand.New(rand.NewPCG(c.seed, 0)), runs: map[string]int{},
	}
}

func (u *upstream) handler() http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("POST "+wire.PathPart, decoded(u.onPart))
	m.HandleFunc("POST "+wire.PathPlace, decoded(u.onPlace))
	m.HandleFunc("POST "+wire.PathStatus, u.onStatus)
	m.HandleFunc("POST /Fake", u.onFake)
	m.HandleFunc("GET /Runs", u.onRuns)
	return m
}

// draw decides by chance; all draws share one seeded source.
func (u *upstream) draw(share float64) bool {
	if share <= 0 {
		return false
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.random.Float64() < share
}

func (u *upstream) current() faults {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.faults
}

func (f *faults) held() wire.UpstreamInfo {
	return wire.UpstreamInfo{Oldest: f.Oldest, Newest: f.Newest, Leaving: f.Draining}
}

func (u *upstream) serviceTime(f *faults) time.Duration {
	u.mu.Lock()
	defer u.mu.Unlock()
	factor := math.Exp(serviceSigma * u.random.NormFloat64())
	if f.StraggleShare > 0 && u.random.Float64() < f.StraggleShare {
		factor *= f.StraggleFactor
	}
	return time.Duration(factor * float64(f.Service))
}

func refuse(w http.ResponseWriter, f *faults, id wire.Identity, kind wire.RefusalKind) {
	code := http.StatusServiceUnavailable
	if kind == wire.RefusalMoved || kind == wire.RefusalSnapshotGone {
		code = http.StatusConflict
	}
	write(w, code, wire.RefusalReply{Identity: id, UpstreamInfo: f.held(), Refused: kind})
}

// begin takes a slot, or refuses. It reports whether the call may run.
func (u *upstream) begin(w http.ResponseWriter, r *http.Request, f *faults, id wire.Identity, deadline time.Time) bool {
	u.mu.Lock()
	u.arrived++
	u.mu.Unlock()
	switch {
	case f.Draining:
		refuse(w, f, id, wire.RefusalLeaving)
		return false
	case u.draw(f.ShedShare):
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
	u.serve(w, r, &job{identity: in.Identity, millis: in.DeadlineMillis, snapshot: in.Snapshot}, func(f *faults, out *wire.PartReply) {
		if u.draw(f.WrongSnapshotShare) {
			out.Snapshot++
		}
		out.Count, out.Rows = answer(&in.Question, in.From, in.To, uint32(u.config.keySpace), out.Snapshot)
	})
}

func (u *upstream) onPlace(w http.ResponseWriter, r *http.Request, in *wire.PlaceRequest) {
	u.serve(w, r, &job{identity: in.Identity, millis: in.DeadlineMillis, order: in.RequestID}, func(_ *faults, out *wire.PartReply) {
		out.Count = 1
	})
}

type job struct {
	identity wire.Identity
	millis   int64
	// snapshot is the one asked for; 0 for the newest.
	snapshot uint64
	// order is the request ID of a call that is not repeatable.
	order string
}

// serve takes a slot, works, and replies with what fill makes.
func (u *upstream) serve(w http.ResponseWriter, r *http.Request, j *job, fill func(*faults, *wire.PartReply)) {
	f := u.current()
	if !u.begin(w, r, &f, j.identity, time.Now().Add(time.Duration(j.millis)*time.Millisecond)) {
		return
	}
	defer func() { <-u.slots }()
	if j.snapshot == 0 {
		j.snapshot = f.Newest
	}
	if j.snapshot < f.Oldest || j.snapshot > f.Newest {
		refuse(w, &f, j.identity, wire.RefusalSnapshotGone)
		return
	}
	if j.order != "" {
		u.mu.Lock()
		u.runs[j.order]++
		u.mu.Unlock()
	}
	select {
	case <-time.After(u.serviceTime(&f)):
	case <-r.Context().Done():
		return
	}
	out := wire.PartReply{Identity: j.identity, UpstreamInfo: f.held(), Snapshot: j.snapshot}
	fill(&f, &out)
	u.reply(w, r, &f, out)
}

// reply sends a reply, right or wrong as the faults demand.
func (u *upstream) reply(w http.ResponseWriter, r *http.Request, f *faults, out wire.PartReply) {
	switch {
	case u.draw(f.DropShare):
		panic(http.ErrAbortHandler)
	case u.draw(f.GarbageShare):
		_, _ = w.Write([]byte(`{"RequestID": "x", "Attempt": }` + strings.Repeat("garbage", 100)))
	case u.draw(f.CutShare):
		w.Header().Set("Content-Length", "1000")
		_, _ = w.Write([]byte(`{"RequestID":"` + out.RequestID))
		panic(http.ErrAbortHandler)
	case u.draw(f.EndlessShare):
		endless(w, r)
	case u.draw(f.CrossShare):
		out.RequestID = "another-" + out.RequestID
		out.Count += 7
		write(w, http.StatusOK, out)
	default:
		write(w, http.StatusOK, out)
	}
}

func endless(w http.ResponseWriter, r *http.Request) {
	for r.Context().Err() == nil {
		if _, err := w.Write([]byte(`                `)); err != nil {
			return
		}
		_ = http.NewResponseController(w).Flush()
		time.Sleep(time.Millisecond)
	}
}

func (u *upstream) onStatus(w http.ResponseWriter, _ *http.Request) {
	f := u.current()
	out := wire.StatusReply{UpstreamInfo: f.held(), InUse: len(u.slots), Slots: u.config.slots}
	if f.LieHealth {
		out.Leaving, out.InUse = false, 0
	}
	write(w, http.StatusOK, out)
}

// onFake changes the faults that the body names.
func (u *upstream) onFake(w http.ResponseWriter, r *http.Request) {
	u.mu.Lock()
	defer u.mu.Unlock()
	f := u.faults
	if err := wire.Decode(r.Body, wire.MaxBodyBytes, &f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	u.faults = f
	write(w, http.StatusOK, f)
}

type runsReply struct {
	// Arrived is how many calls came, refused ones included.
	Arrived int
	Runs    []run
}

type run struct {
	RequestID string
	Runs      int
}

func (u *upstream) onRuns(w http.ResponseWriter, _ *http.Request) {
	u.mu.Lock()
	defer u.mu.Unlock()
	out := runsReply{Arrived: u.arrived, Runs: []run{}}
	for id, n := range u.runs {
		out.Runs = append(out.Runs, run{RequestID: id, Runs: n})
	}
	write(w, http.StatusOK, out)
}

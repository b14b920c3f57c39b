package entry

import (
	"cmp"
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/VictoriaMetrics/metrics"
	goahttp "goa.design/goa/v3/http"

	"loomgap/tier/gen/http/ops/server"
	opsgen "loomgap/tier/gen/ops"
	"loomgap/tier/kernel"
	"loomgap/tier/policy"
)

// operators is the plug-in that serves operators.
type operators struct{}

var _ kernel.Plugin = operators{}

func init() { kernel.Register(operators{}) }

func (operators) Name() string { return "Operators" }

func (operators) Default(*kernel.Settings) {}

func (operators) Skip(s *kernel.Settings) bool { return !s.Operate.IsValid() }

func (operators) Run(_ context.Context, k *kernel.Kernel) (func(), error) {
	mux := goahttp.NewMuxer()
	endpoints := opsgen.NewEndpoints(&opsService{kernel: k})
	server.New(endpoints, mux, goahttp.RequestDecoder, goahttp.ResponseEncoder, nil, encodeError).Mount(mux)
	mux.Handle(http.MethodGet, pathMetrics, writeMetrics)
	stop, err := listen(operatorDoor(k, kernel.DoorOperators), k.Settings.Operate, "-Operate", limitBody(mux))
	if err != nil {
		return nil, err
	}
	if !k.Settings.Metrics.IsValid() {
		return func() { stop(time.Second) }, nil
	}
	metricsMux := http.NewServeMux()
	metricsMux.HandleFunc(pathMetrics, writeMetrics)
	stopMetrics, err := listen(operatorDoor(k, kernel.DoorMetrics), k.Settings.Metrics, "-Metrics", metricsMux)
	if err != nil {
		stop(0)
		return nil, err
	}
	return func() {
		stopMetrics(time.Second)
		stop(time.Second)
	}, nil
}

// pathMetrics is the URL path of the metrics.
const pathMetrics = "/metrics"

func writeMetrics(w http.ResponseWriter, _ *http.Request) { metrics.WritePrometheus(w, true) }

// opsService implements the generated service for operators.
type opsService struct {
	kernel *kernel.Kernel
}

var _ opsgen.Service = (*opsService)(nil)

func (s *opsService) Status(context.Context) (*opsgen.StatusResult, error) {
	k := s.kernel
	v, now := k.View(), k.Now()
	out := &opsgen.StatusResult{
		Host: k.Settings.Host, Hall: k.Settings.Hall, Region: k.Settings.Region(), EvacuatedHalls: v.Directory.EvacuatedHalls(), Incarnation: k.Settings.Incarnation, State: string(k.Phase()),
		Refused: v.Refused, PlatformSilentMillis: (now - v.PlatformReadAt).Milliseconds(), Watching: v.Reading,
		InFlight: k.InFlight.Load(), Members: []*opsgen.Member{}, Upstreams: []*opsgen.UpstreamStatus{},
	}
	if v.Index != nil {
		out.Revision, out.Digest = v.Index.Revision, v.Index.Digest
	}
	for _, m := range v.Members {
		out.Members = append(out.Members, &opsgen.Member{Name: m.Host, Incarnation: m.Incarnation, State: memberState(&m), Revision: m.Revision})
	}
	slices.SortFunc(out.Members, func(a, b *opsgen.Member) int { return cmp.Compare(a.Name, b.Name) })
	for _, u := range k.Fleet.State(now) {
		out.Upstreams = append(out.Upstreams, &opsgen.UpstreamStatus{
			Name: u.Name, State: upstreamState(&u), ColdOwner: u.ColdOwner, InUse: uint32(max(u.InUse, 0)), Share: uint32(max(u.Share, 0)), Queued: uint32(max(u.Queued, 0)),
			LatencyMicros: uint64(u.Latency.Microseconds()), Oldest: u.Snapshots.Oldest, Newest: u.Snapshots.Newest,
		})
	}
	slices.SortFunc(out.Upstreams, func(a, b *opsgen.UpstreamStatus) int { return cmp.Compare(a.Name, b.Name) })
	for _, g := range k.Gates() {
		out.Gates = append(out.Gates, gateStatus(&g))
	}
	return out, nil
}

func gateStatus(g *kernel.GateState) *opsgen.GateStatus {
	waiting := make(map[int]uint32, len(g.WaitingByRank))
	for rank, n := range g.WaitingByRank {
		waiting[rank] = uint32(n)
	}
	return &opsgen.GateStatus{
		Groups: g.Groups, Base: uint32(max(g.Base, 0)), Places: uint32(max(g.Places, 0)), Limited: g.Limited, Reason: string(g.Reason),
		InFlight: uint32(max(g.InFlight, 0)), Waiting: uint32(max(g.Waiting, 0)), WaitingByRank: waiting,
		Refused: g.Refused, RefusedRecently: g.RefusedRecently, PerSecond: g.PerSecond, ServiceMicros: uint64(g.Service.Microseconds()),
	}
}

// upstreamState returns the most important state of an upstream. An upstream of an evacuated
// hall gets no requests, whatever its other states.
func upstreamState(u *policy.UpstreamState) string {
	switch {
	case u.Evacuated:
		return "Evacuated"
	case u.Leaving:
		return "Leaving"
	case u.Ejected:
		return "Ejected"
	case u.Cold:
		return "Cold"
	default:
		return "Live"
	}
}

func memberState(m *kernel.Member) string {
	switch {
	case m.Leaving:
		return "Leaving"
	case m.Live:
		return "Live"
	}
	return "Silent"
}

func (s *opsService) Document(context.Context) (*opsgen.DocumentResult, error) {
	v := s.kernel.View()
	out := &opsgen.DocumentResult{Newest: v.Published.Revision}
	if v.Index == nil {
		return out, nil
	}
	text, err := v.Index.OwnText()
	if err != nil {
		return nil, err
	}
	out.Revision, out.Document = v.Index.Revision, string(text)
	return out, nil
}

func (s *opsService) Ready(context.Context) error {
	if s.kernel.Ready() {
		return nil
	}
	return &opsgen.Fault{Kind: "Busy", Message: "the host is " + string(s.kernel.Phase()) + ": send work to another"}
}

func (s *opsService) Drain(context.Context) error {
	s.kernel.SetPhase(kernel.PhaseDraining)
	s.kernel.Stop()
	return nil
}

package entry

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.opentelemetry.io/otel/attribute"

	"loomgap/tier/config"
	entrygen "loomgap/tier/gen/entry"
	"loomgap/tier/kernel"
	"loomgap/tier/peers"
	"loomgap/tier/policy"
	"loomgap/tier/query"
	"loomgap/tier/runner"
	"loomgap/tier/wire"
)

// Outcomes of a request, as in the design.
const (
	OutcomeComplete = "Complete"
	OutcomePartial  = "Partial"
	OutcomeNotRun   = "NotRun"
	OutcomeUnknown  = "Unknown"
)

// Errors of requests.
var (
	ErrInvalid  = errors.New("invalid request")
	ErrNoConfig = errors.New("no configuration in force yet")
)

// notReadyRetry is when to ask a host again that has no configuration yet.
const notReadyRetry = time.Second

// Engine serves requests.
type Engine struct {
	kernel  *kernel.Kernel
	tickets *Tickets
	// adopted are the tickets of processes that stopped as planned.
	adopted adopted
	routes  atomic.Pointer[map[string]*route]
	// basis is what the routes were made from; used on the control thread.
	basis    basis
	pools    sync.Map
	requests atomic.Uint64
}

// route says how to reach an upstream.
type route struct {
	upstream    config.Upstream
	connections int
	caller      *caller
	// owner is the host that calls on this one's behalf; empty if this host
	// has slots of its own.
	owner string
}

// NewEngine makes an engine that follows the kernel's views.
func NewEngine(k *kernel.Kernel) (*Engine, func()) {
	e := &Engine{
		kernel: k,
		tickets: NewTickets(TicketsConfig{
			Host: k.Settings.Host, Incarnation: k.Settings.Incarnation, Life: k.Settings.TicketLife,
		}),
	}
	e.routes.Store(&map[string]*route{})
	k.OnView(e.follow)
	k.Handle(MethodRelay, e.onRelay)
	k.Handle(MethodOrder, e.onOrder)
	k.Handle(MethodAdopt, e.onAdopt)
	return e, func() {
		for _, r := range *e.routes.Load() {
			r.caller.close()
		}
	}
}

// basis is what slots and routes depend on.
type basis struct {
	index   *config.Index
	hosts   []string
	leaving map[string]bool
}

func (b *basis) same(o *basis) bool {
	return b.index == o.index && slices.Equal(b.hosts, o.hosts) && maps.Equal(b.leaving, o.leaving)
}

// follow sets slots and routes by a new view; it runs on the control thread.
// Ranking all hosts for all upstreams takes time, so it is done only when what
// they depend on has changed.
func (e *Engine) follow(v *kernel.View) {
	if v.Index == nil {
		return
	}
	s := &e.kernel.Settings
	hosts := v.Hall(s)
	slices.Sort(hosts)
	next := basis{index: v.Index, hosts: hosts, leaving: v.Leaving}
	if e.basis.same(&next) {
		return
	}
	e.basis = next
	e.divide(v, hosts)
}

// divide gives each upstream of the hall its slots and its route.
func (e *Engine) divide(v *kernel.View, hosts []string) {
	s := &e.kernel.Settings
	old, next := *e.routes.Load(), map[string]*route{}
	shares := peers.Shares(v, s)
	for i := range shares {
		u := v.Index.Upstream(shares[i].Name)
		n := old[u.Name]
		connections := max(u.Connections/len(hosts), 1)
		owner := ""
		if shares[i].Slots == 0 {
			owner = peers.Owner(u.Name, hosts)
			shares[i].Slots = u.Slots // the owner keeps to the slots
		}
		if n == nil || n.upstream.Address != u.Address || n.connections != connections {
			n = &route{upstream: *u, connections: connections, caller: newCaller(u, connections)}
		}
		next[u.Name] = &route{upstream: *u, connections: connections, caller: n.caller, owner: owner}
	}
	granted := e.kernel.Fleet.Apply(e.kernel.Now(), shares)
	e.routes.Store(&next)
	for name, r := range old {
		if next[name] == nil || next[name].caller != r.caller {
			r.caller.close()
		}
	}
	// The control thread carries no traffic.
	go policy.Deliver(granted)
}

func (e *Engine) route(upstream string) *route { return (*e.routes.Load())[upstream] }

func (e *Engine) pool(service string) *policy.Pool {
	if p, ok := e.pools.Load(service); ok {
		return p.(*policy.Pool)
	}
	p := e.kernel.Fleet.Pool(service)
	e.pools.Store(service, p)
	return p
}

// held is what a request is held to for its whole life.
type held struct {
	view    *kernel.View
	class   *config.Class
	service *config.Service
	// deadline is when the answer must be given.
	deadline time.Duration
	// subject is what a question is remembered by if it crashes upstreams; the zero
	// value for an order, which runs once whoever repeats it.
	subject policy.Subject
}

// hold fixes the configuration and the deadline of a request at its entry.
func (e *Engine) hold(class, service string, deadlineMillis *int64) (*held, error) {
	v := e.kernel.View()
	if v.Index == nil {
		return nil, ErrNoConfig
	}
	h := &held{view: v, class: v.Index.Class(class), service: v.Index.Service(service)}
	if h.class == nil {
		return nil, fmt.Errorf("%w: unknown class %q: use a class of the document, `loomctl plan -Command 'show classes'` lists them", ErrInvalid, class)
	}
	if h.service == nil {
		return nil, fmt.Errorf("%w: unknown service %q: `loomctl plan -Command 'show services'` lists them", ErrInvalid, service)
	}
	limit, err := deadlineOf(h.class, deadlineMillis)
	if err != nil {
		return nil, err
	}
	h.deadline = e.kernel.Now() + limit - time.Duration(h.class.Margin)
	return h, nil
}

func deadlineOf(c *config.Class, millis *int64) (time.Duration, error) {
	if millis == nil || *millis == 0 {
		return time.Duration(c.Deadline), nil
	}
	longest := time.Duration(c.MaxDeadline)
	if *millis < 0 || *millis > longest.Milliseconds() {
		return 0, fmt.Errorf("%w: deadline of %d ms: give 1 to %d, or 0 for the class's own", ErrInvalid, *millis, longest.Milliseconds())
	}
	if d := time.Duration(*millis) * time.Millisecond; d > time.Duration(c.Margin) {
		return d, nil
	}
	return 0, fmt.Errorf("%w: deadline of %d ms is within the margin of %s: give more", ErrInvalid, *millis, time.Duration(c.Margin))
}

func (e *Engine) requestID() string {
	return e.kernel.Settings.Host + "-" + e.kernel.Settings.Incarnation + "-" + strconv.FormatUint(e.requests.Add(1), 36)
}

// Ask answers a repeatable question.
func (e *Engine) Ask(ctx context.Context, in *entrygen.AskPayload) (*entrygen.Answer, error) {
	ask, err := query.ParseAsk(in.Statement)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrInvalid, err)
	}
	id := e.requestID()
	h, err := e.hold(in.Class, ask.Service, in.DeadlineMillis)
	if errors.Is(err, ErrNoConfig) {
		return e.refuse(id, in.Class, err.Error(), notReadyRetry), nil
	}
	if err != nil {
		return nil, err
	}
	// The same question of any caller is the same request.
	content := policy.Content{HostName: ask.Service, Target: in.Statement}
	h.subject.Fingerprint = content.Fingerprint()
	e.kernel.InFlight.Add(1)
	defer e.kernel.InFlight.Add(-1)
	ctx, span := e.kernel.Tracer.Start(ctx, "ask")
	defer span.End()
	span.SetAttributes(attribute.String("RequestID", id), attribute.String("Class", in.Class))
	started := e.kernel.Now()
	answer, err := e.answer(ctx, id, h, ask)
	if err != nil {
		return nil, err
	}
	span.SetAttributes(attribute.String("Outcome", answer.Outcome))
	e.count(answer, e.kernel.Now()-started)
	return answer, nil
}

// answer asks under the map in force; if an upstream has a newer map or other
// snapshots, it asks all over again, once. Parts of two plans are never merged.
func (e *Engine) answer(ctx context.Context, id string, h *held, ask *query.Ask) (*entrygen.Answer, error) {
	first, err := e.gather(ctx, id, h, ask, 1)
	if err != nil || !stale(first) {
		return first, err
	}
	left := h.deadline - e.kernel.Now()
	if left < time.Duration(h.class.Deadline)/4 {
		return first, nil
	}
	again := *h
	again.view = e.kernel.View()
	if again.service = again.view.Index.Service(h.service.Name); again.service == nil {
		return first, nil
	}
	second, err := e.gather(ctx, id, &again, ask, 2)
	if err != nil || second.Outcome == OutcomeNotRun {
		return first, nil //nolint:nilerr // the first answer is true, if less complete
	}
	second.Attempts += first.Attempts
	return second, nil
}

// stale reports whether another plan may cover more.
func stale(a *entrygen.Answer) bool {
	for _, m := range a.Missing {
		if m.Reason == string(query.ReasonMoved) || m.Reason == string(query.ReasonSnapshotGone) {
			return true
		}
	}
	return false
}

// attemptsPerPlan keeps the attempt numbers of a request's plans apart.
const attemptsPerPlan = 1 << 20

// gather makes one plan and carries it out.
func (e *Engine) gather(ctx context.Context, id string, h *held, ask *query.Ask, plan int) (*entrygen.Answer, error) {
	shards, err := query.Select(h.service, ask.Shards)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrInvalid, err)
	}
	names := make([][]string, len(shards))
	for i := range shards {
		names[i] = shards[i].Replicas
	}
	replicas, snapshot := e.kernel.Fleet.Plan(names)
	if snapshot == 0 {
		return e.refuse(id, h.class.Name, "no upstream has said yet which snapshots it holds", notReadyRetry), nil
	}
	question := ask.Question()
	merger := query.NewMerger(question)
	c := &partCaller{
		engine: e, service: h.service.Name, path: wire.PathPart, snapshot: snapshot, deadline: h.deadline,
		message: func(part, attempt int) (wire.Identity, []byte, error) {
			s := &shards[part]
			m := wire.PartRequest{
				Identity: wire.Identity{RequestID: id, Attempt: plan*attemptsPerPlan + attempt, Shard: s.Name, MapRevision: h.service.MapRevision},
				Service:  h.service.Name, From: s.From, To: s.To, Snapshot: snapshot,
				DeadlineMillis: max((h.deadline - e.kernel.Now()).Milliseconds(), 1), Question: question,
			}
			body, err := wire.Encode(&m)
			return m.Identity, body, err
		},
	}
	c.take = func(p *wire.PartReply) { merger.Add(p.Count, p.Rows) }
	result, err := e.run(ctx, c, h, replicas, true)
	var refusal *policy.Refusal
	if errors.As(err, &refusal) {
		return e.refuse(id, h.class.Name, refusal.Reason, refusal.RetryAfter), nil
	}
	if err != nil {
		return nil, err
	}
	answer := e.describe(id, h, shards, &result)
	answer.Snapshot = snapshot
	count, rows := merger.Result()
	answer.Count, answer.Rows = count, rowsOf(rows)
	return answer, nil
}

// run carries out a request. One that may be repeated is given up when the
// context of its caller ends.
func (e *Engine) run(ctx context.Context, c *partCaller, h *held, replicas [][]*policy.Upstream, repeatable bool) (policy.Result, error) {
	f, err := runner.New(runner.Config[*wire.PartReply]{
		Kernel: e.kernel, Caller: c,
		Run: policy.RunConfig{
			Fleet: e.kernel.Fleet, Pool: e.pool(h.service.Name), Class: h.class, Deadline: h.deadline,
			Replicas: replicas, Snapshot: c.snapshot, Repeatable: repeatable, Subject: h.subject,
		},
	})
	if err != nil {
		return policy.Result{}, err
	}
	var giveUp <-chan struct{}
	if repeatable {
		giveUp = ctx.Done()
	}
	return f.Run(ctx, giveUp)
}

func (e *Engine) describe(id string, h *held, shards []config.Shard, r *policy.Result) *entrygen.Answer {
	cover := query.Cover(shards, r.Reasons)
	a := &entrygen.Answer{
		RequestID: id, Class: h.class.Name, Outcome: OutcomeComplete, Rows: []*entrygen.Row{},
		Asked: uint32(cover.Asked), Revision: h.view.Index.Revision, MapRevision: h.service.MapRevision,
		Included: []*entrygen.KeyRange{}, Missing: []*entrygen.Missing{},
		EntryHost: e.kernel.Settings.Host, Attempts: uint32(r.Attempts),
	}
	for _, i := range cover.Included {
		a.Included = append(a.Included, &entrygen.KeyRange{From: i.From, To: i.To})
	}
	for _, m := range cover.Missing {
		a.Missing = append(a.Missing, &entrygen.Missing{Shard: m.Shard, From: m.From, To: m.To, Reason: string(m.Reason)})
	}
	if len(a.Missing) > 0 {
		a.Outcome = OutcomePartial
		a.Remedy = text("the ranges under Missing are not in the answer; ask again for them")
	}
	return a
}

// refuse describes a request that did not run.
func (e *Engine) refuse(id, class, reason string, after time.Duration) *entrygen.Answer {
	millis := uint64(after.Milliseconds())
	a := &entrygen.Answer{
		RequestID: id, Class: class, Outcome: OutcomeNotRun, Rows: []*entrygen.Row{},
		Included: []*entrygen.KeyRange{}, Missing: []*entrygen.Missing{},
		EntryHost: e.kernel.Settings.Host, RetryAfterMillis: &millis,
	}
	a.Remedy = text(reason + "; ask again in " + after.String())
	return a
}

func text(s string) *string { return &s }

func rowsOf(rows []query.Row) []*entrygen.Row {
	out := make([]*entrygen.Row, 0, len(rows))
	for i := range rows {
		r := &entrygen.Row{Key: rows[i].Key, Fields: []*entrygen.Field{}}
		for _, f := range rows[i].Fields {
			r.Fields = append(r.Fields, &entrygen.Field{Name: f.Name, Value: f.Value})
		}
		out = append(out, r)
	}
	return out
}

// count takes an answer into the metrics.
func (e *Engine) count(a *entrygen.Answer, took time.Duration) {
	labels := `{Class="` + a.Class + `",Outcome="` + a.Outcome + `"}`
	metrics.GetOrCreateCounter("loomgap_requests_total" + labels).Inc()
	metrics.GetOrCreateSummary("loomgap_request_seconds" + labels).Update(took.Seconds())
	metrics.GetOrCreateCounter("loomgap_parts_asked_total").Add(int(a.Asked))
	metrics.GetOrCreateCounter("loomgap_parts_missing_total").Add(len(a.Missing))
	metrics.GetOrCreateCounter("loomgap_attempts_total").Add(int(a.Attempts))
}

package entry

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"time"

	"loomgap/tier/config"
	entrygen "loomgap/tier/gen/entry"
	"loomgap/tier/policy"
	"loomgap/tier/query"
	"loomgap/tier/runner"
	"loomgap/tier/wire"
)

// Ask answers a repeatable question.
func (e *engine) Ask(ctx context.Context, in *entrygen.AskPayload) (*entrygen.Answer, error) {
	ask, err := query.ParseAsk(in.Statement)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errInvalid, err)
	}
	// The ID is unique among the requests of all hosts.
	s := &e.kernel.Settings
	id := s.Host + "-" + s.Incarnation + "-" + strconv.FormatUint(e.requests.Add(1), 36)
	q, err := e.newRequest(id, in.Class, ask.Service, in.DeadlineMillis)
	if errors.Is(err, errNoConfig) {
		return e.notRunAnswer(id, in.Class, err.Error(), notReadyRetryAfter), nil
	}
	if err != nil {
		return nil, err
	}
	// The same question counts as the same request, whoever asks it.
	content := policy.RequestContent{HostName: ask.Service, Target: in.Statement}
	q.identity.Fingerprint = content.Fingerprint()
	return e.instrument(ctx, "ask", id, in.Class, func(ctx context.Context) (*entrygen.Answer, error) {
		return e.answer(ctx, q, ask)
	})
}

// minSecondPlanShare is the fraction of a class's deadline that must be left for a second
// plan, since a gather in less time would rarely cover more.
const minSecondPlanShare = 0.25

// answer gathers the parts using the active shard map. If an upstream has a newer map or
// other snapshots, it gathers once more using the newest map. Parts of two plans are never
// merged.
func (e *engine) answer(ctx context.Context, q *request, ask *query.Ask) (*entrygen.Answer, error) {
	first, err := e.gather(ctx, q, ask, 1)
	if err != nil || !outdated(first) {
		return first, err
	}
	if q.deadline-e.kernel.Now() < time.Duration(minSecondPlanShare*float64(q.class.Deadline)) {
		return first, nil
	}
	again := *q
	again.view = e.kernel.View()
	if again.service = again.view.Index.Service(q.service.Name); again.service == nil {
		return first, nil
	}
	second, err := e.gather(ctx, &again, ask, 2)
	if err != nil || second.Outcome == outcomeNotRun {
		return first, nil //nolint:nilerr // the first answer is valid, if less complete
	}
	second.Attempts += first.Attempts
	return second, nil
}

// outdated reports whether an answer lacks parts that a newer shard map or snapshot may
// cover.
func outdated(a *entrygen.Answer) bool {
	for _, m := range a.Missing {
		if m.Reason == string(query.ReasonMoved) || m.Reason == string(query.ReasonSnapshotGone) {
			return true
		}
	}
	return false
}

// attemptsPerPlan separates the attempt numbers of a request's plans: plan n numbers its
// attempts from n*attemptsPerPlan. One plan makes far fewer attempts than this.
const attemptsPerPlan = 1 << 20

// gather asks the shards of a question once and merges their parts.
func (e *engine) gather(ctx context.Context, q *request, ask *query.Ask, plan int) (*entrygen.Answer, error) {
	shards, err := query.SelectShards(q.service, ask.Shards)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errInvalid, err)
	}
	replicas, snapshot := e.kernel.Fleet.Plan(replicasOf(shards))
	if snapshot == 0 {
		return e.notRunAnswer(q.id, q.class.Name, "no upstream has said yet which snapshots it holds", notReadyRetryAfter), nil
	}
	question := ask.Question()
	merger := query.NewMerger(question)
	c := &partCaller{
		engine:       e,
		upstreamCall: upstreamCall{service: q.service.Name, path: wire.PathPart, snapshot: snapshot, deadline: q.deadline},
		message: func(part, attempt int) (wire.Identity, any) {
			s := &shards[part]
			m := wire.PartRequest{
				Identity: wire.Identity{RequestID: q.id, Attempt: plan*attemptsPerPlan + attempt, Shard: s.Name, MapRevision: q.service.MapRevision},
				Service:  q.service.Name, From: s.From, To: s.To, Snapshot: snapshot,
				DeadlineMillis: e.millisLeft(q), Question: question,
			}
			return m.Identity, &m
		},
		take: func(p *wire.PartReply) { merger.Add(p.Count, p.Rows) },
	}
	result, err := e.run(ctx, c, q, replicas, true)
	if refusal, refused := errors.AsType[*policy.Refusal](err); refused {
		return e.notRunAnswer(q.id, q.class.Name, refusal.Reason, refusal.RetryAfter), nil
	}
	if err != nil {
		return nil, err
	}
	answer := e.resultAnswer(q, shards, &result)
	answer.Snapshot = snapshot
	count, rows := merger.Result()
	answer.Count, answer.Rows = count, rowsOf(rows)
	return answer, nil
}

func replicasOf(shards []config.Shard) [][]string {
	out := make([][]string, len(shards))
	for i := range shards {
		out[i] = shards[i].Replicas
	}
	return out
}

// run executes a request. A repeatable request is aborted when its caller's context is done.
func (e *engine) run(ctx context.Context, c *partCaller, q *request, replicas [][]*policy.Upstream, repeatable bool) (policy.Result, error) {
	if err := e.refuseAtStop(q); err != nil {
		return policy.Result{}, err
	}
	var callerGone <-chan struct{}
	if repeatable {
		callerGone = ctx.Done()
	}
	result, _, err := runner.Run(ctx, runner.Config[*wire.PartReply]{
		Kernel: e.kernel, Caller: c,
		Run: policy.RunConfig{
			Fleet: e.kernel.Fleet, Pool: e.kernel.Fleet.LatencyPool(q.service.Name), Class: q.class, Deadline: q.deadline,
			Replicas: replicas, Snapshot: c.snapshot, Repeatable: repeatable, Identity: q.identity,
		},
	}, callerGone)
	return result, err
}

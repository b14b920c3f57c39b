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
	// No other request of any host has this ID.
	s := &e.kernel.Settings
	id := s.Host + "-" + s.Incarnation + "-" + strconv.FormatUint(e.requests.Add(1), 36)
	q, err := e.newRequest(id, in.Class, ask.Service, in.DeadlineMillis)
	if errors.Is(err, errNoConfig) {
		return e.notRunAnswer(id, in.Class, err.Error(), notReadyRetryAfter), nil
	}
	if err != nil {
		return nil, err
	}
	// The same question of any caller is the same request.
	content := policy.Content{HostName: ask.Service, Target: in.Statement}
	q.subject.Fingerprint = content.Fingerprint()
	return e.instrument(ctx, "ask", id, in.Class, func(ctx context.Context) (*entrygen.Answer, error) {
		return e.answer(ctx, q, ask)
	})
}

// minSecondPlanShare is the part of a class's deadline that must be left for a second plan:
// a gather in less time would rarely cover more.
const minSecondPlanShare = 0.25

// answer gathers under the shard map in force. If an upstream has a newer map or
// other snapshots, it gathers once more under the newest map. Parts of two plans
// are never merged.
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
		return first, nil //nolint:nilerr // the first answer is true, if less complete
	}
	second.Attempts += first.Attempts
	return second, nil
}

// outdated reports whether a newer shard map or snapshot may cover more.
func outdated(a *entrygen.Answer) bool {
	for _, m := range a.Missing {
		if m.Reason == string(query.ReasonMoved) || m.Reason == string(query.ReasonSnapshotGone) {
			return true
		}
	}
	return false
}

// attemptsPerPlan keeps the attempt numbers of a request's plans apart: plan 1 has
// the numbers from 1<<20, plan 2 those from 2<<20. It is far above the attempts
// that one plan can make.
const attemptsPerPlan = 1 << 20

func (e *engine) gather(ctx context.Context, q *request, ask *query.Ask, plan int) (*entrygen.Answer, error) {
	shards, err := query.Select(q.service, ask.Shards)
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

// run carries out a request. One that may be repeated is given up when the
// context of its caller ends.
func (e *engine) run(ctx context.Context, c *partCaller, q *request, replicas [][]*policy.Upstream, repeatable bool) (policy.Result, error) {
	var giveUp <-chan struct{}
	if repeatable {
		giveUp = ctx.Done()
	}
	result, _, err := runner.Run(ctx, runner.Config[*wire.PartReply]{
		Kernel: e.kernel, Caller: c,
		Run: policy.RunConfig{
			Fleet: e.kernel.Fleet, Pool: e.kernel.Fleet.Pool(q.service.Name), Class: q.class, Deadline: q.deadline,
			Replicas: replicas, Snapshot: c.snapshot, Repeatable: repeatable, Subject: q.subject,
		},
	}, giveUp)
	return result, err
}

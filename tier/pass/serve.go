package pass

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"loomgap/tier/config"
	"loomgap/tier/flight"
	"loomgap/tier/kernel"
	"loomgap/tier/policy"
)

// Bounds of routed requests.
const (
	// wayHome is kept back from a caller's own deadline, so that the answer is
	// there while the caller still waits: a link's delay and a late timer.
	wayHome = 10 * time.Millisecond
	// defaultBody bounds a request's body where the document says nothing.
	defaultBody = 1 << 20
	// retryNoConfig and retryNoUpstream are when to ask again: a host reads
	// the platform at once when it starts, and an upstream that is gone is
	// replaced within about a second.
	retryNoConfig   = 300 * time.Millisecond
	retryNoUpstream = 200 * time.Millisecond
)

// Outcomes of routed requests, in logs and metrics.
const (
	outcomeServed   = "Served"
	outcomePartial  = "Partial"
	outcomeFailed   = "Failed"
	outcomeNotRun   = "NotRun"
	outcomeUnknown  = "Unknown"
	outcomeLate     = "Late"
	outcomeNoRoute  = "NoRoute"
	outcomeInvalid  = "Invalid"
	outcomeGivenUp  = "GivenUp"
	outcomeUncover  = "BelowCoverage"
	outcomeTooLarge = "TooLarge"
)

// request is one routed request.
type request struct {
	engine *Engine
	id     string
	route  *config.Route
	class  *config.Class
	view   *kernel.View
	plan   plan
	// begun is when the request was read, deadline when its answer is due.
	begun, deadline time.Duration
	head            []byte
	method          string
	body            []byte

	// single is the answer that was taken, failure the last failure that an
	// upstream answered with; both for a request to one group.
	single, failure *answer
	parts           gathered
	relaying        relaying
	// left is true once the caller is gone.
	left atomic.Bool
	// sends counts the calls sent for each part.
	sends []int
}

var (
	_ flight.Caller[*answer]   = (*request)(nil)
	_ flight.Observer[*answer] = (*request)(nil)
	_ http.Handler             = (*Engine)(nil)
)

// ServeHTTP implements http.Handler.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.kernel.InFlight.Add(1)
	defer e.kernel.InFlight.Add(-1)
	e.kernel.Wake()
	q := &request{engine: e, id: r.Header.Get(e.headers.RequestID), view: e.kernel.View(), begun: e.kernel.Now(), method: r.Method}
	if e.kernel.Phase() == kernel.PhaseDraining {
		w.Header().Set("Connection", "close")
	}
	if q.view.Index == nil || q.view.Directory == nil {
		q.refuse(w, "no configuration yet", retryNoConfig)
		return
	}
	path, _, _ := strings.Cut(r.RequestURI, "?")
	if !strings.HasPrefix(path, "/") {
		path = r.URL.EscapedPath()
	}
	q.route, q.class = q.view.Index.Route(hostOnly(r.Host), path)
	switch {
	case q.route == nil:
		q.reject(w, http.StatusNotFound, outcomeNoRoute, "no route for "+r.Host+path)
		return
	case q.id == "":
		q.reject(w, http.StatusBadRequest, outcomeInvalid, "header "+e.headers.RequestID+" is missing: send an ID of the request")
		return
	}
	if !q.read(w, r) {
		return
	}
	q.serve(w, r)
}

// hostOnly takes the port off a Host header.
func hostOnly(host string) string {
	if h, _, err := net.SplitHostPort(host); err == nil {
		return h
	}
	return host
}

// read takes in deadline, headers and body; it answers what is wrong.
func (q *request) read(w http.ResponseWriter, r *http.Request) bool {
	limit := time.Duration(q.route.TimeLimit)
	if text := r.Header.Get(q.engine.headers.DeadlineMillis); text != "" {
		millis, err := strconv.ParseInt(text, 10, 64)
		if err != nil || millis <= 0 {
			q.reject(w, http.StatusBadRequest, outcomeInvalid, "header "+q.engine.headers.DeadlineMillis+": write milliseconds above 0")
			return false
		}
		limit = min(limit, time.Duration(millis)*time.Millisecond)
	}
	q.deadline = q.begun + limit - min(wayHome, limit/4)
	most := q.view.Index.Document.Limits.Body
	if most <= 0 {
		most = defaultBody
	}
	if r.Body != nil && r.Body != http.NoBody {
		body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, most))
		var tooLarge *http.MaxBytesError
		switch {
		case errors.As(err, &tooLarge):
			q.reject(w, http.StatusRequestEntityTooLarge, outcomeTooLarge, "body over "+strconv.FormatInt(most, 10)+" bytes: send a shorter one")
			return false
		case err != nil:
			q.log(outcomeInvalid, http.StatusBadRequest).Err(err).Msg("request not read")
			w.Header().Set("Connection", "close")
			w.WriteHeader(http.StatusBadRequest)
			return false
		}
		q.body = body
	}
	q.head = headOf(r, &q.engine.headers, len(q.body))
	return true
}

// connectionHeaders pertain to one connection and are not passed on.
var connectionHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// strip takes the headers of one connection away.
func strip(h http.Header) {
	for _, line := range h["Connection"] {
		for _, name := range strings.Split(line, ",") {
			h.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range connectionHeaders {
		delete(h, name)
	}
}

// headOf writes the request line and the headers that all upstreams get alike.
func headOf(r *http.Request, names *kernel.Headers, body int) []byte {
	h := r.Header.Clone()
	strip(h)
	// A caller cannot take the ID away by naming it in Connection.
	h[http.CanonicalHeaderKey(names.RequestID)] = r.Header[http.CanonicalHeaderKey(names.RequestID)]
	h.Del(names.DeadlineMillis)
	h.Del(names.Upstream)
	h.Del("Expect")
	h.Del("Content-Length")
	if body > 0 || r.Method == http.MethodPost || r.Method == http.MethodPut || r.Method == http.MethodPatch {
		h.Set("Content-Length", strconv.Itoa(body))
	}
	var b bytes.Buffer
	b.WriteString(r.Method + " " + r.RequestURI + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	_ = h.Write(&b) // a bytes.Buffer takes all
	return b.Bytes()
}

// serve carries the request out and answers it.
func (q *request) serve(w http.ResponseWriter, r *http.Request) {
	q.plan = q.engine.plan(q.view, q.route)
	if q.plan.reachable == 0 || float64(q.plan.reachable) < q.class.Coverage*float64(len(q.plan.groups)) {
		q.refuse(w, "too few groups have an upstream", retryNoUpstream)
		return
	}
	q.sends = make([]int, len(q.plan.groups))
	ctx, span := q.engine.kernel.Tracer.Start(r.Context(), "route")
	defer span.End()
	if span.IsRecording() {
		span.SetAttributes(attribute.String("RequestID", q.id), attribute.String("Route", q.route.Name))
	}
	result, err := q.fly(ctx)
	var refusal *policy.Refusal
	switch {
	case errors.As(err, &refusal):
		q.refuse(w, refusal.Reason, refusal.RetryAfter)
	case err != nil:
		q.engine.kernel.Log.Error().Err(err).Str("RequestID", q.id).Msg("request not carried out")
		q.refuse(w, "internal error", retryNoUpstream)
	case r.Context().Err() != nil:
		q.log(outcomeGivenUp, 0).Int("Ran", result.Ran).Msg("request given up by its caller")
		panic(http.ErrAbortHandler)
	case q.route.Gather != nil:
		q.answerGathered(w, &result)
	default:
		q.answerSingle(w, &result)
	}
}

func (q *request) fly(ctx context.Context) (policy.Result, error) {
	k := q.engine.kernel
	near, far := k.Fleet.RoutedPools(q.route.Name)
	f, err := flight.New(flight.Config[*answer]{
		Kernel: k, Caller: q,
		Run: policy.RunConfig{
			Fleet: k.Fleet, Pool: near, Class: q.class, Deadline: q.deadline,
			Replicas: q.plan.replicas, Repeatable: q.route.Repeatable,
			Routed: &policy.Routed{
				Groups: q.plan.groups, FarPool: far, MaxAttempts: q.route.MaxAttempts,
				Objective: time.Duration(q.route.Objective), Hall: q.plan.hall,
			},
		},
	})
	if err != nil {
		return policy.Result{}, err
	}
	stop := context.AfterFunc(ctx, func() { q.left.Store(true) })
	defer stop()
	return f.Fly(ctx, ctx.Done())
}

// Call implements flight.Caller.
func (q *request) Call(ctx context.Context, a policy.Action) flight.Reply[*answer] {
	l := (*q.engine.links.Load())[a.Upstream.Name]
	if l == nil {
		return flight.Reply[*answer]{Outcome: policy.CallUnreachable}
	}
	ctx, span := q.engine.kernel.Tracer.Start(ctx, "upstream", trace.WithSpanKind(trace.SpanKindClient))
	defer span.End()
	r := l.do(ctx, &call{
		headers: &q.engine.headers, method: q.method, head: q.head, body: q.body, id: q.id,
		upstream: a.Upstream.Name, left: q.deadline - q.engine.kernel.Now(),
		unrepeatable: !q.route.Repeatable,
	})
	out := judge(&q.engine.headers, r, q.route.Gather != nil)
	if span.IsRecording() {
		span.SetAttributes(attribute.String("Upstream", a.Upstream.Name), attribute.String("Outcome", string(out.Outcome)))
	}
	return out
}

// Take implements flight.Caller.
func (q *request) Take(part int, a *answer) {
	if q.route.Gather == nil {
		q.single = a
		return
	}
	q.parts.take(part, a)
}

// Ended implements flight.Observer: it keeps an upstream's own failure, and
// logs the calls that did not go well.
func (q *request) Ended(a policy.Action, r flight.Reply[*answer], took time.Duration, over bool) {
	q.sends[a.Part]++
	if r.Outcome == policy.CallOK {
		return
	}
	if r.Outcome == policy.CallFailed && !over {
		q.failure = r.Part
	}
	q.engine.kernel.Decisions.Info().Str("RequestID", q.id).Str("Group", q.plan.groups[a.Part]).
		Str("Upstream", a.Upstream.Name).Int("Call", q.sends[a.Part]).Str("Outcome", string(r.Outcome)).
		Int64("TookMillis", took.Milliseconds()).Msg("call ended")
}

// answerSingle gives the answer of one upstream.
func (q *request) answerSingle(w http.ResponseWriter, r *policy.Result) {
	a := q.single
	if a == nil {
		a = q.failure
	}
	switch {
	case a != nil && !promises(a.status):
		outcome := outcomeServed
		if a.status >= http.StatusInternalServerError {
			outcome = outcomeFailed
		}
		q.log(outcome, a.status).Int("Calls", r.Attempts).Msg("request answered")
		q.write(w, a.status, a.header, a.body)
	case r.Ran == 0 && !r.Unknown && q.failure == nil:
		q.refuse(w, "no upstream took it: "+string(r.Reasons[0]), retryNoUpstream)
	case q.engine.kernel.Now() >= q.deadline:
		q.fail(w, http.StatusGatewayTimeout, outcomeLate, r)
	default:
		q.fail(w, http.StatusBadGateway, outcomeUnknown, r)
	}
}

// answerGathered gives the merged answer, if it covers enough.
func (q *request) answerGathered(w http.ResponseWriter, r *policy.Result) {
	total := len(q.plan.groups)
	records, stamps := q.parts.merge(q.route.Gather.Top, q.engine.headers.Stamp)
	missing := total - len(stamps)
	switch {
	case len(stamps) > 0 && float64(len(stamps)) >= q.class.Coverage*float64(total):
		outcome := outcomeServed
		if missing > 0 {
			outcome = outcomePartial
		}
		h := http.Header{}
		h.Set("Content-Type", "application/octet-stream")
		h.Set(q.engine.headers.RequestID, q.id)
		h.Set(q.engine.headers.Parts, strings.Join(stamps, ", "))
		h.Set(q.engine.headers.Missing, strconv.Itoa(missing))
		q.log(outcome, http.StatusOK).Int("Calls", r.Attempts).Int("Missing", missing).Msg("request answered")
		q.write(w, http.StatusOK, h, records)
	case r.Ran == 0:
		q.refuse(w, "no upstream took it", retryNoUpstream)
	case q.engine.kernel.Now() >= q.deadline:
		q.fail(w, http.StatusGatewayTimeout, outcomeLate, r)
	default:
		q.fail(w, http.StatusBadGateway, outcomeUncover, r)
	}
}

// write gives headers and body to the caller, with no header made up.
func (q *request) write(w http.ResponseWriter, status int, from http.Header, body []byte) {
	strip(from)
	h := w.Header()
	for name, values := range from {
		if name != "Content-Length" {
			h[name] = values
		}
	}
	for _, name := range []string{"Content-Type", "Date"} {
		if _, ok := h[name]; !ok {
			h[name] = nil // net/http would make one up
		}
	}
	if q.method != http.MethodHead {
		h.Set("Content-Length", strconv.Itoa(len(body)))
	} else if n := from.Get("Content-Length"); n != "" {
		h.Set("Content-Length", n)
	}
	w.WriteHeader(status)
	if _, err := w.Write(body); err != nil {
		q.engine.kernel.Decisions.Info().Str("RequestID", q.id).Err(err).Msg("answer not taken by its caller")
	}
}

// refuse tells that the request did not run, and when to ask again.
func (q *request) refuse(w http.ResponseWriter, reason string, after time.Duration) {
	q.log(outcomeNotRun, http.StatusServiceUnavailable).Str("Reason", reason).Msg("request refused")
	w.Header().Set("Retry-After", strconv.FormatFloat(after.Seconds(), 'f', 3, 64))
	http.Error(w, reason, http.StatusServiceUnavailable)
}

// fail tells that the request may have run and has no answer.
func (q *request) fail(w http.ResponseWriter, status int, outcome string, r *policy.Result) {
	q.log(outcome, status).Int("Calls", r.Attempts).Int("Ran", r.Ran).
		Int("Included", r.Included).Interface("Reasons", r.Reasons).Msg("request failed")
	http.Error(w, "no answer: "+outcome, status)
}

// reject tells what is wrong with the request itself.
func (q *request) reject(w http.ResponseWriter, status int, outcome, problem string) {
	q.log(outcome, status).Str("Problem", problem).Msg("request rejected")
	http.Error(w, problem, status)
}

// log begins the line that tells what became of the request, and counts it.
func (q *request) log(outcome string, status int) *zerolog.Event {
	took := q.engine.kernel.Now() - q.begun
	route := ""
	if q.route != nil {
		route = q.route.Name
	}
	labels := `{Route="` + route + `",Outcome="` + outcome + `"}`
	metrics.GetOrCreateCounter("loomgap_routed_total" + labels).Inc()
	metrics.GetOrCreateHistogram("loomgap_routed_seconds" + labels).Update(took.Seconds())
	line := q.engine.kernel.Decisions.Info().Str("RequestID", q.id).Str("Route", route).
		Str("Outcome", outcome).Int("Status", status).Int64("TookMillis", took.Milliseconds())
	if q.view.Index != nil {
		line = line.Uint64("Revision", q.view.Index.Revision).
			Int64("PlatformAgeMillis", (q.engine.kernel.Now() - q.view.PlatformHeard).Milliseconds())
	}
	return line
}

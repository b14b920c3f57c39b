package pass

import (
	"context"
	"errors"
	"maps"
	"net/http"
	"strconv"
	"strings"
	"time"

	"loomgap/tier/policy"
)

func (q *request) respondSingle(w http.ResponseWriter, r *policy.Result) {
	resp := q.responses.single
	if resp == nil {
		resp = q.responses.failure
	}
	switch {
	case resp != nil && !meansNotRun(resp.status):
		o := outcomeServed
		if resp.status >= http.StatusInternalServerError {
			o = outcomeFailed
		}
		q.log(o, resp.status).Int("Calls", r.Attempts).Msg("request answered")
		q.write(w, resp.status, resp.header, resp.body)
	case r.Ran == 0 && !r.OutcomeUnknown && q.responses.failure == nil:
		q.refuse(w, "no upstream took it: "+string(r.Reasons[0]), q.retryAfterUpstreams())
	default:
		q.fail(w, outcomeUnknown, r)
	}
}

// respondGathered writes the merged response if it meets the required coverage.
func (q *request) respondGathered(ctx context.Context, w http.ResponseWriter, r *policy.Result) {
	q.fetchOmittedRecords(ctx)
	total := len(q.plan.groups)
	records, stamps := q.responses.parts.merge(q.route.Gather.Top, q.engine.headers.Stamp)
	missing := total - len(stamps)
	switch {
	case len(stamps) > 0 && float64(len(stamps)) >= q.class.Coverage*float64(total):
		o := outcomeServed
		if missing > 0 {
			o = outcomePartial
		}
		h := http.Header{}
		h.Set("Content-Type", "application/octet-stream")
		h.Set(q.engine.headers.RequestID, q.in.id)
		h.Set(q.engine.headers.Parts, strings.Join(stamps, ", "))
		h.Set(q.engine.headers.Missing, strconv.Itoa(missing))
		q.log(o, http.StatusOK).Int("Calls", r.Attempts).Int("Missing", missing).
			Strs("Lacking", q.describeMissing(r)).Msg("request answered")
		q.write(w, http.StatusOK, h, records)
	case r.Ran == 0:
		q.refuse(w, "no upstream took it", q.retryAfterUpstreams())
	default:
		q.fail(w, outcomeBelowCoverage, r)
	}
}

// write writes a response with the headers of src and none that net/http adds by default.
func (q *request) write(w http.ResponseWriter, status int, src http.Header, body []byte) {
	// An upstream must not be able to remove the ID or the stamp by listing it in Connection.
	id, stamp := src.Get(q.engine.headers.RequestID), src.Get(q.engine.headers.Stamp)
	stripConnectionHeaders(src)
	setIfKnown(src, q.engine.headers.RequestID, id)
	setIfKnown(src, q.engine.headers.Stamp, stamp)
	h := w.Header()
	maps.Copy(h, src)
	h.Del("Content-Length")
	for _, name := range []string{"Content-Type", "Date"} {
		if _, ok := h[name]; !ok {
			h[name] = nil // suppresses the default of net/http
		}
	}
	if q.in.method != http.MethodHead {
		h.Set("Content-Length", strconv.Itoa(len(body)))
	} else if n := src.Get("Content-Length"); n != "" {
		h.Set("Content-Length", n)
	}
	q.limitTakeTime(w, len(body))
	w.WriteHeader(status)
	if q.awaitCaller != nil {
		defer q.awaitCaller()()
	}
	if _, err := w.Write(body); err != nil {
		q.engine.kernel.RequestLog.Info().Str("RequestID", q.in.id).Err(err).Msg("failed to write response to caller")
	}
}

func setIfKnown(h http.Header, name, value string) {
	if value != "" {
		h.Set(name, value)
	}
}

// limitTakeTime limits the time in which the caller takes a response.
func (q *request) limitTakeTime(w http.ResponseWriter, size int) {
	if _, forwarded := w.(*recorder); forwarded {
		return // the host that sent the request writes the response
	}
	q.setWriteDeadline(w, time.Now().Add(q.engine.take.timeout(size)))
}

// resetTakeTime ends the limit that the last response of the connection had.
func (q *request) resetTakeTime(w http.ResponseWriter) { q.setWriteDeadline(w, time.Time{}) }

func (q *request) setWriteDeadline(w http.ResponseWriter, at time.Time) {
	err := http.NewResponseController(w).SetWriteDeadline(at)
	if err != nil && !errors.Is(err, http.ErrNotSupported) {
		q.engine.kernel.RequestLog.Info().Str("RequestID", q.in.id).Err(err).Msg("failed to limit the time of a response")
	}
}

// fail responds to a request that may have run and has no response. If the deadline has
// passed, the outcome is outcomeLate instead of o.
func (q *request) fail(w http.ResponseWriter, o outcome, r *policy.Result) {
	status := http.StatusBadGateway
	if q.engine.kernel.Now() >= q.times.deadline {
		o, status = outcomeLate, http.StatusGatewayTimeout
	}
	q.log(o, status).Int("Calls", r.Attempts).Int("Ran", r.Ran).
		Int("Included", r.Included).Strs("Lacking", q.describeMissing(r)).Msg("request failed")
	http.Error(w, noResponseText(o), status)
}

// noResponseText returns the body of a response that fail writes.
func noResponseText(o outcome) string { return "no answer: " + string(o) }

// reject responds to a request that is itself invalid.
func (q *request) reject(w http.ResponseWriter, status int, o outcome, problem string) {
	q.log(o, status).Str("Problem", problem).Msg("request rejected")
	q.conn.Unproductive()
	http.Error(w, problem, status)
}

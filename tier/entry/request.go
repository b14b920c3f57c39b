package entry

import (
	"errors"
	"fmt"
	"time"

	"loomgap/tier/config"
	"loomgap/tier/kernel"
	"loomgap/tier/policy"
)

// Errors of requests.
var (
	errInvalid  = errors.New("invalid request")
	errNoConfig = errors.New("no configuration in force yet")
)

// request holds the configuration and the deadline of one request. They stay the same until
// the answer, even if the active configuration changes meanwhile.
type request struct {
	id      string
	view    *kernel.View
	class   *config.Class
	service *config.Service
	// deadline is when the answer must be ready, as time since the process started. The
	// class's margin is already subtracted.
	deadline time.Duration
	// identity serves to detect questions that crash upstreams; the zero value for an
	// order, which runs at most once anyway.
	identity policy.RequestIdentity
}

// newRequest creates a request with the active configuration. The error is errNoConfig, or
// wraps errInvalid and tells the caller what to do.
func (e *engine) newRequest(id, class, service string, deadlineMillis *int64) (*request, error) {
	v := e.kernel.View()
	if v.Index == nil {
		return nil, errNoConfig
	}
	q := &request{id: id, view: v, class: v.Index.Class(class), service: v.Index.Service(service)}
	if q.class == nil {
		return nil, fmt.Errorf("%w: unknown class %q: use a class of the document, `loomctl plan -Command 'show classes'` lists them", errInvalid, class)
	}
	if q.service == nil {
		return nil, fmt.Errorf("%w: unknown service %q: `loomctl plan -Command 'show services'` lists them", errInvalid, service)
	}
	limit, err := deadlineOf(q.class, deadlineMillis)
	if err != nil {
		return nil, err
	}
	q.deadline = e.kernel.Now() + limit - time.Duration(q.class.Margin)
	return q, nil
}

const (
	// stopReserve is the time before the end of the host in which answers are written.
	stopReserve = 100 * time.Millisecond
	// retryAfterStop leaves time for a new connection, which goes to another host.
	retryAfterStop = 50 * time.Millisecond
)

// refuseAtStop returns a refusal if this host is stopping and may end before the request does.
func (e *engine) refuseAtStop(q *request) error {
	left, stopping := e.kernel.StopLeft()
	if !stopping || q.deadline <= e.kernel.Now()+left-stopReserve {
		return nil
	}
	return &policy.Refusal{Reason: "this host stops before the request may end", RetryAfter: retryAfterStop}
}

// millisLeft returns the time left until the deadline of a request, in milliseconds. It is
// at least 1, because 0 would mean that there is no deadline.
func (e *engine) millisLeft(q *request) int64 {
	return max((q.deadline - e.kernel.Now()).Milliseconds(), 1)
}

// deadlineOf returns the time that a request may take: the caller's choice within the limits
// of the class, or the default of the class.
func deadlineOf(c *config.Class, millis *int64) (time.Duration, error) {
	if millis == nil || *millis == 0 {
		return time.Duration(c.Deadline), nil
	}
	longest := time.Duration(c.MaxDeadline)
	if *millis < 0 || *millis > longest.Milliseconds() {
		return 0, fmt.Errorf("%w: deadline of %d ms: give 1 to %d, or 0 for the class's own", errInvalid, *millis, longest.Milliseconds())
	}
	if d := time.Duration(*millis) * time.Millisecond; d > time.Duration(c.Margin) {
		return d, nil
	}
	return 0, fmt.Errorf("%w: deadline of %d ms is within the margin of %s: give more", errInvalid, *millis, time.Duration(c.Margin))
}

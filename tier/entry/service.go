package entry

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strings"

	goahttp "goa.design/goa/v3/http"
	goa "goa.design/goa/v3/pkg"

	entrygen "loomgap/tier/gen/entry"
	opsgen "loomgap/tier/gen/ops"
	"loomgap/tier/kernel"
	"loomgap/tier/wire"
)

// service implements the generated service for callers.
type service struct {
	engine *engine
}

var _ entrygen.Service = (*service)(nil)

func (s *service) Ask(ctx context.Context, p *entrygen.AskPayload) (*entrygen.Answer, error) {
	a, err := s.engine.Ask(ctx, p)
	return a, toFault(err)
}

func (s *service) Ticket(context.Context) (*entrygen.TicketResult, error) {
	if s.engine.kernel.Phase() != kernel.PhaseReady {
		return nil, &entrygen.Fault{Kind: "Busy", Message: "the host takes no new work: ask another host"}
	}
	t, err := s.engine.tickets.mint(s.engine.kernel.Now())
	if err != nil {
		return nil, &entrygen.Fault{Kind: "Busy", Message: err.Error()}
	}
	return &entrygen.TicketResult{Ticket: t.String(), ExpiresMillis: s.engine.kernel.Settings.TicketLife.Milliseconds()}, nil
}

func (s *service) Order(ctx context.Context, p *entrygen.OrderPayload) (*entrygen.Answer, error) {
	a, err := s.engine.Order(ctx, p)
	return a, toFault(err)
}

// toFault converts an invalid request error into the Fault of the generated service.
func toFault(err error) error {
	if errors.Is(err, errInvalid) {
		return &entrygen.Fault{Kind: "Invalid", Message: err.Error()}
	}
	return err
}

// tooLargeText is the error text of http.MaxBytesError.
var tooLargeText = (&http.MaxBytesError{}).Error()

// statusOf returns the HTTP status for a kind of Fault.
func statusOf(kind string) int {
	if kind == "Busy" {
		return http.StatusServiceUnavailable
	}
	return http.StatusBadRequest
}

// faultBody is the body of an error response. It has the fields of the generated Fault.
type faultBody struct {
	Kind    string
	Message string
	status  int
}

var _ goahttp.Statuser = (*faultBody)(nil)

func (f *faultBody) StatusCode() int { return f.status }

// encodeError returns the response body for an error. Errors of the services already have a
// kind and a message; errors of the generated decoder get theirs here.
func encodeError(_ context.Context, err error) goahttp.Statuser {
	if own, ok := errors.AsType[*entrygen.Fault](err); ok {
		return &faultBody{Kind: own.Kind, Message: own.Message, status: statusOf(own.Kind)}
	}
	if ops, ok := errors.AsType[*opsgen.Fault](err); ok {
		return &faultBody{Kind: ops.Kind, Message: ops.Message, status: statusOf(ops.Kind)}
	}
	// The generated decoder keeps only the text of the http.MaxBytesError.
	if strings.Contains(err.Error(), tooLargeText) {
		return &faultBody{Kind: "Invalid", Message: fmt.Sprintf("body over %d bytes: send a shorter statement", wire.MaxBodyBytes), status: http.StatusRequestEntityTooLarge}
	}
	if g, ok := errors.AsType[*goa.ServiceError](err); ok && !g.Fault {
		return &faultBody{Kind: "Invalid", Message: g.Message + ": correct the field; docs/PROTOCOLS.md has the format", status: http.StatusBadRequest}
	}
	return &faultBody{Kind: "Internal", Message: "the host failed to answer: ask again, and give operators the time", status: http.StatusInternalServerError}
}

package entry

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"time"

	goahttp "goa.design/goa/v3/http"
	goa "goa.design/goa/v3/pkg"

	entrygen "loomgap/tier/gen/entry"
	"loomgap/tier/gen/http/entry/server"
	opsgen "loomgap/tier/gen/ops"
	"loomgap/tier/kernel"
	"loomgap/tier/wire"
)

// Bounds of the callers' server.
const (
	headerBound = 5 * time.Second
	bodyBound   = 10 * time.Second
	idleCaller  = 2 * time.Minute
	headerBytes = 16 << 10
)

// plugin serves callers.
type plugin struct{}

var _ kernel.Plugin = plugin{}

func init() { kernel.Register(plugin{}) }

// Name implements kernel.Plugin.
func (plugin) Name() string { return "Entry" }

// Default implements kernel.Plugin.
func (plugin) Default(s *kernel.Settings) {
	if s.TicketLife == 0 {
		s.TicketLife = time.Minute
	}
	if s.LeavingHold == 0 {
		s.LeavingHold = 2 * time.Minute
	}
	if s.StopBound == 0 {
		s.StopBound = 15 * time.Second
	}
}

// Skip implements kernel.Plugin.
func (plugin) Skip(s *kernel.Settings) bool { return s.Adapter != "" }

// Run implements kernel.Plugin.
func (plugin) Run(ctx context.Context, k *kernel.Kernel) (func(), error) {
	engine, closeEngine := NewEngine(k)
	ctx, cancel := context.WithCancel(ctx)
	h := &health{kernel: k, engine: engine}
	healthDone := make(chan struct{})
	go func() {
		defer close(healthDone)
		h.loop(ctx)
	}()
	mux := goahttp.NewMuxer()
	endpoints := entrygen.NewEndpoints(&service{engine: engine})
	server.New(endpoints, mux, goahttp.RequestDecoder, goahttp.ResponseEncoder, nil, fault).Mount(mux)
	stop, err := listen(k.Settings.Listen, "-Listen", closing(k, traced(limited(mux))))
	if err != nil {
		cancel()
		<-healthDone
		closeEngine()
		return nil, err
	}
	return func() {
		stop(k.Settings.StopBound)
		engine.drain(k.Settings.StopBound)
		engine.handOver()
		cancel()
		<-healthDone
		closeEngine()
	}, nil
}

// listen serves HTTP at an address. The function it returns stops the server
// when what is in flight is done, or after a bound.
func listen(at netip.AddrPort, flag string, h http.Handler) (func(time.Duration), error) {
	l, err := net.Listen("tcp", at.String())
	if err != nil {
		return nil, fmt.Errorf("listen at %s: %w: free the address or set %s", at, err, flag)
	}
	s := &http.Server{
		Handler: h, ReadHeaderTimeout: headerBound, ReadTimeout: bodyBound,
		IdleTimeout: idleCaller, MaxHeaderBytes: headerBytes,
	}
	go func() { _ = s.Serve(l) }()
	return func(bound time.Duration) {
		ctx, cancel := context.WithTimeout(context.Background(), bound)
		defer cancel()
		if s.Shutdown(ctx) != nil {
			_ = s.Close()
		}
	}, nil
}

// limited bounds the bodies of requests, and takes all of them for JSON.
func limited(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		r.Header.Set("Content-Type", "application/json")
		r.Body = http.MaxBytesReader(w, r.Body, wire.MaxBody)
		next.ServeHTTP(w, r)
	})
}

// traced takes the caller's trace from the header.
func traced(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		next.ServeHTTP(w, r.WithContext(wire.TraceFrom(r.Context(), r.Header)))
	})
}

// closing has callers of a draining host close their connections.
func closing(k *kernel.Kernel, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if k.Phase() == kernel.PhaseDraining {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

// drain waits until nothing is in flight, or for a bound.
func (e *Engine) drain(bound time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), bound)
	defer cancel()
	e.kernel.AwaitIdle(ctx)
}

// service implements the generated interface.
type service struct {
	engine *Engine
}

var _ entrygen.Service = (*service)(nil)

// Ask implements entrygen.Service.
func (s *service) Ask(ctx context.Context, p *entrygen.AskPayload) (*entrygen.Answer, error) {
	a, err := s.engine.Ask(ctx, p)
	return a, typed(err)
}

// Ticket implements entrygen.Service.
func (s *service) Ticket(context.Context) (*entrygen.TicketResult, error) {
	if s.engine.kernel.Phase() != kernel.PhaseReady {
		return nil, &entrygen.Fault{Kind: "Busy", Message: "the host takes no new work: ask another host"}
	}
	t, err := s.engine.Mint()
	if err != nil {
		return nil, &entrygen.Fault{Kind: "Busy", Message: err.Error()}
	}
	return &entrygen.TicketResult{Ticket: t.String(), ExpiresMillis: s.engine.kernel.Settings.TicketLife.Milliseconds()}, nil
}

// Order implements entrygen.Service.
func (s *service) Order(ctx context.Context, p *entrygen.OrderPayload) (*entrygen.Answer, error) {
	a, err := s.engine.Order(ctx, p)
	return a, typed(err)
}

// typed turns an error into the typed one of the design.
func typed(err error) error {
	if err == nil {
		return nil
	}
	if errors.Is(err, ErrInvalid) {
		return &entrygen.Fault{Kind: "Invalid", Message: err.Error()}
	}
	return err
}

// tooLarge is the text of http.MaxBytesError.
var tooLarge = (&http.MaxBytesError{}).Error()

func statusOf(kind string) int {
	if kind == "Busy" {
		return http.StatusServiceUnavailable
	}
	return http.StatusBadRequest
}

// faultBody is the body of an error; it has the fields of the design's Fault.
type faultBody struct {
	Kind    string
	Message string
	status  int
}

var _ goahttp.Statuser = (*faultBody)(nil)

// StatusCode implements goahttp.Statuser.
func (f *faultBody) StatusCode() int { return f.status }

// fault gives an error its body: the service's own have kind and remedy, those
// of the generated decoder get them here.
func fault(_ context.Context, err error) goahttp.Statuser {
	var own *entrygen.Fault
	if errors.As(err, &own) {
		return &faultBody{Kind: own.Kind, Message: own.Message, status: statusOf(own.Kind)}
	}
	var ops *opsgen.Fault
	if errors.As(err, &ops) {
		return &faultBody{Kind: ops.Kind, Message: ops.Message, status: statusOf(ops.Kind)}
	}
	// The decoder keeps only the text of the error of http.MaxBytesReader.
	if strings.Contains(err.Error(), tooLarge) {
		return &faultBody{Kind: "Invalid", Message: fmt.Sprintf("body over %d bytes: send a shorter statement", wire.MaxBody), status: http.StatusRequestEntityTooLarge}
	}
	var g *goa.ServiceError
	if errors.As(err, &g) && !g.Fault {
		return &faultBody{Kind: "Invalid", Message: g.Message + ": correct the field; docs/PROTOCOLS.md has the format", status: http.StatusBadRequest}
	}
	return &faultBody{Kind: "Internal", Message: "the host failed to answer: ask again, and give operators the time", status: http.StatusInternalServerError}
}

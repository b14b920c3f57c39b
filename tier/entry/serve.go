package entry

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"strconv"
	"time"

	goahttp "goa.design/goa/v3/http"

	entrygen "loomgap/tier/gen/entry"
	"loomgap/tier/gen/http/entry/server"
	"loomgap/tier/guard"
	"loomgap/tier/kernel"
	"loomgap/tier/wire"
)

// ownLimits are the limits of requests to the own interface and of operators. They protect against
// clients that are slow or send too much.
var ownLimits = guard.Limits{HeadBytes: 16 << 10, HeadTime: 5 * time.Second, BodyTime: 10 * time.Second, IdleTime: 2 * time.Minute}

// operatorInterval is the time in which a connection to the operators' address may send one request
// that is not delayed.
const operatorInterval = 500 * time.Millisecond

// plugin is the plug-in that serves callers.
type plugin struct{}

var _ kernel.Plugin = plugin{}

func init() { kernel.Register(plugin{}) }

func (plugin) Name() string { return "Entry" }

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

func (plugin) Skip(s *kernel.Settings) bool { return s.Adapter != "" }

func (plugin) Run(ctx context.Context, k *kernel.Kernel) (func(), error) {
	engine, closeEngine := newEngine(k)
	stopStatus := kernel.RunLoops(ctx, (&statusReader{engine}).loop)
	mux := goahttp.NewMuxer()
	endpoints := entrygen.NewEndpoints(&service{engine: engine})
	server.New(endpoints, mux, goahttp.RequestDecoder, goahttp.ResponseEncoder, nil, encodeError).Mount(mux)
	door := k.NewDoor(kernel.DoorCallers, guard.DoorConfig{Limits: limits})
	stop, err := listen(door, k.Settings.Listen, "-Listen", callerMiddleware(k, limitBody(mux)))
	if err != nil {
		stopStatus()
		closeEngine()
		return nil, err
	}
	return func() {
		left, _ := k.StopLeft()
		stop(max(left, k.Settings.StopBound))
		ctx, cancel := context.WithTimeout(context.Background(), k.Settings.StopBound)
		defer cancel()
		k.AwaitIdle(ctx)
		engine.handOver()
		stopStatus()
		closeEngine()
	}, nil
}

func limits() guard.Limits { return ownLimits }

// operatorDoor returns a door for operators or their programs.
func operatorDoor(k *kernel.Kernel, name kernel.DoorName) *guard.Door {
	return k.NewDoor(name, guard.DoorConfig{Limits: limits, RequestInterval: operatorInterval})
}

// listen serves HTTP at an address through a door. The returned function stops the server once its
// requests are done, or after a timeout.
func listen(d *guard.Door, at netip.AddrPort, flag string, h http.Handler) (func(time.Duration), error) {
	l, err := d.Listen(at)
	if err != nil {
		return nil, fmt.Errorf("listen on %s: %w (free the address or set %s)", at, err, flag)
	}
	s := d.Server(h)
	go func() { _ = s.Serve(l) }()
	return func(timeout time.Duration) {
		ctx, cancel := context.WithTimeout(context.Background(), timeout)
		defer cancel()
		if s.Shutdown(ctx) != nil {
			_ = s.Close()
		}
	}, nil
}

// retryAfterNoRoom is when a caller may come back whose body does not fit beside others.
const retryAfterNoRoom = time.Second

// limitBody reads the bodies of requests, whose size and memory are limited, and has them decoded as
// JSON regardless of their content type.
func limitBody(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		r.Header.Set("Content-Type", "application/json")
		body, err := readBody(w, r)
		if errors.Is(err, guard.ErrNoRoom) || errors.Is(err, guard.ErrBusy) {
			guard.FromContext(r.Context()).NoteRefusal(http.StatusServiceUnavailable, err)
			refuseForRoom(w, err)
			return
		}
		r.Body = io.NopCloser(io.MultiReader(bytes.NewReader(body), &failingReader{cmp.Or(err, io.EOF)}))
		next.ServeHTTP(w, r)
	})
}

// readBody reads the body of a request. What it takes is held until the request is answered.
func readBody(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	if r.Body == nil || r.Body == http.NoBody {
		return nil, nil
	}
	c := guard.FromContext(r.Context())
	body, err := wire.ReadAll(http.MaxBytesReader(w, r.Body, wire.MaxBodyBytes), r.ContentLength, wire.MaxBodyBytes, c)
	if errors.Is(err, wire.ErrTooLarge) {
		err = &http.MaxBytesError{Limit: wire.MaxBodyBytes}
	}
	if !c.EndBody() {
		return nil, fmt.Errorf("body gave way to those of other requests: %w", guard.ErrNoRoom)
	}
	return body, err
}

// refuseForRoom answers a request whose body does not fit beside those of others. It did not run.
func refuseForRoom(w http.ResponseWriter, err error) {
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set("Connection", "close")
	h.Set("Retry-After", strconv.Itoa(int(retryAfterNoRoom.Seconds())))
	w.WriteHeader(http.StatusServiceUnavailable)
	_ = json.NewEncoder(w).Encode(&faultBody{Kind: "Busy", Message: err.Error()}) // the caller may be gone
}

// failingReader ends a body with an error.
type failingReader struct{ err error }

func (f *failingReader) Read([]byte) (int, error) { return 0, f.err }

// callerMiddleware continues the trace given in the headers, and makes callers of a draining
// host close their connections.
func callerMiddleware(k *kernel.Kernel, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if k.Phase() == kernel.PhaseDraining {
			w.Header().Set("Connection", "close")
		}
		ctx, release := kernel.WithHeldBytes(wire.ExtractTrace(r.Context(), r.Header))
		defer release()
		next.ServeHTTP(w, r.WithContext(ctx))
	})
}

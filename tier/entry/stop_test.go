package entry

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"go.opentelemetry.io/otel/trace/noop"
	"gotest.tools/v3/assert"
	is "gotest.tools/v3/assert/cmp"

	"loomgap/tier/config"
	"loomgap/tier/kernel"
	"loomgap/tier/policy"
	"loomgap/tier/wire"
)

// stopTimes are those of a planned stop in tests: the balancer knows of it after settle, and the host
// has until settleMost plus bound.
const (
	stopSettle     = time.Second
	stopSettleMost = 4 * time.Second
	stopBound      = time.Second
)

// stopStand is a process of the own interface with one upstream that takes some time for each order and
// then answers nothing that makes sense.
type stopStand struct {
	t      *testing.T
	kernel *kernel.Kernel
	// close ends the plug-in, as at the end of a planned stop.
	close func()
	// placed counts the orders that the upstream was sent.
	placed atomic.Int64
}

func newStopStand(t *testing.T, work time.Duration) *stopStand {
	s := &stopStand{t: t}
	upstream := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == wire.PathPlace {
			s.placed.Add(1)
			time.Sleep(work)
		}
		w.WriteHeader(http.StatusNotFound)
	}))
	t.Cleanup(upstream.Close)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	at := netip.MustParseAddrPort(l.Addr().String())
	assert.NilError(t, l.Close())
	k, stop := kernel.New(kernel.Config{
		Settings: kernel.Settings{
			Host: "H1", Hall: "A", Incarnation: "1", Listen: at, TicketLife: time.Minute,
			Settle: stopSettle, SettleMost: stopSettleMost, SettleAsks: 1, StopBound: stopBound,
		},
		Log: zerolog.Nop(), Tracer: noop.NewTracerProvider().Tracer(""), Started: time.Now(),
		Fleet: policy.NewFleet(policy.FleetConfig{Random: rand.New(rand.NewPCG(1, 2))}),
	})
	t.Cleanup(stop)
	text, err := os.ReadFile("testdata/orders.json")
	assert.NilError(t, err)
	document := strings.Replace(string(text), "127.0.0.1:7500", strings.TrimPrefix(upstream.URL, "http://"), 1)
	done := make(chan struct{})
	k.Do(func(s *kernel.State) {
		k.Accept(s, document, config.Edition{Position: config.Position{Revision: 1}})
		s.Confirm(k.Now())
	})
	k.Do(func(*kernel.State) { close(done) })
	<-done
	assert.Equal(t, k.View().Refused, "")
	s.kernel = k
	s.close, err = plugin{}.Run(t.Context(), k)
	assert.NilError(t, err)
	return s
}

// post sends a request to the host and returns the status and the body, or the error.
func (s *stopStand) post(path, body string) (status int, answer string, err error) {
	r, err := http.Post("http://"+s.kernel.Settings.Listen.String()+path, "application/json", strings.NewReader(body))
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = r.Body.Close() }()
	text, err := io.ReadAll(r.Body)
	return r.StatusCode, string(text), err
}

// order returns the body of an order with a new ticket.
func (s *stopStand) order(deadline time.Duration) string {
	_, text, err := s.post("/tickets", "")
	assert.NilError(s.t, err)
	var t struct{ Ticket string }
	assert.NilError(s.t, json.Unmarshal([]byte(text), &t))
	return fmt.Sprintf(`{"Ticket": %q, "Statement": %q, "Class": "Order", "DeadlineMillis": %d}`, t.Ticket, testStatement, deadline.Milliseconds())
}

// TestStopCutsNoOrder guards against orders that run and get no answer because the host that runs them
// ends: it took what it could not finish, or did not use the time that its stop has.
func TestStopCutsNoOrder(t *testing.T) {
	tests := []struct {
		name           string
		work, deadline time.Duration
		wantStatus     int
		wantPlaced     int64
	}{
		{"ends within the stop, after StopBound", 2500 * time.Millisecond, 4 * time.Second, http.StatusOK, 1},
		{"may end after the stop", 2500 * time.Millisecond, 10 * time.Second, http.StatusServiceUnavailable, 0},
		{"short", 0, time.Second, http.StatusOK, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := newStopStand(t, tt.work)
			s.kernel.SetPhase(kernel.PhaseReady)
			order := s.order(tt.deadline)
			s.kernel.SetPhase(kernel.PhaseDraining)
			s.kernel.Ready() // The balancer learns of the stop at once.
			var stopped sync.WaitGroup
			stopped.Go(func() {
				s.kernel.Settle()
				s.close()
			})
			for stopping := false; !stopping; _, stopping = s.kernel.StopLeft() {
				time.Sleep(time.Millisecond)
			}
			began := time.Now()
			status, answer, err := s.post("/orders", order)
			assert.Check(t, err)
			assert.Check(t, is.Equal(status, tt.wantStatus), answer)
			assert.Check(t, is.Equal(s.placed.Load(), tt.wantPlaced))
			if tt.wantPlaced == 0 {
				assert.Check(t, time.Since(began) < stopSettleMost, "refused after %s", time.Since(began))
			}
			stopped.Wait()
		})
	}
}

package entry

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"net/netip"
	"os"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"go.opentelemetry.io/otel/trace/noop"
	"gotest.tools/v3/assert"

	"loomgap/tier/config"
	entrygen "loomgap/tier/gen/entry"
	"loomgap/tier/kernel"
	"loomgap/tier/policy"
)

// testBeat is the heartbeat interval in tests of tickets at several hosts. The deadline of the orders
// in testdata is long beside it.
const testBeat = 100 * time.Millisecond

var errNotReached = errors.New("host not reached")

// hostNetwork connects hosts in memory.
type hostNetwork struct {
	mu    sync.Mutex
	hosts map[string]*engine
	// before is called before a message is delivered, outside mu; its error is that of the call.
	before func(host, method string) error
	// wrap runs the handler of a call to a host.
	wrap func(host string, call func() error) error
}

var _ kernel.PeerCaller = (*hostNetwork)(nil)

// Call implements kernel.PeerCaller.
func (n *hostNetwork) Call(ctx context.Context, host, method string, params, result any) error {
	n.mu.Lock()
	to, before, wrap := n.hosts[host], n.before, n.wrap
	n.mu.Unlock()
	if before != nil {
		if err := before(host, method); err != nil {
			return err
		}
	}
	if to == nil {
		return errNotReached
	}
	in, err := json.Marshal(params)
	if err != nil {
		return err
	}
	var out any
	serve := func() (err error) {
		out, err = to.kernel.Handler(method)(ctx, in)
		return err
	}
	if wrap != nil {
		err = wrap(host, serve)
	} else {
		err = serve()
	}
	if err != nil {
		return err
	}
	text, err := json.Marshal(out)
	if err != nil {
		return err
	}
	return json.Unmarshal(text, result)
}

// Notify implements kernel.PeerCaller.
func (n *hostNetwork) Notify(ctx context.Context, host, method string, params any) error {
	var none any
	return n.Call(ctx, host, method, params, &none)
}

// Connect implements kernel.PeerCaller.
func (*hostNetwork) Connect(context.Context, string) error { return nil }

// start starts a process of a host, which others reach from now on.
func (n *hostNetwork) start(t *testing.T, host, incarnation string) *engine {
	k, stop := kernel.New(kernel.Config{
		Settings: kernel.Settings{Host: host, Hall: "A", Incarnation: incarnation, Beat: testBeat, TicketLife: time.Minute},
		Log:      zerolog.Nop(), Tracer: noop.NewTracerProvider().Tracer(""), Started: time.Now(),
		Fleet: policy.NewFleet(policy.FleetConfig{Random: rand.New(rand.NewPCG(1, 2))}),
	})
	k.Peers = n
	e, closeEngine := newEngine(k)
	t.Cleanup(func() {
		closeEngine()
		stop()
	})
	text, err := os.ReadFile("testdata/orders.json")
	assert.NilError(t, err)
	publish(e, func(s *kernel.State) {
		k.Accept(s, string(text), config.Edition{Position: config.Position{Revision: 1}})
	})
	assert.Equal(t, k.View().Refused, "")
	n.mu.Lock()
	defer n.mu.Unlock()
	n.hosts[host] = e
	return e
}

// publish runs a job on the control thread of a host and waits for the view that results.
func publish(e *engine, job func(*kernel.State)) {
	for _, j := range []func(*kernel.State){job, func(*kernel.State) {}} {
		done := make(chan struct{})
		e.kernel.Do(func(s *kernel.State) { j(s); close(done) })
		<-done
	}
}

// learn makes a host hear of a process of another.
func learn(e *engine, host, incarnation string, leaving bool) {
	publish(e, func(s *kernel.State) {
		s.SetMember(kernel.Member{Host: host, Incarnation: incarnation, Hall: "A", Peer: netip.MustParseAddrPort("127.0.0.1:1"), Live: true, Leaving: leaving, Capacity: 1})
	})
}

const testStatement = "place Orders key 1 set Client = 1"

// completedOrder mints a ticket at a host whose order has the answer Complete.
func completedOrder(t *testing.T, e *engine) string {
	t.Helper()
	k, err := e.tickets.mint(e.kernel.Now())
	assert.NilError(t, err)
	assert.Equal(t, e.tickets.claim(e.kernel.Now(), k.Counter, testStatement).kind, claimRun)
	e.tickets.finish(k.Counter, e.newAnswer(k.String(), "Order", outcomeComplete))
	return k.String()
}

// ask sends an order to a host and returns the answer.
func ask(t *testing.T, e *engine, ticket string) *entrygen.Answer {
	t.Helper()
	a, err := e.Order(t.Context(), &entrygen.OrderPayload{Ticket: ticket, Statement: testStatement, Class: "Order"})
	assert.NilError(t, err)
	return a
}

// TestOrderOfProcessNotHeardOfYet guards against orders that are answered Unknown because the host
// that is asked has not heard yet of the new process that minted the ticket.
func TestOrderOfProcessNotHeardOfYet(t *testing.T) {
	tests := []struct {
		name string
		// known is the process of H1 that H3 knows of, empty for none, and leaving whether it was
		// stopping. Later it hears of heard.
		known   string
		leaving bool
		heard   string
		// moved is whether the process that minted the ticket has another address than those before,
		// gone whether H1 has started again since.
		moved, gone bool
		want        string
	}{
		{name: "process known", known: "2", heard: "2", want: outcomeComplete},
		{name: "stopped process known", known: "1", leaving: true, heard: "1", want: outcomeComplete},
		{name: "stopped process known at another address", known: "1", leaving: true, heard: "2", moved: true, want: outcomeComplete},
		{name: "host unknown, heard of in a beat", heard: "2", want: outcomeComplete},
		{name: "process gone, known", known: "3", heard: "3", gone: true, want: outcomeUnknown},
		{name: "process gone, not known", known: "1", leaving: true, heard: "1", gone: true, want: outcomeUnknown},
		{name: "never heard of", want: outcomeUnknown},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			n := &hostNetwork{hosts: map[string]*engine{}}
			minter, asked := n.start(t, "H1", "2"), n.start(t, "H3", "1")
			n.start(t, "H2", "1")
			learn(asked, "H2", "1", false)
			if tt.known != "" {
				learn(asked, "H1", tt.known, tt.leaving)
			}
			order := completedOrder(t, minter)
			if tt.gone {
				n.start(t, "H1", "3")
			}
			n.before = func(host, _ string) error {
				m, known := asked.kernel.View().Members[host]
				if !known || host == "H1" && tt.moved && m.Incarnation != "2" {
					return errNotReached
				}
				return nil
			}
			var wg sync.WaitGroup
			if tt.heard != tt.known {
				wg.Go(func() {
					time.Sleep(testBeat / 2)
					learn(asked, "H1", tt.heard, false)
				})
			}
			assert.Equal(t, ask(t, asked, order).Outcome, tt.want)
			wg.Wait()
		})
	}
}

// TestOrderDuringHandover guards against orders that are answered Unknown because they come while the
// tickets of a stopping host are on their way to its successor.
func TestOrderDuringHandover(t *testing.T) {
	tests := []struct {
		name string
		// atSuccessor is whether the successor is asked, and not a third host.
		atSuccessor bool
		// cut is whether the stopping host ends as soon as it has handed its tickets over.
		cut bool
		// failed is whether the message with the order's ticket is lost.
		failed bool
		want   string
	}{
		{name: "third host", want: outcomeComplete},
		{name: "third host, the stopping one ends", cut: true, want: outcomeComplete},
		{name: "successor", atSuccessor: true, want: outcomeComplete},
		{name: "successor, the stopping host ends", atSuccessor: true, cut: true, want: outcomeComplete},
		{name: "message lost", failed: true, want: outcomeUnknown},
		{name: "message lost, successor", atSuccessor: true, failed: true, want: outcomeUnknown},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			n := &hostNetwork{hosts: map[string]*engine{}}
			all := []*engine{n.start(t, "H1", "1"), n.start(t, "H2", "1"), n.start(t, "H3", "1")}
			for _, e := range all {
				for _, o := range all {
					if o != e {
						learn(e, o.kernel.Settings.Host, "1", false)
					}
				}
			}
			stopping := all[0]
			for range ticketsPerMessage {
				completedOrder(t, stopping)
			}
			order := completedOrder(t, stopping) // Its ticket comes in the second message.
			ranked := successors(stopping.kernel.View(), &stopping.kernel.Settings, processID("H1", "1"))
			asked := n.hosts[ranked[1]]
			if tt.atSuccessor {
				asked = n.hosts[ranked[0]]
			}

			begun, orderCame, cut := make(chan struct{}), make(chan struct{}), make(chan struct{})
			var messages atomic.Int64
			var once sync.Once
			n.before = func(host, method string) error {
				switch {
				case method == methodAdopt && messages.Add(1) == 2:
					close(begun)
					<-orderCame
					time.Sleep(testBeat)
					if tt.failed {
						return errNotReached
					}
				case method == methodOrder && host == "H1":
					once.Do(func() { close(orderCame) })
				}
				return nil
			}
			n.wrap = func(host string, call func() error) error {
				if host != "H1" || !tt.cut {
					return call()
				}
				done := make(chan error, 1)
				go func() { done <- call() }()
				select {
				case <-cut:
					return errNotReached
				case err := <-done:
					return err
				}
			}
			var wg sync.WaitGroup
			wg.Go(func() {
				stopping.handOver()
				n.mu.Lock()
				delete(n.hosts, "H1")
				n.mu.Unlock()
				close(cut)
			})
			<-begun
			// An order that is not sent to the stopping host must not hold the handover up.
			time.AfterFunc(testBeat, func() { once.Do(func() { close(orderCame) }) })
			got := ask(t, asked, order)
			wg.Wait()
			assert.Equal(t, got.Outcome, tt.want)
		})
	}
}

package entry

import (
	"context"
	"sync/atomic"

	"go.opentelemetry.io/otel/attribute"

	entrygen "loomgap/tier/gen/entry"
	"loomgap/tier/kernel"
)

// engine serves requests. It is safe for concurrent use.
type engine struct {
	kernel  *kernel.Kernel
	tickets *ticketStore
	// adopted holds the tickets of processes that shut down gracefully.
	adopted adoptedTickets
	// endpoints maps the upstreams of the data hall to their endpoints. The map is
	// replaced as a whole and never modified.
	endpoints atomic.Pointer[map[string]*endpoint]
	// endpointInputs are the inputs of the current endpoints. Used on the control thread
	// only.
	endpointInputs endpointInputs
	// requests counts the request IDs assigned.
	requests atomic.Uint64
}

// newEngine creates an engine that updates itself with the kernel's views. The returned
// function closes the connections to upstreams.
func newEngine(k *kernel.Kernel) (*engine, func()) {
	e := &engine{
		kernel: k,
		tickets: newTicketStore(ticketsConfig{
			Host: k.Settings.Host, Incarnation: k.Settings.Incarnation, Life: k.Settings.TicketLife,
		}),
	}
	e.endpoints.Store(&map[string]*endpoint{})
	k.OnView(e.updateEndpoints)
	kernel.HandleMessage(k, methodRelay, "relay", e.serveRelay)
	kernel.HandleMessage(k, methodOrder, "order", e.serveOrder)
	kernel.HandleMessage(k, methodAdopt, "tickets", e.serveAdopt)
	return e, func() {
		for _, p := range *e.endpoints.Load() {
			p.client.close()
		}
	}
}

// instrument runs answer within a span of the given name. It counts the request as in flight
// meanwhile, and counts the answer in the metrics.
func (e *engine) instrument(ctx context.Context, name, id, class string, answer func(context.Context) (*entrygen.Answer, error)) (*entrygen.Answer, error) {
	e.kernel.InFlight.Add(1)
	defer e.kernel.InFlight.Add(-1)
	ctx, span := e.kernel.Tracer.Start(ctx, name)
	defer span.End()
	span.SetAttributes(attribute.String("RequestID", id), attribute.String("Class", class))
	started := e.kernel.Now()
	a, err := answer(ctx)
	if err != nil {
		return nil, err
	}
	span.SetAttributes(attribute.String("Outcome", a.Outcome))
	countAnswer(a, e.kernel.Now()-started)
	return a, nil
}

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
	// adopted are the tickets of processes that stopped as planned.
	adopted adoptedTickets
	// endpoints holds the upstreams of the data hall by name. The map is replaced as
	// a whole and never changed.
	endpoints atomic.Pointer[map[string]*endpoint]
	// endpointInputs is what the endpoints were made from; used on the control thread only.
	endpointInputs endpointInputs
	// requests counts the request IDs given out.
	requests atomic.Uint64
}

// newEngine makes an engine that follows the kernel's views. The function that it
// returns closes the connections to upstreams.
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

// instrument answers a request within a span, whose name is given. The request is counted
// as in flight until it is answered, and its answer is counted in the metrics.
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

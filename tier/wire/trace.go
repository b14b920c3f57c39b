package wire

import (
	"context"
	"net/http"

	"go.opentelemetry.io/otel/propagation"
)

// traceHeader is the W3C name of a trace's place.
const traceHeader = "traceparent"

var propagator propagation.TraceContext

// TraceOf gives the place of a context in its trace, for another host.
func TraceOf(ctx context.Context) string {
	carrier := propagation.MapCarrier{}
	propagator.Inject(ctx, carrier)
	return carrier.Get(traceHeader)
}

// TraceInto puts a context at the place that another host told.
func TraceInto(ctx context.Context, parent string) context.Context {
	return propagator.Extract(ctx, propagation.MapCarrier{traceHeader: parent})
}

// TraceFrom puts a context at the place that a caller's headers tell.
func TraceFrom(ctx context.Context, h http.Header) context.Context {
	return propagator.Extract(ctx, propagation.HeaderCarrier(h))
}

// TraceTo writes the place of a context into headers.
func TraceTo(ctx context.Context, h http.Header) {
	propagator.Inject(ctx, propagation.HeaderCarrier(h))
}

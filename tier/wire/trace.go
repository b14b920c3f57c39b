package wire

import (
	"context"
	"net/http"

	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"
)

// traceHeader is the W3C name of a trace's place.
const traceHeader = "traceparent"

var propagator propagation.TraceContext

// unsampled is the parent of spans that belong to no logged trace.
var unsampled = trace.NewSpanContext(trace.SpanContextConfig{TraceID: trace.TraceID{1}, SpanID: trace.SpanID{1}, Remote: true})

// TraceOf returns the place of a context in its trace, for another host; empty if
// the trace is not logged, which spares half of a short message.
func TraceOf(ctx context.Context) string {
	if !trace.SpanContextFromContext(ctx).IsSampled() {
		return ""
	}
	carrier := propagation.MapCarrier{}
	propagator.Inject(ctx, carrier)
	return carrier.Get(traceHeader)
}

// TraceInto puts a context at the place that another host told. With an empty
// one nothing under it is logged either.
func TraceInto(ctx context.Context, parent string) context.Context {
	if parent == "" {
		return trace.ContextWithRemoteSpanContext(ctx, unsampled)
	}
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

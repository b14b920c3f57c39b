package wire

import (
	"context"
	"net/http"

	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"
)

// traceParentHeader is the W3C header that names the trace and the parent span.
const traceParentHeader = "traceparent"

var propagator propagation.TraceContext

// unsampledParent is the parent of spans that belong to no sampled trace.
var unsampledParent = trace.NewSpanContext(trace.SpanContextConfig{TraceID: trace.TraceID{1}, SpanID: trace.SpanID{1}, Remote: true})

// TraceParent returns the trace parent of a context, for another host; empty if the trace
// is not sampled, which halves a short message.
func TraceParent(ctx context.Context) string {
	if !trace.SpanContextFromContext(ctx).IsSampled() {
		return ""
	}
	carrier := propagation.MapCarrier{}
	propagator.Inject(ctx, carrier)
	return carrier.Get(traceParentHeader)
}

// WithTraceParent continues the trace of another host's TraceOf. If it is empty, nothing
// under the context is sampled either.
func WithTraceParent(ctx context.Context, parent string) context.Context {
	if parent == "" {
		return trace.ContextWithRemoteSpanContext(ctx, unsampledParent)
	}
	return propagator.Extract(ctx, propagation.MapCarrier{traceParentHeader: parent})
}

// ExtractTrace continues the trace of a caller's headers.
func ExtractTrace(ctx context.Context, h http.Header) context.Context {
	return propagator.Extract(ctx, propagation.HeaderCarrier(h))
}

// InjectTrace writes the trace parent of a context into headers.
func InjectTrace(ctx context.Context, h http.Header) {
	propagator.Inject(ctx, propagation.HeaderCarrier(h))
}

package wire

import (
	"context"
	"net/http"

	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"
)

// traceParentHeader is the W3C Trace Context header that carries the IDs of the trace and of the
// parent span.
const traceParentHeader = "traceparent"

var propagator propagation.TraceContext

// unsampledParent is the parent of spans outside any sampled trace.
var unsampledParent = trace.NewSpanContext(trace.SpanContextConfig{TraceID: trace.TraceID{1}, SpanID: trace.SpanID{1}, Remote: true})

// TraceParent returns the trace parent of a context, to be sent to another host. It is
// empty if the trace is not sampled, which keeps messages short.
func TraceParent(ctx context.Context) string {
	if !trace.SpanContextFromContext(ctx).IsSampled() {
		return ""
	}
	carrier := propagation.MapCarrier{}
	propagator.Inject(ctx, carrier)
	return carrier.Get(traceParentHeader)
}

// WithTraceParent continues the trace whose parent another host got from TraceParent. If
// parent is empty, spans under the returned context are not sampled.
func WithTraceParent(ctx context.Context, parent string) context.Context {
	if parent == "" {
		return trace.ContextWithRemoteSpanContext(ctx, unsampledParent)
	}
	return propagator.Extract(ctx, propagation.MapCarrier{traceParentHeader: parent})
}

// ExtractTrace continues the trace given in a caller's headers.
func ExtractTrace(ctx context.Context, h http.Header) context.Context {
	return propagator.Extract(ctx, propagation.HeaderCarrier(h))
}

// InjectTrace sets the trace parent of a context in headers.
func InjectTrace(ctx context.Context, h http.Header) {
	propagator.Inject(ctx, propagation.HeaderCarrier(h))
}

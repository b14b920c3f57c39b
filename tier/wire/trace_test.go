package wire

import (
	"context"
	"testing"

	"go.opentelemetry.io/otel/trace"
	"gotest.tools/v3/assert"
)

// TestTraceParentIsSentOnlyIfSampled checks that another host continues a sampled trace and
// samples nothing otherwise.
func TestTraceParentIsSentOnlyIfSampled(t *testing.T) {
	c := trace.SpanContextConfig{TraceID: trace.TraceID{7}, SpanID: trace.SpanID{8}}
	unsampled := trace.ContextWithSpanContext(context.Background(), trace.NewSpanContext(c))
	assert.Equal(t, TraceParent(unsampled), "")
	continued := trace.SpanContextFromContext(WithTraceParent(context.Background(), TraceParent(unsampled)))
	assert.Assert(t, continued.IsValid() && !continued.IsSampled(), "the other host must not start its own trace")

	c.TraceFlags = trace.FlagsSampled
	sampled := trace.ContextWithSpanContext(context.Background(), trace.NewSpanContext(c))
	continued = trace.SpanContextFromContext(WithTraceParent(context.Background(), TraceParent(sampled)))
	assert.Equal(t, continued.TraceID(), c.TraceID)
	assert.Assert(t, continued.IsSampled())
}

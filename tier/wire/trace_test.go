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
	quiet := trace.ContextWithSpanContext(context.Background(), trace.NewSpanContext(c))
	assert.Equal(t, TraceParent(quiet), "")
	there := trace.SpanContextFromContext(WithTraceParent(context.Background(), TraceParent(quiet)))
	assert.Assert(t, there.IsValid() && !there.IsSampled(), "the other host must not start its own trace")

	c.TraceFlags = trace.FlagsSampled
	logged := trace.ContextWithSpanContext(context.Background(), trace.NewSpanContext(c))
	there = trace.SpanContextFromContext(WithTraceParent(context.Background(), TraceParent(logged)))
	assert.Equal(t, there.TraceID(), c.TraceID)
	assert.Assert(t, there.IsSampled())
}

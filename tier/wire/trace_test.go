package wire

import (
	"context"
	"testing"

	"go.opentelemetry.io/otel/trace"
	"gotest.tools/v3/assert"
)

// TestTraceParentIsSentOnlyIfSampled hands the place of a context to another host.
func TestTraceParentIsSentOnlyIfSampled(t *testing.T) {
	c := trace.SpanContextConfig{TraceID: trace.TraceID{7}, SpanID: trace.SpanID{8}}
	quiet := trace.ContextWithSpanContext(context.Background(), trace.NewSpanContext(c))
	assert.Equal(t, TraceParent(quiet), "")
	there := trace.SpanContextFromContext(WithTraceParent(context.Background(), TraceParent(quiet)))
	assert.Assert(t, there.IsValid() && !there.IsSampled(), "the other host must not begin a trace of its own")

	c.TraceFlags = trace.FlagsSampled
	logged := trace.ContextWithSpanContext(context.Background(), trace.NewSpanContext(c))
	there = trace.SpanContextFromContext(WithTraceParent(context.Background(), TraceParent(logged)))
	assert.Equal(t, there.TraceID(), c.TraceID)
	assert.Assert(t, there.IsSampled())
}

package main

import (
	"context"

	"github.com/rs/zerolog"
	sdk "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/trace"
)

// spanLogger is a span exporter that writes spans to the log.
type spanLogger struct {
	log zerolog.Logger
}

var _ sdk.SpanExporter = spanLogger{}

// ExportSpans implements sdk.SpanExporter. It writes a line for each span and never
// fails, since the log drops and counts lines that it cannot write in time.
func (s spanLogger) ExportSpans(_ context.Context, spans []sdk.ReadOnlySpan) error {
	for _, p := range spans {
		line := s.log.Info().
			Str("Trace", p.SpanContext().TraceID().String()).
			Str("Span", p.SpanContext().SpanID().String()).
			Str("Parent", p.Parent().SpanID().String()).
			Str("Hop", p.Name()).
			Time("Start", p.StartTime()).
			Dur("Took", p.EndTime().Sub(p.StartTime()))
		for _, a := range p.Attributes() {
			line = line.Str(string(a.Key), a.Value.String())
		}
		line.Msg("span ended")
	}
	return nil
}

func (spanLogger) Shutdown(context.Context) error { return nil }

// newTracer returns a tracer that logs the spans of a fraction of the requests, and of
// those whose caller sampled them in the traceparent header.
func newTracer(ratio float64, log zerolog.Logger) (trace.Tracer, func()) {
	p := sdk.NewTracerProvider(
		sdk.WithBatcher(spanLogger{log: log}),
		sdk.WithSampler(sdk.ParentBased(sdk.TraceIDRatioBased(ratio))),
	)
	return p.Tracer("loomgap"), func() { _ = p.Shutdown(context.Background()) }
}

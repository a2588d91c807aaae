package telemetry

import (
	"context"
	"encoding/binary"

	"go.opentelemetry.io/otel/attribute"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/trace"

	"bramleyhold.example/bramleyhold/internal/frame"
)

// Tracer records one span for each hop of a sampled opening. The trace context is
// carried in the frame header. A nil Tracer records no spans.
type Tracer struct {
	tracer trace.Tracer
}

// NewTracer returns a tracer that reports finished spans to the provider.
func NewTracer(provider *sdktrace.TracerProvider) *Tracer {
	return &Tracer{tracer: provider.Tracer("bramleyhold")}
}

// Start starts the trace of an opening at the first process that receives it.
func (t *Tracer) Start(name string, attributes ...attribute.KeyValue) (frame.Trace, trace.Span) {
	if t == nil {
		return frame.Trace{}, nil
	}
	_, span := t.tracer.Start(context.Background(), name, trace.WithAttributes(attributes...), trace.WithNewRoot())
	return toFrameTrace(span.SpanContext()), span
}

// Continue starts the span of a later hop, as a child of the parent. It records no
// span if the parent is not sampled.
func (t *Tracer) Continue(parent frame.Trace, name string, attributes ...attribute.KeyValue) (frame.Trace, trace.Span) {
	if t == nil || !parent.Sampled() {
		return parent, nil
	}
	ctx := trace.ContextWithRemoteSpanContext(context.Background(), toSpanContext(parent))
	_, span := t.tracer.Start(ctx, name, trace.WithAttributes(attributes...))
	return toFrameTrace(span.SpanContext()), span
}

func toFrameTrace(spanContext trace.SpanContext) frame.Trace {
	if !spanContext.IsSampled() {
		return frame.Trace{}
	}
	traceID, spanID := spanContext.TraceID(), spanContext.SpanID()
	return frame.Trace{
		High: binary.BigEndian.Uint64(traceID[:8]), Low: binary.BigEndian.Uint64(traceID[8:]), Span: binary.BigEndian.Uint64(spanID[:]),
	}
}

func toSpanContext(parent frame.Trace) trace.SpanContext {
	var traceID trace.TraceID
	var spanID trace.SpanID
	binary.BigEndian.PutUint64(traceID[:8], parent.High)
	binary.BigEndian.PutUint64(traceID[8:], parent.Low)
	binary.BigEndian.PutUint64(spanID[:], parent.Span)
	return trace.NewSpanContext(trace.SpanContextConfig{TraceID: traceID, SpanID: spanID, TraceFlags: trace.FlagsSampled, Remote: true})
}

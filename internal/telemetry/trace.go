package telemetry

import (
	"context"
	"encoding/binary"

	"go.opentelemetry.io/otel/attribute"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/trace"

	"bramleyhold.example/bramleyhold/internal/frame"
)

// Tracer makes one span for each hop of a sampled opening. The trace context
// travels in the frame header. A nil Tracer makes none.
type Tracer struct {
	tracer trace.Tracer
}

// NewTracer returns a tracer that hands finished spans to the provider.
func NewTracer(provider *sdktrace.TracerProvider) *Tracer {
	return &Tracer{tracer: provider.Tracer("bramleyhold")}
}

// Start begins the trace of an opening at the process that takes it in.
func (t *Tracer) Start(name string, attributes ...attribute.KeyValue) (frame.Trace, trace.Span) {
	if t == nil {
		return frame.Trace{}, nil
	}
	_, span := t.tracer.Start(context.Background(), name, trace.WithAttributes(attributes...), trace.WithNewRoot())
	return toFrame(span.SpanContext()), span
}

// Continue begins the span of a further hop.
func (t *Tracer) Continue(parent frame.Trace, name string, attributes ...attribute.KeyValue) (frame.Trace, trace.Span) {
	if t == nil || !parent.Sampled() {
		return parent, nil
	}
	ctx := trace.ContextWithRemoteSpanContext(context.Background(), fromFrame(parent))
	_, span := t.tracer.Start(ctx, name, trace.WithAttributes(attributes...))
	return toFrame(span.SpanContext()), span
}

func toFrame(c trace.SpanContext) frame.Trace {
	if !c.IsSampled() {
		return frame.Trace{}
	}
	id, span := c.TraceID(), c.SpanID()
	return frame.Trace{
		High: binary.BigEndian.Uint64(id[:8]), Low: binary.BigEndian.Uint64(id[8:]), Span: binary.BigEndian.Uint64(span[:]),
	}
}

func fromFrame(t frame.Trace) trace.SpanContext {
	var id trace.TraceID
	var span trace.SpanID
	binary.BigEndian.PutUint64(id[:8], t.High)
	binary.BigEndian.PutUint64(id[8:], t.Low)
	binary.BigEndian.PutUint64(span[:], t.Span)
	return trace.NewSpanContext(trace.SpanContextConfig{TraceID: id, SpanID: span, TraceFlags: trace.FlagsSampled, Remote: true})
}

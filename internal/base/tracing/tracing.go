// Package tracing records a span for each hop of a request and propagates the W3C trace context between processes.
package tracing

import (
	"context"
	"errors"
	"fmt"
	"os"
	"strings"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	"go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/sdk/resource"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"
)

// Options configures tracing. No spans are recorded unless OTLP or File is set.
type Options struct {
	// OTLP is the URL of a collector that accepts OTLP over HTTP, for example http://127.0.0.1:4318/v1/traces.
	OTLP string `yaml:"otlp"`
	// File is the path of a file to which each span is appended as a JSON object.
	File string `yaml:"file"`
	// Ratio is the fraction of new traces that are sampled, from 0 to 1; default 1. If the incoming trace context
	// carries a sampling decision, that decision applies instead.
	Ratio *float64 `yaml:"ratio"`
}

// HeaderName is the HTTP header that carries the W3C trace context.
const HeaderName = "traceparent"

// Tracer records the spans of one process.
type Tracer struct {
	tracer trace.Tracer
	prop   propagation.TraceContext
	close  func(context.Context) error
}

// New returns the tracer for the named process.
func New(ctx context.Context, process string, o Options) (*Tracer, error) {
	exporters, file, err := newExporters(ctx, o)
	if err != nil {
		return nil, err
	}
	if len(exporters) == 0 {
		return Disabled(), nil
	}
	opts := []sdktrace.TracerProviderOption{
		sdktrace.WithSampler(sdktrace.ParentBased(sdktrace.TraceIDRatioBased(samplingRatio(o)))),
		sdktrace.WithResource(resource.NewSchemaless(attribute.String("service.name", process))),
	}
	for _, e := range exporters {
		opts = append(opts, sdktrace.WithBatcher(e))
	}
	provider := sdktrace.NewTracerProvider(opts...)
	shutdown := func(ctx context.Context) error {
		err := provider.Shutdown(ctx)
		if file != nil {
			err = errors.Join(err, file.Close())
		}
		return err
	}
	return &Tracer{tracer: provider.Tracer(process), close: shutdown}, nil
}

// Disabled returns a tracer that records no spans and forwards an incoming trace context unchanged.
func Disabled() *Tracer {
	return &Tracer{tracer: noop.NewTracerProvider().Tracer(""), close: func(context.Context) error { return nil }}
}

func samplingRatio(o Options) float64 {
	if o.Ratio == nil {
		return 1
	}
	return *o.Ratio
}

// newExporters returns the exporters of the options and the file that one of them writes to; nil if there is none.
func newExporters(ctx context.Context, o Options) (exporters []sdktrace.SpanExporter, file *os.File, err error) {
	if o.OTLP != "" {
		e, err := otlptracehttp.New(ctx, otlptracehttp.WithEndpointURL(o.OTLP))
		if err != nil {
			return nil, nil, fmt.Errorf("trace exporter: %w", err)
		}
		exporters = append(exporters, e)
	}
	if o.File != "" {
		file, err = os.OpenFile(o.File, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
		if err != nil {
			return nil, nil, fmt.Errorf("trace file: %w", err)
		}
		e, err := stdouttrace.New(stdouttrace.WithWriter(file))
		if err != nil {
			return nil, nil, fmt.Errorf("trace exporter: %w", err)
		}
		exporters = append(exporters, e)
	}
	return exporters, file, nil
}

// Close exports the buffered spans and shuts the tracer down.
func (t *Tracer) Close(ctx context.Context) error { return t.close(ctx) }

// Span is one hop of a request.
type Span struct {
	span   trace.Span
	parent string
}

// Start begins the span of a hop. parent is the incoming traceparent header and may be empty; it is used only if ctx
// has no span yet.
func (t *Tracer) Start(ctx context.Context, name, parent string, attrs ...attribute.KeyValue) (context.Context, Span) {
	if parent != "" && !trace.SpanContextFromContext(ctx).IsValid() {
		ctx = t.prop.Extract(ctx, propagation.MapCarrier{HeaderName: parent})
	}
	ctx, span := t.tracer.Start(ctx, name, trace.WithAttributes(valid(attrs)...))
	return ctx, Span{span, parent}
}

// Header returns the traceparent header for the next hop.
func (s Span) Header() string {
	sc := s.span.SpanContext()
	if !sc.IsValid() {
		return s.parent
	}
	return fmt.Sprintf("00-%s-%s-%s", sc.TraceID(), sc.SpanID(), sc.TraceFlags())
}

// SetAttributes sets attributes of the span.
func (s Span) SetAttributes(attrs ...attribute.KeyValue) { s.span.SetAttributes(valid(attrs)...) }

// End ends the span and records err on it if err is not nil.
func (s Span) End(err error) {
	if err != nil {
		s.span.RecordError(validError{err})
	}
	s.span.End()
}

// replacementCharacter stands for bytes that are not UTF-8.
const replacementCharacter = "\uFFFD"

// valid replaces the bytes of text attributes that are not UTF-8. Callers and upstreams choose such text, and the encoder of a
// batch of spans fails for the whole batch.
func valid(attrs []attribute.KeyValue) []attribute.KeyValue {
	for i, a := range attrs {
		if a.Value.Type() == attribute.STRING {
			attrs[i].Value = attribute.StringValue(strings.ToValidUTF8(a.Value.AsString(), replacementCharacter))
		}
	}
	return attrs
}

// validError is an error whose text is UTF-8.
type validError struct{ cause error }

// Error implements error.
func (e validError) Error() string { return strings.ToValidUTF8(e.cause.Error(), replacementCharacter) }

// Unwrap returns the cause.
func (e validError) Unwrap() error { return e.cause }

package tracing_test

import (
	"context"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/cardamomyoke/cardamomyoke/internal/base/tracing"
)

// span holds the fields of an exported span that the tests check.
type span struct {
	Name        string
	SpanContext struct{ TraceID, SpanID string }
	Parent      struct{ SpanID string }
}

func readSpans(t *testing.T, file string) map[string]span {
	t.Helper()
	data, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	out := map[string]span{}
	dec := json.NewDecoder(strings.NewReader(string(data)))
	for dec.More() {
		var s span
		if err := dec.Decode(&s); err != nil {
			t.Fatal(err)
		}
		out[s.Name] = s
	}
	return out
}

// Guards against a trace that is split between two processes, which share it through the traceparent header alone. The
// slot's span must be a child of the entry's span, and both must belong to the trace that the caller started.
func TestSpansOfTwoProcessesShareOneTrace(t *testing.T) {
	const caller = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01"
	file := filepath.Join(t.TempDir(), "spans.json")
	first, err := tracing.New(t.Context(), "entry", tracing.Options{File: file})
	if err != nil {
		t.Fatal(err)
	}
	second, err := tracing.New(t.Context(), "slot", tracing.Options{File: file})
	if err != nil {
		t.Fatal(err)
	}
	_, request := first.Start(t.Context(), "entry request", caller)
	_, run := second.Start(t.Context(), "slot run", request.Header())
	run.End(nil)
	request.End(nil)
	for _, tr := range []*tracing.Tracer{first, second} {
		if err := tr.Close(context.Background()); err != nil {
			t.Fatal(err)
		}
	}
	spans := readSpans(t, file)
	if spans["slot run"].Parent.SpanID != spans["entry request"].SpanContext.SpanID {
		t.Fatalf("the slot's span is not a child of the entry's span: %+v", spans)
	}
	for name, s := range spans {
		if s.SpanContext.TraceID != "0af7651916cd43dd8448eb211c80319c" {
			t.Errorf("%s belongs to trace %s", name, s.SpanContext.TraceID)
		}
	}
}

// Guards against losing the caller's trace context on its way to the engine when no exporter is set and no span is
// recorded.
func TestTraceContextIsForwardedWithoutExporter(t *testing.T) {
	const caller = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01"
	tr, err := tracing.New(t.Context(), "entry", tracing.Options{})
	if err != nil {
		t.Fatal(err)
	}
	_, s := tr.Start(t.Context(), "entry request", caller)
	if got := s.Header(); got != caller {
		t.Fatalf("got %q", got)
	}
}

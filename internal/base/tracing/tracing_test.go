package tracing_test

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"go.opentelemetry.io/otel/attribute"

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

// Guards against the loss of all spans of a batch because one has text of a caller that is not UTF-8, such as an attempt id.
func TestSpanWithInvalidTextIsExported(t *testing.T) {
	bodies := make(chan []byte, 1)
	collector := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			t.Error(err)
		}
		bodies <- body
	}))
	defer collector.Close()
	tracer, err := tracing.New(t.Context(), "p", tracing.Options{OTLP: collector.URL})
	if err != nil {
		t.Fatal(err)
	}
	_, sound := tracer.Start(t.Context(), "sound", "")
	sound.End(nil)
	_, span := tracer.Start(t.Context(), "invalid", "", attribute.String("attempt", "a\xff"))
	span.SetAttributes(attribute.String("service", "s\xfe"))
	span.End(errors.New("response to \xfd"))
	if err := tracer.Close(t.Context()); err != nil {
		t.Fatal(err)
	}
	select {
	case body := <-bodies:
		for _, name := range []string{"sound", "invalid", "a\uFFFD"} {
			if !bytes.Contains(body, []byte(name)) {
				t.Errorf("no %q in the export", name)
			}
		}
	default:
		t.Error("nothing was exported")
	}
}

// Guards against a file that stays open after each tracer that was closed.
func TestCloseClosesTheFile(t *testing.T) {
	path := filepath.Join(t.TempDir(), "spans")
	tracer, err := tracing.New(t.Context(), "p", tracing.Options{File: path})
	if err != nil {
		t.Fatal(err)
	}
	if !isOpen(t, path) {
		t.Fatal("the file is not open")
	}
	if err := tracer.Close(t.Context()); err != nil {
		t.Fatal(err)
	}
	if isOpen(t, path) {
		t.Fatal("the file is still open")
	}
}

// isOpen reports whether this process has the file open.
func isOpen(t *testing.T, path string) bool {
	t.Helper()
	links, err := filepath.Glob("/proc/self/fd/*")
	if err != nil {
		t.Fatal(err)
	}
	for _, link := range links {
		if to, err := os.Readlink(link); err == nil && to == path {
			return true
		}
	}
	return false
}

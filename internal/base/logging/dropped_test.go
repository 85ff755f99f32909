package logging_test

import (
	"bytes"
	"encoding/json"
	"io"
	"strings"
	"testing"

	"github.com/cardamomyoke/cardamomyoke/internal/base/logging"
)

// gatedWriter blocks until it is released.
type gatedWriter struct {
	release chan struct{}
	out     bytes.Buffer
}

func (w *gatedWriter) Write(p []byte) (int, error) {
	<-w.release
	return w.out.Write(p)
}

var _ io.Writer = (*gatedWriter)(nil)

// Guards against a line that readers of JSON logs cannot parse, written when lines were dropped.
func TestDroppedLinesAreReportedInTheLogsFormat(t *testing.T) {
	for _, format := range []logging.Format{"", logging.FormatLogfmt, logging.FormatJSON} {
		t.Run(string(format), func(t *testing.T) {
			w := &gatedWriter{release: make(chan struct{})}
			a := logging.NewAsync(w, 1, format)
			for range 10 {
				_, _ = a.Write([]byte("{}\n"))
			}
			close(w.release)
			a.Close()
			lines := strings.Split(strings.TrimSpace(w.out.String()), "\n")
			reported := false
			for _, line := range lines {
				if !strings.Contains(line, "log lines dropped") {
					continue
				}
				reported = true
				if json.Valid([]byte(line)) != (format == logging.FormatJSON) {
					t.Errorf("got %s", line)
				}
			}
			if !reported {
				t.Errorf("no line about dropped ones in %q", lines)
			}
		})
	}
}

package logging_test

import (
	"bytes"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/go-kit/log"

	"github.com/cardamomyoke/cardamomyoke/internal/base/logging"
)

// Guards against a log that exceeds its limit, or hides that lines are missing, when the load triples for a second. The
// first line of the next second must report how many lines were suppressed.
func TestRateLimitedSuppressesAndCounts(t *testing.T) {
	now := time.Unix(0, 0)
	var out bytes.Buffer
	r := logging.NewRateLimited(log.NewLogfmtLogger(&out), 10, func() time.Time { return now })
	for range 30 {
		_ = r.Log("msg", "line")
	}
	now = now.Add(time.Second)
	_ = r.Log("msg", "next")
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	if len(lines) != 11 {
		t.Fatalf("%d lines", len(lines))
	}
	if want := "msg=next left_out=20"; lines[10] != want || r.Suppressed() != 20 {
		t.Fatalf("got %q, suppressed %d", lines[10], r.Suppressed())
	}
}

// blockedWriter is a log output whose reader has stopped: writes block until release is closed.
type blockedWriter struct{ release chan struct{} }

func (w blockedWriter) Write(p []byte) (int, error) {
	<-w.release
	return len(p), nil
}

var _ io.Writer = blockedWriter{}

// Guards against requests that hang because the process that reads the log has stopped and the pipe is full. Lines that
// do not fit the queue must be dropped and counted. The test hangs if a line waits for the reader.
func TestBlockedOutputDoesNotBlockLogging(t *testing.T) {
	const queue, lines = 8, 1000
	out := blockedWriter{make(chan struct{})}
	a := logging.NewAsync(out, queue, logging.FormatLogfmt)
	logger := logging.New(a, logging.Options{})
	for range lines {
		_ = logger.Log("msg", "placed")
	}
	// The goroutine may hold one line in addition to those in the queue.
	if got := a.Dropped(); got < lines-queue-1 {
		t.Fatalf("%d of %d lines dropped", got, lines)
	}
	close(out.release)
	a.Close()
}

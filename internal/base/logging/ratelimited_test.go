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

// Load triples for a second. The log stays as long as it is bounded to be, and the first line of the next second tells how
// many lines are missing.
func TestBoundedLeavesOutAndCounts(t *testing.T) {
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
		t.Fatalf("got %q, left out %d", lines[10], r.Suppressed())
	}
}

// stuck is a log whose reader has stopped: the first write never returns until it is released.
type stuck struct{ release chan struct{} }

func (s stuck) Write(p []byte) (int, error) {
	<-s.release
	return len(p), nil
}

var _ io.Writer = stuck{}

// Whoever reads the log stops, and the pipe is full. Requests that log go on: the lines that do not fit the queue are
// dropped and counted. The test would hang if a line waited for the reader.
func TestAStoppedReaderHoldsNobodyUp(t *testing.T) {
	const queue, lines = 8, 1000
	out := stuck{make(chan struct{})}
	a := logging.NewAsync(out, queue)
	logger := logging.New(a, logging.Options{})
	for range lines {
		_ = logger.Log("msg", "placed")
	}
	// One line may be in the writer's hands beside those in the queue.
	if got := a.Dropped(); got < lines-queue-1 {
		t.Fatalf("%d of %d lines dropped", got, lines)
	}
	close(out.release)
	a.Close()
}

package logging

import (
	"io"
	"sync"
	"sync/atomic"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
)

// Async writes lines from its own goroutine, so that Write never blocks.
//
// Requests that log must not hang when the process that reads the log stops reading. If the queue is full, lines are
// dropped and counted, and a line with their number is written before the next one.
type Async struct {
	out   io.Writer
	lines chan []byte
	// own writes the lines of Async itself.
	own       log.Logger
	dropped   atomic.Uint64
	total     atomic.Uint64
	closeOnce sync.Once
	// mu guards closed, so that no line is queued once Close has begun.
	mu     sync.RWMutex
	closed bool
	done   chan struct{}
}

// NewAsync returns a writer that queues up to the given number of lines for out and writes its own lines in the format.
// Close writes the remaining lines; later ones are dropped.
func NewAsync(out io.Writer, lines int, f Format) *Async {
	a := &Async{out: out, lines: make(chan []byte, lines), own: New(out, Options{Format: f}), done: make(chan struct{})}
	go a.run()
	return a
}

// Write implements io.Writer. It copies and queues one line, and never fails.
func (a *Async) Write(line []byte) (int, error) {
	a.mu.RLock()
	defer a.mu.RUnlock()
	if a.closed {
		a.total.Add(1)
		return len(line), nil
	}
	select {
	case a.lines <- append([]byte(nil), line...):
	default:
		a.dropped.Add(1)
		a.total.Add(1)
	}
	return len(line), nil
}

// Dropped returns how many lines have been dropped so far.
func (a *Async) Dropped() uint64 { return a.total.Load() }

// Close writes the queued lines and waits for them. Lines that are written afterwards are dropped.
func (a *Async) Close() {
	a.closeOnce.Do(a.closeQueue)
	<-a.done
}

func (a *Async) closeQueue() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.closed = true
	close(a.lines)
}

func (a *Async) run() {
	defer close(a.done)
	for line := range a.lines {
		if n := a.dropped.Swap(0); n > 0 {
			// A failure to write the log cannot be reported anywhere.
			_ = level.Warn(a.own).Log("msg", "log lines dropped", "lines", n)
		}
		_, _ = a.out.Write(line)
	}
}

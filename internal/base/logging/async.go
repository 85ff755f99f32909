package logging

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
)

// Async writes lines from a goroutine of its own and never makes a caller wait.
//
// If whoever reads the log stops, requests that log must not hang. Lines that find the queue full are dropped and counted,
// and the next line that is written says how many.
type Async struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Uint64
	total   atomic.Uint64
	close   sync.Once
	done    chan struct{}
}

// NewAsync returns a writer that keeps up to the given number of lines. Close writes what is left.
func NewAsync(out io.Writer, lines int) *Async {
	a := &Async{out: out, lines: make(chan []byte, lines), done: make(chan struct{})}
	go a.run()
	return a
}

// Write implements io.Writer; it takes one line, copies it and never fails.
func (a *Async) Write(line []byte) (int, error) {
	select {
	case a.lines <- append([]byte(nil), line...):
	default:
		a.dropped.Add(1)
		a.total.Add(1)
	}
	return len(line), nil
}

// Dropped returns how many lines were dropped so far.
func (a *Async) Dropped() uint64 { return a.total.Load() }

// Close writes the lines that are queued. Nothing may be written after it.
func (a *Async) Close() {
	a.close.Do(func() { close(a.lines) })
	<-a.done
}

func (a *Async) run() {
	defer close(a.done)
	for line := range a.lines {
		if n := a.dropped.Swap(0); n > 0 {
			// There is nowhere to report that the log cannot be written.
			_, _ = fmt.Fprintf(a.out, "level=warn msg=\"log lines dropped\" lines=%d\n", n)
		}
		_, _ = a.out.Write(line)
	}
}

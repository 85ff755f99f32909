// Package control runs the single goroutine that owns a process's control state.
//
// All events that change control state are posted to a Loop, which runs them one at a time, so the state needs no locks.
// Traffic never waits for the loop: it reads immutable snapshots that functions on the loop publish.
package control

import (
	"context"
	"time"
)

// mailboxSize is how many events may be queued; Post blocks while the mailbox is full.
const mailboxSize = 1024

// Loop runs posted functions on one goroutine. Create it with New.
type Loop struct {
	mailbox chan func(now time.Time)
	done    chan struct{}
}

// New returns a loop that is not running yet.
func New() *Loop {
	return &Loop{mailbox: make(chan func(time.Time), mailboxSize), done: make(chan struct{})}
}

// Post queues f to run on the loop; f is dropped once Run has returned. f must not block.
func (l *Loop) Post(f func(now time.Time)) {
	select {
	case l.mailbox <- f:
	case <-l.done:
	}
}

// Run runs the posted functions, and calls tick every period, until ctx is done.
func (l *Loop) Run(ctx context.Context, period time.Duration, tick func(now time.Time)) {
	defer close(l.done)
	ticker := time.NewTicker(period)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case f := <-l.mailbox:
			f(time.Now())
		case <-ticker.C:
			tick(time.Now())
		}
	}
}

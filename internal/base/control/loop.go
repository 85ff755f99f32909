// Package control runs the one goroutine that owns a process's control state.
//
// All events that change control state are posted to a Loop and run there one after the other, so the state needs no
// locks. Traffic never waits for the loop: it reads immutable snapshots that functions on the loop publish.
package control

import (
	"context"
	"time"
)

// mailboxSize is how many events may wait; a sender waits when it is full.
const mailboxSize = 1024

// Loop is a mailbox with one goroutine. Create it with New.
type Loop struct {
	mailbox chan func(now time.Time)
	done    chan struct{}
}

// New returns a loop that does not run yet.
func New() *Loop {
	return &Loop{mailbox: make(chan func(time.Time), mailboxSize), done: make(chan struct{})}
}

// Post hands f to the loop; it is dropped once the loop has ended. f must not wait for anything.
func (l *Loop) Post(f func(now time.Time)) {
	select {
	case l.mailbox <- f:
	case <-l.done:
	}
}

// Run runs posted functions, and tick every period, until ctx ends.
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

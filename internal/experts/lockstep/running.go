package lockstep

import "context"

// Running is a Controller or a ServiceController that runs in its own goroutine.
type Running struct {
	stop context.CancelFunc
	wake chan struct{}
}

// Start calls run in a new goroutine. The context that run gets is done when ctx is done or Stop is called; the
// channel receives a value on Wake.
func Start(ctx context.Context, run func(ctx context.Context, wake <-chan struct{})) *Running {
	ctx, cancel := context.WithCancel(ctx)
	r := &Running{stop: cancel, wake: make(chan struct{}, 1)}
	go run(ctx, r.wake)
	return r
}

// Wake triggers an immediate check.
func (r *Running) Wake() {
	select {
	case r.wake <- struct{}{}:
	default: // a check is already due
	}
}

// Stop ends the controller without waiting for its goroutine.
func (r *Running) Stop() { r.stop() }

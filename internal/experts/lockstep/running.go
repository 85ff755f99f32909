package lockstep

import "context"

// Running is a Controller or a ServiceController in a goroutine of its own.
type Running struct {
	stop context.CancelFunc
	wake chan struct{}
}

// Start runs what run says until Stop is called or ctx ends; wake is what Wake writes to.
func Start(ctx context.Context, run func(ctx context.Context, wake <-chan struct{})) *Running {
	ctx, cancel := context.WithCancel(ctx)
	r := &Running{stop: cancel, wake: make(chan struct{}, 1)}
	go run(ctx, r.wake)
	return r
}

// Wake has it look at its group at once.
func (r *Running) Wake() {
	select {
	case r.wake <- struct{}{}:
	default: // it is about to look
	}
}

// Stop ends it.
func (r *Running) Stop() { r.stop() }

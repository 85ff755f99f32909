package entry

import (
	"context"
	"time"
)

// Shutdown leaves in the order that cuts nothing off. Callers keep an address for a while, so first the address is
// withdrawn and the entry serves on for that time; then new work is refused as "not run"; then what is in flight is
// finished. ctx bounds the whole.
func (e *Entry) Shutdown(ctx context.Context) error {
	e.withdraw()
	wait := e.addressKeep()
	select {
	case <-time.After(wait):
	case <-ctx.Done():
	}
	e.post(func(now time.Time) {
		e.fire(eventHandoverOver)
		e.publish(now)
	})
	err := e.server.Drain(ctx)
	e.post(func(time.Time) { e.fire(eventDrained) })
	e.stop()
	return err
}

// withdraw takes the entry out of the addresses and tells the others.
func (e *Entry) withdraw() {
	e.post(func(now time.Time) {
		e.fire(eventLeave)
		e.publish(now)
		e.sendDigests(now, true)
	})
}

// post runs f on the control loop and waits for it.
func (e *Entry) post(f func(now time.Time)) {
	done := make(chan struct{})
	e.loop.Post(func(now time.Time) {
		f(now)
		close(done)
	})
	<-done
}

// addressKeep is for how long callers may keep an answer that names this entry.
func (e *Entry) addressKeep() time.Duration {
	v := e.view.Load()
	if v.config == nil {
		return 0
	}
	return time.Duration(v.config.Proto.GetPolicies().GetAddressKeepMs()) * time.Millisecond
}

// Kill ends the entry at once, as a crash would; for tests.
func (e *Entry) Kill() { e.stop() }

func (e *Entry) stop() {
	e.cancel()
	_ = e.receiver.Stop(context.Background())
	_ = e.server.Stop(context.Background())
	_ = e.sender.Close()
	e.client.Close()
}

package entry

import (
	"context"
	"time"
)

// Shutdown stops the entry without interrupting requests. Callers cache an address for some time, so the entry first
// withdraws its address and keeps serving for that time. Then it refuses new work as "not run" and finishes the requests
// in flight. ctx bounds the whole shutdown.
func (e *Entry) Shutdown(ctx context.Context) error {
	e.withdraw()
	wait := e.addressTTL()
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

// withdraw stops giving this entry's address to callers, and sends a digest with the new state to all targets.
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

// addressTTL returns how long callers may cache an address response that contains this entry.
func (e *Entry) addressTTL() time.Duration {
	v := e.view.Load()
	if v.config == nil {
		return 0
	}
	return time.Duration(v.config.Proto.GetPolicies().GetAddressKeepMs()) * time.Millisecond
}

// Kill stops the entry immediately, as a crash would.
func (e *Entry) Kill() { e.stop() }

func (e *Entry) stop() {
	e.cancel()
	_ = e.receiver.Stop(context.Background())
	_ = e.server.Stop(context.Background())
	_ = e.sender.Close()
	e.client.Close()
}

// Package gnetstop stops gnet engines without the delay of their own wait, which polls at half a second.
package gnetstop

import (
	"context"
	"fmt"

	"github.com/panjf2000/gnet/v2"
)

// Stop stops an engine and waits until ended is closed, as it must be when gnet.Run has returned. Errors: that of ctx.
func Stop(ctx context.Context, eng gnet.Engine, ended <-chan struct{}) error {
	unawaited, cancel := context.WithCancel(context.Background())
	cancel()
	_ = eng.Stop(unawaited) // always the error of unawaited
	select {
	case <-ended:
		return nil
	case <-ctx.Done():
		return fmt.Errorf("stop event loops: %w", ctx.Err())
	}
}

package daemon

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"github.com/cardamomyoke/cardamomyoke/internal/base/keys"
	"github.com/cardamomyoke/cardamomyoke/internal/base/logging"
	"github.com/cardamomyoke/cardamomyoke/internal/base/tracing"
)

// RuntimeOptions configures a Runtime.
type RuntimeOptions struct {
	// Process is the program name in traces.
	Process string
	Log     logging.Options
	Tracing tracing.Options
	TLS     keys.Settings
	// Node configures the node; Open sets its Keys and Logger.
	Node NodeOptions
}

// Runtime holds the logger, the tracer and the node that a daemon's component runs with.
type Runtime struct {
	Logger log.Logger
	Tracer *tracing.Tracer
	Node   *Node
	out    *logging.Async
}

// logLines is the number of lines that wait for the reader of the log.
const logLines = 4096

// Component is what a daemon runs: an entry or a slot.
type Component interface {
	Metrics() *metrics.Set
	// Shutdown finishes the requests in flight and stops. ctx bounds it.
	Shutdown(ctx context.Context) error
	// Kill stops immediately.
	Kill()
}

// Open sets up a Runtime, whose node starts with Serve. Errors: invalid tracing options or TLS keys.
func Open(ctx context.Context, o RuntimeOptions) (*Runtime, error) {
	out := logging.NewAsync(os.Stderr, logLines, o.Log.Format)
	logger := logging.New(out, o.Log)
	tracer, err := tracing.New(ctx, o.Process, o.Tracing)
	if err != nil {
		return nil, fmt.Errorf("tracing: %w", err)
	}
	source, err := keys.Load(o.TLS, logger)
	if err != nil {
		return nil, fmt.Errorf("keys: %w", err)
	}
	o.Node.Keys = source
	o.Node.Logger = logger
	return &Runtime{Logger: logger, Tracer: tracer, Node: NewNode(o.Node), out: out}, nil
}

// Serve runs the component until ctx is done, with tick on the control loop. It then shuts down within grace: first
// the component, so that no request in flight is interrupted, then the node's membership, so that no change waits for it.
func (r *Runtime) Serve(ctx context.Context, c Component, tick func(now time.Time), grace time.Duration) error {
	defer r.out.Close()
	if err := r.Node.Run(c.Metrics(), tick); err != nil {
		c.Kill()
		return fmt.Errorf("start: %w", err)
	}
	defer r.Node.Stop()
	<-ctx.Done()
	_ = level.Info(r.Logger).Log("msg", "shutting down")
	limit, cancel := context.WithTimeout(context.Background(), grace)
	defer cancel()
	err := c.Shutdown(limit)
	r.Node.Leave(limit)
	if closeErr := r.Tracer.Close(limit); err == nil {
		err = closeErr
	}
	if err != nil {
		return fmt.Errorf("shutdown: %w", err)
	}
	return nil
}

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

// RuntimeOptions are the settings that all daemons have.
type RuntimeOptions struct {
	// Process is the program's name, for traces.
	Process string
	Log     logging.Options
	Tracing tracing.Options
	TLS     keys.Settings
	// Node says who the node is; its Keys and Logger are filled in.
	Node NodeOptions
}

// Runtime is what surrounds a daemon's own part: logger, tracer and node.
type Runtime struct {
	Logger log.Logger
	Tracer *tracing.Tracer
	Node   *Node
}

// Part is a daemon's own part: an entry or a slot.
type Part interface {
	Metrics() *metrics.Set
	// Shutdown finishes what is in flight and ends; ctx bounds it.
	Shutdown(ctx context.Context) error
	// Kill ends at once.
	Kill()
}

// Open sets up a Runtime; nothing runs before Serve.
func Open(ctx context.Context, o RuntimeOptions) (*Runtime, error) {
	logger := logging.New(os.Stderr, o.Log)
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
	return &Runtime{Logger: logger, Tracer: tracer, Node: NewNode(o.Node)}, nil
}

// Serve runs the part, with tick on the control loop, until ctx ends, and then shuts down in order within grace: the
// part first, so that nothing in flight is cut off, then the node's membership, so that no change waits for it.
func (r *Runtime) Serve(ctx context.Context, p Part, tick func(now time.Time), grace time.Duration) error {
	if err := r.Node.Run(p.Metrics(), tick); err != nil {
		p.Kill()
		return fmt.Errorf("start: %w", err)
	}
	defer r.Node.Stop()
	<-ctx.Done()
	_ = level.Info(r.Logger).Log("msg", "shutting down")
	limit, cancel := context.WithTimeout(context.Background(), grace)
	defer cancel()
	err := p.Shutdown(limit)
	r.Node.Leave(limit)
	if closeErr := r.Tracer.Close(limit); err == nil {
		err = closeErr
	}
	if err != nil {
		return fmt.Errorf("shutdown: %w", err)
	}
	return nil
}

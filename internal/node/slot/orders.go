package slot

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/go-kit/log/level"
	"github.com/valyala/fasthttp"
	"google.golang.org/protobuf/encoding/protojson"

	"github.com/cardamomyoke/cardamomyoke/internal/base/ids"
	cardamomyokev1 "github.com/cardamomyoke/cardamomyoke/internal/gen/cardamomyoke/v1"
	"github.com/cardamomyoke/cardamomyoke/internal/node/order"
	"github.com/cardamomyoke/cardamomyoke/internal/state/lease"
	"github.com/cardamomyoke/cardamomyoke/internal/state/platform"
)

const (
	// ordersInterval is the time between two looks at the upstream's row of orders: 780 slots read 156 rows a second.
	ordersInterval = 5 * time.Second
	// orderTimeout bounds one order; loading goes on in the engine after it answered.
	orderTimeout = 2 * time.Second
	// ordersPath is where an engine takes orders, as the JSON form of EngineOrder.
	ordersPath = "/v1/orders"
)

// orders hands operators' orders to the engine. Only this slot does, and only orders that are not older than any before:
// an engine that ignores fencing numbers would else obey a late copy of an order that was replaced since.
type orders struct {
	slot  *Slot
	table platform.Table
	gate  lease.FenceFilter
	// done is the fencing number of the newest order that the engine took.
	done ids.Fence
}

// run looks for orders until ctx ends.
func (o *orders) run(ctx context.Context) {
	tick := time.NewTicker(ordersInterval)
	defer tick.Stop()
	for {
		if err := o.turn(ctx); err != nil {
			_ = level.Warn(o.slot.logger).Log("msg", "order not carried out", "err", err)
		}
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

// turn carries out the newest order, if the engine has not taken it yet; one that failed is given again.
func (o *orders) turn(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	newest, err := order.Latest(ctx, o.table, ids.Upstream(o.slot.settings.Name))
	if err != nil {
		return fmt.Errorf("read orders: %w", err)
	}
	fence := ids.Fence(newest.GetFence())
	if newest == nil || fence == o.done {
		return nil
	}
	if err := o.gate.Admit(fence); err != nil {
		return fmt.Errorf("order of operator %s: %w", newest.GetOperator(), err)
	}
	if err := o.give(ctx, newest); err != nil {
		return err
	}
	o.done = fence
	_ = level.Info(o.slot.logger).Log("msg", "order carried out", "fence", fence, "operator", newest.GetOperator(), "operation", newest.GetOperationId())
	return nil
}

func (o *orders) give(ctx context.Context, newest *cardamomyokev1.EngineOrder) error {
	body, err := protojson.Marshal(newest)
	if err != nil {
		return fmt.Errorf("encode order: %w", err)
	}
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetRequestURI(ordersPath)
	req.Header.SetHost("engine")
	req.Header.SetContentType("application/json")
	req.SetBodyRaw(body)
	res, err := o.slot.client.Do(ctx, o.slot.settings.Upstream.Address, req)
	if err != nil {
		return fmt.Errorf("give order: %w", err)
	}
	_, err = io.Copy(io.Discard, res.Body)
	status := res.Header.StatusCode()
	res.Release(err == nil)
	if status != fasthttp.StatusOK {
		return fmt.Errorf("give order: %w", &StatusError{status})
	}
	return nil
}

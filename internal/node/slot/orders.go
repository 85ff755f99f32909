package slot

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/go-kit/log/level"
	"github.com/valyala/fasthttp"
	"google.golang.org/protobuf/encoding/protojson"

	"github.com/cardamomyoke/cardamomyoke/internal/base/httpclient"
	"github.com/cardamomyoke/cardamomyoke/internal/base/ids"
	cardamomyokev1 "github.com/cardamomyoke/cardamomyoke/internal/gen/cardamomyoke/v1"
	"github.com/cardamomyoke/cardamomyoke/internal/node/order"
	"github.com/cardamomyoke/cardamomyoke/internal/state/lease"
	"github.com/cardamomyoke/cardamomyoke/internal/state/platform"
)

const (
	// ordersInterval is the interval at which the slot reads the row with its upstream's order. 780 slots together read
	// 156 rows per second.
	ordersInterval = 5 * time.Second
	// orderTimeout bounds the delivery of one order. The engine responds first and loads in the background.
	orderTimeout = 2 * time.Second
	// ordersPath is the engine's path for orders, which are sent as JSON of EngineOrder.
	ordersPath = "/v1/orders"
)

// orders delivers operators' orders to the engine. No other process sends the engine orders, and the slot never sends an
// order that is older than a previous one: an engine that ignores fencing tokens would otherwise execute a late copy of
// an order that has since been replaced.
type orders struct {
	slot        *Slot
	table       platform.Table
	fenceFilter lease.FenceFilter
	// lastDelivered is the fencing token of the newest order that the engine accepted.
	lastDelivered ids.Fence
}

// run polls for orders until ctx is done.
func (o *orders) run(ctx context.Context) {
	tick := time.NewTicker(ordersInterval)
	defer tick.Stop()
	for {
		if err := o.deliverNewest(ctx); err != nil {
			_ = level.Warn(o.slot.logger).Log("msg", "order not carried out", "err", err)
		}
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

// deliverNewest delivers the newest order unless the engine has already accepted it. After an error, the next call
// retries the order.
func (o *orders) deliverNewest(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	newest, err := order.Latest(ctx, o.table, ids.Upstream(o.slot.settings.Name))
	if err != nil {
		return fmt.Errorf("read orders: %w", err)
	}
	fence := ids.Fence(newest.GetFence())
	if newest == nil || fence == o.lastDelivered {
		return nil
	}
	if err := o.fenceFilter.Admit(fence); err != nil {
		return fmt.Errorf("order of operator %s: %w", newest.GetOperator(), err)
	}
	if err := o.send(ctx, newest); err != nil {
		return err
	}
	o.lastDelivered = fence
	_ = level.Info(o.slot.logger).Log("msg", "order carried out", "fence", fence, "operator", newest.GetOperator(), "operation", newest.GetOperationId())
	return nil
}

func (o *orders) send(ctx context.Context, newest *cardamomyokev1.EngineOrder) error {
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
	res, err := o.slot.client.Do(ctx, o.slot.settings.Upstream.Address, httpclient.Exchange{Request: req})
	if err != nil {
		return fmt.Errorf("send order: %w", err)
	}
	_, err = io.Copy(io.Discard, res.Body)
	status := res.Header.StatusCode()
	res.Release(err == nil)
	if status != fasthttp.StatusOK {
		return fmt.Errorf("send order: %w", &StatusError{status})
	}
	return nil
}

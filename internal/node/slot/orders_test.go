package slot

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/google/go-cmp/cmp"

	"github.com/cardamomyoke/cardamomyoke/internal/base/httpclient"
	cardamomyokev1 "github.com/cardamomyoke/cardamomyoke/internal/gen/cardamomyoke/v1"
	"github.com/cardamomyoke/cardamomyoke/internal/node/host"
	"github.com/cardamomyoke/cardamomyoke/internal/node/order"
	"github.com/cardamomyoke/cardamomyoke/internal/state/config"
	"github.com/cardamomyoke/cardamomyoke/internal/state/platform"
	"github.com/cardamomyoke/cardamomyoke/internal/testing/standin/engine"
	standin "github.com/cardamomyoke/cardamomyoke/internal/testing/standin/platform"
)

// startOrders returns the orders of a slot whose engine ignores or honours fencing tokens.
func startOrders(t *testing.T, table platform.Table, honour bool) (*orders, *engine.Engine) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := l.Addr().String()
	_ = l.Close()
	e, err := engine.Start(address, engine.Options{Batch: 1, HonourFence: honour})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(e.Stop)
	set := &Settings{Settings: host.Settings{Name: "u1"}}
	set.Upstream.Address = address
	s := &Slot{settings: set, config: config.Static{}, logger: log.NewNopLogger(), client: httpclient.New(httpclient.Options{})}
	return &orders{slot: s, table: table}, e
}

func putOrder(t *testing.T, table platform.Table, id, version string) {
	t.Helper()
	meta := &cardamomyokev1.ChangeMeta{Operator: "o", Reason: "r", OperationId: id}
	_, err := order.Put(context.Background(), table, meta, &cardamomyokev1.EngineOrder{
		Upstream: "u1",
		Order: &cardamomyokev1.EngineOrder_LoadModel{
			LoadModel: &cardamomyokev1.LoadModel{Model: "m", Version: version},
		},
	})
	if err != nil {
		t.Fatal(err)
	}
}

// Guards against delivering an order twice, to an engine that honours fencing tokens and to one that ignores them.
func TestOrdersAreDeliveredOnce(t *testing.T) {
	for _, honour := range []bool{false, true} {
		store := standin.NewStore(standin.Limits{})
		o, e := startOrders(t, store, honour)
		putOrder(t, store, "op-1", "v1")
		for range 3 {
			if err := o.deliverNewest(t.Context()); err != nil {
				t.Fatal(err)
			}
		}
		putOrder(t, store, "op-2", "v2")
		if err := o.deliverNewest(t.Context()); err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff([]string{"m:v1", "m:v2"}, e.Orders()); diff != "" {
			t.Fatal(diff)
		}
	}
}

// staleTable returns old rows to reads, as a lagging replica of a table may.
type staleTable struct {
	platform.Table
	old []platform.Row
}

func (l *staleTable) Get(ctx context.Context, keys ...string) ([]platform.Row, error) {
	if l.old != nil {
		return l.old, nil
	}
	return l.Table.Get(ctx, keys...)
}

// Guards against going back to an old version. An operator replaced an order, and a stale read returns the old one to
// the slot again. The engine ignores fencing tokens, so the slot must refuse to send the old order.
func TestStaleOrderIsNotDelivered(t *testing.T) {
	store := standin.NewStore(standin.Limits{})
	table := &staleTable{Table: store}
	o, e := startOrders(t, table, false)
	putOrder(t, store, "op-1", "v1")
	first, err := store.Get(t.Context(), "orders/u1")
	if err != nil {
		t.Fatal(err)
	}
	putOrder(t, store, "op-2", "v2")
	if err := o.deliverNewest(t.Context()); err != nil {
		t.Fatal(err)
	}
	table.old = first
	if err := o.deliverNewest(t.Context()); err == nil {
		t.Fatal("a replaced order was delivered")
	}
	if diff := cmp.Diff([]string{"m:v2"}, e.Orders()); diff != "" {
		t.Fatal(diff)
	}
}

// Guards against losing an order because the engine was down: an order that could not be delivered must not count as
// delivered, so that the next poll retries it.
func TestFailedOrderIsRetried(t *testing.T) {
	store := standin.NewStore(standin.Limits{})
	o, e := startOrders(t, store, true)
	putOrder(t, store, "op-1", "v1")
	e.Stop()
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	if err := o.deliverNewest(ctx); err == nil {
		t.Fatal("a stopped engine accepted an order")
	}
	if o.lastDelivered != 0 {
		t.Fatal("the failed order counts as delivered")
	}
}

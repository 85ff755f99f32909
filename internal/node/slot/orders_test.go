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

// startOrders returns the orders of a slot beside an engine that ignores or honours fencing numbers.
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

func put(t *testing.T, table platform.Table, id, version string) {
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

// An operator sees its order carried out once by either kind of engine, and again only after the engine failed to take
// it.
func TestOrdersReachTheEngineOnce(t *testing.T) {
	for _, honour := range []bool{false, true} {
		store := standin.NewStore(standin.Limits{})
		o, e := startOrders(t, store, honour)
		put(t, store, "op-1", "v1")
		for range 3 {
			if err := o.turn(t.Context()); err != nil {
				t.Fatal(err)
			}
		}
		put(t, store, "op-2", "v2")
		if err := o.turn(t.Context()); err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff([]string{"m:v1", "m:v2"}, e.Orders()); diff != "" {
			t.Fatal(diff)
		}
	}
}

// lagging answers reads with the row as it was, as a replica of a table that lags may.
type lagging struct {
	platform.Table
	old []platform.Row
}

func (l *lagging) Get(ctx context.Context, keys ...string) ([]platform.Row, error) {
	if l.old != nil {
		return l.old, nil
	}
	return l.Table.Get(ctx, keys...)
}

// An operator replaced an order, and a late read shows the slot the old one again. An engine that ignores fencing
// numbers would go back to the old version; the slot's gate refuses instead.
func TestAnOlderOrderIsNotGivenAgain(t *testing.T) {
	store := standin.NewStore(standin.Limits{})
	table := &lagging{Table: store}
	o, e := startOrders(t, table, false)
	put(t, store, "op-1", "v1")
	first, err := store.Get(t.Context(), "orders/u1")
	if err != nil {
		t.Fatal(err)
	}
	put(t, store, "op-2", "v2")
	if err := o.turn(t.Context()); err != nil {
		t.Fatal(err)
	}
	table.old = first
	if err := o.turn(t.Context()); err == nil {
		t.Fatal("an order that was replaced was given")
	}
	if diff := cmp.Diff([]string{"m:v2"}, e.Orders()); diff != "" {
		t.Fatal(diff)
	}
}

// The order is given again after the engine was away: nothing is lost because the engine restarted at the wrong moment.
func TestAnOrderThatFailedIsGivenAgain(t *testing.T) {
	store := standin.NewStore(standin.Limits{})
	o, e := startOrders(t, store, true)
	put(t, store, "op-1", "v1")
	e.Stop()
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	if err := o.turn(ctx); err == nil {
		t.Fatal("an engine that is gone took an order")
	}
	if o.done != 0 {
		t.Fatal("the order counts as carried out")
	}
}

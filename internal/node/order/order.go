// Package order stores the orders that operators give to engines, with fencing tokens, in the platform's table.
//
// The row orders/UPSTREAM holds the newest order for an upstream. The version of the row is the fencing token. An order
// reaches an engine only through the slot on its host: the slot polls the row, and sends the order to the engine unless
// the token is lower than one that the slot has seen. So it does not matter for safety whether an engine checks fencing
// tokens.
package order

import (
	"context"
	"errors"
	"fmt"

	"google.golang.org/protobuf/proto"

	"github.com/cardamomyoke/cardamomyoke/internal/base/ids"
	cardamomyokev1 "github.com/cardamomyoke/cardamomyoke/internal/gen/cardamomyoke/v1"
	"github.com/cardamomyoke/cardamomyoke/internal/state/config"
	"github.com/cardamomyoke/cardamomyoke/internal/state/platform"
)

const (
	rowPrefix   = "orders/"
	maxAttempts = 10
)

// Put stores an order and returns its fencing token. If the newest order for the upstream has the same operation id,
// Put stores nothing and returns the token of that order. Errors: *config.FieldError, *platform.UnavailableError,
// *platform.UnknownOutcomeError; *platform.ConflictError if other orders were stored during each of the attempts.
func Put(ctx context.Context, table platform.Table, meta *cardamomyokev1.ChangeMeta, o *cardamomyokev1.EngineOrder) (ids.Fence, error) {
	if err := check(meta, o); err != nil {
		return 0, err
	}
	key := rowPrefix + o.GetUpstream()
	var last error
	for range maxAttempts {
		old, version, err := read(ctx, table, key)
		if err != nil {
			return 0, err
		}
		if old.GetOperationId() == meta.GetOperationId() {
			return ids.Fence(version), nil
		}
		last = write(ctx, table, key, version, meta, o)
		if last == nil {
			return ids.Fence(version + 1), nil
		}
		var conflict *platform.ConflictError
		if !errors.As(last, &conflict) {
			return 0, last
		}
	}
	return 0, last
}

func write(ctx context.Context, table platform.Table, key string, version uint64, meta *cardamomyokev1.ChangeMeta, o *cardamomyokev1.EngineOrder) error {
	next := proto.Clone(o).(*cardamomyokev1.EngineOrder)
	next.Fence = version + 1
	next.OperationId, next.Operator, next.Reason = meta.GetOperationId(), meta.GetOperator(), meta.GetReason()
	value, err := proto.Marshal(next)
	if err != nil {
		return fmt.Errorf("encode order for %s: %w", o.GetUpstream(), err)
	}
	_, err = table.Commit(ctx, platform.Txn{
		Operation: ids.Operation("order-" + meta.GetOperationId()),
		Checks:    []platform.Check{{Key: key, Version: version}},
		Puts:      []platform.Put{{Key: key, Value: value}},
	})
	return err
}

// Latest returns the newest order for an upstream, or nil if there is none. Errors: *platform.UnavailableError, or an
// error if the row cannot be decoded.
func Latest(ctx context.Context, table platform.Table, u ids.Upstream) (*cardamomyokev1.EngineOrder, error) {
	o, version, err := read(ctx, table, rowPrefix+string(u))
	if err != nil || version == 0 {
		return nil, err
	}
	return o, nil
}

func read(ctx context.Context, table platform.Table, key string) (*cardamomyokev1.EngineOrder, uint64, error) {
	rows, err := table.Get(ctx, key)
	if err != nil {
		return nil, 0, err
	}
	o := &cardamomyokev1.EngineOrder{}
	if err := proto.Unmarshal(rows[0].Value, o); err != nil {
		return nil, 0, fmt.Errorf("decode order row %s: %w", key, err)
	}
	return o, rows[0].Version, nil
}

func check(meta *cardamomyokev1.ChangeMeta, o *cardamomyokev1.EngineOrder) error {
	if err := config.CheckMeta(meta); err != nil {
		return err
	}
	if err := config.CheckName("order.upstream", o.GetUpstream()); err != nil {
		return err
	}
	switch v := o.GetOrder().(type) {
	case *cardamomyokev1.EngineOrder_LoadModel:
		if err := config.CheckName("order.load_model.model", v.LoadModel.GetModel()); err != nil {
			return err
		}
		return config.CheckName("order.load_model.version", v.LoadModel.GetVersion())
	case *cardamomyokev1.EngineOrder_LoadAdapter:
		if err := config.CheckName("order.load_adapter.adapter", v.LoadAdapter.GetAdapter()); err != nil {
			return err
		}
		return config.CheckName("order.load_adapter.version", v.LoadAdapter.GetVersion())
	case *cardamomyokev1.EngineOrder_UnloadAdapter:
		return config.CheckName("order.unload_adapter.adapter", v.UnloadAdapter.GetAdapter())
	case *cardamomyokev1.EngineOrder_ChangeRole:
		if v.ChangeRole.GetRole() == cardamomyokev1.EngineRole_ENGINE_ROLE_UNSPECIFIED {
			return &config.FieldError{Field: "order.change_role.role", Want: "a role"}
		}
		return nil
	}
	return &config.FieldError{Field: "order.order", Want: "one order"}
}

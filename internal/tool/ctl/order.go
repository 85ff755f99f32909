package ctl

import (
	"context"
	"fmt"

	"github.com/alecthomas/kingpin/v2"

	cardamomyokev1 "github.com/cardamomyoke/cardamomyoke/internal/gen/cardamomyoke/v1"
)

// roles maps the role names on the command line to engine roles.
var roles = map[string]cardamomyokev1.EngineRole{
	"both":    cardamomyokev1.EngineRole_ENGINE_ROLE_BOTH,
	"prefill": cardamomyokev1.EngineRole_ENGINE_ROLE_PREFILL,
	"decode":  cardamomyokev1.EngineRole_ENGINE_ROLE_DECODE,
}

func (s *session) registerOrder(app *kingpin.Application) {
	order := app.Command("order", "Order an upstream's engine to load something or to change its role.")

	model := order.Command("load-model", "Load a version of a model.")
	upstream, f := s.orderFlags(model)
	name := model.Arg("model", "Name of the model.").Required().String()
	version := model.Arg("version", "Version of the model.").Required().String()
	s.command(model, func(ctx context.Context) error {
		return s.order(ctx, f, &cardamomyokev1.EngineOrder{Upstream: *upstream, Order: &cardamomyokev1.EngineOrder_LoadModel{
			LoadModel: &cardamomyokev1.LoadModel{Model: *name, Version: *version},
		}})
	})
	s.registerAdapterOrders(order)
	s.registerRoleOrder(order)
}

func (s *session) registerAdapterOrders(order *kingpin.CmdClause) {
	load := order.Command("load-adapter", "Load an adapter for the engine's model.")
	upstream, f := s.orderFlags(load)
	name := load.Arg("adapter", "Name of the adapter.").Required().String()
	version := load.Arg("version", "Version of the adapter.").Required().String()
	s.command(load, func(ctx context.Context) error {
		return s.order(ctx, f, &cardamomyokev1.EngineOrder{Upstream: *upstream, Order: &cardamomyokev1.EngineOrder_LoadAdapter{
			LoadAdapter: &cardamomyokev1.LoadAdapter{Adapter: *name, Version: *version},
		}})
	})
	unload := order.Command("unload-adapter", "Drop an adapter.")
	from, uf := s.orderFlags(unload)
	dropped := unload.Arg("adapter", "Name of the adapter.").Required().String()
	s.command(unload, func(ctx context.Context) error {
		return s.order(ctx, uf, &cardamomyokev1.EngineOrder{Upstream: *from, Order: &cardamomyokev1.EngineOrder_UnloadAdapter{
			UnloadAdapter: &cardamomyokev1.UnloadAdapter{Adapter: *dropped},
		}})
	})
}

func (s *session) registerRoleOrder(order *kingpin.CmdClause) {
	cmd := order.Command("change-role", "Change the share of the work that an engine takes.")
	upstream, f := s.orderFlags(cmd)
	role := cmd.Arg("role", "both, prefill or decode.").Required().Enum("both", "prefill", "decode")
	s.command(cmd, func(ctx context.Context) error {
		return s.order(ctx, f, &cardamomyokev1.EngineOrder{Upstream: *upstream, Order: &cardamomyokev1.EngineOrder_ChangeRole{
			ChangeRole: &cardamomyokev1.ChangeRole{Role: roles[*role]},
		}})
	})
}

func (s *session) orderFlags(cmd *kingpin.CmdClause) (upstream *string, f *changeFlags) {
	upstream = cmd.Arg("upstream", "Name of the upstream.").Required().String()
	return upstream, s.addChangeFlags(cmd)
}

// order submits an order and prints its fencing token. The upstream's slot forwards the order to the engine.
func (s *session) order(ctx context.Context, f *changeFlags, o *cardamomyokev1.EngineOrder) error {
	var response *cardamomyokev1.OrderResponse
	err := sendWithRetry(ctx, f.operation, func(ctx context.Context) error {
		var err error
		response, err = s.client.Order(ctx, &cardamomyokev1.OrderRequest{Meta: f.meta(0), Order: o})
		return err
	})
	if err != nil {
		return fmt.Errorf("order: %w", err)
	}
	if s.output == outputJSON {
		return s.printProto(response)
	}
	fmt.Fprintf(s.out, "ordered with fencing number %d; the upstream's slot hands it to the engine\n", response.GetFence())
	return nil
}

package engine

import (
	"slices"

	"github.com/valyala/fasthttp"
	"google.golang.org/protobuf/encoding/protojson"

	"github.com/cardamomyoke/cardamomyoke/internal/base/httpserver"
	cardamomyokev1 "github.com/cardamomyoke/cardamomyoke/internal/gen/cardamomyoke/v1"
)

// Orders returns the orders that the engine accepted: NAME:VERSION for a load, -NAME for an unload, or the new role.
func (e *Engine) Orders() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.orders)
}

// serveOrder records an order and accepts it immediately; nothing is loaded.
func (e *Engine) serveOrder(x *httpserver.Exchange) {
	o := &cardamomyokev1.EngineOrder{}
	if err := protojson.Unmarshal(x.Req.Body(), o); err != nil {
		_ = x.Respond(fasthttp.StatusBadRequest, nil, nil)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.opts.HonourFence && o.GetFence() < e.fence {
		_ = x.Respond(fasthttp.StatusConflict, nil, nil)
		return
	}
	e.fence = max(e.fence, o.GetFence())
	e.orders = append(e.orders, formatOrder(o))
	_ = x.Respond(fasthttp.StatusOK, nil, nil)
}

func formatOrder(o *cardamomyokev1.EngineOrder) string {
	switch {
	case o.GetLoadModel() != nil:
		return o.GetLoadModel().GetModel() + ":" + o.GetLoadModel().GetVersion()
	case o.GetLoadAdapter() != nil:
		return o.GetLoadAdapter().GetAdapter() + ":" + o.GetLoadAdapter().GetVersion()
	case o.GetUnloadAdapter() != nil:
		return "-" + o.GetUnloadAdapter().GetAdapter()
	}
	return o.GetChangeRole().GetRole().String()
}

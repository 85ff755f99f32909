// Package group is a small stand-in for the ranks of a model group: they advance in lock-step, each under the expert map
// that its engine has, and the stand-in notes every step in which two ranks used different maps.
//
// The ranks only step; they serve no requests. Their tokens follow a popularity that the test sets.
package group

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/cardamomyoke/cardamomyoke/internal/base/httpserver"
	"github.com/cardamomyoke/cardamomyoke/internal/experts/expertmap"
	"github.com/cardamomyoke/cardamomyoke/internal/node/rank"
)

// Options shape a group.
type Options struct {
	// Addresses of the ranks' engines, IP:PORT, by rank.
	Addresses []string
	// Step is the time of one step.
	Step time.Duration
	// Cells is the number of experts times layers; Window how many steps one window of counts has.
	Cells, Window int
}

// Group is one running group.
type Group struct {
	opts    Options
	mu      sync.Mutex
	ranks   []*expertmap.EngineModel
	servers []*httpserver.Server
	weights []uint32
	mixed   []expertmap.Step
	steps   expertmap.Step
	cancel  context.CancelFunc
}

// Start serves all ranks.
func Start(o Options) (*Group, error) {
	g := &Group{opts: o, weights: make([]uint32, o.Cells)}
	for i := range g.weights {
		g.weights[i] = 100
	}
	ctx, cancel := context.WithCancel(context.Background())
	g.cancel = cancel
	for range o.Addresses {
		g.ranks = append(g.ranks, expertmap.NewEngineModel(1))
	}
	for i, address := range o.Addresses {
		server, err := httpserver.Start(address, 1, httpserver.Limits{}, g.handler(i))
		if err != nil {
			g.Stop()
			return nil, fmt.Errorf("rank %d: %w", i, err)
		}
		g.servers = append(g.servers, server)
	}
	go g.run(ctx)
	return g, nil
}

// Stop ends all ranks.
func (g *Group) Stop() {
	g.cancel()
	for _, s := range g.servers {
		_ = s.Stop(context.Background())
	}
}

// SetWeights sets how many tokens go to each cell in a window.
func (g *Group) SetWeights(w []uint32) {
	g.mu.Lock()
	defer g.mu.Unlock()
	copy(g.weights, w)
}

// Mixed returns the steps in which two ranks used different maps; there must be none.
func (g *Group) Mixed() []expertmap.Step {
	g.mu.Lock()
	defer g.mu.Unlock()
	return append([]expertmap.Step(nil), g.mixed...)
}

// Steps returns how many steps the group has run, and the map of each rank.
func (g *Group) Steps() (expertmap.Step, []expertmap.MapID) {
	g.mu.Lock()
	defer g.mu.Unlock()
	var maps []expertmap.MapID
	for _, r := range g.ranks {
		maps = append(maps, r.Map)
	}
	return g.steps, maps
}

func (g *Group) run(ctx context.Context) {
	tick := time.NewTicker(g.opts.Step)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			g.step()
		}
	}
}

// step advances all ranks by one step, if each of them may take it: in lock-step none can go alone.
func (g *Group) step() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, r := range g.ranks {
		if !r.MayStart() {
			return
		}
	}
	first := g.ranks[0].MapAt(g.ranks[0].Next)
	for _, r := range g.ranks {
		if r.MapAt(r.Next) != first {
			g.mixed = append(g.mixed, r.Next)
		}
		r.Next++
		r.StepTime = g.opts.Step
	}
	g.steps++
}

func (g *Group) handler(i int) httpserver.Handler {
	return func(_ context.Context, x *httpserver.Exchange) {
		switch string(x.Req.URI().Path()) {
		case rank.PathRank:
			respond(x, g.state(i))
		case rank.PathOrders:
			var o expertmap.Order
			if err := json.Unmarshal(x.Req.Body(), &o); err != nil {
				_ = x.Respond(http.StatusBadRequest, nil, nil)
				return
			}
			g.mu.Lock()
			g.ranks[i].Apply(o)
			g.mu.Unlock()
			respond(x, struct{}{})
		default:
			_ = x.Respond(http.StatusNotFound, nil, nil)
		}
	}
}

func (g *Group) state(i int) rank.State {
	g.mu.Lock()
	defer g.mu.Unlock()
	r := g.ranks[i]
	waiting := false
	for _, other := range g.ranks {
		waiting = waiting || !other.MayStart() && r.MayStart()
	}
	return rank.State{Engine: r.EngineReport, Window: rank.Window{
		Number:    uint64(g.steps) / uint64(g.opts.Window),
		Tokens:    append([]uint32(nil), g.weights...),
		Processed: uint64(g.opts.Window) * 1000,
		BusyUS:    uint64(g.opts.Window) * uint64(g.opts.Step.Microseconds()),
		Waiting:   waiting,
	}}
}

func respond(x *httpserver.Exchange, v any) {
	body, err := json.Marshal(v)
	if err != nil {
		_ = x.Respond(fasthttp.StatusInternalServerError, nil, nil)
		return
	}
	_ = x.Respond(fasthttp.StatusOK, nil, body)
}

// Package group is a small stand-in for the ranks of a model group. The ranks advance in lockstep, each with the expert
// map that its engine has, and the stand-in records every step in which two ranks used different maps.
//
// The ranks serve no requests. The test sets the token counts per expert that they report.
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

// Options configures a group.
type Options struct {
	// Addresses holds the IP:PORT of each rank's engine, indexed by rank.
	Addresses []string
	// Step is the duration of one step.
	Step time.Duration
	// Cells is the number of experts times the number of layers. Window is the number of steps in one window of counts.
	Cells, Window int
}

// Group is one running group.
type Group struct {
	opts       Options
	mu         sync.Mutex
	ranks      []*expertmap.EngineModel
	servers    []*httpserver.Server
	weights    []uint32
	mismatched []expertmap.Step
	steps      expertmap.Step
	cancel     context.CancelFunc
}

// Start serves all ranks and starts stepping.
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

// Stop stops all ranks.
func (g *Group) Stop() {
	g.cancel()
	for _, s := range g.servers {
		_ = s.Stop(context.Background())
	}
}

// SetWeights sets the number of tokens that each cell, one expert in one layer, gets in a window.
func (g *Group) SetWeights(w []uint32) {
	g.mu.Lock()
	defer g.mu.Unlock()
	copy(g.weights, w)
}

// MismatchedSteps returns the steps in which two ranks used different maps; there must be none.
func (g *Group) MismatchedSteps() []expertmap.Step {
	g.mu.Lock()
	defer g.mu.Unlock()
	return append([]expertmap.Step(nil), g.mismatched...)
}

// Steps returns the number of steps that the group has run and the current map of each rank.
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

// step advances all ranks by one step, unless one of them may not start it: in lockstep no rank can advance alone.
func (g *Group) step() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, r := range g.ranks {
		if !r.MayStart() {
			return
		}
	}
	expected := g.ranks[0].MapAt(g.ranks[0].Next)
	for _, r := range g.ranks {
		if r.MapAt(r.Next) != expected {
			g.mismatched = append(g.mismatched, r.Next)
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

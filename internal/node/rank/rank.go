// Package rank is the slot's client of its engine's rank in a model group. It also serves the rank's report to the
// holder of the group's lease. A model group is a set of engines, its ranks, that run one model together step by step,
// with its experts assigned to ranks by an expert map.
//
// The client reads the rank's state with GET PathRank and sends an order with POST PathOrders, both as JSON. The
// protocol is safe for engines that ignore fencing tokens: each order names the map and the step to which it applies,
// and only this slot sends orders to the engine.
package rank

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/cardamomyoke/cardamomyoke/internal/base/httpclient"
	"github.com/cardamomyoke/cardamomyoke/internal/base/ids"
	"github.com/cardamomyoke/cardamomyoke/internal/experts/expertmap"
	cardamomyokev1 "github.com/cardamomyoke/cardamomyoke/internal/gen/cardamomyoke/v1"
)

// Paths of an engine's rank.
const (
	PathRank   = "/v1/rank"
	PathOrders = "/v1/rank/orders"
)

// maxResponseBytes bounds the size of a rank's response. A state with 128 experts in 60 layers holds 7,680 counts.
const maxResponseBytes = 1 << 20

// Window holds the statistics of a rank for its last complete time window.
type Window struct {
	Number    uint64   `json:"number"`
	Tokens    []uint32 `json:"tokens"`
	Processed uint64   `json:"processed"`
	BusyUS    uint64   `json:"busy_us"`
	Waiting   bool     `json:"waiting"`
}

// State is an engine's response to GET PathRank.
type State struct {
	Engine expertmap.EngineReport `json:"engine"`
	Window Window                 `json:"window"`
}

// StatusError reports that the engine responded to a call with an HTTP status other than 200.
type StatusError struct{ Status int }

// Error implements error.
func (e *StatusError) Error() string {
	return fmt.Sprintf("engine's rank responded with status %d", e.Status)
}

// readsKept is how long a connection carries reads. Answers of engines bear no id, so a late copy may be that old.
const readsKept = 500 * time.Millisecond

// Engine is a client of one engine's rank. It implements node.Engine of package expertmap/node and the RankService. Each order has a
// connection of its own, so that a late copy of another answer is not taken for the one to an order that was not carried out.
type Engine struct {
	orders  *httpclient.Client
	reads   *httpclient.Client
	address string
	group   ids.Group
	rank    expertmap.Rank
}

// NewEngine returns a client of the rank of the engine at address (IP:PORT).
func NewEngine(address string, group ids.Group, rank expertmap.Rank) *Engine {
	orders, reads := httpclient.New(httpclient.Options{}), httpclient.New(httpclient.Options{UnidentifiedFor: readsKept})
	return &Engine{orders: orders, reads: reads, address: address, group: group, rank: rank}
}

// Report implements node.Engine.
func (e *Engine) Report(ctx context.Context) (expertmap.EngineReport, error) {
	s, err := e.state(ctx)
	return s.Engine, err
}

// Do implements node.Engine.
func (e *Engine) Do(ctx context.Context, o expertmap.Order) error {
	body, err := json.Marshal(o)
	if err != nil {
		return fmt.Errorf("encode order: %w", err)
	}
	_, err = e.call(ctx, e.orders, fasthttp.MethodPost, PathOrders, body)
	return err
}

func (e *Engine) state(ctx context.Context) (State, error) {
	var s State
	body, err := e.call(ctx, e.reads, fasthttp.MethodGet, PathRank, nil)
	if err != nil {
		return s, err
	}
	if err := json.Unmarshal(body, &s); err != nil {
		return s, fmt.Errorf("decode state of engine's rank: %w", err)
	}
	return s, nil
}

func (e *Engine) call(ctx context.Context, client *httpclient.Client, method, path string, body []byte) ([]byte, error) {
	req := &fasthttp.Request{}
	req.Header.SetMethod(method)
	req.SetRequestURI(path)
	req.Header.SetHost("engine")
	req.SetBodyRaw(body)
	res, err := client.Do(ctx, e.address, httpclient.Exchange{Request: req})
	if err != nil {
		return nil, err
	}
	out, err := io.ReadAll(io.LimitReader(res.Body, maxResponseBytes))
	status := res.Header.StatusCode()
	res.Release(err == nil)
	if err != nil {
		return nil, fmt.Errorf("read response of engine's rank: %w", err)
	}
	if status != fasthttp.StatusOK {
		return nil, &StatusError{status}
	}
	return out, nil
}

// GetRankReport implements the RankService.
func (e *Engine) GetRankReport(ctx context.Context, in *cardamomyokev1.GetRankReportRequest) (*cardamomyokev1.GetRankReportResponse, error) {
	s, err := e.state(ctx)
	if err != nil {
		return nil, err
	}
	if s.Window.Number == in.GetKnownWindow() {
		s.Window.Tokens = nil
	}
	return &cardamomyokev1.GetRankReportResponse{
		Rank:       uint32(e.rank),
		Window:     s.Window.Number,
		Tokens:     s.Window.Tokens,
		Processed:  s.Window.Processed,
		BusyUs:     s.Window.BusyUS,
		Step:       lastStep(s.Engine.Next),
		Waiting:    s.Window.Waiting,
		MapVersion: s.Engine.Map.Version,
		MapName:    s.Engine.Map.Name,
	}, nil
}

func lastStep(next expertmap.Step) uint64 {
	if next == 0 {
		return 0
	}
	return uint64(next) - 1
}

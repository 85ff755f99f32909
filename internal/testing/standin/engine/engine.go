package engine

import (
	"context"
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/valyala/fasthttp"

	"github.com/cardamomyoke/cardamomyoke/internal/base/httpserver"
	"github.com/cardamomyoke/cardamomyoke/internal/policy/routing/prefix"
)

const (
	blockBytes    = 256
	bytesPerToken = 4
	maxTokens     = 1 << 16
)

// Engine is one running stand-in.
type Engine struct {
	opts    Options
	batch   *batch
	startID string
	server  *httpserver.Server
	cancel  context.CancelFunc
	// stalled stops all steps, as in a hung engine.
	stalled atomic.Bool
	// truncateAfter is the number of tokens after which each response is truncated; 0 for never.
	truncateAfter     atomic.Int64
	truncateBeforeEnd atomic.Bool
	// mismatchedIDs makes each response carry another request's id.
	mismatchedIDs atomic.Bool
	runs          sync.Map // request id → *atomic.Int64
	mu            sync.Mutex
	fence         uint64
	orders        []string
	events        []cacheEvent
	reports       []loadReport
}

// cacheEvent reports blocks that were added to the cache.
type cacheEvent struct {
	Seq    uint64   `json:"seq"`
	Blocks []uint64 `json:"stored"`
	at     time.Time
}

// loadReport is the engine's load at one time.
type loadReport struct {
	Waiting int    `json:"waiting"`
	Running int    `json:"running"`
	Steps   uint64 `json:"steps"`
	// StartID identifies the engine process, so that a restart can be detected.
	StartID string `json:"start"`
	at      time.Time
}

// Start serves the engine on address (IP:PORT).
func Start(address string, o Options) (*Engine, error) {
	e := &Engine{opts: o, batch: newBatch(o), startID: uuid.NewString()}
	server, err := httpserver.Start(address, 1, httpserver.Limits{}, e.serve)
	if err != nil {
		return nil, fmt.Errorf("engine: %w", err)
	}
	e.server = server
	ctx, cancel := context.WithCancel(context.Background())
	e.cancel = cancel
	go e.run(ctx)
	return e, nil
}

// Stop stops the engine immediately, as a crash would.
func (e *Engine) Stop() {
	e.cancel()
	_ = e.server.Stop(context.Background())
}

// SetStalled makes the engine hang or resume.
func (e *Engine) SetStalled(on bool) { e.stalled.Store(on) }

// SetTruncateAfter truncates each response after n tokens; 0 for never.
func (e *Engine) SetTruncateAfter(n int) { e.truncateAfter.Store(int64(n)) }

// SetTruncateBeforeEnd truncates each response after its last token, before the end event.
func (e *Engine) SetTruncateBeforeEnd(on bool) { e.truncateBeforeEnd.Store(on) }

// SetMismatchedIDs makes responses carry another request's id.
func (e *Engine) SetMismatchedIDs(on bool) { e.mismatchedIDs.Store(on) }

// Runs returns the number of times that each request id was started.
func (e *Engine) Runs() map[string]int {
	out := map[string]int{}
	e.runs.Range(func(k, v any) bool {
		out[k.(string)] = int(v.(*atomic.Int64).Load())
		return true
	})
	return out
}

// run executes steps while there are requests, until ctx is done.
func (e *Engine) run(ctx context.Context) {
	for ctx.Err() == nil {
		waiting, running, _ := e.batch.counts()
		if waiting+running == 0 || e.stalled.Load() {
			e.idle(ctx)
			continue
		}
		e.step(ctx)
	}
}

// idlePoll is the polling interval of an engine that is idle or stalled.
const idlePoll = 5 * time.Millisecond

func (e *Engine) idle(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-e.batch.wake:
	case <-time.After(idlePoll):
	}
	e.report()
}

func (e *Engine) step(ctx context.Context) {
	e.batch.mu.Lock()
	tokens, stored := e.batch.fill()
	e.batch.mu.Unlock()
	e.publish(stored)
	select {
	case <-ctx.Done():
		return
	case <-time.After(e.opts.Step + time.Duration(tokens)*e.opts.PromptTokenTime):
	}
	e.batch.mu.Lock()
	e.batch.step()
	e.batch.mu.Unlock()
	e.report()
}

// publish records a cache event. An event that CacheGap drops keeps its sequence number but is not served.
func (e *Engine) publish(stored []uint64) {
	if len(stored) == 0 {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	seq := uint64(1)
	if n := len(e.events); n > 0 {
		seq = e.events[n-1].Seq + 1
	}
	if e.opts.CacheGap > 0 && seq%uint64(e.opts.CacheGap) == 0 {
		stored = nil
	}
	e.events = append(e.events, cacheEvent{seq, stored, time.Now()})
	if len(e.events) > 1000 {
		e.events = e.events[500:]
	}
}

func (e *Engine) report() {
	waiting, running, steps := e.batch.counts()
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	e.reports = append(e.reports, loadReport{waiting, running, steps, e.startID, now})
	for len(e.reports) > 1 && now.Sub(e.reports[1].at) >= e.opts.LoadLag {
		e.reports = e.reports[1:]
	}
}

func (e *Engine) serve(ctx context.Context, x *httpserver.Exchange) {
	switch string(x.Req.URI().Path()) {
	case "/v1/chat/completions":
		e.serveChat(ctx, x)
	case "/v1/load":
		e.mu.Lock()
		reports := e.reports
		e.mu.Unlock()
		if len(reports) == 0 {
			reports = []loadReport{{StartID: e.startID}}
		}
		respondJSON(x, reports[0])
	case "/v1/orders":
		e.serveOrder(x)
	case "/v1/cache-events":
		respondJSON(x, e.eventsAfter(x.Req.URI().QueryArgs().GetUintOrZero("after")))
	default:
		_ = x.Respond(fasthttp.StatusNotFound, nil, nil)
	}
}

func (e *Engine) eventsAfter(seq int) []cacheEvent {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := []cacheEvent{}
	for _, ev := range e.events {
		if ev.Seq > uint64(seq) && ev.Blocks != nil && time.Since(ev.at) >= e.opts.CacheLag {
			out = append(out, ev)
		}
	}
	return out
}

func respondJSON(x *httpserver.Exchange, v any) {
	body, err := json.Marshal(v)
	if err != nil {
		_ = x.Respond(fasthttp.StatusInternalServerError, nil, nil)
		return
	}
	_ = x.Respond(fasthttp.StatusOK, []httpserver.Header{{Name: "Content-Type", Value: "application/json"}}, body)
}

type chatBody struct {
	Messages   json.RawMessage `json:"messages"`
	MaxTokens  int             `json:"max_tokens"`
	ResumeText string          `json:"resume_text"`
}

func (e *Engine) serveChat(ctx context.Context, x *httpserver.Exchange) {
	var body chatBody
	if err := json.Unmarshal(x.Req.Body(), &body); err != nil || body.MaxTokens < 0 || body.MaxTokens > maxTokens {
		_ = x.Respond(fasthttp.StatusBadRequest, nil, nil)
		return
	}
	if body.MaxTokens == 0 {
		body.MaxTokens = 256
	}
	if e.opts.CrashText != "" && strings.Contains(string(body.Messages), e.opts.CrashText) {
		e.opts.OnCrash()
		<-ctx.Done()
		return
	}
	id := string(x.Req.Header.Peek("X-Request-Id"))
	priority, _ := strconv.Atoi(string(x.Req.Header.Peek("X-Priority")))
	resume, _ := strconv.Atoi(string(x.Req.Header.Peek("X-Resume-Tokens")))
	if body.ResumeText != Completion(body.Messages, resume) {
		_ = x.Respond(fasthttp.StatusUnprocessableEntity, nil, nil)
		return
	}
	n, _ := e.runs.LoadOrStore(id, &atomic.Int64{})
	n.(*atomic.Int64).Add(1)
	s := &sequence{
		priority:     priority,
		blocks:       prefix.Hash(body.Messages, blockBytes),
		promptTokens: len(body.Messages) / bytesPerToken,
		next:         resume,
		total:        max(body.MaxTokens, resume+1),
		tokens:       make(chan int, max(body.MaxTokens, resume+1)),
	}
	e.batch.add(s)
	defer e.batch.cancel(s)
	e.stream(ctx, x, id, body.Messages, s)
}

// stream writes the sequence's tokens as they are generated.
func (e *Engine) stream(ctx context.Context, x *httpserver.Exchange, id string, prompt []byte, s *sequence) {
	if e.mismatchedIDs.Load() {
		id = "another/1"
	}
	if err := x.Stream(fasthttp.StatusOK, []httpserver.Header{{Name: "Content-Type", Value: "text/event-stream"}}); err != nil {
		return
	}
	for {
		select {
		case <-ctx.Done():
			return
		case i, ok := <-s.tokens:
			if !ok {
				if e.truncateBeforeEnd.Load() {
					return
				}
				end := append(formatEvent(id, s.total, "", "length"), "data: [DONE]\n\n"...)
				if err := x.Write(ctx, end); err == nil {
					_ = x.End()
				}
				return
			}
			if limit := e.truncateAfter.Load(); limit > 0 && int64(i) >= limit {
				return
			}
			if err := x.Write(ctx, formatEvent(id, i, Token(prompt, i), "")); err != nil {
				return
			}
		}
	}
}

func formatEvent(id string, i int, text, finish string) []byte {
	type delta struct {
		Content string `json:"content"`
	}
	type choice struct {
		Delta  delta  `json:"delta"`
		Finish string `json:"finish_reason,omitempty"`
	}
	body, err := json.Marshal(struct {
		ID      string   `json:"id"`
		Index   int      `json:"token_index"`
		Choices []choice `json:"choices"`
	}{id, i, []choice{{delta{text}, finish}}})
	if err != nil {
		return nil
	}
	return fmt.Appendf(nil, "data: %s\n\n", body)
}

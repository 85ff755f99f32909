// Package plain is a small stand-in for a plain service, such as a bridge to an old ledger. It counts the runs of each
// idempotency key, so that a test can detect a non-repeatable request that ran twice.
package plain

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/valyala/fasthttp"

	"github.com/cardamomyoke/cardamomyoke/internal/base/httpserver"
)

// PathRuns serves the number of runs of each key as a JSON object.
const PathRuns = "/runs"

// Service is one running stand-in.
type Service struct {
	delay  time.Duration
	server *httpserver.Server
	mu     sync.Mutex
	runs   map[string]int
}

// Response is the JSON body of each response; Echo is the hash of the request's body.
type Response struct {
	Key  string `json:"key"`
	Path string `json:"path"`
	Echo uint64 `json:"echo"`
}

// Echo returns the hash that Response.Echo holds for a request's body.
func Echo(body []byte) uint64 { return xxhash.Sum64(body) }

// Start serves on address (IP:PORT); each request takes delay.
func Start(address string, delay time.Duration) (*Service, error) {
	s := &Service{delay: delay, runs: map[string]int{}}
	server, err := httpserver.Start(address, 1, httpserver.Limits{}, s.serve)
	if err != nil {
		return nil, fmt.Errorf("plain service: %w", err)
	}
	s.server = server
	return s, nil
}

// Stop stops the service immediately, as a crash would.
func (s *Service) Stop() { _ = s.server.Stop(context.Background()) }

// Runs returns the number of runs of each key.
func (s *Service) Runs() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make(map[string]int, len(s.runs))
	for k, n := range s.runs {
		out[k] = n
	}
	return out
}

func (s *Service) serve(_ context.Context, x *httpserver.Exchange) {
	path := string(x.Req.URI().Path())
	if path == PathRuns {
		respond(x, s.Runs())
		return
	}
	key := string(x.Req.Header.Peek("Idempotency-Key"))
	s.mu.Lock()
	s.runs[key]++
	s.mu.Unlock()
	time.Sleep(s.delay)
	respond(x, Response{key, path, Echo(x.Req.Body())})
}

func respond(x *httpserver.Exchange, v any) {
	body, err := json.Marshal(v)
	if err != nil {
		_ = x.Respond(http.StatusInternalServerError, nil, nil)
		return
	}
	headers := []httpserver.Header{{Name: "Content-Type", Value: "application/json"}}
	if id := x.Req.Header.Peek("X-Request-Id"); len(id) > 0 {
		headers = append(headers, httpserver.Header{Name: "X-Request-Id", Value: string(id)})
	}
	_ = x.Respond(fasthttp.StatusOK, headers, body)
}

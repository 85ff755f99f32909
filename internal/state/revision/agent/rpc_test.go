package agent_test

import (
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"connectrpc.com/connect"

	"github.com/cardamomyoke/cardamomyoke/internal/state/revision"
	"github.com/cardamomyoke/cardamomyoke/internal/state/revision/agent"
)

// Guards against a node that keeps the reply of a peer, which has no end, until it runs out of memory.
func TestReplyWithoutEndIsAnError(t *testing.T) {
	var sent atomic.Int64
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		w.Header().Set("Content-Type", "application/proto")
		piece := []byte(strings.Repeat("e", 1<<20))
		for range 256 {
			n, err := w.Write(piece)
			sent.Add(int64(n))
			if err != nil {
				return
			}
		}
	}))
	t.Cleanup(srv.Close)
	rpc := agent.NewRPC(srv.Client(), "http")
	_, err := rpc.CatchUp(t.Context(), &revision.Member{Address: strings.TrimPrefix(srv.URL, "http://")})
	var limit *connect.Error
	if !errors.As(err, &limit) || limit.Code() != connect.CodeResourceExhausted {
		t.Fatalf("got %v after %d MB", err, sent.Load()>>20)
	}
}

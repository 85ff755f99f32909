package rig

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cardamomyoke/cardamomyoke/platform/standin"
)

// Server is a sound runner: it runs each request that is meant for it, in the given time, and answers with a sealed stream of events. It
// keeps no bodies.
type Server struct {
	ID      string
	Address string
	work    time.Duration

	mu   sync.Mutex
	runs map[string]int
}

// StartServer starts a runner and registers it.
func StartServer(store *standin.Store, id, service string, slots int, work time.Duration) *Server {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		Fail("listen: %v", err)
	}
	s := &Server{ID: id, Address: l.Addr().String(), work: work, runs: map[string]int{}}
	go func() { _ = (&http.Server{Handler: s, ReadHeaderTimeout: time.Minute}).Serve(l) }()
	Register(store, id, service, s.Address, "ready", slots)
	return s
}

// Register writes the entry of a runner.
func Register(store *standin.Store, id, service, address, state string, slots int) {
	store.Put("servers", id, map[string]any{
		"service": service, "address": address, "zone": "a", "version": "v1", "slots": slots, "state": state, "sequence": 1,
		"cold_remaining_ms": 0,
	})
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/health" {
		w.Header().Set("Instance-Id", s.ID)
		return
	}
	attempt := r.Header.Get("Attempt-Id")
	w.Header().Set("Attempt-Id", attempt)
	if r.Header.Get("Expected-Instance") != s.ID {
		w.Header().Set("Instance-Id", s.ID)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	size, err := io.Copy(io.Discard, r.Body)
	if err != nil {
		return
	}
	s.mu.Lock()
	s.runs[attempt]++
	s.mu.Unlock()
	time.Sleep(s.work)
	w.Header().Set("Response-Seal", s.ID+".seal")
	w.Header().Set("Content-Type", "text/event-stream")
	_, _ = fmt.Fprintf(w, "id: 1\ndata: %s got %d bytes\n\nid: 2\ndata: end\n\n", s.ID, size)
}

// Runs returns how often the runner has run an attempt.
func (s *Server) Runs(attempt string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[attempt]
}

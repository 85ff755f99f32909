package httpserver

import (
	"context"
	"net"
	"testing"
	"time"
)

// startAnywhere starts a server at a free address.
func startAnywhere(t *testing.T, h Handler) (*Server, string) {
	t.Helper()
	probe, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := probe.Addr().String()
	_ = probe.Close()
	s, err := Start(address, 1, Limits{}, h)
	if err != nil {
		t.Fatal(err)
	}
	return s, address
}

// endEngine ends the engine that runs, as a failure of accept does.
func (s *Server) endEngine() {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_ = s.engine().Stop(ctx)
}

// Guards against a stop that waits for ever, or leaves a listener, because another engine follows at the same time.
func TestStopWhileAnotherEngineFollows(t *testing.T) {
	for delay := time.Duration(0); delay < 100*time.Millisecond; delay += 2 * time.Millisecond {
		s, address := startAnywhere(t, func(context.Context, *Exchange) {})
		s.endEngine()
		time.Sleep(delay)
		ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
		if err := s.Stop(ctx); err != nil {
			t.Fatalf("stopped after %s: %v", delay, err)
		}
		cancel()
		if c, err := net.DialTimeout("tcp", address, time.Second); err == nil {
			_ = c.Close()
			t.Fatalf("stopped after %s: the port still accepts connections", delay)
		}
	}
}

// Guards against a drain that reports that all answers were delivered although its engine ended and cut one.
func TestDrainReportsAnswersThatItsEngineCut(t *testing.T) {
	running := make(chan struct{})
	s, address := startAnywhere(t, func(ctx context.Context, x *Exchange) {
		_ = x.Stream(200, nil)
		_ = x.Write(ctx, []byte("begun"))
		close(running)
		<-ctx.Done()
	})
	defer func() { _ = s.Stop(context.Background()) }()
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	_, _ = c.Write([]byte("GET / HTTP/1.1\r\nHost: a\r\n\r\n"))
	<-running
	time.AfterFunc(100*time.Millisecond, s.endEngine)
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
	defer cancel()
	if err := s.Drain(ctx); err == nil {
		t.Error("no error, though an answer was cut")
	}
}

package httpserver_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/cardamomyoke/cardamomyoke/internal/base/httpserver"
)

// Guards against a request that is served and whose connection is closed without an answer because its server stops right then.
func TestStopAfterDrainClosesNoServedRequest(t *testing.T) {
	const servers, callers = 60, 30
	total, lost := 0, 0
	for i := range servers {
		s := &served{}
		srv, address := start(t, httpserver.Limits{}, func(_ context.Context, x *httpserver.Exchange) {
			s.add(string(x.Req.URI().Path()))
			time.Sleep(5 * time.Millisecond)
			_ = x.Respond(http.StatusOK, nil, nil)
		})
		unanswered := &served{}
		end := time.Now().Add(300 * time.Millisecond)
		var wait sync.WaitGroup
		for caller := range callers {
			wait.Go(func() {
				rng := rand.New(rand.NewPCG(59, uint64(i*1000+caller)))
				time.Sleep(time.Duration(rng.Int64N(int64(100 * time.Millisecond))))
				if path := useUntilClosedSlow(address, fmt.Sprintf("/%d", caller), end, rng); path != "" {
					unanswered.add(path)
				}
			})
		}
		time.Sleep(150 * time.Millisecond)
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		if err := srv.Drain(ctx); err != nil {
			t.Error(err)
		}
		_ = srv.Stop(ctx)
		cancel()
		wait.Wait()
		all := s.all()
		total += len(all)
		for _, path := range unanswered.all() {
			if slices.Contains(all, path) {
				lost++
				t.Errorf("server %d: request %s was served, and its connection closed without an answer after Drain", i, path)
			}
		}
	}
	t.Logf("%d served, %d without an answer", total, lost)
}

func useUntilClosedSlow(address, name string, end time.Time, rng *rand.Rand) string {
	c, err := net.Dial("tcp", address)
	if err != nil {
		return ""
	}
	defer func() { _ = c.Close() }()
	r := bufio.NewReader(c)
	for i := 0; time.Now().Before(end); i++ {
		time.Sleep(time.Duration(rng.Int64N(int64(160 * time.Millisecond))))
		path := fmt.Sprintf("%s-%d", name, i)
		if _, err := io.WriteString(c, "GET "+path+" HTTP/1.1\r\nHost: a\r\n\r\n"); err != nil {
			return path
		}
		if readFinal(r) != nil {
			return path
		}
	}
	return ""
}

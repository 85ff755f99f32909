package agent

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"connectrpc.com/connect"

	cardamomyokev1 "github.com/cardamomyoke/cardamomyoke/internal/gen/cardamomyoke/v1"
	"github.com/cardamomyoke/cardamomyoke/internal/gen/cardamomyoke/v1/cardamomyokev1connect"
	"github.com/cardamomyoke/cardamomyoke/internal/state/catalog"
)

// Guards against a late first map after all hosts restart at the same time: a gateway calls an agent before it listens,
// and while the rank is reached directly its reports lag. So the backoff must start short and double, and a response
// must end it.
func TestBackoffForStartingAgent(t *testing.T) {
	now := time.Unix(0, 0)
	b := backoff{}
	for i, want := range []time.Duration{250, 500, 1000, 2000, 2000} {
		b = b.next(now)
		if got := b.until.Sub(now); got != want*time.Millisecond {
			t.Errorf("after %d failures the rank is reached directly for %s, want %d ms", i+1, got, want)
		}
	}
	c := NewClient(nil, "1")
	c.backoffs["h"] = b
	c.recordResult("h", nil)
	if _, _, ok := c.agent(&catalog.Upstream{Address: "h:2"}); !ok || c.backoffs["h"].next(now).length != initialBackoff {
		t.Error("the backoff continues after a response")
	}
}

// Guards against a rank that is reached directly, which pauses its group, although its agent responds again: the calls during a
// switch are orders and reads of counts.
func TestAnyResponseOfAgentEndsBackoff(t *testing.T) {
	for name, err := range map[string]error{
		"success":             nil,
		"failure of the rank": wireError(t),
	} {
		t.Run(name, func(t *testing.T) {
			c := NewClient(nil, "1")
			c.backoffs["h"] = backoff{}.next(time.Unix(0, 0))
			c.recordResult("h", err)
			if _, found := c.backoffs["h"]; found {
				t.Error("the backoff continues after a response")
			}
		})
	}
}

// wireError returns an error that a server sent.
func wireError(t *testing.T) error {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(http.StatusServiceUnavailable)
		_, _ = w.Write([]byte(`{"code":"unavailable"}`))
	}))
	defer server.Close()
	client := cardamomyokev1connect.NewAgentServiceClient(server.Client(), server.URL)
	_, err := client.RankReport(t.Context(), &cardamomyokev1.RankReportRequest{})
	if !connect.IsWireError(err) {
		t.Fatalf("%v is no error of the server", err)
	}
	return err
}

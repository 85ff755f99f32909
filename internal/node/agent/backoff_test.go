package agent

import (
	"testing"
	"time"

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
	c.recordSuccess("h")
	if _, _, ok := c.agent(&catalog.Upstream{Address: "h:2"}); !ok || c.backoffs["h"].next(now).length != initialBackoff {
		t.Error("the backoff continues after a response")
	}
}

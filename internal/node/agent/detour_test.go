package agent

import (
	"testing"
	"time"

	"github.com/cardamomyoke/cardamomyoke/internal/state/catalog"
)

// All hosts start again together, and a gateway asks for an agent before it listens. As long as the rank is reached directly
// its reports lag, and callers wait longer for the first map. The agent is tried again soon, and less and less often if it
// does not come; one that answers is taken for sound.
func TestAnAgentThatStartsIsFoundSoon(t *testing.T) {
	now := time.Unix(0, 0)
	d := detour{}
	for i, want := range []time.Duration{250, 500, 1000, 2000, 2000} {
		d = d.longer(now)
		if got := d.until.Sub(now); got != want*time.Millisecond {
			t.Errorf("after %d failures the rank is reached directly for %s, want %d ms", i+1, got, want)
		}
	}
	c := NewClient(nil, "1")
	c.avoid["h"] = d
	c.reached("h")
	if _, _, ok := c.agent(&catalog.Upstream{Address: "h:2"}); !ok || c.avoid["h"].longer(now).length != firstDirect {
		t.Error("an agent that answered is still avoided")
	}
}

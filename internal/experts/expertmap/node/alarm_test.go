package node

import (
	"bytes"
	"errors"
	"strings"
	"testing"

	"github.com/go-kit/log"

	"github.com/cardamomyoke/cardamomyoke/internal/experts/expertmap"
)

// Guards against alarms of a proposer that nobody sees.
func TestAlarmOfProposerIsLogged(t *testing.T) {
	var out bytes.Buffer
	p := NewProposer(ProposerOptions{Group: "g", Node: "p", Logger: log.NewLogfmtLogger(&out)})
	p.execute([]expertmap.Effect{expertmap.Alarm{Err: errors.New("excluded state")}})
	if !strings.Contains(out.String(), "excluded state") {
		t.Fatalf("got %q", out.String())
	}
}

package platform_test

import (
	"errors"
	"testing"

	"pgregory.net/rapid"

	"github.com/cardamomyoke/cardamomyoke/internal/base/ids"
	"github.com/cardamomyoke/cardamomyoke/internal/state/platform"
)

// Guards against a fencing token of a later era that is lower than one of an earlier era, or the same.
func TestFencesAreOrderedLikePositions(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		draw := func(name string) platform.Position {
			return platform.Position{Era: rapid.Uint64Range(0, 1<<11-1).Draw(t, name), Version: rapid.Uint64Range(0, 1<<36-1).Draw(t, name)}
		}
		p, q := draw("p"), draw("q")
		f, err := p.Fence()
		if err != nil {
			t.Fatal(err)
		}
		g, err := q.Fence()
		if err != nil {
			t.Fatal(err)
		}
		if p.Before(q) != (f < g) || platform.PositionOfFence(f) != p {
			t.Fatalf("%s is token %d, %s is token %d", p, f, q, g)
		}
	})
}

func TestFenceBeyondItsRangeIsAnError(t *testing.T) {
	var outside *platform.FenceRangeError
	for _, p := range []platform.Position{{Era: 1 << 11}, {Version: 1 << 36}} {
		if _, err := p.Fence(); !errors.As(err, &outside) {
			t.Errorf("%s: %v", p, err)
		}
	}
	if f, err := (platform.Position{Version: 64}).Fence(); f != ids.Fence(64) || err != nil {
		t.Errorf("version 64 of a single era is token %d, %v", f, err)
	}
}

package lockstep

import (
	"context"

	"github.com/cardamomyoke/cardamomyoke/internal/state/catalog"
)

// RankClient calls the engines of a group. Implementations bound the time of each call.
type RankClient interface {
	// Report reads a rank's report; it may be some hundred ms old.
	Report(ctx context.Context, u *catalog.Upstream) (Report, error)
	// Counts reads how often the rank's requests chose each expert, and from when on they were counted.
	Counts(ctx context.Context, u *catalog.Upstream, sets int) (CountStart, Counts, error)
	// HeldExperts reads the rank's part of the map in use.
	HeldExperts(ctx context.Context, u *catalog.Upstream) (HeldExperts, error)
	// ReadsWithoutPause reports whether reading the rank currently costs the group nothing.
	ReadsWithoutPause(u *catalog.Upstream) bool
	// Order sends an order. The error explains ReplyLost and ReplyRefused.
	Order(ctx context.Context, u *catalog.Upstream, o Order) (Reply, error)
}

// CountStart identifies the start of a rank's counts: a rank that restarts, or whose group forms again, counts from
// 0.
type CountStart struct {
	StartedAtMS int64
	Epoch       uint64
}

// HeldExperts is a rank's part of the map in use.
type HeldExperts struct {
	Epoch, Version uint64
	// Experts lists the experts that the rank holds, by set.
	Experts [][]int
}

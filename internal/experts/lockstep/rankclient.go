package lockstep

import (
	"context"

	"github.com/cardamomyoke/cardamomyoke/internal/state/catalog"
)

// RankClient reaches the engines of a group. Calls are bounded in time by the implementation.
type RankClient interface {
	// Report reads what a rank says of itself; it may be some hundred ms old.
	Report(ctx context.Context, u *catalog.Upstream) (Report, error)
	// Counts reads how often the rank's requests chose each expert, and since when.
	Counts(ctx context.Context, u *catalog.Upstream, sets int) (Since, Counts, error)
	// Held reads the rank's part of the map in use.
	Held(ctx context.Context, u *catalog.Upstream) (Held, error)
	// IsLocal reports whether reading the rank costs nothing, now.
	IsLocal(u *catalog.Upstream) bool
	// Order gives an order. The error explains ReplyLost and ReplyRefused.
	Order(ctx context.Context, u *catalog.Upstream, o Order) (Reply, error)
}

// Since says from when on a rank has counted: a rank that starts again, or whose group forms anew, counts from 0.
type Since struct {
	StartedAtMS int64
	Epoch       uint64
}

// Held is a rank's part of the map in use.
type Held struct {
	Epoch, Version uint64
	// Experts lists what the rank holds of each set.
	Experts [][]int
}

package staging

import "time"

// budgetSeconds is the span over which a Budget sums: a minute and the second that is being filled, so that no minute,
// wherever it starts, holds more than the limit.
const budgetSeconds = 61

// Budget enforces a limit of bytes in any minute. It outlives plans: a new plan starts with what the last one left.
type Budget struct {
	limit   uint64
	seconds [budgetSeconds]uint64
	newest  int64
}

// NewBudget returns a budget of which nothing is used.
func NewBudget(bytesPerMinute uint64) *Budget { return &Budget{limit: bytesPerMinute} }

// Left returns how many bytes may still be taken now.
func (b *Budget) Left(now time.Time) uint64 {
	b.advance(now)
	used := uint64(0)
	for _, n := range b.seconds {
		used += n
	}
	return b.limit - min(used, b.limit)
}

// Consume uses up bytes; the caller has asked Left before.
func (b *Budget) Consume(now time.Time, bytes uint64) {
	b.advance(now)
	b.seconds[b.newest%budgetSeconds] += bytes
}

// advance forgets what is older than the span. A clock that steps back counts into the newest second.
func (b *Budget) advance(now time.Time) {
	second := now.Unix()
	if second-b.newest >= budgetSeconds {
		clear(b.seconds[:])
		b.newest = second
		return
	}
	for b.newest < second {
		b.newest++
		b.seconds[b.newest%budgetSeconds] = 0
	}
}

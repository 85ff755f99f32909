package staging

import "time"

// budgetSeconds is the number of seconds over which a Budget sums: a full minute plus the current second, so that no
// minute, wherever it starts, exceeds the limit.
const budgetSeconds = 61

// Budget enforces a limit of bytes in any minute. It is shared by successive plans: a new plan starts with what the
// previous one has not used.
type Budget struct {
	limit   uint64
	seconds [budgetSeconds]uint64
	newest  int64
}

// NewBudget returns an unused budget.
func NewBudget(bytesPerMinute uint64) *Budget { return &Budget{limit: bytesPerMinute} }

// Left returns how many bytes may still be loaded now.
func (b *Budget) Left(now time.Time) uint64 {
	b.advance(now)
	used := uint64(0)
	for _, n := range b.seconds {
		used += n
	}
	return b.limit - min(used, b.limit)
}

// Consume records that bytes are loaded now. The caller must have checked Left.
func (b *Budget) Consume(now time.Time, bytes uint64) {
	b.advance(now)
	b.seconds[b.newest%budgetSeconds] += bytes
}

// advance drops the seconds that are older than the span. After the clock steps back, bytes count for the newest
// second.
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

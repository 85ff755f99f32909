package retry

import "sync"

// Budget bounds the retries of one service to a fraction of its first attempts. It is safe for concurrent use.
type Budget struct {
	mu      sync.Mutex
	percent int
	balance int
}

// The balance is kept in thousandths of a retry.
const (
	retryCost = 1000
	// deposit is what a first attempt adds to the balance for each percent. It is a twentieth below the nominal
	// percentage: the difference pays for the burst, so that at 10 percent the limit holds over any 2,000 first
	// attempts including the burst.
	deposit = 9.5
	// burst is the maximum balance in retries. It allows a service with little traffic to retry at all.
	burst = 10
)

// NewBudget returns a budget that allows retries up to percent of the first attempts. With 0 percent it allows none.
func NewBudget(percent int) *Budget {
	b := &Budget{}
	b.SetPercent(percent)
	return b
}

// SetPercent changes the percentage to that of the configuration. A budget that is enabled by it starts with a full
// burst.
func (b *Budget) SetPercent(percent int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.percent == 0 && percent > 0 {
		b.balance = burst * retryCost
	}
	if percent == 0 {
		b.balance = 0
	}
	b.percent = percent
}

// RecordFirst records a first attempt.
func (b *Budget) RecordFirst() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.balance = min(burst*retryCost, b.balance+int(deposit*float64(b.percent)))
}

// Allow consumes one retry and reports whether the budget allowed it.
func (b *Budget) Allow() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.balance < retryCost {
		return false
	}
	b.balance -= retryCost
	return true
}

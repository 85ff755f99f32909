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
	// deposit is what a first attempt adds for each percent: a twentieth less than the percentage. What is kept back
	// pays for the burst, so that at 10 percent the limit holds over any 2,000 first attempts with the burst included.
	deposit = 9.5
	// burst is the most that can be saved up, in retries. It lets a service with little traffic retry at all.
	burst = 10
)

// NewBudget returns a budget that allows retries up to percent of the first attempts. With 0 percent it allows none.
func NewBudget(percent int) *Budget {
	b := &Budget{}
	b.SetPercent(percent)
	return b
}

// SetPercent changes the fraction, which is configuration.
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

// First records a first attempt.
func (b *Budget) First() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.balance = min(burst*retryCost, b.balance+int(deposit*float64(b.percent)))
}

// Allow pays for one retry; false if the budget is used up.
func (b *Budget) Allow() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.balance < retryCost {
		return false
	}
	b.balance -= retryCost
	return true
}

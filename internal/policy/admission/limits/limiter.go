package limits

import (
	"math"
	"sync"
	"time"

	"github.com/cardamomyoke/cardamomyoke/internal/base/failure"
	"github.com/cardamomyoke/cardamomyoke/internal/base/ids"
)

// Limit is the limit of one client over all entries together; 0 means no limit.
type Limit struct {
	RequestsPerSecond, TokensPerSecond float64
}

// Options configures a Limiter.
type Options struct {
	// Burst is the size of the largest burst, as the time in which the limit grants that amount.
	Burst time.Duration
	// Window is the time constant of the demand measurement.
	Window time.Duration
	// FreshFor is how long a report counts if its entry keeps sending reports without that client; three reports may be
	// lost.
	FreshFor time.Duration
	// HoldFor is how long the last demand of the other entries counts after reports, or the aggregator's replies, stop
	// arriving.
	HoldFor time.Duration
	// MaxRecords bounds a report so that it fits into one datagram together with a digest. The clients with the most
	// demand are reported.
	MaxRecords int
}

// Defaults returns the production options.
func Defaults() Options {
	return Options{
		Burst: time.Second, Window: 2 * time.Second, FreshFor: 3500 * time.Millisecond, HoldFor: 30 * time.Second,
		MaxRecords: 56,
	}
}

// Usage is a number of requests and of tokens, or a rate of both per second.
type Usage struct{ Requests, Tokens float64 }

func (u Usage) plus(v Usage) Usage { return Usage{u.Requests + v.Requests, u.Tokens + v.Tokens} }

func (u Usage) minus(v Usage) Usage {
	return Usage{max(0, u.Requests-v.Requests), max(0, u.Tokens-v.Tokens)}
}

// Limiter enforces the limits in one entry. It is safe for concurrent use; its mutex is held for well under a
// microsecond.
type Limiter struct {
	mu       sync.Mutex
	opts     Options
	entries  int
	limits   map[ids.Client]Limit
	accounts map[ids.Client]*account
	peers    peerDemands
}

// New returns a limiter for one of the given number of entries.
func New(opts Options, entries int) *Limiter {
	return &Limiter{
		opts:     opts,
		entries:  max(1, entries),
		limits:   make(map[ids.Client]Limit),
		accounts: make(map[ids.Client]*account),
		peers:    newPeerDemands(opts),
	}
}

// SetLimits replaces all limits with those of the configuration.
func (l *Limiter) SetLimits(limits map[ids.Client]Limit) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.limits = limits
}

// SetEntries sets the number of entries, including partitioned ones. A client without previous requests at this entry
// gets an even share of its limit until the others' demand is known.
func (l *Limiter) SetEntries(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.entries = max(1, n)
}

// Consume charges a client for a request of the given size in tokens. Over the limit it returns a *failure.Error with
// CodeOverLimit and the time after which the client has allowance again. The demand of clients without a limit is
// measured too, for fair sharing.
func (l *Limiter) Consume(client ids.Client, tokens float64, now time.Time) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	limit := l.limits[client]
	a := l.account(client, limit, now)
	a.demand.add(Usage{1, tokens}, l.opts.Window, now)
	share := l.localShare(client, a, now)
	a.refill(share, limit, l.opts, now)
	if wait := a.shortage(limit, share); wait > 0 {
		return failure.New(failure.CodeOverLimit, nil).WithRetryAfter(wait)
	}
	a.allowance.Requests--
	a.allowance.Tokens -= tokens
	return nil
}

// Adjust corrects an earlier Consume by the real tokens minus the estimated ones.
func (l *Limiter) Adjust(client ids.Client, difference float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if a := l.accounts[client]; a != nil {
		a.allowance.Tokens -= difference
	}
}

// LocalShare returns the fraction of a client's token demand that arrives at this entry.
func (l *Limiter) LocalShare(client ids.Client, now time.Time) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.accounts[client]
	if a == nil {
		return 1 / float64(l.entries)
	}
	return l.localShare(client, a, now).Tokens
}

func (l *Limiter) account(client ids.Client, limit Limit, now time.Time) *account {
	a := l.accounts[client]
	if a == nil {
		share := 1 / float64(l.entries)
		a = &account{createdAt: now, refilled: now, allowance: Usage{
			max(1, share*limit.RequestsPerSecond*l.opts.Burst.Seconds()),
			share * limit.TokensPerSecond * l.opts.Burst.Seconds(),
		}}
		l.accounts[client] = a
	}
	return a
}

// localShare returns the fraction of each limit that this entry may grant. The other entries may not have reported a
// client that is new here yet, so it gets an even share until a report could have arrived.
func (l *Limiter) localShare(client ids.Client, a *account, now time.Time) Usage {
	others, known := l.peers.others(client, a, now)
	if !known && l.entries > 1 && now.Sub(a.createdAt) < l.opts.Window {
		return Usage{1 / float64(l.entries), 1 / float64(l.entries)}
	}
	own := a.demand.rate(l.opts.Window, now)
	return Usage{fraction(own.Requests, others.Requests), fraction(own.Tokens, others.Tokens)}
}

func fraction(own, others float64) float64 {
	if own+others <= 0 {
		return 1
	}
	return own / (own + others)
}

// account is an entry's state for one client.
type account struct {
	createdAt time.Time
	demand    meter
	allowance Usage
	refilled  time.Time
	// othersSum is the demand at the other entries as last sent by the aggregator, at othersAt.
	othersSum Usage
	othersAt  time.Time
}

func (a *account) refill(share Usage, limit Limit, opts Options, now time.Time) {
	elapsed := now.Sub(a.refilled).Seconds()
	a.refilled = now
	burst := opts.Burst.Seconds()
	a.allowance.Requests = filled(a.allowance.Requests, share.Requests*limit.RequestsPerSecond, elapsed, burst)
	a.allowance.Tokens = filled(a.allowance.Tokens, share.Tokens*limit.TokensPerSecond, elapsed, burst)
}

// filled adds the allowance accrued at a rate over the elapsed seconds, up to a cap of one burst, or of 1 (request or
// token) if a burst is less.
func filled(level, rate, elapsed, burst float64) float64 {
	return min(level+rate*elapsed, max(1, rate*burst))
}

// minRate keeps waiting times finite.
const minRate = 0.01

// shortage returns how long the client must wait; 0 if it may go on. The token allowance may be overdrawn by one
// request and must be paid back before the next one. Otherwise a request larger than a burst could never run.
func (a *account) shortage(limit Limit, share Usage) time.Duration {
	wait := 0.0
	if limit.RequestsPerSecond > 0 && a.allowance.Requests < 1 {
		wait = (1 - a.allowance.Requests) / max(minRate, share.Requests*limit.RequestsPerSecond)
	}
	if limit.TokensPerSecond > 0 && a.allowance.Tokens <= 0 {
		wait = max(wait, (1-a.allowance.Tokens)/max(minRate, share.Tokens*limit.TokensPerSecond))
	}
	return time.Duration(math.Ceil(wait)) * time.Second
}

// meter measures demand per second with exponential decay.
type meter struct {
	sum Usage
	at  time.Time
}

func (m *meter) add(u Usage, window time.Duration, now time.Time) {
	m.decay(window, now)
	m.sum = m.sum.plus(u)
}

func (m *meter) decay(window time.Duration, now time.Time) {
	if m.at.IsZero() {
		m.at = now
	}
	if now.After(m.at) {
		k := math.Exp(-now.Sub(m.at).Seconds() / window.Seconds())
		m.sum.Requests *= k
		m.sum.Tokens *= k
		m.at = now
	}
}

func (m *meter) rate(window time.Duration, now time.Time) Usage {
	m.decay(window, now)
	return Usage{m.sum.Requests / window.Seconds(), m.sum.Tokens / window.Seconds()}
}

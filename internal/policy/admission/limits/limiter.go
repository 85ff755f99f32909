package limits

import (
	"math"
	"sync"
	"time"

	"github.com/cardamomyoke/cardamomyoke/internal/base/failure"
	"github.com/cardamomyoke/cardamomyoke/internal/base/ids"
)

// Limit is what one client may use over all entries together; 0 means no limit.
type Limit struct {
	RequestsPerSecond, TokensPerSecond float64
}

// Options are the settings of a Limiter.
type Options struct {
	// Burst is the time whose worth of the limit may be used at once.
	Burst time.Duration
	// Window is the time over which demand is measured.
	Window time.Duration
	// Fresh is how long a report of an entry that is still heard counts; three reports may be lost.
	Fresh time.Duration
	// Hold is how long the others' last demand counts when they, or the aggregator, are not heard any more.
	Hold time.Duration
	// MaxRecords bounds a report, so that it fits one datagram beside a digest; the clients with most demand are told.
	MaxRecords int
}

// Defaults returns the settings in use.
func Defaults() Options {
	return Options{
		Burst: time.Second, Window: 2 * time.Second, Fresh: 3500 * time.Millisecond, Hold: 30 * time.Second,
		MaxRecords: 56,
	}
}

// Usage is an amount of both kinds, or a rate of them per second.
type Usage struct{ Requests, Tokens float64 }

func (u Usage) plus(v Usage) Usage { return Usage{u.Requests + v.Requests, u.Tokens + v.Tokens} }

func (u Usage) minus(v Usage) Usage {
	return Usage{max(0, u.Requests-v.Requests), max(0, u.Tokens-v.Tokens)}
}

// Limiter holds the limits in one entry. It is safe for concurrent use; a mutex is held for well under a microsecond.
type Limiter struct {
	mu       sync.Mutex
	opts     Options
	entries  int
	limits   map[ids.Client]Limit
	accounts map[ids.Client]*account
	book     book
}

// New returns a limiter for one of the given number of entries.
func New(opts Options, entries int) *Limiter {
	return &Limiter{
		opts:     opts,
		entries:  max(1, entries),
		limits:   make(map[ids.Client]Limit),
		accounts: make(map[ids.Client]*account),
		book:     newBook(opts),
	}
}

// SetLimits replaces all limits, which are configuration.
func (l *Limiter) SetLimits(limits map[ids.Client]Limit) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.limits = limits
}

// SetEntries tells how many entries there are, those that are cut off included; a client that is new here gets that
// part of its limit until the others' demand is known.
func (l *Limiter) SetEntries(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.entries = max(1, n)
}

// Consume counts a request of the given size in tokens; it returns *failure.Error with CodeOverLimit and the time after
// which the client has allowance again. It counts the demand of clients without a limit too, for fair sharing.
func (l *Limiter) Consume(client ids.Client, tokens float64, now time.Time) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	limit := l.limits[client]
	a := l.account(client, limit, now)
	a.demand.add(Usage{1, tokens}, l.opts.Window, now)
	part := l.part(client, a, now)
	a.refill(part, limit, l.opts, now)
	if wait := a.shortage(limit, part); wait > 0 {
		return failure.New(failure.CodeOverLimit, nil).WithRetryAfter(wait)
	}
	a.allowance.Requests--
	a.allowance.Tokens -= tokens
	return nil
}

// Adjust corrects an earlier Consume by the difference between the real and the estimated tokens.
func (l *Limiter) Adjust(client ids.Client, difference float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if a := l.accounts[client]; a != nil {
		a.allowance.Tokens -= difference
	}
}

// Part returns which part of a client's demand, in tokens, comes to this entry.
func (l *Limiter) Part(client ids.Client, now time.Time) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.accounts[client]
	if a == nil {
		return 1 / float64(l.entries)
	}
	return l.part(client, a, now).Tokens
}

func (l *Limiter) account(client ids.Client, limit Limit, now time.Time) *account {
	a := l.accounts[client]
	if a == nil {
		part := 1 / float64(l.entries)
		a = &account{born: now, refilled: now, allowance: Usage{
			max(1, part*limit.RequestsPerSecond*l.opts.Burst.Seconds()),
			part * limit.TokensPerSecond * l.opts.Burst.Seconds(),
		}}
		l.accounts[client] = a
	}
	return a
}

// part returns which part of each limit this entry may grant. A client that is new here has not been told of by the
// others yet, so an even part is granted until a report could have come.
func (l *Limiter) part(client ids.Client, a *account, now time.Time) Usage {
	others, known := l.book.others(client, a, now)
	if !known && l.entries > 1 && now.Sub(a.born) < l.opts.Window {
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

// account is what one entry knows of one client.
type account struct {
	born      time.Time
	demand    meter
	allowance Usage
	refilled  time.Time
	// sum is the demand at the other entries as the aggregator told it.
	sum   Usage
	sumAt time.Time
}

func (a *account) refill(part Usage, limit Limit, opts Options, now time.Time) {
	past := now.Sub(a.refilled).Seconds()
	a.refilled = now
	burst := opts.Burst.Seconds()
	a.allowance.Requests = filled(a.allowance.Requests, part.Requests*limit.RequestsPerSecond, past, burst)
	a.allowance.Tokens = filled(a.allowance.Tokens, part.Tokens*limit.TokensPerSecond, past, burst)
}

// filled adds what a rate yields in the time past, up to a burst's worth but always up to one request.
func filled(level, rate, past, burst float64) float64 {
	return min(level+rate*past, max(1, rate*burst))
}

// minRate keeps waiting times finite.
const minRate = 0.01

// shortage returns how long the client must wait, 0 if it may go on. A token allowance may be overdrawn by the last
// request, which is paid back before the next one; otherwise a request larger than a burst could never run.
func (a *account) shortage(limit Limit, part Usage) time.Duration {
	wait := 0.0
	if limit.RequestsPerSecond > 0 && a.allowance.Requests < 1 {
		wait = (1 - a.allowance.Requests) / max(minRate, part.Requests*limit.RequestsPerSecond)
	}
	if limit.TokensPerSecond > 0 && a.allowance.Tokens <= 0 {
		wait = max(wait, (1-a.allowance.Tokens)/max(minRate, part.Tokens*limit.TokensPerSecond))
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

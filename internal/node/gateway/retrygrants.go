package gateway

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/cardamomyoke/cardamomyoke/internal/base/ids"
	"github.com/cardamomyoke/cardamomyoke/internal/policy/retry"
	"github.com/cardamomyoke/cardamomyoke/internal/state/platform"
)

const (
	// prefixRetries is the prefix of the rows of retry grants, one for each service.
	prefixRetries = "retries/"
	// grantTimeout bounds one request for a grant.
	grantTimeout = 800 * time.Millisecond
	// maxGrantWait and maxGrantWaitShare bound how long a request waits for a grant, the latter as a share of its time left.
	maxGrantWait      = time.Second
	maxGrantWaitShare = 0.25
	// grantFailedPause is the pause after a call to the store that failed. minGrantPause and maxGrantPause bound the pause after
	// an answer that nothing is left, to which up to grantPauseJitter is added.
	grantFailedPause = time.Second
	minGrantPause    = 300 * time.Millisecond
	maxGrantPause    = 2 * time.Second
	grantPauseJitter = 200 * time.Millisecond
	// rowAge is how long the row that was written last is taken for the one in the store, where others may have changed it.
	rowAge = 50 * time.Millisecond
	// maxGrantTries is how often a request for a grant is repeated after another gateway has changed the row.
	maxGrantTries = 12
	// conflictPause is the mean pause before such a repetition.
	conflictPause = 4 * time.Millisecond
	// grantSpread, for each peer above maxUnspreadPeers, is the time over which gateways spread their requests: all of them may
	// need retries at the same moment, and the store takes some hundred writes a second.
	grantSpread      = 8 * time.Millisecond
	maxUnspreadPeers = 12
	// minFairPart is the number of retries that a gateway may request at once in any case.
	minFairPart = 4
)

// retryGrants requests retries for one service from the row that all gateways share. At most one request is in flight.
type retryGrants struct {
	g       *Gateway
	service ids.Service
	budget  *retry.SharedBudget

	mu sync.Mutex
	// pending is closed at the end of the request in flight; nil if there is none.
	pending chan struct{}
	// notBefore is the earliest time of the next request.
	notBefore time.Time
	// state is the outcome of the latest request, for logs and metrics.
	state grantState

	// ledger and row belong to the request in flight. row was in the store at rowAt, if hasRow is set.
	ledger *retry.Ledger
	row    platform.Row
	rowAt  time.Time
	hasRow bool
}

// grantState is the outcome of a request for a grant.
type grantState struct {
	// at is when the request ended; zero before the first.
	at time.Time
	// granted is how many retries count that all gateways were granted, limit how many may.
	granted int
	limit   float64
}

func newRetryGrants(g *Gateway, service ids.Service, budget *retry.SharedBudget) *retryGrants {
	return &retryGrants{g: g, service: service, budget: budget, ledger: retry.NewLedger()}
}

// await waits for the end of a request for a grant, which it starts if none is in flight. It returns false if there was none, or
// if it did not end in time. r is nil in tests without a store.
func (r *retryGrants) await(ctx context.Context, limit time.Duration) bool {
	if r == nil {
		return false
	}
	pending := r.request(time.Now())
	if pending == nil {
		return false
	}
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-pending:
		return true
	case <-timer.C:
	case <-ctx.Done():
	}
	return false
}

// request starts a request for a grant unless one is in flight. It returns nil if it is too early for one.
func (r *retryGrants) request(now time.Time) <-chan struct{} {
	if r == nil {
		return nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.pending == nil {
		if now.Before(r.notBefore) {
			return nil
		}
		r.pending = make(chan struct{})
		go r.run()
	}
	return r.pending
}

// run makes one request and schedules the earliest next one.
func (r *retryGrants) run() {
	if !r.spread() {
		r.finish(time.Now(), grantState{})
		return
	}
	ctx, cancel := context.WithTimeout(r.g.ctx, grantTimeout)
	defer cancel()
	o := r.obtain(ctx)
	now := time.Now()
	r.log(o, now)
	next := now
	switch {
	case o.err != nil:
		next = now.Add(grantFailedPause)
	case o.retries == 0:
		next = r.nextAt(o.limit, now)
	}
	r.finish(next, grantState{now, o.granted, o.limit})
}

func (r *retryGrants) finish(next time.Time, s grantState) {
	r.mu.Lock()
	defer r.mu.Unlock()
	close(r.pending)
	r.pending, r.notBefore, r.state = nil, next, s
}

// spread waits for a random part of the time over which gateways spread their requests; false if the gateway stops.
func (r *retryGrants) spread() bool {
	peers := r.g.peers.count(time.Now()) - maxUnspreadPeers
	if peers <= 0 {
		return r.g.ctx.Err() == nil
	}
	select {
	case <-time.After(time.Duration(rand.Int64N(int64(grantSpread) * int64(peers)))):
		return true
	case <-r.g.ctx.Done():
		return false
	}
}

// nextAt returns when to ask again after nothing was left.
func (r *retryGrants) nextAt(limit float64, now time.Time) time.Time {
	pause := maxGrantPause
	if at := r.ledger.NextAt(limit, r.g.sharedRetryBound(), now); !at.IsZero() {
		pause = max(minGrantPause, min(pause, at.Sub(now)))
	}
	return now.Add(pause + time.Duration(rand.Int64N(int64(grantPauseJitter))))
}

// grantOutcome is the result of a request for a grant, with the inputs of the decision.
type grantOutcome struct {
	wanted, retries, granted, first, tries int
	limit                                  float64
	extra                                  bool
	err                                    error
}

// obtain reads the row and replaces it by one with a grant, until no other gateway does so in between.
func (r *retryGrants) obtain(ctx context.Context) grantOutcome {
	o := grantOutcome{wanted: r.budget.Wanted(time.Now())}
	for o.tries = 1; o.tries <= maxGrantTries; o.tries++ {
		if o.err = r.read(ctx); o.err != nil {
			return o
		}
		bound, now := r.g.sharedRetryBound(), time.Now()
		o.first, o.extra = r.g.peers.firstAttempts(r.service, r.budget.Usage(now).First, now)
		o.limit = retry.GrantLimit(bound, o.first, o.extra)
		p := r.ledger.Propose(min(o.wanted, r.fairPart(o.limit, now)), o.limit, bound, now)
		o.granted = r.ledger.Granted(bound, now)
		if p.Retries == 0 && !r.mustNoteEra(p) {
			return o
		}
		var conflict *platform.ConflictError
		o.err = r.write(ctx, p)
		switch {
		case o.err == nil:
			r.ledger.Accepted(p, time.Now())
			r.budget.Grant(p.Retries, now)
			o.retries, o.granted = p.Retries, o.granted+p.Retries
			return o
		case !errors.As(o.err, &conflict):
			return o
		}
		r.useRowOf(conflict)
		r.pauseAfterConflict(ctx)
	}
	return o
}

// mustNoteEra reports whether a proposal without retries must be written: gateways that start later learn from it how long ago
// the era was noticed.
func (r *retryGrants) mustNoteEra(p retry.Proposal) bool {
	known, err := retry.DecodeGrants(r.row.Value)
	return err == nil && p.Row.GetEra() > 0 && known.GetEra() != p.Row.GetEra()
}

// fairPart returns how many retries to request at most, so that several gateways can get some.
func (r *retryGrants) fairPart(limit float64, now time.Time) int {
	return max(minFairPart, int(limit)/(1+r.g.peers.count(now)))
}

// read reads the row unless the last known one may still be in the store.
func (r *retryGrants) read(ctx context.Context) error {
	if !r.hasRow || time.Since(r.rowAt) > rowAge {
		rows, err := r.g.table.Get(ctx, prefixRetries+string(r.service))
		if err != nil {
			return err
		}
		r.setRow(rows[0])
	}
	value, err := retry.DecodeGrants(r.row.Value)
	if err != nil {
		r.hasRow = false
		return err
	}
	r.ledger.Merge(value, r.row.Era, r.g.eraAge(r.row.Era), time.Now())
	return nil
}

// write writes the row of a proposal. Only after success the last known row is that of the store.
func (r *retryGrants) write(ctx context.Context, p retry.Proposal) error {
	r.hasRow = false
	value, err := proto.Marshal(p.Row)
	if err != nil {
		return err
	}
	key := r.row.Key
	res, err := r.g.table.Commit(ctx, platform.Txn{Operation: ids.NewOperation(), Checks: []platform.Check{r.row.Unchanged()}, Puts: []platform.Put{{Key: key, Value: value}}})
	if err != nil {
		return err
	}
	at := res.Position(0)
	r.setRow(platform.Row{Key: key, Version: at.Version, Era: at.Era, Value: value})
	return nil
}

// setRow records the row that was in the store just now.
func (r *retryGrants) setRow(row platform.Row) { r.row, r.rowAt, r.hasRow = row, time.Now(), true }

// useRowOf takes the row that another gateway has written from the answer that tells of it.
func (r *retryGrants) useRowOf(conflict *platform.ConflictError) {
	for _, row := range conflict.Rows {
		if row.Key == r.row.Key {
			r.setRow(row)
		}
	}
}

func (r *retryGrants) pauseAfterConflict(ctx context.Context) {
	select {
	case <-time.After(time.Duration(rand.Int64N(2 * int64(conflictPause)))):
	case <-ctx.Done():
	}
}

// last returns the outcome of the latest request.
func (r *retryGrants) last() grantState {
	if r == nil {
		return grantState{}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state
}

func (r *retryGrants) log(o grantOutcome, now time.Time) {
	r.g.metrics.retriesGranted(r.service, o.retries)
	_ = r.g.requests.failures.Log("msg", "retry grant", "service", r.service, "wanted", o.wanted, "granted", o.retries,
		"granted_to_all", o.granted, "limit", o.limit, "first_known", o.first, "with_extra", o.extra, "peers", r.g.peers.count(now),
		"row", r.row.Position(), "tries", o.tries, "err", o.err)
}

// sharedRetryBound returns the bound on the retries of all gateways.
func (g *Gateway) sharedRetryBound() retry.Bound {
	b := g.Settings().Bounds.Retries
	return retry.Bound{Length: b.Window.Std(), Ratio: b.Ratio, Extra: float64(b.Extra)}
}

// eraAge returns how long ago this gateway or a peer noticed an era of the store; 0 if that is not known.
func (g *Gateway) eraAge(era uint64) time.Duration {
	age := time.Duration(0)
	for _, f := range g.followers {
		if p, loaded := f.Replica.Position(); loaded && p.Era == era {
			age = max(age, f.Replica.EraAge())
		}
	}
	return age
}

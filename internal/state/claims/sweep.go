package claims

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/cardamomyoke/cardamomyoke/internal/base/ids"
	cardamomyokev1 "github.com/cardamomyoke/cardamomyoke/internal/gen/cardamomyoke/v1"
	"github.com/cardamomyoke/cardamomyoke/internal/state/platform"
)

// Sweeper deletes claims whose retention has ended. Several sweepers may run concurrently: each deletes on condition
// that the rows are unchanged, so two of them at worst duplicate work. Every Store whose SweepInterval is set runs one.
type Sweeper struct {
	Table platform.Table
	// Margin is added to the expiry time to tolerate the clock difference between two hosts.
	Margin time.Duration
	// MaxWrites is the maximum number of transactions of one Sweep.
	MaxWrites int
	// NewOperation generates the operation id of a transaction.
	NewOperation func() ids.Operation
}

// SweepResult is the result of one Sweep.
type SweepResult struct {
	// Writes is the number of transactions, Claims the number of claims that they deleted.
	Writes, Claims int
}

// Sweep deletes up to MaxWrites lists of expired claims, the oldest first. It returns an error of the table, or a
// *RowError for a list that cannot be decoded. The result counts the deletions before the error; the next Sweep deletes
// the rest.
func (s *Sweeper) Sweep(ctx context.Context, now time.Time) (SweepResult, error) {
	var result SweepResult
	lists, err := s.Table.List(ctx, BatchPrefix, "", s.MaxWrites)
	if err != nil {
		return result, fmt.Errorf("list expired claims: %w", err)
	}
	for _, list := range lists {
		if !expired(now, list.Key, s.Margin) {
			return result, nil
		}
		n, err := s.remove(ctx, now, list)
		if err != nil {
			return result, err
		}
		result.Writes++
		result.Claims += n
	}
	return result, nil
}

// expired reports whether the expiry time in a list's key has passed. A key that cannot be parsed never expires.
func expired(now time.Time, key string, margin time.Duration) bool {
	text, _, _ := strings.Cut(strings.TrimPrefix(key, BatchPrefix), "/")
	ms, err := strconv.ParseInt(text, 16, 64)
	return err == nil && now.After(time.UnixMilli(ms).Add(margin))
}

// remove deletes a list and those of its claims that have expired, in one transaction.
func (s *Sweeper) remove(ctx context.Context, now time.Time, list platform.Row) (int, error) {
	batch := &cardamomyokev1.ClaimBatch{}
	if err := proto.Unmarshal(list.Value, batch); err != nil {
		return 0, &RowError{list.Key, err}
	}
	rows, err := s.Table.Get(ctx, batch.GetKeys()...)
	if err != nil {
		return 0, fmt.Errorf("read expired claims: %w", err)
	}
	t := platform.Txn{Operation: s.NewOperation()}
	for _, row := range rows {
		if row.Version == 0 || !s.rowExpired(now, row) {
			continue
		}
		t.Checks = append(t.Checks, row.Unchanged())
		t.Puts = append(t.Puts, platform.Put{Key: row.Key})
	}
	n := len(t.Puts)
	t.Checks = append(t.Checks, list.Unchanged())
	t.Puts = append(t.Puts, platform.Put{Key: list.Key})
	_, err = s.Table.Commit(ctx, t)
	var conflict *platform.ConflictError
	if errors.As(err, &conflict) {
		return 0, nil // Another sweeper was faster, or an outcome arrived very late; the next Sweep retries.
	}
	if err != nil {
		return 0, fmt.Errorf("delete expired claims: %w", err)
	}
	return n, nil
}

// rowExpired reports whether a claim has expired by the time in its own row. The expiry time of the list is not enough:
// a key that was released and claimed again is in a later list as well.
func (s *Sweeper) rowExpired(now time.Time, row platform.Row) bool {
	c, err := decodeRow(row)
	return err == nil && now.After(time.UnixMilli(c.GetExpireMs()).Add(s.Margin))
}

// Run sweeps at the given interval until ctx is done and calls report with the result of each Sweep.
func (s *Sweeper) Run(ctx context.Context, interval time.Duration, report func(SweepResult, error)) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			report(s.Sweep(ctx, time.Now()))
		}
	}
}

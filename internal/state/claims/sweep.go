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

// Sweeper removes claims whose outcomes were kept long enough. Several may run at once: each deletes on condition that
// nothing changed, so that the worst they do to each other is work in vain. Every Store runs one.
type Sweeper struct {
	Table platform.Table
	// Margin is added to the expiry, for the difference between two hosts' clocks.
	Margin time.Duration
	// MaxWrites is the most transactions of one Sweep.
	MaxWrites int
	// NewOperation draws the id of a transaction.
	NewOperation func() ids.Operation
}

// SweepResult tells what a Sweep did.
type SweepResult struct {
	// Writes counts transactions, Claims the claims that they removed.
	Writes, Claims int
}

// Sweep removes up to MaxWrites lists of expired claims, the oldest first. Errors are those of the table; what was
// removed before an error stays removed, and the rest waits for the next Sweep.
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

// expired reads the time out of a list's key. A key that cannot be read never expires.
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
		t.Checks = append(t.Checks, platform.Check{Key: row.Key, Version: row.Version})
		t.Puts = append(t.Puts, platform.Put{Key: row.Key})
	}
	n := len(t.Puts)
	t.Checks = append(t.Checks, platform.Check{Key: list.Key, Version: list.Version})
	t.Puts = append(t.Puts, platform.Put{Key: list.Key})
	_, err = s.Table.Commit(ctx, t)
	var conflict *platform.ConflictError
	if errors.As(err, &conflict) {
		return 0, nil // Another sweeper was faster, or an outcome came in very late; the next Sweep looks again.
	}
	if err != nil {
		return 0, fmt.Errorf("delete expired claims: %w", err)
	}
	return n, nil
}

// rowExpired reads a claim's own expiry: a key that was released and claimed again stands in a later list as well.
func (s *Sweeper) rowExpired(now time.Time, row platform.Row) bool {
	c, err := decodeRow(row)
	return err == nil && now.After(time.UnixMilli(c.GetExpireMs()).Add(s.Margin))
}

// Run sweeps every interval until ctx ends and calls report with what each Sweep did.
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

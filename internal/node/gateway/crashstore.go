package gateway

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/go-kit/log/level"

	"github.com/cardamomyoke/cardamomyoke/internal/base/ids"
	"github.com/cardamomyoke/cardamomyoke/internal/policy/blame"
	"github.com/cardamomyoke/cardamomyoke/internal/policy/quarantine"
	"github.com/cardamomyoke/cardamomyoke/internal/state/platform"
)

const (
	// partsRow is the key of the row with the parts that all gateways share.
	partsRow = "crash-parts/all"
	// partsTimeout bounds one call for the row.
	partsTimeout = 800 * time.Millisecond
	// saveDelay is the time after a crash until its evidence is written: most parts are answered meanwhile.
	saveDelay = 400 * time.Millisecond
	// learnedSaveDelay and learnedSaveSpread bound the time after which a gateway checks whether a decision that it has learned
	// is in the store. The one that decided writes it at once.
	learnedSaveDelay  = time.Second
	learnedSaveSpread = 2 * time.Second
	// partsFailedPause is the pause after a call that failed.
	partsFailedPause = 500 * time.Millisecond
	// isolatedReadInterval is how often a gateway that hears no peer reads the row.
	isolatedReadInterval = 2 * time.Second
	// maxPartsWait is how long after its start a gateway refuses requests with shared parts because it does not know the stored
	// ones: a store that is away must not end the service.
	maxPartsWait = 5 * time.Second
	// maxPartsTries is how often a write is repeated after another gateway has changed the row.
	maxPartsTries = 12
)

// crashStore keeps the evidence of crashes, against parts of prompts and against whole requests, in two rows of the store, so that it
// outlasts all gateways.
type crashStore struct {
	g *Gateway
	p *crashParts

	mu sync.Mutex
	// busy is set while a call is in progress.
	busy bool
	// notBefore is the earliest time of the next call.
	notBefore time.Time
	// row is the row as last read or written, readAt when that was.
	row    platform.Row
	readAt time.Time
	// startedAt is when this gateway started.
	startedAt time.Time
}

func newCrashStore(g *Gateway) *crashStore {
	return &crashStore{g: g, p: g.suspects.parts, startedAt: time.Now()}
}

// tick starts a call for the row if one is due. It runs on the control loop.
func (s *crashStore) tick(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.p.serving.Load() && now.Sub(s.startedAt) > maxPartsWait {
		s.serve("neither the store nor a peer has responded")
	}
	if s.busy || now.Before(s.notBefore) || !s.due(now) {
		return
	}
	s.busy = true
	go s.run()
}

// due reports whether the row must be read or written. The caller holds the lock.
func (s *crashStore) due(now time.Time) bool {
	if !s.p.known.Load() {
		return s.readsFirst() || now.Sub(s.startedAt) >= joinPeriod
	}
	if s.g.peers.isolated(now) && now.Sub(s.readAt) >= isolatedReadInterval {
		return true
	}
	s.noticeEra(now)
	if s.g.suspects.saveDue(now) {
		return true
	}
	s.p.mu.Lock()
	defer s.p.mu.Unlock()
	return s.p.ledger.Unsaved() && !now.Before(s.p.saveAt)
}

// noticeEra schedules a write if the store has begun an era since the rows were read: they may be older than what is known. The caller
// holds the lock.
func (s *crashStore) noticeEra(now time.Time) {
	at, loaded := s.g.configFollower.Replica.Position()
	if !loaded || at.Era <= s.row.Era {
		return
	}
	// All gateways notice a new era at once, and the store takes some hundred writes a second.
	due := now.Add(time.Duration(rand.Int64N(int64(learnedSaveSpread))))
	s.p.mu.Lock()
	defer s.p.mu.Unlock()
	if (!s.p.ledger.Empty() || len(s.g.suspects.tracker.Stored(now)) > 0) && !s.p.ledger.Unsaved() {
		s.p.saveAt = due
		s.p.ledger.SetUnsaved(true)
	}
}

// readsFirst reports whether this gateway reads the row as soon as it starts. Gateways that start together learn what it has from
// those to which all of them turn, so that they make few calls.
func (s *crashStore) readsFirst() bool {
	set := s.g.Settings()
	return len(set.Peers) == 0 || slices.Contains(set.Peers, set.Listen.Peers)
}

func (s *crashStore) run() {
	ctx, cancel := context.WithTimeout(s.g.ctx, partsTimeout)
	defer cancel()
	s.p.mu.Lock()
	s.p.ledger.SetUnsaved(false)
	s.p.mu.Unlock()
	s.g.suspects.saving()
	err := s.sync(ctx, func(*blame.Ledger, []blame.Suspect) bool { return true })
	s.finish(err, time.Now())
}

func (s *crashStore) finish(err error, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.busy = false
	if err == nil {
		return
	}
	s.notBefore = now.Add(partsFailedPause)
	s.g.suspects.saveFailed(now)
	s.p.metrics.partsStoreFailed()
	if s.g.ctx.Err() == nil {
		_ = s.g.storeCalls.Log("msg", "store call failed", "row", partsRow, "row_version", s.row.Position(), "err", err)
	}
	s.p.mu.Lock()
	defer s.p.mu.Unlock()
	s.p.ledger.SetUnsaved(true)
}

// sync reads the rows, merges them, and writes what they lack. change is applied to the ledger once it has what is stored; if it
// returns false, nothing is written. Errors: those of platform.Table, *ContendedRowError.
func (s *crashStore) sync(ctx context.Context, change func(l *blame.Ledger, stored []blame.Suspect) bool) error {
	for range maxPartsTries {
		rows, err := s.g.table.Get(ctx, partsRow, requestsRow)
		if err != nil {
			return err
		}
		s.g.suspects.readRow(rows[1], time.Now())
		stored := s.read(rows[0])
		changed, err := s.next(stored, rows, change)
		if err != nil || len(changed) == 0 {
			return err
		}
		err = s.write(ctx, changed)
		var conflict *platform.ConflictError
		if !errors.As(err, &conflict) {
			return err
		}
		time.Sleep(time.Duration(rand.Int64N(2 * int64(conflictPause))))
	}
	return &ContendedRowError{partsRow, maxPartsTries}
}

// ContendedRowError reports that other gateways changed a row before each attempt to write it.
type ContendedRowError struct {
	Row   string
	Tries int
}

// Error implements error.
func (e *ContendedRowError) Error() string {
	return fmt.Sprintf("row %s was changed by others before each of %d writes", e.Row, e.Tries)
}

// read merges the row into the ledger, and returns what the row has. One that cannot be decoded counts as empty.
func (s *crashStore) read(row platform.Row) []blame.Suspect {
	stored, err := blame.DecodeRow(row.Value)
	if err != nil {
		s.p.metrics.partsRowInvalid()
		_ = level.Error(s.p.logger).Log("msg", "stored parts cannot be decoded", "row", partsRow, "row_version", row.Position(), "bytes", len(row.Value), "err", err)
	}
	s.p.update(func(l *blame.Ledger) []blame.Suspect { return l.Merge(time.Now(), stored) })
	s.recordRow(row)
	s.setKnown("the row was read")
	return stored
}

// setKnown records that this gateway knows all stored parts, and lets its peers know.
func (s *crashStore) setKnown(reason string) {
	if s.p.known.Swap(true) {
		return
	}
	s.serve(reason)
	go s.g.loop.Post(func(now time.Time) { s.g.peers.sendToAll(now) })
}

// serve lets requests with shared parts through.
func (s *crashStore) serve(reason string) {
	if s.p.serving.Swap(true) {
		return
	}
	refused, suspected := s.p.snapshot.Load().Count()
	_ = level.Info(s.p.logger).Log("msg", "stored parts", "known", s.p.known.Load(), "reason", reason, "refused", refused, "suspected", suspected,
		"took_ms", time.Since(s.startedAt).Milliseconds())
	go s.g.loop.Post(func(time.Time) { s.g.publish() })
}

func (s *crashStore) recordRow(row platform.Row) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.row, s.readAt = row, time.Now()
}

// changedRow is a row of the store with its next value.
type changedRow struct {
	row   platform.Row
	value []byte
}

// next returns the rows that must be written.
func (s *crashStore) next(stored []blame.Suspect, rows []platform.Row, change func(l *blame.Ledger, stored []blame.Suspect) bool) ([]changedRow, error) {
	s.p.mu.Lock()
	defer s.p.mu.Unlock()
	if !change(s.p.ledger, stored) {
		return nil, nil
	}
	var out []changedRow
	if all := s.p.ledger.All(); !blame.Covers(stored, all) {
		value, err := blame.EncodeRow(all)
		if err != nil {
			return nil, err
		}
		out = appendChanged(out, rows[0], value)
	}
	value, err := quarantine.EncodeRow(s.g.suspects.tracker.Stored(time.Now()))
	if err != nil {
		return nil, err
	}
	return appendChanged(out, rows[1], value), nil
}

func appendChanged(list []changedRow, row platform.Row, value []byte) []changedRow {
	if bytes.Equal(value, row.Value) {
		return list
	}
	return append(list, changedRow{row, value})
}

func (s *crashStore) write(ctx context.Context, changed []changedRow) error {
	txn := platform.Txn{Operation: ids.NewOperation()}
	for _, c := range changed {
		txn.Checks = append(txn.Checks, c.row.Unchanged())
		txn.Puts = append(txn.Puts, platform.Put{Key: c.row.Key, Value: c.value})
	}
	res, err := s.g.table.Commit(ctx, txn)
	if err != nil {
		return err
	}
	for i, c := range changed {
		at := res.Position(i)
		written := platform.Row{Key: c.row.Key, Version: at.Version, Era: at.Era, Value: c.value}
		if c.row.Key == partsRow {
			s.recordRow(written)
		} else {
			s.g.suspects.readRow(written, time.Now())
		}
		_ = level.Info(s.p.logger).Log("msg", "stored evidence written", "row", c.row.Key, "row_version", at, "bytes", len(c.value))
	}
	return nil
}

// saveNow writes what the row lacks. Errors: those of platform.Table; the changes are then written later.
func (s *crashStore) saveNow(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, partsTimeout)
	defer cancel()
	return s.sync(ctx, func(*blame.Ledger, []blame.Suspect) bool { return true })
}

// claim counts a trial of a refused part in the store. It reports whether it is certain that no other gateway has claimed the same
// trial.
func (s *crashStore) claim(ctx context.Context, part blame.Part) bool {
	ctx, cancel := context.WithTimeout(ctx, partsTimeout)
	defer cancel()
	number := uint32(0)
	err := s.sync(ctx, func(l *blame.Ledger, stored []blame.Suspect) bool {
		if number == 0 && l.TrialDue(time.Now(), part) {
			number = l.ClaimTrial(time.Now(), part)
		}
		if number <= trialsOf(stored, part) {
			number = 0
		}
		return number > 0
	})
	s.p.update(func(*blame.Ledger) []blame.Suspect { return nil })
	return number > 0 && err == nil
}

// trialsOf returns the number of trials of a part.
func trialsOf(list []blame.Suspect, part blame.Part) uint32 {
	for _, s := range list {
		if s.Part == part {
			return s.Verdict.Trials
		}
	}
	return 0
}

// saved reports whether the store has all decisions, as far as this gateway knows, and the position of the row.
func (s *crashStore) saved() (bool, platform.Position) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.p.mu.Lock()
	defer s.p.mu.Unlock()
	return !s.busy && s.p.known.Load() && !s.p.ledger.Unsaved(), s.row.Position()
}

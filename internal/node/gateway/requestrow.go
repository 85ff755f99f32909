package gateway

import (
	"math/rand/v2"
	"time"

	"github.com/go-kit/log/level"

	"github.com/cardamomyoke/cardamomyoke/internal/policy/quarantine"
	"github.com/cardamomyoke/cardamomyoke/internal/state/platform"
)

// requestsRow is the key of the row with the evidence against whole requests. It is in the part of the store of partsRow, so that both
// are read in one call.
const requestsRow = "crash-requests/all"

const (
	// firstCrashSaveDelay is the time after which a request's first crash is written: most requests are answered elsewhere meanwhile.
	firstCrashSaveDelay = 2 * time.Second
	// repeatedCrashSaveDelay is the time after which further crashes are written.
	repeatedCrashSaveDelay = 100 * time.Millisecond
)

func evidenceSaveDelay(l quarantine.Level) time.Duration {
	if l >= quarantine.Alone {
		return repeatedCrashSaveDelay
	}
	return firstCrashSaveDelay
}

// saveBy schedules a write of the evidence. The caller holds the lock.
func (s *suspects) saveBy(at time.Time) {
	if s.saveAt.IsZero() || at.Before(s.saveAt) {
		s.saveAt = at
	}
}

// saveDue reports whether the evidence must be written now. Requests that were answered meanwhile leave nothing to write.
func (s *suspects) saveDue(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.saveAt.IsZero() || now.Before(s.saveAt) {
		return false
	}
	if len(s.inRow) == 0 && len(s.tracker.Stored(now)) == 0 {
		s.saveAt = time.Time{}
	}
	return !s.saveAt.IsZero()
}

// saving records that a write begins.
func (s *suspects) saving() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.saveAt = time.Time{}
}

// saveFailed schedules another write if there is something to write.
func (s *suspects) saveFailed(now time.Time) {
	if len(s.tracker.Stored(now)) == 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.saveBy(now.Add(partsFailedPause))
}

// clearedInRow schedules a write if the store still has evidence against a request that has completed.
func (s *suspects) clearedInRow(f quarantine.Fingerprint, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.inRow[f] {
		s.saveBy(now.Add(firstCrashSaveDelay))
	}
}

// merge adds what a peer knows. A gateway that learns that a request is refused checks later whether the store has it: the one that
// found it writes it at once, if it lives.
func (s *suspects) merge(list []quarantine.Suspect, now time.Time) {
	if len(list) == 0 {
		return
	}
	before := s.countRefused(now)
	s.tracker.Merge(now, list...)
	if s.countRefused(now) > before {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.saveBy(now.Add(learnedSaveDelay + time.Duration(rand.Int64N(int64(learnedSaveSpread)))))
	}
}

// readRow merges the row of the store. One that cannot be decoded counts as empty.
func (s *suspects) readRow(row platform.Row, now time.Time) {
	stored, err := quarantine.DecodeRow(row.Key, row.Value)
	if err != nil {
		s.metrics.partsRowInvalid()
		_ = level.Error(s.logger).Log("msg", "stored requests cannot be decoded", "row", row.Key, "row_version", row.Position(), "bytes", len(row.Value), "err", err)
	}
	s.tracker.Merge(now, stored...)
	s.recordRow(stored)
}

func (s *suspects) recordRow(stored []quarantine.Suspect) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inRow = make(map[quarantine.Fingerprint]bool, len(stored))
	for _, r := range stored {
		s.inRow[r.Fingerprint] = true
	}
}

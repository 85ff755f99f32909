package store

import (
	"context"
	"errors"
	"fmt"
	"slices"

	"google.golang.org/protobuf/proto"

	"github.com/cardamomyoke/cardamomyoke/internal/base/ids"
	cardamomyokev1 "github.com/cardamomyoke/cardamomyoke/internal/gen/cardamomyoke/v1"
	"github.com/cardamomyoke/cardamomyoke/internal/state/config"
	"github.com/cardamomyoke/cardamomyoke/internal/state/platform"
	"github.com/cardamomyoke/cardamomyoke/internal/state/revision"
)

// maxPending is the number of log entries waiting for acceptance at which operators' changes are refused.
const maxPending = 64

// systemOperator is the operator named in changes that the system makes by itself.
const systemOperator = "cardamomyoke"

// RaceError reports that a change is not based on the revision that is committed, because another change was committed first.
type RaceError struct{ Base, Committed uint64 }

// Error implements error.
func (e *RaceError) Error() string {
	return fmt.Sprintf("the change is based on revision %d, but %d is committed", e.Base, e.Committed)
}

// PendingError reports that too many changes wait for acceptance.
type PendingError struct{ Committed, Accepted uint64 }

// Error implements error.
func (e *PendingError) Error() string {
	return fmt.Sprintf("%d entries wait to be accepted", e.Committed-e.Accepted)
}

// ReusedError reports that the operation id was used for another change.
type ReusedError struct{ Operation string }

// Error implements error.
func (e *ReusedError) Error() string {
	return fmt.Sprintf("operation %s was used for another change", e.Operation)
}

// UnknownOutcomeError reports that the outcome of a change is unknown: it may be committed already, or may still
// be.
type UnknownOutcomeError struct {
	Operation string
	Cause     error
}

// Error implements error.
func (e *UnknownOutcomeError) Error() string {
	return fmt.Sprintf("operation %s may or may not be committed: %v", e.Operation, e.Cause)
}

// Unwrap returns the cause.
func (e *UnknownOutcomeError) Unwrap() error { return e.Cause }

// Build returns the edits of a change, given the committed state that it is applied to.
type Build func(*revision.State) ([]*cardamomyokev1.Edit, error)

// Change commits an operator's change and returns its log entry. have is the newest state that the caller has, from which the
// committed state is derived. A change that is repeated with the same operation id returns the log entry of the first call.
// Errors: *config.FieldError, *RaceError, *PendingError, *ReusedError (nothing was committed); *platform.UnavailableError
// (nothing was committed by this call); *UnknownOutcomeError.
func (s *Store) Change(ctx context.Context, have *revision.State, meta *cardamomyokev1.ChangeMeta, build Build) (*revision.LogEntry, error) {
	if err := config.CheckMeta(meta); err != nil {
		return nil, err
	}
	return s.propose(ctx, have, meta, func(st *revision.State, h *cardamomyokev1.Head) (*revision.LogEntry, error) {
		if st.Revision() != meta.GetBaseRevision() {
			return nil, &RaceError{meta.GetBaseRevision(), st.Revision()}
		}
		if h.GetCommitted()-h.GetAccepted() >= maxPending {
			return nil, &PendingError{h.GetCommitted(), h.GetAccepted()}
		}
		edits, err := build(st)
		if err != nil {
			return nil, err
		}
		return &revision.LogEntry{Revision: st.Revision() + 1, Edits: edits}, nil
	})
}

// EditRoster commits a change of the roster and returns its log entry. The errors are those of Change.
func (s *Store) EditRoster(ctx context.Context, have *revision.State, e *cardamomyokev1.RosterEdit, meta *cardamomyokev1.ChangeMeta) (*revision.LogEntry, error) {
	if meta.GetOperator() == "" {
		meta = &cardamomyokev1.ChangeMeta{
			Operator: systemOperator, Reason: meta.GetReason(), OperationId: string(ids.NewOperation()),
		}
	}
	return s.propose(ctx, have, meta, func(st *revision.State, _ *cardamomyokev1.Head) (*revision.LogEntry, error) {
		return &revision.LogEntry{Revision: st.Revision(), Roster: e}, nil
	})
}

// propose appends the log entry that build returns to the log. If another write changes the head row first, that is no
// conflict by itself: build decides again on the newer state.
func (s *Store) propose(ctx context.Context, have *revision.State, meta *cardamomyokev1.ChangeMeta,
	build func(*revision.State, *cardamomyokev1.Head) (*revision.LogEntry, error)) (*revision.LogEntry, error) {
	var earlier error
	for range maxAttempts {
		h, done, err := s.headAndOperation(ctx, meta.GetOperationId())
		if err != nil {
			return nil, unknownOr(meta, earlier, err)
		}
		if done != nil {
			return sameChange(done, meta)
		}
		if have, err = s.applyCommitted(ctx, have, h.Head); err != nil {
			return nil, unknownOr(meta, earlier, err)
		}
		// A refusal here is final, also after an attempt whose response was lost: that attempt is conditional on the head's
		// version, so it can only still be applied to the state for which build returned its log entry.
		e, err := build(have, h.Head)
		if err != nil {
			return nil, err
		}
		e, err = s.write(ctx, have, h, meta, e)
		if err == nil {
			return s.storedEntry(ctx, e, earlier), nil
		}
		if err != nil && !retryable(err) {
			return nil, unknownOr(meta, earlier, err)
		}
		earlier = errors.Join(earlier, err)
	}
	return nil, &UnknownOutcomeError{meta.GetOperationId(), earlier}
}

// storedEntry returns the log entry as stored in the table. If the response to an earlier attempt was lost, that attempt may
// be the one that was applied; it differs from e only in its time stamp.
func (s *Store) storedEntry(ctx context.Context, e *revision.LogEntry, earlier error) *revision.LogEntry {
	if earlier == nil {
		return e
	}
	_, first, err := s.headAndOperation(ctx, e.GetMeta().GetOperationId())
	if err != nil || first == nil {
		return e // it is committed, even if it cannot be read now
	}
	return first
}

// headAndOperation reads the head and the operation's row in one consistent read, and returns the operation's log entry if it
// is committed.
func (s *Store) headAndOperation(ctx context.Context, id string) (head, *revision.LogEntry, error) {
	rows, err := s.platform.Get(ctx, keyHead, prefixOp+id)
	if err != nil {
		return head{}, nil, err
	}
	h := head{&cardamomyokev1.Head{}, rows[0].Version}
	if err := decode(keyHead, rows[0].Value, h.Head); err != nil || rows[1].Version == 0 {
		return h, nil, err
	}
	e, err := s.entry(ctx, rows[1])
	return h, e, err
}

// unknownOr returns err, or *UnknownOutcomeError if an earlier attempt may have been applied or may still be.
func unknownOr(meta *cardamomyokev1.ChangeMeta, earlier, err error) error {
	var unknown *platform.UnknownOutcomeError
	if errors.As(earlier, &unknown) {
		return &UnknownOutcomeError{meta.GetOperationId(), err}
	}
	return err
}

func sameChange(e *revision.LogEntry, meta *cardamomyokev1.ChangeMeta) (*revision.LogEntry, error) {
	if !proto.Equal(e.GetMeta(), meta) {
		return nil, &ReusedError{meta.GetOperationId()}
	}
	return e, nil
}

// applyCommitted returns the state after the newest committed log entry. It starts from have or, if that is newer, from the
// checkpoint.
func (s *Store) applyCommitted(ctx context.Context, have *revision.State, h *cardamomyokev1.Head) (*revision.State, error) {
	if have == nil {
		have = revision.Empty()
	}
	if have.Seq < h.GetCheckpoint() {
		st, err := s.checkpoint(ctx, h.GetCheckpoint())
		if err != nil {
			return nil, err
		}
		have = st
	}
	entries, err := s.Entries(ctx, have.Seq, h.GetCommitted())
	if err != nil {
		return nil, err
	}
	for _, e := range entries {
		if have, err = have.Apply(e); err != nil {
			return nil, &CorruptError{logKey(e.GetSeq()), err}
		}
	}
	return have, nil
}

func (s *Store) write(ctx context.Context, st *revision.State, h head, meta *cardamomyokev1.ChangeMeta, e *revision.LogEntry) (*revision.LogEntry, error) {
	e.Seq = st.Seq + 1
	e.Meta = meta
	e.CommittedAtUnixMs = s.clock().UnixMilli()
	if _, err := st.Apply(e); err != nil {
		return nil, err // a log entry that cannot be applied is never stored
	}
	value, err := proto.Marshal(e)
	if err != nil {
		return nil, &CorruptError{logKey(e.GetSeq()), err}
	}
	h.Committed, h.Revision = e.GetSeq(), e.GetRevision()
	_, err = s.commit(ctx, ids.Operation("config-"+meta.GetOperationId()), h, []platform.Put{
		{Key: logKey(e.GetSeq()), Value: value},
		{Key: prefixOp + meta.GetOperationId(), Value: []byte(seqOf(logKey(e.GetSeq())))},
	})
	return e, err
}

// Operation returns the log entry that an operation committed, or nil if there is none.
func (s *Store) Operation(ctx context.Context, id string) (*revision.LogEntry, error) {
	_, e, err := s.headAndOperation(ctx, id)
	return e, err
}

// entry reads the log entry that the row of an operation refers to.
func (s *Store) entry(ctx context.Context, op platform.Row) (*revision.LogEntry, error) {
	key := prefixLog + string(op.Value)
	rows, err := s.platform.Get(ctx, key)
	if err != nil {
		return nil, err
	}
	e := &revision.LogEntry{}
	return e, decode(key, rows[0].Value, e)
}

// Head returns the head row.
func (s *Store) Head(ctx context.Context) (*cardamomyokev1.Head, error) {
	h, err := s.head(ctx)
	return h.Head, err
}

// StateAt returns the state after the newest log entry of revision rev. Errors: *config.FieldError if there is no such
// revision.
func (s *Store) StateAt(ctx context.Context, rev uint64) (*revision.State, error) {
	h, err := s.head(ctx)
	if err != nil {
		return nil, err
	}
	if rev > h.GetRevision() || rev == 0 {
		return nil, &config.FieldError{Field: "to_revision", Want: fmt.Sprintf("1 to %d", h.GetRevision())}
	}
	entries, err := s.Entries(ctx, 0, h.GetCommitted())
	if err != nil {
		return nil, err
	}
	st := revision.Empty()
	for _, e := range entries {
		if e.GetRevision() > rev {
			break
		}
		if st, err = st.Apply(e); err != nil {
			return nil, &CorruptError{logKey(e.GetSeq()), err}
		}
	}
	return st, nil
}

// Committed returns the newest committed state. have is a state to start from, or nil.
func (s *Store) Committed(ctx context.Context, have *revision.State) (*revision.State, error) {
	h, err := s.head(ctx)
	if err != nil {
		return nil, err
	}
	return s.applyCommitted(ctx, have, h.Head)
}

// Before returns up to limit log entries before seq, newest first; seq 0 starts with the newest log entry.
func (s *Store) Before(ctx context.Context, seq, limit uint64) ([]*revision.LogEntry, error) {
	if seq == 0 {
		h, err := s.head(ctx)
		if err != nil {
			return nil, err
		}
		seq = h.GetCommitted() + 1
	}
	first := uint64(0)
	if seq > limit+1 {
		first = seq - limit - 1
	}
	entries, err := s.Entries(ctx, first, seq-1)
	slices.Reverse(entries)
	return entries, err
}

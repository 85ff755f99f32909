// Package store keeps the configuration log in the platform's table and object store. It commits changes, marks log entries
// as accepted, and reads the log for nodes and operators.
//
// Rows:
//   - `config/head` holds the newest committed and the newest accepted log entry;
//   - `config/log/SEQ` is a log entry, written once in the same transaction as the head;
//   - `config/op/ID` holds the sequence number of the log entry that an operation committed;
//   - `config/holds/NODE` holds acknowledgements, for nodes that do not reach each other.
//
// Object `config/state/SEQ` is a checkpoint of an accepted log entry. A read of the head that begins after a commit shows
// that commit; every rule of acceptance depends on this.
package store

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/cardamomyoke/cardamomyoke/internal/base/ids"
	cardamomyokev1 "github.com/cardamomyoke/cardamomyoke/internal/gen/cardamomyoke/v1"
	"github.com/cardamomyoke/cardamomyoke/internal/state/platform"
	"github.com/cardamomyoke/cardamomyoke/internal/state/revision"
)

const (
	keyHead     = "config/head"
	prefixLog   = "config/log/"
	prefixOp    = "config/op/"
	prefixHolds = "config/holds/"
	prefixState = "config/state/"

	pageSize           = 500
	checkpointInterval = 64
	maxAttempts        = 20
)

// Platform is the part of the platform that the store uses.
type Platform interface {
	platform.Table
	platform.Objects
}

// Store reads and writes the log. It is safe for concurrent use.
type Store struct {
	platform Platform
	clock    func() time.Time
}

// New returns a store. clock provides the time stamps of log entries, which are informative only, and the start times of
// reads.
func New(p Platform, clock func() time.Time) *Store { return &Store{p, clock} }

func logKey(seq uint64) string    { return fmt.Sprintf("%s%020d", prefixLog, seq) }
func stateName(seq uint64) string { return fmt.Sprintf("%s%020d", prefixState, seq) }

// CorruptError reports that a row or object is missing or cannot be decoded or encoded.
type CorruptError struct {
	Key   string
	Cause error
}

// Error implements error.
func (e *CorruptError) Error() string { return fmt.Sprintf("%s cannot be read: %v", e.Key, e.Cause) }

// Unwrap returns the cause.
func (e *CorruptError) Unwrap() error { return e.Cause }

func decode(key string, value []byte, out proto.Message) error {
	if err := proto.Unmarshal(value, out); err != nil {
		return &CorruptError{key, err}
	}
	return nil
}

// head is the head row and its version.
type head struct {
	*cardamomyokev1.Head
	version uint64
}

func (s *Store) head(ctx context.Context) (head, error) {
	rows, err := s.platform.Get(ctx, keyHead)
	if err != nil {
		return head{}, err
	}
	h := head{&cardamomyokev1.Head{}, rows[0].Version}
	return h, decode(keyHead, rows[0].Value, h.Head)
}

// ReadHead reads the head row and the log entries after `after`. If full is set it starts at the newest checkpoint; if
// holds is set it also reads the acknowledgements stored in the table.
func (s *Store) ReadHead(ctx context.Context, after uint64, full, holds bool) revision.HeadRead {
	rd := revision.HeadRead{Started: s.clock()}
	rd.Err = s.readHead(ctx, &rd, after, full)
	if rd.Err == nil && holds {
		rd.Holds, rd.Err = s.holds(ctx)
	}
	return rd
}

func (s *Store) readHead(ctx context.Context, rd *revision.HeadRead, after uint64, full bool) error {
	h, err := s.head(ctx)
	if err != nil {
		return err
	}
	rd.Head = h.Head
	if full && h.GetCheckpoint() > after {
		if rd.State, err = s.checkpoint(ctx, h.GetCheckpoint()); err != nil {
			return err
		}
		after = rd.State.Seq
	}
	rd.Entries, err = s.Entries(ctx, after, h.GetCommitted())
	return err
}

func (s *Store) checkpoint(ctx context.Context, seq uint64) (*revision.State, error) {
	data, err := s.platform.GetObject(ctx, stateName(seq))
	if err != nil {
		return nil, err
	}
	p := &cardamomyokev1.State{}
	if err := decode(stateName(seq), data, p); err != nil {
		return nil, err
	}
	return revision.FromProto(p)
}

// Entries returns the log entries after `after`, up to and including last.
func (s *Store) Entries(ctx context.Context, after, last uint64) ([]*revision.LogEntry, error) {
	var out []*revision.LogEntry
	for after < last {
		rows, err := s.platform.List(ctx, prefixLog, logKey(after), int(min(pageSize, last-after)))
		if err != nil {
			return nil, err
		}
		if len(rows) == 0 {
			return nil, &CorruptError{logKey(after + 1), &platform.NotFoundError{Name: logKey(after + 1)}}
		}
		for _, r := range rows {
			e := &revision.LogEntry{}
			if err := decode(r.Key, r.Value, e); err != nil {
				return nil, err
			}
			out = append(out, e)
			after = e.GetSeq()
		}
	}
	return out, nil
}

func (s *Store) holds(ctx context.Context) ([]*cardamomyokev1.Holds, error) {
	rows, err := s.platform.List(ctx, prefixHolds, "", pageSize)
	if err != nil {
		return nil, err
	}
	var out []*cardamomyokev1.Holds
	for _, r := range rows {
		h := &cardamomyokev1.Holds{}
		if err := decode(r.Key, r.Value, h); err != nil {
			return nil, err
		}
		out = append(out, h)
	}
	return out, nil
}

// WriteHolds replaces a node's row of acknowledgements.
func (s *Store) WriteHolds(ctx context.Context, node string, h *cardamomyokev1.Holds) error {
	value, err := proto.Marshal(h)
	if err != nil {
		return &CorruptError{prefixHolds + node, err}
	}
	_, err = s.platform.Commit(ctx, platform.Txn{
		Operation: ids.NewOperation(),
		Puts:      []platform.Put{{Key: prefixHolds + node, Value: value}},
	})
	return err
}

// Accept marks the log entry of st as accepted, unless a later one is, and returns the newest accepted log entry. It also
// writes a checkpoint when checkpointInterval log entries have been accepted since the last one.
func (s *Store) Accept(ctx context.Context, st *revision.State) (uint64, error) {
	var lastErr error
	for range maxAttempts {
		h, err := s.head(ctx)
		if err != nil {
			return 0, err
		}
		if h.GetAccepted() >= st.Seq {
			return h.GetAccepted(), nil
		}
		h.Accepted = st.Seq
		if st.Seq-h.GetCheckpoint() >= checkpointInterval && s.writeCheckpoint(ctx, st) == nil {
			h.Checkpoint = st.Seq
		}
		_, lastErr = s.commit(ctx, ids.NewOperation(), h, nil)
		if lastErr == nil {
			return st.Seq, nil
		}
		if !retryable(lastErr) {
			return 0, lastErr
		}
	}
	return 0, lastErr
}

// writeCheckpoint writes a checkpoint. An existing one of the same number was made from the same log.
func (s *Store) writeCheckpoint(ctx context.Context, st *revision.State) error {
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(st.Proto())
	if err != nil {
		return &CorruptError{stateName(st.Seq), err}
	}
	return s.platform.PutObject(ctx, stateName(st.Seq), data)
}

// commit writes the head and newRows in one transaction, on condition that the head is unchanged and none of newRows exists.
func (s *Store) commit(ctx context.Context, op ids.Operation, h head, newRows []platform.Put) (platform.Result, error) {
	value, err := proto.Marshal(h.Head)
	if err != nil {
		return platform.Result{}, &CorruptError{keyHead, err}
	}
	t := platform.Txn{
		Operation: op,
		Checks:    []platform.Check{{Key: keyHead, Version: h.version}},
		Puts:      append([]platform.Put{{Key: keyHead, Value: value}}, newRows...),
	}
	for _, p := range newRows {
		t.Checks = append(t.Checks, platform.Check{Key: p.Key})
	}
	return s.platform.Commit(ctx, t)
}

// retryable reports whether a write may be retried after reading the head again.
func retryable(err error) bool {
	var conflict *platform.ConflictError
	var unknown *platform.UnknownOutcomeError
	return errors.As(err, &conflict) || errors.As(err, &unknown)
}

// seqOf returns the sequence number in a key of the log, with its leading zeros.
func seqOf(key string) string { return strings.TrimPrefix(key, prefixLog) }

package revision

import (
	"fmt"

	cardamomyokev1 "github.com/cardamomyoke/cardamomyoke/internal/gen/cardamomyoke/v1"
	"github.com/cardamomyoke/cardamomyoke/internal/state/config"
)

// LogEntry is one step of the configuration log.
type LogEntry = cardamomyokev1.LogEntry

// State is the result of applying the log up to one log entry. It is immutable.
type State struct {
	Seq    uint64
	Config *config.Snapshot // nil before the first operator's change
	Roster *Roster
}

// SequenceError reports that a log entry does not directly follow the state it was applied to.
type SequenceError struct{ State, Entry uint64 }

// Error implements error.
func (e *SequenceError) Error() string {
	return fmt.Sprintf("entry %d does not follow state %d", e.Entry, e.State)
}

// Empty returns the state before the first log entry.
func Empty() *State { return &State{Roster: NewRoster(nil)} }

// Revision returns the revision of the configuration; 0 if there is none.
func (s *State) Revision() uint64 { return s.Configuration().GetRevision() }

// Configuration returns the configuration, or nil; it must not be changed.
func (s *State) Configuration() *cardamomyokev1.Configuration {
	if s == nil || s.Config == nil {
		return nil
	}
	return s.Config.Proto
}

// Apply returns the state after e. Errors: *SequenceError, *config.FieldError.
func (s *State) Apply(e *LogEntry) (*State, error) {
	if e.GetSeq() != s.Seq+1 {
		return nil, fmt.Errorf("apply: %w", &SequenceError{s.Seq, e.GetSeq()})
	}
	next := &State{Seq: e.GetSeq(), Config: s.Config, Roster: s.Roster}
	if e.GetRoster() != nil {
		next.Roster = s.Roster.edit(e.GetRoster())
	}
	if len(e.GetEdits()) == 0 {
		return next, nil
	}
	c, err := config.Apply(s.Configuration(), e.GetEdits(), e.GetRevision())
	if err != nil {
		return nil, err
	}
	next.Config, err = config.NewSnapshot(c)
	return next, err
}

// Proto returns the form of the state that is stored in the object store and sent to nodes that catch up.
func (s *State) Proto() *cardamomyokev1.State {
	return &cardamomyokev1.State{Seq: s.Seq, Configuration: s.Configuration(), Members: s.Roster.members}
}

// FromProto converts the result of Proto back to a State. Errors: *config.FieldError.
func FromProto(p *cardamomyokev1.State) (*State, error) {
	s := &State{Seq: p.GetSeq(), Roster: NewRoster(p.GetMembers())}
	if p.GetConfiguration() == nil {
		return s, nil
	}
	c, err := config.NewSnapshot(p.GetConfiguration())
	if err != nil {
		return nil, err
	}
	s.Config = c
	return s, nil
}

package expertmap

import (
	"slices"
	"time"

	"github.com/cardamomyoke/cardamomyoke/internal/base/charts"
)

// historyLength is the maximum number of entries that a slot keeps for operators.
const historyLength = 64

// HistoryEntry is one change of a slot's state.
type HistoryEntry struct {
	At     time.Time
	State  charts.State
	Event  charts.Event
	Map    MapID
	Start  Step
	Ballot Ballot
}

type slotHistory struct{ entries []HistoryEntry }

func (h *slotHistory) add(e HistoryEntry) {
	if len(h.entries) == historyLength {
		h.entries = slices.Delete(h.entries, 0, 1)
	}
	h.entries = append(h.entries, e)
}

// SlotStatus is a slot's state as reported to operators.
type SlotStatus struct {
	Rank        Rank
	Incarnation Incarnation
	State       charts.State
	Since       time.Time
	Engine      EngineReport
	// Held is the ballot of the proposal that the slot holds, from the cap request until the slot has switched or
	// aborted; zero if there is none.
	Held Ballot
	To   MapID
	// Waiting lists the ranks whose RecoverReply or acknowledgement the slot is waiting for.
	Waiting []Rank
	History []HistoryEntry
}

// Status returns a copy of the slot's state for operators.
func (s *Slot) Status() SlotStatus {
	st := SlotStatus{
		Rank: s.cfg.Rank, Incarnation: s.inc, State: s.State(), Since: s.since, Engine: s.engine,
		Held: s.ballot(), History: slices.Clone(s.history.entries),
	}
	if s.held != nil {
		st.To = s.held.To
	}
	st.Waiting = s.waiting()
	return st
}

func (s *Slot) waiting() []Rank {
	var ranks []Rank
	for _, p := range s.peers() {
		recovering := s.State() == StateRecovering && s.recoverReplies[p.Rank] == nil
		unacked := s.State() == StateCapped && !s.acks[p.Rank]
		if recovering || unacked {
			ranks = append(ranks, p.Rank)
		}
	}
	return ranks
}

package blame

import (
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	cardamomyokev1 "github.com/cardamomyoke/cardamomyoke/internal/gen/cardamomyoke/v1"
)

// RowError reports stored parts that cannot be decoded.
type RowError struct{ Cause error }

// Error implements error.
func (e *RowError) Error() string { return fmt.Sprintf("stored parts: %v", e.Cause) }

// Unwrap returns the cause.
func (e *RowError) Unwrap() error { return e.Cause }

// EncodeRow returns the value of the row with the suspects. Equal suspects have equal values.
func EncodeRow(suspects []Suspect) ([]byte, error) {
	return proto.MarshalOptions{Deterministic: true}.Marshal(&cardamomyokev1.StoredParts{Parts: ToProto(suspects)})
}

// DecodeRow decodes the value of the row; an empty value has no suspects. Errors: *RowError.
func DecodeRow(value []byte) ([]Suspect, error) {
	row := &cardamomyokev1.StoredParts{}
	if err := proto.Unmarshal(value, row); err != nil {
		return nil, &RowError{err}
	}
	return FromProto(row.GetParts()), nil
}

// ToProto converts suspects to messages.
func ToProto(suspects []Suspect) []*cardamomyokev1.SuspectPart {
	out := make([]*cardamomyokev1.SuspectPart, 0, len(suspects))
	for _, s := range suspects {
		out = append(out, s.Proto())
	}
	return out
}

// FromProto converts messages to suspects.
func FromProto(list []*cardamomyokev1.SuspectPart) []Suspect {
	out := make([]Suspect, 0, len(list))
	for _, in := range list {
		out = append(out, suspectFromProto(in))
	}
	return out
}

// Proto returns s as a message.
func (s Suspect) Proto() *cardamomyokev1.SuspectPart {
	out := &cardamomyokev1.SuspectPart{Part: uint64(s.Part), Answered: s.Answered, Seen: s.Seen, Depth: s.Depth, Verdict: s.Verdict.proto()}
	for _, e := range s.Evidence {
		m := &cardamomyokev1.PartEvidence{Crash: uint64(e.Crash), AtMs: e.At.UnixMilli(), Cleared: e.Cleared}
		for _, c := range e.Carriers {
			m.Requests = append(m.Requests, uint64(c.Request))
			m.Accounts = append(m.Accounts, uint32(c.Account))
		}
		out.Evidence = append(out.Evidence, m)
	}
	return out
}

func (v Verdict) proto() *cardamomyokev1.PartVerdict {
	if v.Round == 0 {
		return nil
	}
	return &cardamomyokev1.PartVerdict{
		Round: v.Round, State: v.State.Proto(), Account: uint32(v.Account), Trials: v.Trials, Crashes: v.Crashes, AtMs: v.At.UnixMilli(), By: v.By,
	}
}

func suspectFromProto(in *cardamomyokev1.SuspectPart) Suspect {
	s := Suspect{Part: Part(in.GetPart()), Answered: in.GetAnswered(), Seen: in.GetSeen(), Depth: in.GetDepth()}
	for _, m := range in.GetEvidence() {
		e := Evidence{Crash: Crash(m.GetCrash()), At: time.UnixMilli(m.GetAtMs()), Cleared: m.GetCleared()}
		for i := range min(len(m.GetRequests()), len(m.GetAccounts())) {
			e.merge(Evidence{At: e.At, Carriers: []Carrier{{Request(m.GetRequests()[i]), Account(m.GetAccounts()[i])}}})
		}
		s.add(e)
	}
	if v := in.GetVerdict(); v != nil {
		s.Verdict = Verdict{
			Round: v.GetRound(), State: StateFromProto(v.GetState()), Account: Account(v.GetAccount()),
			Trials: v.GetTrials(), Crashes: v.GetCrashes(), At: time.UnixMilli(v.GetAtMs()), By: v.GetBy(),
		}
	}
	return s
}

var protoStates = map[State]cardamomyokev1.PartState{
	Open:    cardamomyokev1.PartState_PART_STATE_UNSPECIFIED,
	Cleared: cardamomyokev1.PartState_PART_STATE_CLEARED,
	Refused: cardamomyokev1.PartState_PART_STATE_REFUSED,
	Trusted: cardamomyokev1.PartState_PART_STATE_TRUSTED,
	Barred:  cardamomyokev1.PartState_PART_STATE_BARRED,
}

// Proto returns s as a message's state.
func (s State) Proto() cardamomyokev1.PartState { return protoStates[s] }

// StateFromProto converts a message's state; an unknown one is Open.
func StateFromProto(in cardamomyokev1.PartState) State {
	for s, p := range protoStates {
		if p == in {
			return s
		}
	}
	return Open
}

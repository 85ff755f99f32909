package node

import (
	"fmt"
	"time"

	"github.com/cardamomyoke/cardamomyoke/internal/base/ids"
	"github.com/cardamomyoke/cardamomyoke/internal/experts/expertmap"
	pb "github.com/cardamomyoke/cardamomyoke/internal/gen/cardamomyoke/v1"
)

// UnknownMessageError reports a message or an envelope body of a type that this version does not support.
type UnknownMessageError struct{ Body any }

// Error implements error.
func (e *UnknownMessageError) Error() string {
	return fmt.Sprintf("map message of unknown type %T", e.Body)
}

func toAddr(a *pb.MapAddress) expertmap.Addr {
	return expertmap.Addr{Proposer: ids.Node(a.GetProposer()), Rank: expertmap.Rank(a.GetRank())}
}

func fromAddr(a expertmap.Addr) *pb.MapAddress {
	return &pb.MapAddress{Proposer: string(a.Proposer), Rank: uint32(a.Rank)}
}

func toMap(m *pb.ExpertMapId) expertmap.MapID {
	return expertmap.MapID{Version: m.GetVersion(), Name: m.GetName()}
}

func fromMap(m expertmap.MapID) *pb.ExpertMapId {
	return &pb.ExpertMapId{Version: m.Version, Name: m.Name}
}

func toBallot(b *pb.MapBallot) expertmap.Ballot {
	return expertmap.Ballot{Fence: ids.Fence(b.GetFence()), Proposer: b.GetProposer(), Seq: b.GetSeq()}
}

func fromBallot(b expertmap.Ballot) *pb.MapBallot {
	return &pb.MapBallot{Fence: uint64(b.Fence), Proposer: b.Proposer, Seq: b.Seq}
}

func toIncarnations(numbers []uint64) []expertmap.Incarnation {
	incarnations := make([]expertmap.Incarnation, len(numbers))
	for i, n := range numbers {
		incarnations[i] = expertmap.Incarnation(n)
	}
	return incarnations
}

func fromIncarnations(incarnations []expertmap.Incarnation) []uint64 {
	numbers := make([]uint64, len(incarnations))
	for i, n := range incarnations {
		numbers[i] = uint64(n)
	}
	return numbers
}

// encode wraps a message in an envelope; it returns *UnknownMessageError for a type that is not part of the protocol.
func encode(group ids.Group, from, to expertmap.Addr, m expertmap.Message) (*pb.MapEnvelope, error) {
	e := &pb.MapEnvelope{Group: string(group), From: fromAddr(from), To: fromAddr(to)}
	switch m := m.(type) {
	case expertmap.StageRequest:
		e.Body = &pb.MapEnvelope_StageRequest{StageRequest: &pb.MapStageRequest{Ballot: fromBallot(m.Ballot), Map: fromMap(m.Map), Round: m.Round}}
	case expertmap.StageReply:
		e.Body = &pb.MapEnvelope_StageReply{StageReply: encodeStageReply(m)}
	case expertmap.CapRequest:
		p := m.Proposal
		e.Body = &pb.MapEnvelope_CapRequest{CapRequest: &pb.MapProposal{
			Ballot: fromBallot(p.Ballot), From: fromMap(p.From), To: fromMap(p.To), Start: uint64(p.Start), Roster: fromIncarnations(p.Incarnations),
		}}
	case expertmap.Ack:
		e.Body = &pb.MapEnvelope_Ack{Ack: &pb.MapAck{Ballot: fromBallot(m.Ballot), Rank: uint32(m.Rank), Incarnation: uint64(m.Incarnation)}}
	case expertmap.Refusal:
		e.Body = &pb.MapEnvelope_Refusal{Refusal: &pb.MapRefusal{
			Ballot: fromBallot(m.Ballot), Rank: uint32(m.Rank), Incarnation: uint64(m.Incarnation), Reason: string(m.Reason),
			Next: uint64(m.Next), Fence: uint64(m.Fence),
		}}
	case expertmap.Certificate:
		e.Body = &pb.MapEnvelope_Certificate{Certificate: &pb.MapCertificate{Ballot: fromBallot(m.Ballot), Acks: fromIncarnations(m.Acks)}}
	case expertmap.Outcome:
		e.Body = &pb.MapEnvelope_Outcome{Outcome: &pb.MapOutcome{
			Ballot: fromBallot(m.Ballot), Committed: m.Committed, Rank: uint32(m.Rank), Incarnation: uint64(m.Incarnation),
		}}
	case expertmap.Recover:
		e.Body = &pb.MapEnvelope_Recover{Recover: &pb.MapRecover{Rank: uint32(m.Rank), Incarnation: uint64(m.Incarnation)}}
	case expertmap.RecoverReply:
		e.Body = &pb.MapEnvelope_Answer{Answer: &pb.MapAnswer{
			Rank: uint32(m.Rank), Incarnation: uint64(m.Incarnation), Asker: uint64(m.Requester), Map: fromMap(m.Map), Start: uint64(m.Start),
		}}
	case expertmap.Superseded:
		e.Body = &pb.MapEnvelope_Superseded{Superseded: &pb.MapSuperseded{
			Rank: uint32(m.Rank), Incarnation: uint64(m.Incarnation), Known: uint64(m.Known),
		}}
	default:
		return nil, &UnknownMessageError{m}
	}
	return e, nil
}

func encodeStageReply(m expertmap.StageReply) *pb.MapStageReply {
	return &pb.MapStageReply{
		Ballot: fromBallot(m.Ballot), Round: m.Round, Rank: uint32(m.Rank), Incarnation: uint64(m.Incarnation),
		Ready: m.Ready, Reason: string(m.Reason), Current: fromMap(m.Current), Since: uint64(m.Since),
		Next: uint64(m.Next), StepTimeNs: uint64(m.StepTime),
	}
}

// decode returns an envelope's message; it returns *UnknownMessageError for a body that this version does not support.
func decode(e *pb.MapEnvelope) (expertmap.Message, error) {
	switch b := e.GetBody().(type) {
	case *pb.MapEnvelope_StageRequest:
		m := b.StageRequest
		return expertmap.StageRequest{Ballot: toBallot(m.GetBallot()), Map: toMap(m.GetMap()), Round: m.GetRound()}, nil
	case *pb.MapEnvelope_StageReply:
		return decodeStageReply(b.StageReply), nil
	case *pb.MapEnvelope_CapRequest:
		m := b.CapRequest
		return expertmap.CapRequest{Proposal: expertmap.Proposal{
			Ballot: toBallot(m.GetBallot()), From: toMap(m.GetFrom()), To: toMap(m.GetTo()),
			Start: expertmap.Step(m.GetStart()), Incarnations: toIncarnations(m.GetRoster()),
		}}, nil
	case *pb.MapEnvelope_Ack:
		m := b.Ack
		return expertmap.Ack{Ballot: toBallot(m.GetBallot()), Rank: expertmap.Rank(m.GetRank()), Incarnation: expertmap.Incarnation(m.GetIncarnation())}, nil
	case *pb.MapEnvelope_Refusal:
		m := b.Refusal
		return expertmap.Refusal{
			Ballot: toBallot(m.GetBallot()), Rank: expertmap.Rank(m.GetRank()), Incarnation: expertmap.Incarnation(m.GetIncarnation()),
			Reason: expertmap.Reason(m.GetReason()), Next: expertmap.Step(m.GetNext()), Fence: ids.Fence(m.GetFence()),
		}, nil
	case *pb.MapEnvelope_Certificate:
		return expertmap.Certificate{Ballot: toBallot(b.Certificate.GetBallot()), Acks: toIncarnations(b.Certificate.GetAcks())}, nil
	case *pb.MapEnvelope_Outcome:
		m := b.Outcome
		return expertmap.Outcome{
			Ballot: toBallot(m.GetBallot()), Committed: m.GetCommitted(), Rank: expertmap.Rank(m.GetRank()),
			Incarnation: expertmap.Incarnation(m.GetIncarnation()),
		}, nil
	case *pb.MapEnvelope_Recover:
		return expertmap.Recover{Rank: expertmap.Rank(b.Recover.GetRank()), Incarnation: expertmap.Incarnation(b.Recover.GetIncarnation())}, nil
	case *pb.MapEnvelope_Answer:
		m := b.Answer
		return expertmap.RecoverReply{
			Rank: expertmap.Rank(m.GetRank()), Incarnation: expertmap.Incarnation(m.GetIncarnation()),
			Requester: expertmap.Incarnation(m.GetAsker()), Map: toMap(m.GetMap()), Start: expertmap.Step(m.GetStart()),
		}, nil
	case *pb.MapEnvelope_Superseded:
		m := b.Superseded
		return expertmap.Superseded{
			Rank: expertmap.Rank(m.GetRank()), Incarnation: expertmap.Incarnation(m.GetIncarnation()),
			Known: expertmap.Incarnation(m.GetKnown()),
		}, nil
	}
	return nil, &UnknownMessageError{e.GetBody()}
}

func decodeStageReply(m *pb.MapStageReply) expertmap.StageReply {
	return expertmap.StageReply{
		Ballot: toBallot(m.GetBallot()), Round: m.GetRound(), Rank: expertmap.Rank(m.GetRank()),
		Incarnation: expertmap.Incarnation(m.GetIncarnation()), Ready: m.GetReady(), Reason: expertmap.Reason(m.GetReason()),
		Current: toMap(m.GetCurrent()), Since: expertmap.Step(m.GetSince()), Next: expertmap.Step(m.GetNext()),
		StepTime: time.Duration(m.GetStepTimeNs()),
	}
}

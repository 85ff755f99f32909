package node

import (
	"context"
	"fmt"
	"sync"

	"connectrpc.com/connect"

	"github.com/cardamomyoke/cardamomyoke/internal/base/ids"
	"github.com/cardamomyoke/cardamomyoke/internal/experts/expertmap"
	pb "github.com/cardamomyoke/cardamomyoke/internal/gen/cardamomyoke/v1"
)

// Hub serves ExpertMapService: it delivers messages to the slots and proposers of its process.
type Hub struct {
	mu        sync.RWMutex
	slots     map[ids.Group]*Slot
	proposers map[ids.Group]*Proposer
}

// NewHub returns an empty hub.
func NewHub() *Hub {
	return &Hub{slots: map[ids.Group]*Slot{}, proposers: map[ids.Group]*Proposer{}}
}

// AddSlot registers s as the destination of the group's messages to a slot.
func (h *Hub) AddSlot(g ids.Group, s *Slot) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.slots[g] = s
}

// AddProposer registers p as the destination of the group's messages to a proposer.
func (h *Hub) AddProposer(g ids.Group, p *Proposer) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.proposers[g] = p
}

// DeliverMapMessages implements cardamomyokev1connect.ExpertMapServiceHandler.
func (h *Hub) DeliverMapMessages(_ context.Context, req *pb.DeliverMapMessagesRequest) (*pb.DeliverMapMessagesResponse, error) {
	for _, e := range req.GetEnvelopes() {
		m, err := decode(e)
		if err != nil {
			return nil, connect.NewError(connect.CodeInvalidArgument, err)
		}
		h.deliver(ids.Group(e.GetGroup()), toAddr(e.GetFrom()), toAddr(e.GetTo()), m)
	}
	return &pb.DeliverMapMessagesResponse{}, nil
}

// deliver passes a message to its slot or proposer. It drops a message for an address that this process does not
// serve, since the sender's addresses are then out of date.
func (h *Hub) deliver(g ids.Group, from, to expertmap.Addr, m expertmap.Message) {
	h.mu.RLock()
	defer h.mu.RUnlock()
	if to.IsProposer() {
		if p := h.proposers[g]; p != nil && p.node == to.Proposer {
			p.receive(m)
		}
		return
	}
	if s := h.slots[g]; s != nil && s.rank == to.Rank {
		s.receive(from, m)
	}
}

// UnknownGroupError reports that no slot of the group runs in this process.
type UnknownGroupError struct{ Group ids.Group }

// Error implements error.
func (e *UnknownGroupError) Error() string {
	return fmt.Sprintf("no slot of group %s in this process", e.Group)
}

// GetMapStatus implements cardamomyokev1connect.ExpertMapServiceHandler.
func (h *Hub) GetMapStatus(_ context.Context, req *pb.GetMapStatusRequest) (*pb.GetMapStatusResponse, error) {
	h.mu.RLock()
	s := h.slots[ids.Group(req.GetGroup())]
	h.mu.RUnlock()
	if s == nil {
		return nil, connect.NewError(connect.CodeNotFound, &UnknownGroupError{ids.Group(req.GetGroup())})
	}
	return encodeStatus(s.Status()), nil
}

func encodeStatus(st expertmap.SlotStatus) *pb.GetMapStatusResponse {
	out := &pb.GetMapStatusResponse{
		Rank: uint32(st.Rank), Incarnation: uint64(st.Incarnation), State: string(st.State), SinceUnixMs: st.Since.UnixMilli(),
		Map: fromMap(st.Engine.Map), Start: uint64(st.Engine.Start), Next: uint64(st.Engine.Next), To: fromMap(st.To),
	}
	if st.Engine.Limit != expertmap.NoLimit {
		out.Limit = uint64(st.Engine.Limit)
	}
	if !st.Held.IsZero() {
		out.Held = st.Held.String()
	}
	for _, r := range st.Waiting {
		out.Waiting = append(out.Waiting, uint32(r))
	}
	for _, h := range st.History {
		out.History = append(out.History, encodeEntry(h))
	}
	return out
}

func encodeEntry(h expertmap.HistoryEntry) *pb.MapHistoryEntry {
	e := &pb.MapHistoryEntry{
		AtUnixMs: h.At.UnixMilli(), State: string(h.State), Event: string(h.Event), Map: fromMap(h.Map), Start: uint64(h.Start),
	}
	if !h.Ballot.IsZero() {
		e.Ballot = h.Ballot.String()
	}
	return e
}

package node

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
	"github.com/google/go-cmp/cmp"

	"github.com/cardamomyoke/cardamomyoke/internal/base/control"
	"github.com/cardamomyoke/cardamomyoke/internal/base/ids"
	"github.com/cardamomyoke/cardamomyoke/internal/experts/expertmap"
	pb "github.com/cardamomyoke/cardamomyoke/internal/gen/cardamomyoke/v1"
)

func TestMessageRoundTrip(t *testing.T) {
	b := expertmap.Ballot{Fence: 3, Proposer: 4, Seq: 5}
	m, n := expertmap.MapID{Version: 6, Name: "six"}, expertmap.MapID{Version: 7, Name: "seven"}
	incarnations := []expertmap.Incarnation{8, 9}
	messages := []expertmap.Message{
		expertmap.StageRequest{Ballot: b, Map: m, Round: 2},
		expertmap.StageReply{Ballot: b, Round: 2, Rank: 1, Incarnation: 9, Ready: true, Reason: "r", Current: m, Since: 10, Next: 11, StepTime: 12},
		expertmap.CapRequest{Proposal: expertmap.Proposal{Ballot: b, From: m, To: n, Start: 13, Incarnations: incarnations}},
		expertmap.Ack{Ballot: b, Rank: 1, Incarnation: 9},
		expertmap.Refusal{Ballot: b, Rank: 1, Incarnation: 9, Reason: "r", Next: 11, Fence: 3},
		expertmap.Certificate{Ballot: b, Acks: incarnations},
		expertmap.Outcome{Ballot: b, Committed: true, Rank: 1, Incarnation: 9},
		expertmap.Recover{Rank: 1, Incarnation: 9},
		expertmap.RecoverReply{Rank: 1, Incarnation: 9, Requester: 8, Map: m, Start: 10},
		expertmap.Superseded{Rank: 1, Incarnation: 9, Known: 14},
	}
	from, to := expertmap.Addr{Proposer: "p"}, expertmap.Addr{Rank: 1}
	for _, want := range messages {
		e, err := encode("g", from, to, want)
		if err != nil {
			t.Fatal(err)
		}
		got, err := decode(e)
		if err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(want, got); diff != "" || toAddr(e.GetFrom()) != from || toAddr(e.GetTo()) != to {
			t.Errorf("%T from %v to %v: %s", want, toAddr(e.GetFrom()), toAddr(e.GetTo()), diff)
		}
	}
	var unknown *UnknownMessageError
	if _, err := decode(&pb.MapEnvelope{}); !errors.As(err, &unknown) {
		t.Errorf("an empty envelope gave %v", err)
	}
}

// unreachableError is the error of an engine that does not respond.
type unreachableError struct{}

func (unreachableError) Error() string { return "engine does not respond" }

// flakyEngine is an engine of a group of two whose every other call fails; it runs one step per report.
type flakyEngine struct {
	mu    sync.Mutex
	model *expertmap.EngineModel
	calls int
}

func (f *flakyEngine) call() error {
	f.calls++
	if f.calls%2 == 0 {
		return unreachableError{}
	}
	return nil
}

func (f *flakyEngine) Report(context.Context) (expertmap.EngineReport, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err := f.call(); err != nil {
		return expertmap.EngineReport{}, err
	}
	if f.model.MayStart() {
		f.model.Next++
	}
	return f.model.EngineReport, nil
}

func (f *flakyEngine) Do(_ context.Context, o expertmap.Order) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err := f.call(); err != nil {
		return err
	}
	f.model.Apply(o)
	return nil
}

// hubTransport delivers envelopes from hub to hub after a millisecond.
type hubTransport struct{ hubs map[expertmap.Addr]*Hub }

func (l hubTransport) Send(g ids.Group, from, to expertmap.Addr, m expertmap.Message) {
	e, err := encode(g, from, to, m)
	if err != nil {
		panic(err)
	}
	time.AfterFunc(time.Millisecond, func() {
		req := &pb.DeliverMapMessagesRequest{Envelopes: []*pb.MapEnvelope{e}}
		if _, err := l.hubs[to].DeliverMapMessages(context.Background(), req); err != nil {
			panic(err)
		}
	})
}

// Guards against a switch that never ends because an engine does not respond to every call. The worker must repeat an
// order until the engine responds. The slot's status must contain the history.
func TestGroupSwitchesWithFlakyEngines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		loop := control.New()
		go loop.Run(ctx, time.Second, func(time.Time) {})
		tr := hubTransport{map[expertmap.Addr]*Hub{}}
		var engines []*flakyEngine
		var slots []*Slot
		const ranks = 2
		for r := range ranks {
			f := &flakyEngine{model: expertmap.NewEngineModel(0)}
			engines = append(engines, f)
			hub := NewHub()
			tr.hubs[expertmap.Addr{Rank: expertmap.Rank(r)}] = hub
			s := NewSlot(SlotOptions{Group: "g", Engine: f, Loop: loop, Transport: tr, Logger: log.NewNopLogger(), Config: expertmap.SlotConfig{
				Rank: expertmap.Rank(r), Ranks: ranks, Incarnation: NewIncarnation(), Timing: expertmap.DefaultSlotTiming(),
			}})
			hub.AddSlot("g", s)
			slots = append(slots, s)
		}
		hub := NewHub()
		tr.hubs[expertmap.Addr{Proposer: "p"}] = hub
		p := NewProposer(ProposerOptions{Group: "g", Node: "p", Loop: loop, Transport: tr, Config: expertmap.ProposerConfig{
			ID: 1, Ranks: ranks, Timing: expertmap.DefaultProposerTiming(),
		}})
		hub.AddProposer("g", p)
		for _, s := range slots {
			go s.Run(ctx)
		}
		go p.Run(ctx)

		for v, name := range []string{"first", "second"} {
			if _, err := p.Propose(ctx, 1, expertmap.MapID{Version: uint64(v) + 1, Name: name}); err != nil {
				t.Fatal(err)
			}
		}
		_, err := p.Propose(ctx, 1, expertmap.MapID{Version: 9, Name: "too far"})
		var failed *expertmap.FailedError
		if !errors.As(err, &failed) || failed.Current.Name != "second" {
			t.Errorf("got %v, want a failure that names the current map", err)
		}
		st, err := tr.hubs[expertmap.Addr{Rank: 1}].GetMapStatus(ctx, &pb.GetMapStatusRequest{Group: "g"})
		if err != nil {
			t.Fatal(err)
		}
		if st.GetMap().GetName() != "second" || st.GetState() != "running" || len(st.GetHistory()) < 8 {
			t.Errorf("status %v", st)
		}
		if engines[0].model.Start != engines[1].model.Start {
			t.Errorf("starts %d and %d", engines[0].model.Start, engines[1].model.Start)
		}
		cancel()
		synctest.Wait()
	})
}

package expertmap

import (
	"errors"
	"slices"
	"strings"
	"testing"
)

// Guards against a proposer that waits forever: it receives one acknowledgement, but the others and all messages that
// the slots send while they finish among themselves are lost. Seen over loopback with 16 ranks (cardamomyoke-bench
// mapswitch).
func TestProposerReceivesOutcomeAfterLostMessages(t *testing.T) {
	g := newGroup(t, 3)
	g.switchToFirstMap()
	p := g.addProposer("a")
	to := MapID{2, "next"}
	g.propose("a", 2, to)
	for range 100 {
		g.net = slices.DeleteFunc(g.net, func(e envelope) bool {
			_, stage := e.msg.(StageReply)
			ack, isAck := e.msg.(Ack)
			return e.to.IsProposer() && !stage && !(isAck && ack.Rank == 0)
		})
		g.round()
	}
	if p.State() != StateCapping || g.engines[0].Map != to {
		t.Fatalf("proposer %s, engines run %s", p.State(), g.engines[0].Map)
	}
	g.runSteps(100)
	if len(g.results) != 1 || g.results[0].Err != nil {
		t.Fatalf("proposer %s, results %+v", p.State(), g.results)
	}
}

// Guards against a switch whose proposals are all refused because their first step has passed on a rank that is further
// ahead than its report said. The next proposal must allow twice the time for the exchange. Callers see at most a
// longer time to first token.
func TestRefusalForPassedStepDoublesExchangeTime(t *testing.T) {
	g := newGroup(t, 3)
	g.switchToFirstMap()
	p := g.addProposer("a")
	g.propose("a", 2, MapID{2, "next"})
	for p.State() != StateCapping {
		g.round()
	}
	first := p.proposal.Start - g.engines[0].Next
	refusal := Refusal{Ballot: p.proposal.Ballot, Rank: 1, Incarnation: p.proposal.Incarnations[1], Reason: ReasonPassed}
	g.proposerEffects("a", p.Receive(g.now, refusal))
	g.runSteps(100)
	if len(g.results) != 1 || g.results[0].Err != nil || g.results[0].Attempts != 2 || p.exchangeFactor != 2 || first == 0 {
		t.Fatalf("results %+v, factor %v, first %d", g.results, p.exchangeFactor, first)
	}
}

// Guards against an error that blames rank 0 for a switch that was stopped.
func TestStoppedSwitchNamesNoRank(t *testing.T) {
	g := newGroup(t, 3)
	g.switchToFirstMap()
	p := g.addProposer("a")
	g.propose("a", 2, MapID{2, "next"})
	g.results = nil
	g.proposerEffects("a", p.Stop(g.now))
	g.runSteps(100)
	var failed *FailedError
	if len(g.results) != 1 || !errors.As(g.results[0].Err, &failed) || failed.Rank != NoRank || strings.Contains(failed.Error(), "rank ") {
		t.Fatalf("results %+v", g.results)
	}
}

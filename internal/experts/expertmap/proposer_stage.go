package expertmap

import (
	"math"
	"time"
)

func (p *Proposer) beginRound(now time.Time) []Effect {
	p.round++
	p.replies = make([]*stageReply, p.cfg.Ranks)
	p.roundSentAt = now
	return p.sendStage()
}

// sendStage sends the stage request to the ranks that have not yet replied that they are ready.
func (p *Proposer) sendStage() []Effect {
	ready := make([]bool, p.cfg.Ranks)
	for r, reply := range p.replies {
		ready[r] = reply != nil && reply.Ready
	}
	m := StageRequest{Ballot: Ballot{p.fence, p.cfg.ID, p.seq}, Map: p.to, Round: p.round}
	return p.sendToPending(ready, m)
}

func (p *Proposer) onStageReply(now time.Time, m StageReply) []Effect {
	if p.State() != StateStaging && p.State() != StateProbing {
		return nil
	}
	if m.Round != p.round || m.Ballot.Proposer != p.cfg.ID || int(m.Rank) >= p.cfg.Ranks {
		return nil
	}
	switch m.Reason {
	case ReasonWeights, ReasonFenced:
		p.fail(m.Reason, m.Rank, m.Current)
		return p.fire(now, "failed")
	case ReasonOtherMap:
		if m.Current == p.to {
			return p.alreadySwitched(now, m)
		}
		p.fail(m.Reason, m.Rank, m.Current)
		return p.fire(now, "failed")
	}
	p.replies[m.Rank] = &stageReply{m, now}
	for _, r := range p.replies {
		if r == nil || !r.Ready {
			return nil
		}
	}
	if p.State() == StateStaging {
		return p.fire(now, "all-staged")
	}
	return p.fire(now, "all-probed")
}

// alreadySwitched ends the switch successfully: the slots have committed an earlier proposal that this proposer
// considered lost.
func (p *Proposer) alreadySwitched(now time.Time, m StageReply) []Effect {
	p.failure = nil
	p.proposal.Start = m.Since
	// The chart's event "failed" only triggers the report, which without p.failure is a success.
	return p.fire(now, "failed")
}

// startStep chooses the proposal's first step. It estimates the step that the fastest rank will have reached when the
// certificate arrives at the last rank, so that no rank has to wait at its limit unless a message is late.
func (p *Proposer) startStep(now time.Time) Step {
	var next Step
	var stepTime, trip time.Duration
	for _, r := range p.replies {
		next = max(next, r.Next)
		stepTime = max(stepTime, r.StepTime)
		trip = max(trip, r.at.Sub(p.roundSentAt))
	}
	if p.replies[0].Current.IsZero() || stepTime <= 0 {
		// No step runs without a map, so no running step can precede the first map's first step.
		return next
	}
	// The cap request, the acknowledgement and the certificate cross the network once each, and the engine executes
	// two orders. The report of the fastest rank is at most one round trip plus ReportAge old.
	exchange := p.exchangeFactor * p.cfg.Timing.Margin * float64(2*trip+2*p.cfg.Timing.OrderTime)
	age := float64(now.Sub(p.roundSentAt) + p.cfg.Timing.ReportAge)
	steps := math.Ceil((exchange + age) / float64(stepTime))
	return next + Step(steps) + 1
}

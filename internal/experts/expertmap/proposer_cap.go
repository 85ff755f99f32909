package expertmap

import (
	"slices"
	"time"
)

func (p *Proposer) beginCap(now time.Time) []Effect {
	p.expireAt = time.Time{}
	p.seq++
	p.attempts++
	p.refusal = nil
	p.acked = make([]bool, p.cfg.Ranks)
	p.switched = make([]bool, p.cfg.Ranks)
	p.proposal = Proposal{
		Ballot:       Ballot{p.fence, p.cfg.ID, p.seq},
		From:         p.replies[0].Current,
		To:           p.to,
		Start:        p.startStep(now),
		Incarnations: make([]Incarnation, p.cfg.Ranks),
	}
	for r, reply := range p.replies {
		p.proposal.Incarnations[r] = reply.Incarnation
	}
	return p.sendCap()
}

func (p *Proposer) sendCap() []Effect { return p.sendToPending(p.acked, CapRequest{p.proposal}) }

func (p *Proposer) isAddressed(b Ballot, r Rank, inc Incarnation) bool {
	return b == p.proposal.Ballot && int(r) < len(p.proposal.Incarnations) && p.proposal.Incarnations[r] == inc
}

func (p *Proposer) onAck(now time.Time, m Ack) []Effect {
	if p.State() != StateCapping || !p.isAddressed(m.Ballot, m.Rank, m.Incarnation) {
		return nil
	}
	p.acked[m.Rank] = true
	if slices.Contains(p.acked, false) {
		return nil
	}
	return p.fire(now, "all-acked")
}

// sendCertificate sends the certificate to every rank that has not switched. A rank that has restarted no longer
// holds the proposal, so Tick repeats the cap request with the certificate; the reply to it reports how the proposal
// ended.
func (p *Proposer) sendCertificate() []Effect {
	cert := Certificate{Ballot: p.proposal.Ballot, Acks: slices.Clone(p.proposal.Incarnations)}
	return p.sendToPending(p.switched, cert)
}

func (p *Proposer) onRefusal(now time.Time, m Refusal) []Effect {
	if !p.isAddressed(m.Ballot, m.Rank, m.Incarnation) {
		return nil
	}
	p.refusal = &m
	if m.Reason == ReasonPassed {
		p.exchangeFactor *= 2
	}
	return p.refused(now, m.Reason, m.Rank)
}

func (p *Proposer) refused(now time.Time, reason Reason, r Rank) []Effect {
	p.fail(reason, r, p.proposal.From)
	return p.fire(now, "refused")
}

func (p *Proposer) onOutcome(now time.Time, m Outcome) []Effect {
	if m.Ballot != p.proposal.Ballot || int(m.Rank) >= len(p.switched) {
		return nil
	}
	if !m.Committed {
		return p.refused(now, ReasonAborted, m.Rank)
	}
	p.switched[m.Rank] = true
	if slices.Contains(p.switched, false) {
		return nil
	}
	p.failure = nil
	return p.fire(now, "all-switched")
}

// backOff relays the refusal, so that the ranks that have capped continue immediately, and waits before the next
// proposal.
func (p *Proposer) backOff(now time.Time) []Effect {
	var effects []Effect
	if p.refusal != nil {
		effects = p.sendToAll(*p.refusal)
	}
	if p.attempts >= p.cfg.Timing.Attempts || p.refusal != nil && p.refusal.Fence > p.fence {
		return append(effects, p.fire(now, "failed")...)
	}
	const maxDoublings = 6
	pause := p.cfg.Timing.Backoff << min(p.attempts-1, maxDoublings)
	p.expireAt = now.Add(pause)
	return effects
}

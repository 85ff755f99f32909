package gateway

import (
	"context"
	"time"

	"github.com/go-kit/log/level"

	"github.com/cardamomyoke/cardamomyoke/internal/policy/blame"
)

// claimTrial lets a request with a refused part through if a trial is due and this gateway can count it in the store. It reports
// whether the request is the trial.
//
// A request with another refused part, or one that an operator has barred, is no trial: it would tell nothing, or must not be sent.
func (n *run) claimTrial(ctx context.Context, part blame.Part) bool {
	if n.refusalExcept(&part) != nil {
		return false
	}
	p := n.g.suspects.parts
	now := time.Now()
	p.mu.Lock()
	unused := p.unusedTrials[part]
	delete(p.unusedTrials, part)
	due := !p.claiming[part] && p.ledger.TrialDue(now, part)
	if due && !unused {
		p.claiming[part] = true
	}
	p.mu.Unlock()
	switch {
	case unused:
		n.trial = &part
		return true
	case !due:
		return false
	}
	claimed := n.g.crashStore.claim(ctx, part)
	p.mu.Lock()
	delete(p.claiming, part)
	p.mu.Unlock()
	_ = level.Warn(p.logger).Log("msg", "part trial", "part", part, "request", n.r.call.Attempt, "claimed", claimed)
	if claimed {
		n.trial = &part
	}
	return claimed
}

// endTrial keeps a claimed trial for the next request if this one was never sent.
func (n *run) endTrial() {
	if n.trial == nil || n.sent > 0 || n.mayHaveRun {
		return
	}
	p := n.g.suspects.parts
	p.mu.Lock()
	defer p.mu.Unlock()
	p.unusedTrials[*n.trial] = true
}

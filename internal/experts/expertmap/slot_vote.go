package expertmap

import (
	"slices"
	"time"
)

// onStage replies with the rank's state and has the engine load the map's weights if they are not loaded yet.
func (s *Slot) onStage(now time.Time, from Addr, m StageRequest) []Effect {
	if !s.mayVote() {
		return nil
	}
	if m.Ballot.Fence < s.fence {
		return s.stageReply(from, m, false, ReasonFenced)
	}
	s.fence = m.Ballot.Fence
	switch s.State() {
	case StateLimiting, StateCapped, StateSwitching:
		return s.stageReply(from, m, false, ReasonBusy)
	}
	if m.Map.Version != s.engine.Map.Version+1 {
		return s.stageReply(from, m, false, ReasonOtherMap)
	}
	if s.engine.Next < s.engine.Start {
		return s.stageReply(from, m, false, ReasonAhead)
	}
	if s.engine.Staged == m.Map && s.State() == StateStaged {
		return s.stageReply(from, m, true, ReasonNone)
	}
	s.stageRequester, s.stageRequest = from, m
	if s.State() == StateStaging && s.staging == m.Map {
		return s.stageReply(from, m, false, ReasonNone)
	}
	s.staging = m.Map
	return s.fire(now, "stage")
}

func (s *Slot) stageReply(to Addr, m StageRequest, ready bool, reason Reason) []Effect {
	return []Effect{Send{to, StageReply{
		Ballot: m.Ballot, Round: m.Round, Rank: s.cfg.Rank, Incarnation: s.inc, Ready: ready, Reason: reason,
		Current: s.engine.Map, Since: s.engine.Start, Next: s.engine.Next, StepTime: s.engine.StepTime,
	}}}
}

func (s *Slot) onStagingReport(now time.Time) []Effect {
	if s.busy() {
		return nil
	}
	if s.engine.Staged == s.staging {
		return append(s.fire(now, "weights-ready"), s.stageReply(s.stageRequester, s.stageRequest, true, ReasonNone)...)
	}
	if s.engine.Failed == s.staging {
		return append(s.fire(now, "weights-failed"), s.stageReply(s.stageRequester, s.stageRequest, false, ReasonWeights)...)
	}
	return nil
}

// mayVote reports whether the slot may take part in proposals. A recovering slot may not: its older incarnation may
// have acknowledged a proposal, and a refusal now would abort a switch that other ranks have already made.
func (s *Slot) mayVote() bool {
	switch s.State() {
	case StateStarting, StateRecovering, StateAdopting:
		return false
	}
	return true
}

// hasSwitched reports whether the rank's engine has switched as p proposes.
func (s *Slot) hasSwitched(p Proposal) bool {
	return s.engine.Map == p.To && s.engine.Start == p.Start
}

// onCap caps the proposal, refuses it, or replies with its outcome.
func (s *Slot) onCap(now time.Time, from Addr, p Proposal) []Effect {
	if !s.mayVote() || len(p.Incarnations) != s.cfg.Ranks || p.To.Version < s.engine.Map.Version {
		return nil
	}
	if s.held != nil && s.held.Ballot == p.Ballot {
		return s.onHeldCap(now, from)
	}
	if s.hasSwitched(p) {
		return []Effect{s.outcome(from, p.Ballot, true)}
	}
	named := p.Incarnations[s.cfg.Rank]
	if named > s.inc {
		return nil
	}
	if named < s.inc {
		// The older incarnation's vote is unknown, but every peer has replied to this incarnation. No peer had switched
		// by then, and each reply keeps the peer from accepting a certificate with the older incarnation. The
		// proposal can therefore never be committed, and a capped group need not wait for a vote that never comes.
		return []Effect{s.outcome(from, p.Ballot, false)}
	}
	if reason := s.refusalReason(p); reason != ReasonNone {
		s.raiseFloor(p.Ballot)
		return []Effect{s.refusal(from, p.Ballot, reason)}
	}
	s.raiseFloor(p.Ballot)
	s.held = &p
	s.requesters = []Addr{from}
	s.acks = make([]bool, s.cfg.Ranks)
	return s.fire(now, "cap")
}

// onHeldCap handles a further copy of the proposal that the slot holds.
func (s *Slot) onHeldCap(now time.Time, from Addr) []Effect {
	switch s.State() {
	case StateCapped:
		s.deferToPeer(now, from)
		return []Effect{Send{from, s.ack()}}
	case StateLimiting:
		if !slices.Contains(s.requesters, from) {
			s.requesters = append(s.requesters, from)
		}
	}
	return nil
}

// deferToPeer lets a peer that has already sent its request obtain the outcome. If every rank of a large group sent
// requests to every other, processing them would take longer than waiting for one peer's result. The slot defers only
// once, since that peer may not reach the ranks that this slot can reach.
func (s *Slot) deferToPeer(now time.Time, from Addr) {
	if from.IsProposer() || s.deferred {
		return
	}
	s.deferred = true
	s.retryAt = now.Add(s.cfg.Timing.PeerTimeout)
}

// raiseFloor records a ballot that the slot refused or held. A late copy must not be capped after a refusal, since
// the refusal lets other ranks continue under the old map.
func (s *Slot) raiseFloor(b Ballot) {
	if b.Compare(s.floor) > 0 {
		s.floor = b
	}
	s.fence = max(s.fence, b.Fence)
}

// refusalReason returns why the slot must refuse the proposal, or ReasonNone.
func (s *Slot) refusalReason(p Proposal) Reason {
	switch {
	case p.Ballot.Fence < s.fence:
		return ReasonFenced
	case p.Ballot.Compare(s.floor) <= 0:
		return ReasonRefused
	case s.held != nil:
		return ReasonBusy
	case p.From != s.engine.Map:
		return ReasonOtherMap
	case !s.incarnationsAreCurrent(p):
		return ReasonOtherIncarnation
	case s.engine.Next < s.engine.Start || p.Start <= s.engine.Start && !p.From.IsZero():
		// The engine remembers only one map before its newest. A second switch that is scheduled while the first is
		// still ahead would make it run the steps before the first one under the wrong map.
		return ReasonAhead
	case s.State() != StateStaged || s.engine.Staged != p.To:
		return ReasonNotStaged
	case s.engine.Next > p.Start:
		return ReasonPassed
	}
	return ReasonNone
}

// incarnationsAreCurrent reports whether the proposal addresses exactly the newest incarnations that the slot has
// seen.
func (s *Slot) incarnationsAreCurrent(p Proposal) bool { return slices.Equal(p.Incarnations, s.known) }

// onLimitReport acknowledges only a limit that the engine has confirmed, since the engine may have started the step
// before the order arrived.
func (s *Slot) onLimitReport(now time.Time) []Effect {
	if s.busy() {
		return nil
	}
	if s.engine.Limit == s.held.Start && s.engine.Next <= s.held.Start {
		return s.fire(now, "limit-confirmed")
	}
	return s.fire(now, "limit-refused")
}

func (s *Slot) ack() Ack {
	return Ack{Ballot: s.held.Ballot, Rank: s.cfg.Rank, Incarnation: s.inc}
}

func (s *Slot) acknowledge(now time.Time) []Effect {
	s.acks[s.cfg.Rank] = true
	wait := s.cfg.Timing.PeerTimeout + time.Duration(s.cfg.Rank)*s.cfg.Timing.Stagger
	s.retryAt = now.Add(wait)
	var effects []Effect
	for _, a := range s.requesters {
		effects = append(effects, Send{a, s.ack()})
	}
	return effects
}

func (s *Slot) refuseHeld() []Effect {
	var effects []Effect
	for _, a := range s.requesters {
		effects = append(effects, s.refusal(a, s.held.Ballot, ReasonPassed))
	}
	s.dropProposal()
	return effects
}

func (s *Slot) refusal(to Addr, b Ballot, reason Reason) Send {
	return Send{to, Refusal{
		Ballot: b, Rank: s.cfg.Rank, Incarnation: s.inc, Reason: reason, Next: s.engine.Next, Fence: s.fence,
	}}
}

func (s *Slot) outcome(to Addr, b Ballot, committed bool) Send {
	return Send{to, Outcome{Ballot: b, Committed: committed, Rank: s.cfg.Rank, Incarnation: s.inc}}
}

// onCappedReport sends the request to the peers earlier once the engine has reached the limit, because the group is
// then stalled until the certificate arrives.
func (s *Slot) onCappedReport(now time.Time) []Effect {
	if s.atLimit || s.deferred || s.engine.Next < s.held.Start {
		return nil
	}
	s.atLimit = true
	soon := now.Add(time.Duration(s.cfg.Rank) * s.cfg.Timing.Stagger)
	if soon.Before(s.retryAt) {
		s.retryAt = soon
	}
	return s.Tick(now)
}

// sendCapToPeers lets a capped slot finish without the proposer, which may be dead or paused. Every peer that can
// reply to the cap request does, so the slot collects either all acknowledgements, a refusal or an outcome.
func (s *Slot) sendCapToPeers(now time.Time) []Effect {
	s.retryAt = now.Add(s.cfg.Timing.PeerTimeout)
	return s.sendToPeers(CapRequest{*s.held})
}

func (s *Slot) holds(b Ballot) bool { return s.held != nil && s.held.Ballot == b }

// onAck records an acknowledgement. When all are present, the slot has the certificate; it switches and sends it to
// its peers.
func (s *Slot) onAck(now time.Time, m Ack) []Effect {
	if s.State() != StateCapped || !s.holds(m.Ballot) || !s.isAddressed(m.Rank, m.Incarnation) {
		return nil
	}
	s.acks[m.Rank] = true
	if slices.Contains(s.acks, false) {
		return nil
	}
	cert := Certificate{Ballot: s.held.Ballot, Acks: slices.Clone(s.held.Incarnations)}
	effects := s.onCertificate(now, cert)
	if len(effects) == 0 {
		return nil
	}
	return append(effects, s.sendToPeers(cert)...)
}

func (s *Slot) isAddressed(r Rank, inc Incarnation) bool {
	return int(r) < len(s.held.Incarnations) && s.held.Incarnations[r] == inc
}

// onCertificate switches, unless the slot of another rank has restarted since this slot capped. This slot has replied
// to the new incarnation that it had not switched, and the new incarnation may have aborted the proposal for that
// reason, so this slot waits for its outcome.
func (s *Slot) onCertificate(now time.Time, m Certificate) []Effect {
	if s.State() != StateCapped || !s.holds(m.Ballot) {
		return nil
	}
	if !slices.Equal(m.Acks, s.held.Incarnations) || !s.incarnationsAreCurrent(*s.held) {
		return nil
	}
	return s.fire(now, "certificate")
}

// onRefusal aborts the held proposal: its certificate would need the acknowledgement of an incarnation that never
// gives it.
func (s *Slot) onRefusal(now time.Time, m Refusal) []Effect {
	if !s.holds(m.Ballot) || !s.isAddressed(m.Rank, m.Incarnation) {
		return nil
	}
	return s.fire(now, "aborted")
}

func (s *Slot) onOutcome(now time.Time, m Outcome) []Effect {
	if !s.holds(m.Ballot) || int(m.Rank) >= len(s.known) || m.Incarnation < s.known[m.Rank] {
		return nil
	}
	if m.Committed {
		return s.fire(now, "committed")
	}
	return s.fire(now, "aborted")
}

// onSwitchReport waits until the engine reports the new map. An order can get lost with the slot, and a peer to which a
// switch was reported that no engine has made could continue alone under the new map.
func (s *Slot) onSwitchReport(now time.Time) []Effect {
	if s.engine.Map != s.held.To {
		return nil
	}
	return s.fire(now, "switch-confirmed")
}

func (s *Slot) notifySwitched() []Effect {
	var effects []Effect
	for _, a := range s.requesters {
		effects = append(effects, s.outcome(a, s.held.Ballot, true))
	}
	s.dropProposal()
	s.staging = MapID{}
	return effects
}

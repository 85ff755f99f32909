package expertmap

import "time"

// startRecovery sends the Recover requests of a new incarnation. A group of one rank has no peers and needs none.
func (s *Slot) startRecovery(now time.Time) []Effect {
	s.retryAt = now.Add(s.cfg.Timing.Retry)
	if s.cfg.Ranks == 1 {
		return s.fire(now, "heard-all")
	}
	return s.sendRecover()
}

// sendRecover sends Recover to the peers that have not replied yet.
func (s *Slot) sendRecover() []Effect {
	var effects []Effect
	for _, p := range s.peers() {
		if s.recoverReplies[p.Rank] == nil {
			effects = append(effects, Send{p, Recover{Rank: s.cfg.Rank, Incarnation: s.inc}})
		}
	}
	return effects
}

// onRecover replies to a restarted peer. The reply is a promise: from now on the slot accepts no proposal that
// addresses an older incarnation of the peer. Without it, the old acknowledgement could complete a certificate after
// the restarted peer has continued to run steps. A slot that is recovering itself replies too; otherwise two slots that
// restarted together would wait for each other.
func (s *Slot) onRecover(m Recover) []Effect {
	if m.Rank == s.cfg.Rank || int(m.Rank) >= s.cfg.Ranks {
		return nil
	}
	to := Addr{Rank: m.Rank}
	if m.Incarnation < s.known[m.Rank] {
		return []Effect{Send{to, Superseded{Rank: s.cfg.Rank, Incarnation: s.inc, Known: s.known[m.Rank]}}}
	}
	switch s.State() {
	case StateStarting, StateSwitching:
		// The engine has not reported yet, or has not confirmed the switch; the peer sends Recover again.
		return nil
	}
	s.known[m.Rank] = m.Incarnation
	newest, start := s.newest()
	return []Effect{Send{to, RecoverReply{
		Rank: s.cfg.Rank, Incarnation: s.inc, Requester: m.Incarnation, Map: newest, Start: start,
	}}}
}

// onSuperseded chooses a larger incarnation if the host's clock is behind the one that an earlier incarnation used.
func (s *Slot) onSuperseded(now time.Time, m Superseded) []Effect {
	if s.State() != StateRecovering || m.Known <= s.inc {
		return nil
	}
	s.reset(m.Known + 1)
	return s.startRecovery(now)
}

func (s *Slot) onRecoverReply(now time.Time, m RecoverReply) []Effect {
	if s.State() != StateRecovering || m.Requester != s.inc || int(m.Rank) >= s.cfg.Ranks || m.Rank == s.cfg.Rank {
		return nil
	}
	if m.Incarnation < s.known[m.Rank] {
		return nil
	}
	s.known[m.Rank] = m.Incarnation
	s.recoverReplies[m.Rank] = &m
	for _, p := range s.peers() {
		if s.recoverReplies[p.Rank] == nil {
			return nil
		}
	}
	return s.fire(now, "heard-all")
}

// newest returns the newest map, and its first step, that this slot's engine or the peers' replies name.
func (s *Slot) newest() (MapID, Step) {
	m, start := s.engine.Map, s.engine.Start
	for _, a := range s.recoverReplies {
		if a != nil && a.Map.Version > m.Version {
			m, start = a.Map, a.Start
		}
	}
	return m, start
}

// adopt moves the engine to the group's newest map. The engine may lack it because the older incarnation acknowledged
// the switch but did not complete it, or because the engine is new.
func (s *Slot) adopt(now time.Time) []Effect {
	m, start := s.newest()
	if s.engine.Map == m {
		return s.fire(now, "adopted")
	}
	if s.busy() {
		return nil
	}
	if !s.engine.Map.IsZero() && s.engine.Next > start {
		return []Effect{Alarm{&StepPassedError{Rank: s.cfg.Rank, Next: s.engine.Next, Start: start, Map: m}}}
	}
	if s.engine.Staged == m {
		return []Effect{s.order(OrderSwitch, start, m)}
	}
	if s.staging == m {
		return nil
	}
	s.staging = m
	return []Effect{s.order(OrderStage, 0, m)}
}

// busy reports whether the engine has an order that it has not executed or refused yet.
func (s *Slot) busy() bool { return s.engine.Order < s.orders }

// restageFactor is the time between two orders to load the same weights, in units of SlotTiming.Retry.
const restageFactor = 20

// restage orders the weights again if they could not be loaded or the engine restarted while loading them. An engine
// that is still loading them is not disturbed by the repeated order.
func (s *Slot) restage(now time.Time) []Effect {
	s.retryAt = now.Add(restageFactor * s.cfg.Timing.Retry)
	if s.busy() || s.engine.Staged == s.staging {
		return nil
	}
	return []Effect{s.order(OrderStage, 0, s.staging)}
}

package revision

import "time"

// poll reads the table once per HeartbeatInterval if this node is one of the first Pollers members of its data centre, an
// origin, no member or without state, or if it is aware of no read within the last two intervals. An origin reads the table
// pollLead before its own heartbeat.
func (n *Node) poll() {
	if !n.readStartedAt.IsZero() && n.now.Sub(n.readStartedAt) < readTimeout {
		return
	}
	if n.now.Before(n.pollAt) || !n.polls() {
		return
	}
	n.readStartedAt = n.now
	n.pollAt = n.now.Add(n.options.HeartbeatInterval)
	if n.isOrigin() && n.heartbeatAt.Add(-pollLead).After(n.now) {
		n.pollAt = n.heartbeatAt.Add(-pollLead)
	}
	n.emit(&ReadHead{After: n.staged(), Full: len(n.states) == 0, Holds: n.staged() > n.accepted && n.isOrigin()})
}

func (n *Node) polls() bool {
	if len(n.states) == 0 || n.isOrigin() || !n.isMember() {
		return true
	}
	if at, _ := n.roster().position(n.self.GetName()); at < n.options.Pollers {
		return true
	}
	return n.now.Sub(n.tableReadAt) > 2*n.options.HeartbeatInterval
}

// OnHead processes the result of ReadHead.
func (n *Node) OnHead(now time.Time, rd HeadRead) []Effect {
	n.begin(now)
	n.readStartedAt = time.Time{}
	if rd.Err != nil {
		n.pollAt = n.now.Add(n.options.HeartbeatInterval/2 + n.jitter(n.options.HeartbeatInterval))
		n.catchUpFromSeed()
		return n.finish()
	}
	if rd.State != nil {
		n.reset(rd.State)
	}
	if len(n.states) == 0 {
		n.states = []*State{Empty()}
	}
	n.merge(rd.Entries, rd.Head.GetCommitted(), rd.Head.GetAccepted())
	n.mergeTableRead(rd.Started, rd.Head.GetCommitted())
	n.mergeHolds(rd.Holds)
	return n.finish()
}

// catchUpFromSeed requests the state of a random seed if this node has none; it is called when the table is down.
func (n *Node) catchUpFromSeed() {
	if len(n.states) > 0 || len(n.seeds) == 0 || n.now.Sub(n.catchUpAt) < n.options.HeartbeatInterval {
		return
	}
	n.catchUpAt = n.now
	n.emit(&CatchUp{n.seeds[n.rng.IntN(len(n.seeds))]})
}

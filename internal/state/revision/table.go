package revision

import "time"

// poll reads the table when it is this node's turn: the first few members of each data centre at each beat, a node
// that hears from nobody just before its beat, and any node that has heard of no read for two beats.
func (n *Node) poll() {
	if !n.reading.IsZero() && n.now.Sub(n.reading) < readLimit {
		return
	}
	if n.now.Before(n.pollAt) || !n.polls() {
		return
	}
	n.reading = n.now
	n.pollAt = n.now.Add(n.options.HeartbeatInterval)
	if n.isOrigin() && n.beatAt.Add(-pollLead).After(n.now) {
		n.pollAt = n.beatAt.Add(-pollLead)
	}
	n.do(&ReadHead{After: n.staged(), Whole: len(n.states) == 0, Holds: n.staged() > n.accepted && n.isOrigin()})
}

func (n *Node) polls() bool {
	if len(n.states) == 0 || n.isOrigin() || !n.isMember() {
		return true
	}
	if at, _ := n.roster().position(n.self.GetName()); at < n.options.Pollers {
		return true
	}
	return n.now.Sub(n.tableBasis) > 2*n.options.HeartbeatInterval
}

// OnHead takes the result of ReadHead.
func (n *Node) OnHead(now time.Time, rd HeadRead) []Effect {
	n.begin(now)
	n.reading = time.Time{}
	if rd.Err != nil {
		n.pollAt = n.now.Add(n.options.HeartbeatInterval/2 + n.jitter(n.options.HeartbeatInterval))
		n.askSeed()
		return n.finish()
	}
	if rd.State != nil {
		n.reset(rd.State)
	}
	if len(n.states) == 0 {
		n.states = []*State{Empty()}
	}
	n.learn(rd.Entries, rd.Head.GetCommitted(), rd.Head.GetAccepted())
	n.covered(rd.Started, rd.Head.GetCommitted())
	n.takeHolds(rd.Holds)
	return n.finish()
}

// askSeed has a node that holds nothing ask another one while the table is down.
func (n *Node) askSeed() {
	if len(n.states) > 0 || len(n.seeds) == 0 || n.now.Sub(n.catching) < n.options.HeartbeatInterval {
		return
	}
	n.catching = n.now
	n.do(&CatchUp{n.seeds[n.rng.IntN(len(n.seeds))]})
}

package revision

import (
	"slices"
	"time"

	cardamomyokev1 "github.com/cardamomyoke/cardamomyoke/internal/gen/cardamomyoke/v1"
	"github.com/cardamomyoke/cardamomyoke/internal/state/platform"
)

const (
	minEditInterval     = 100 * time.Millisecond // between two changes of the roster
	requestTTL          = 5 * time.Second        // after which a request that is not repeated is dropped
	removeAfter         = 30 * time.Second       // without a message, before a member is removed
	removeUnlistedAfter = 15 * time.Second       // without a message, if the host list does not contain the member either
)

// membershipRequest is a node's request to become a member, or to be removed if member is nil.
type membershipRequest struct {
	member *Member
	at     time.Time
}

// requestOwnMembership records this node's own request if the roster does not match its name, address and state.
func (n *Node) requestOwnMembership() {
	name := n.self.GetName()
	m := n.roster().Member(name)
	if n.leaving {
		if m != nil {
			n.requests[name] = membershipRequest{nil, n.now}
		}
		return
	}
	if m == nil || m.GetAddress() != n.self.GetAddress() || m.GetDataCentre() != n.self.GetDataCentre() {
		n.requests[name] = membershipRequest{n.self, n.now}
	}
}

// mergeRequests records the membership requests that a child reports.
func (n *Node) mergeRequests(e *cardamomyokev1.RosterEdit) {
	for _, m := range e.GetAdd() {
		n.requests[m.GetName()] = membershipRequest{m, n.now}
	}
	for _, name := range e.GetRemove() {
		n.requests[name] = membershipRequest{nil, n.now}
	}
	if len(e.GetAdd())+len(e.GetRemove()) > 0 {
		n.scheduleAck(0)
	}
}

// openRequests returns the edit of the requests that the roster does not satisfy yet, or nil if there are none.
func (n *Node) openRequests() *cardamomyokev1.RosterEdit {
	n.requestOwnMembership()
	e := &cardamomyokev1.RosterEdit{}
	for name, w := range n.requests {
		m := n.roster().Member(name)
		satisfied := m == nil && w.member == nil
		satisfied = satisfied || m != nil && w.member != nil && m.GetAddress() == w.member.GetAddress() && m.GetDataCentre() == w.member.GetDataCentre()
		switch {
		case satisfied || n.now.Sub(w.at) > requestTTL:
			delete(n.requests, name)
		case w.member == nil:
			e.Remove = append(e.Remove, name)
		default:
			e.Add = append(e.Add, w.member)
		}
	}
	if len(e.Add)+len(e.Remove) == 0 {
		return nil
	}
	slices.Sort(e.Remove)
	slices.SortFunc(e.Add, func(a, b *Member) int { return compareHash(a.GetName(), b.GetName()) })
	return e
}

// editRoster emits the effect that commits all open requests as one log entry, or else the removal of members that have
// been unresponsive for removeAfter. Only an origin does this; otherwise a thousand nodes that start together would race
// for the head row.
func (n *Node) editRoster() {
	if !n.isOrigin() || len(n.states) == 0 || n.staged() < n.committed || n.now.Sub(n.rosterEditAt) < minEditInterval {
		return
	}
	if n.now.Sub(n.tableReadAt) > n.options.StaleAfter {
		return // the table does not respond
	}
	e := n.openRequests()
	reason := "nodes join or leave"
	if e == nil {
		e = n.removalEdit(removeAfter, nil)
		reason = "silent, and too few to serve on their own"
	}
	if e == nil {
		return
	}
	n.rosterEditAt = n.now
	n.emit(&EditRoster{e, reason})
}

// markAlive updates lastSeen of the members that acknowledged a heartbeat that started here.
func (n *Node) markAlive(r *round) {
	for i, m := range r.roster.members {
		if r.alive.has(i) {
			n.lastSeen[m.GetName()] = n.now
		}
	}
}

// removalEdit returns the removal of members that have been unresponsive for the time after and, if listed is not nil, are
// missing from that host list; it returns nil if there are none. A removed member that restarts joins again. Without a host
// list, no members are removed that may form a partition able to serve on its own, because acceptance must wait for them.
func (n *Node) removalEdit(after time.Duration, listed map[string]bool) *cardamomyokev1.RosterEdit {
	r := n.roster()
	if n.now.Sub(n.originSince) < after {
		return nil
	}
	alive := newBitset(len(r.members))
	var silent []*Member
	for i, m := range r.members {
		switch {
		case m.GetName() == n.self.GetName() || n.now.Sub(n.lastSeen[m.GetName()]) < after:
			alive.set(i)
		case listed == nil || n.everListed[m.GetName()] && !listed[m.GetName()]:
			silent = append(silent, m)
		}
	}
	if listed != nil {
		silent = append(silent, n.unlisted(listed)...)
	}
	if len(silent) == 0 || listed == nil && !r.excludesMajority(alive, silent) {
		return nil
	}
	e := &cardamomyokev1.RosterEdit{}
	for _, m := range silent {
		if listed == nil {
			e.Silent = append(e.Silent, m.GetName())
		} else {
			e.Remove = append(e.Remove, m.GetName())
		}
	}
	return e
}

// unlisted returns the nodes that acceptance waits for although they are no longer members, and that have disappeared from
// the host list.
func (n *Node) unlisted(listed map[string]bool) []*Member {
	if len(n.pending) == 0 {
		return nil
	}
	var out []*Member
	for _, m := range n.missingFor(n.pending[len(n.pending)-1]) {
		name := m.GetName()
		if n.roster().Member(name) == nil && n.everListed[name] && !listed[name] {
			out = append(out, m)
		}
	}
	return out
}

// OnHosts processes the platform's host list. A member is dead if it was in an earlier list, is not in this one, and has
// been unresponsive for removeUnlistedAfter. A host that no list has contained proves nothing, since the list lags behind
// new hosts: a new host that is partitioned and serves must not be mistaken for dead.
func (n *Node) OnHosts(now time.Time, hosts []platform.Host) []Effect {
	n.begin(now)
	listed := make(map[string]bool, len(hosts))
	for _, h := range hosts {
		listed[h.Name] = true
	}
	if n.isOrigin() && len(hosts) > 0 {
		if e := n.removalEdit(removeUnlistedAfter, listed); e != nil {
			n.rosterEditAt = n.now
			n.emit(&EditRoster{e, "silent, and no longer in the host list"})
		}
	}
	for name := range listed {
		n.everListed[name] = true
	}
	return n.finish()
}

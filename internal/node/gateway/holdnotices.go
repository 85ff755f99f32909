package gateway

import (
	"sync"
	"time"

	"github.com/cardamomyoke/cardamomyoke/internal/base/ids"
	"github.com/cardamomyoke/cardamomyoke/internal/experts/lockstep"
	cardamomyokev1 "github.com/cardamomyoke/cardamomyoke/internal/gen/cardamomyoke/v1"
)

const (
	// watchedHoldLead is how many passes ahead a group is held if standbys watch the hold. A takeover is usually
	// complete before that pass would begin; a map that follows a shift of demand takes effect two passes later.
	watchedHoldLead = 4
	// releaseCopies is how often the end of a hold is told, so that one lost datagram causes no takeover.
	releaseCopies = 3
)

// watchesHolds reports whether standbys take over from a leader that goes silent while it holds a group.
func (g *Gateway) watchesHolds() bool {
	return g.Settings().Bounds.HoldWatch > 0 && !g.disabled(mechanismHoldWatch)
}

// holdLead returns how many passes ahead a switch holds its group, 0 for the default.
func (g *Gateway) holdLead() uint64 {
	if g.watchesHolds() {
		return watchedHoldLead
	}
	return 0
}

// holdNotices tells the standbys while this gateway holds groups, and when it no longer does. It is safe for concurrent
// use.
type holdNotices struct {
	g *Gateway

	mu sync.Mutex
	// held has the groups that are held, as "SERVICE/GROUP".
	held map[string]bool
	// changes counts the calls of record.
	changes uint64
	sentAt  time.Time
}

func newHoldNotices(g *Gateway) *holdNotices { return &holdNotices{g: g, held: map[string]bool{}} }

// record notes the state of a group, and tells the standbys if the notice is due.
func (h *holdNotices) record(group string, state lockstep.HoldState, fence ids.Fence) {
	now := time.Now()
	h.mu.Lock()
	if !h.g.watchesHolds() {
		clear(h.held)
		h.mu.Unlock()
		return
	}
	first := len(h.held) == 0
	if state == lockstep.HoldOutstanding {
		h.held[group] = true
	} else {
		delete(h.held, group)
	}
	last := len(h.held) == 0
	h.changes++
	change := h.changes
	due := state == lockstep.HoldOutstanding && (first || now.Sub(h.sentAt) >= lockstep.HoldNoticeInterval/2)
	if due {
		h.sentAt = now
	}
	h.mu.Unlock()
	switch {
	case due:
		h.send(fence, true)
	case last && state == lockstep.HoldReleased:
		h.sendReleased(fence, change, releaseCopies)
	}
}

// sendReleased tells that no group is held, several times unless one is held again.
func (h *holdNotices) sendReleased(fence ids.Fence, change uint64, copies int) {
	h.mu.Lock()
	current := h.changes == change
	h.mu.Unlock()
	if !current || copies == 0 {
		return
	}
	h.send(fence, false)
	time.AfterFunc(lockstep.HoldNoticeInterval, func() { h.sendReleased(fence, change, copies-1) })
}

// current returns the notice for a digest, nil if no group is held. The digest must have its sequence already: a
// notice with a lower one is older.
func (h *holdNotices) current(fence ids.Fence) *cardamomyokev1.HoldNotice {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.held) == 0 || fence == 0 {
		return nil
	}
	return &cardamomyokev1.HoldNotice{Fence: uint64(fence), Outstanding: true}
}

// send sends a notice to the standbys, in a datagram that replaces nothing of the last digest.
func (h *holdNotices) send(fence ids.Fence, outstanding bool) {
	p := h.g.peers
	to := p.standbys(fence, time.Now())
	if len(to) == 0 || fence == 0 {
		return
	}
	d := p.header()
	d.Probe = &cardamomyokev1.Probe{}
	d.Hold = &cardamomyokev1.HoldNotice{Fence: uint64(fence), Outstanding: outstanding}
	p.sendTo(to, d)
}

// standbys returns the addresses of the peers that could lead after the holder of a token without a call to the store.
func (p *peers) standbys(fence ids.Fence, now time.Time) []string {
	var out []string
	for _, k := range p.live(now) {
		if ids.Fence(k.digest.GetExpertsSpare()) > fence {
			out = append(out, k.digest.GetDigestAddress())
		}
	}
	return out
}

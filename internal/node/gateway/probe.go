package gateway

import (
	"time"

	"github.com/go-kit/log/level"

	"github.com/cardamomyoke/cardamomyoke/internal/base/ids"
	cardamomyokev1 "github.com/cardamomyoke/cardamomyoke/internal/gen/cardamomyoke/v1"
	"github.com/cardamomyoke/cardamomyoke/internal/state/liveness"
)

// maxRumors is the maximum number of rumors in a datagram.
const maxRumors = 80

// probe is a short datagram to a peer.
type probe struct {
	to liveness.Address
	*cardamomyokev1.Probe
	rumors []liveness.Rumor
}

// probeOthers probes the peers that are due, and sends new rumors to the urgent targets.
func (p *peers) probeOthers(now time.Time) {
	p.mu.Lock()
	dueProbes := p.detector.Tick(now)
	urgent := p.detector.UrgentTargets()
	changes := p.detector.Changes()
	rumors := p.detector.Rumors(maxRumors)
	p.mu.Unlock()
	p.logPeerChanges(changes)
	var probes []probe
	for _, due := range dueProbes {
		probes = append(probes, probe{due.To, &cardamomyokev1.Probe{Ask: true, About: string(due.Target)}, rumors})
	}
	for _, to := range urgent {
		probes = append(probes, probe{to, &cardamomyokev1.Probe{}, rumors})
	}
	p.sendProbes(probes)
}

// observe passes a datagram's information about its sender and other peers to the detector, and returns the probes to
// send in response. The caller holds the lock.
func (p *peers) observe(d *cardamomyokev1.Digest, now time.Time) []probe {
	from := liveness.Address(d.GetDigestAddress())
	target := liveness.Address(d.GetProbe().GetAbout())
	requesters := p.detector.ReceiveAlive(now, liveness.AliveMessage{
		Address: from, Incarnation: ids.Incarnation(d.GetIncarnation()), Sequence: d.GetSequence(), IsProbeReply: d.GetProbe().GetAnswer(),
	})
	p.detector.MergeRumors(now, rumorsOf(d))
	var out []probe
	for _, requester := range requesters {
		out = append(out, probe{requester, &cardamomyokev1.Probe{}, []liveness.Rumor{p.detector.RumorOf(from)}})
	}
	if d.GetProbe().GetAsk() {
		out = append(out, probe{from, &cardamomyokev1.Probe{Answer: true}, p.detector.Rumors(maxRumors)})
	}
	if target != "" {
		p.detector.ReceiveProbeRequest(now, from, target)
		out = append(out, probe{target, &cardamomyokev1.Probe{Ask: true}, nil})
	}
	return out
}

func (p *peers) sendProbes(probes []probe) {
	for _, q := range probes {
		d := p.header()
		d.Probe = q.Probe
		d.Rumors = rumorColumns(q.rumors)
		p.sendTo([]string{string(q.to)}, d)
	}
}

// logPeerChanges logs the state changes of peers and counts the deaths.
func (p *peers) logPeerChanges(changes []liveness.Change) {
	for _, c := range changes {
		msg := "peer alive"
		if c.Dead {
			msg = "peer dead"
			p.g.metrics.peerDead(c.ByRumor)
		}
		_ = level.Info(p.g.logger).Log("msg", msg, "peer_address", c.Address, "incarnation", c.Incarnation, "silent", c.Silent,
			"sequence", c.Sequence, "told_by_others", c.ByRumor)
	}
}

func rumorsOf(d *cardamomyokev1.Digest) []liveness.Rumor {
	columns := d.GetRumors()
	out := make([]liveness.Rumor, len(columns.GetLives()))
	for i, hash := range columns.GetLives() {
		out[i] = liveness.Rumor{IncarnationHash: hash, Sequence: columns.GetSequences()[i], Dead: columns.GetEnded()[i]}
	}
	return out
}

func rumorColumns(rumors []liveness.Rumor) *cardamomyokev1.Rumors {
	if len(rumors) == 0 {
		return nil
	}
	columns := &cardamomyokev1.Rumors{}
	for _, r := range rumors {
		columns.Lives = append(columns.Lives, r.IncarnationHash)
		columns.Sequences = append(columns.Sequences, r.Sequence)
		columns.Ended = append(columns.Ended, r.Dead)
	}
	return columns
}

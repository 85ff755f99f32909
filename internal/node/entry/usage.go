package entry

import (
	"maps"
	"slices"
	"time"

	"github.com/go-kit/log/level"

	"github.com/cardamomyoke/cardamomyoke/internal/base/ids"
	cardamomyokev1 "github.com/cardamomyoke/cardamomyoke/internal/gen/cardamomyoke/v1"
	"github.com/cardamomyoke/cardamomyoke/internal/policy/admission/limits"
)

// usageInterval is the time between two reports of what clients ask for.
const usageInterval = time.Second

// tellUsage reports the clients' demand here to the entries that add it up. It runs on the control loop.
func (e *Entry) tellUsage(now time.Time) {
	if now.Sub(e.usageAt) < usageInterval {
		return
	}
	e.usageAt = now
	peers := e.state.members.OtherEntries()
	self := ids.Node(e.settings.Name)
	ring := limits.NewRing(append(slices.Collect(maps.Keys(peers)), self))
	for node, records := range ring.Recipients(self, e.limits.Report(now)) {
		// What this entry adds up itself it reads directly; told to itself it would count twice.
		if node != self {
			e.sendUsage(peers[node].DigestAddress, limits.Encode(records), nil, now)
		}
	}
}

// hearUsage takes in another entry's demand and answers with the sums, or takes in such an answer.
func (e *Entry) hearUsage(d *cardamomyokev1.Digest, now time.Time) {
	if d.GetSums() != nil {
		e.limits.MergeSums(e.clientNames.Decode(d.GetSums()), now)
	}
	if d.GetUsage() == nil {
		return
	}
	sums := e.limits.MergeReport(ids.Node(d.GetNode()), e.clientNames.Decode(d.GetUsage()), now)
	if len(e.state.members.OtherEntries())+1 > limits.FullExchangeUpTo {
		e.sendUsage(d.GetDigestAddress(), nil, limits.Encode(sums), now)
	}
}

func (e *Entry) sendUsage(address string, usage, sums *cardamomyokev1.UsageReport, now time.Time) {
	e.digests++
	d := e.ownDigest(now)
	d.Suspects = nil
	d.Usage = usage
	d.Sums = sums
	n, err := e.sender.Send(address, d)
	e.metrics.digestBytes.Add(n)
	if err != nil {
		_ = level.Debug(e.logger).Log("msg", "usage not sent", "to", address, "err", err)
	}
}

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

// usageInterval is the interval between two reports of the clients' usage.
const usageInterval = time.Second

// reportUsage sends the clients' usage at this entry to the entries that sum it. It runs on the control loop.
func (e *Entry) reportUsage(now time.Time) {
	if now.Sub(e.usageSentAt) < usageInterval {
		return
	}
	e.usageSentAt = now
	peers := e.state.members.OtherEntries()
	self := ids.Node(e.settings.Name)
	ring := limits.NewEntrySet(append(slices.Collect(maps.Keys(peers)), self))
	for node, records := range ring.Recipients(self, e.limits.Report(now)) {
		// This entry includes its own usage directly when it sums; sending it to itself would count it twice.
		if node != self {
			e.sendUsage(peers[node].DigestAddress, limits.Encode(records), nil, now)
		}
	}
}

// receiveUsage merges another entry's usage and replies with the sums, or merges such a reply. With few entries, all
// exchange their usage in full, and no reply is needed.
func (e *Entry) receiveUsage(d *cardamomyokev1.Digest, now time.Time) {
	if d.GetSums() != nil {
		e.limits.MergeSums(e.clientsByHash.Decode(d.GetSums()), now)
	}
	if d.GetUsage() == nil {
		return
	}
	sums := e.limits.MergeReport(ids.Node(d.GetNode()), e.clientsByHash.Decode(d.GetUsage()), now)
	if len(e.state.members.OtherEntries())+1 > limits.FullExchangeUpTo {
		e.sendUsage(d.GetDigestAddress(), nil, limits.Encode(sums), now)
	}
}

func (e *Entry) sendUsage(address string, usage, sums *cardamomyokev1.UsageReport, now time.Time) {
	e.digestSequence++
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

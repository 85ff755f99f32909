package slopes

import (
	"fmt"
	"math/rand/v2"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/cardamomyoke/cardamomyoke/internal/base/ids"
	"github.com/cardamomyoke/cardamomyoke/internal/policy/admission/limits"
)

// usageFigures lets one of the given number of entries consume its share of the target's requests, from uniformly
// random clients. It returns the number and the bytes of the datagrams that the entry then sends to the entries that
// aggregate demand. An entry receives as much as it sends. Beyond limits.FullExchangeUpTo entries, each datagram gets a
// reply of the same size.
func usageFigures(entries int) ([]float64, error) {
	const span = 20 * time.Second
	l := limits.New(limits.Defaults(), entries)
	set := make(map[ids.Client]limits.Limit, targetClients)
	for i := range targetClients {
		set[ids.Client(clientName(i))] = limits.Limit{RequestsPerSecond: 50, TokensPerSecond: 20_000}
	}
	l.SetLimits(set)
	var names []ids.Node
	for i := range entries {
		names = append(names, ids.Node(fmt.Sprintf("entry-%04d", i)))
	}
	rng := rand.New(rand.NewPCG(1, uint64(entries)))
	requests := targetRequests / targetEntries * int(span/time.Second)
	now := virtualStart
	for range requests {
		now = now.Add(span / time.Duration(requests))
		_ = l.Consume(ids.Client(clientName(rng.IntN(targetClients))), 207, now)
	}
	byRecipient := limits.NewEntrySet(names).Recipients(names[0], l.Report(now))
	bytes := 0
	for node, records := range byRecipient {
		if node == names[0] {
			continue
		}
		d := newDigest(identities(6)[0], 1_000_000)
		d.Usage = limits.Encode(records)
		bytes += proto.Size(d) + datagramHeaderBytes
	}
	return []float64{float64(len(byRecipient)), float64(bytes)}, nil
}

func usageExperiments() []Experiment {
	return []Experiment{{
		Driver: "entries, 22 requests/s at each from 30,000 clients", Sizes: []int{6, 16, 17, 90, 180, 360}, Target: targetEntries,
		Metrics: []Metric{{"usage.datagrams", "entry control", "datagrams/s", Exact}, {"usage.bytes", "entry control", "B/s sent", Exact}},
		Run:     usageFigures,
	}}
}

package slopes

import (
	"fmt"
	"strings"

	"google.golang.org/protobuf/proto"

	"github.com/cardamomyoke/cardamomyoke/internal/base/ids"
	cardamomyokev1 "github.com/cardamomyoke/cardamomyoke/internal/gen/cardamomyoke/v1"
	"github.com/cardamomyoke/cardamomyoke/internal/policy/admission/limits"
	"github.com/cardamomyoke/cardamomyoke/internal/state/config"
	"github.com/cardamomyoke/cardamomyoke/internal/state/membership"
	"github.com/cardamomyoke/cardamomyoke/internal/state/revision"
)

// configuration returns a configuration with three models and the given number of client accounts.
func configuration(clients int) *cardamomyokev1.Configuration {
	c := &cardamomyokev1.Configuration{
		Revision: 657_000,
		Classes:  []*cardamomyokev1.PriorityClass{{Name: "first", QueueLimit: 1000}, {Name: "rest", Rank: 1, QueueLimit: 1000}},
		Policies: &cardamomyokev1.Policies{AddressKeepMs: 30_000, EjectionPercent: 30, QuarantineS: 600},
	}
	for i := range 3 {
		c.Services = append(c.Services, &cardamomyokev1.Service{
			Name: fmt.Sprintf("language-model-%d", i), Kind: cardamomyokev1.ServiceKind_SERVICE_KIND_MODEL, Class: "first",
			Repeatable: true, DeadlineMs: 30_000, MaxBodyBytes: 1 << 20, RetryBudgetPercent: 10, CostTokens: 200,
		})
	}
	for i := range clients {
		c.Clients = append(c.Clients, &cardamomyokev1.ClientAccount{
			Name: clientName(i), Share: uint32(1 + i%10), RequestsPerS: 50, TokensPerS: 20_000,
			Services: []string{"language-model-0"}, SecretSha256: strings.Repeat("0123456789abcdef", 4),
		})
	}
	return c
}

func clientName(i int) string { return fmt.Sprintf("client-%06d", i) }

// configurationFigures returns the encoded size and the heap of a configuration in bytes, and the time in microseconds
// to decode and check it.
func configurationFigures(clients int) ([]float64, error) {
	data, err := proto.Marshal(configuration(clients))
	if err != nil {
		return nil, fmt.Errorf("encode configuration: %w", err)
	}
	var loadErr error
	load := func() *config.Snapshot {
		c := &cardamomyokev1.Configuration{}
		if err := proto.Unmarshal(data, c); err != nil {
			loadErr = err
			return nil
		}
		s, err := config.NewSnapshot(c)
		if err != nil {
			loadErr = err
		}
		return s
	}
	heap := heapBytesOf(func() any { return load() })
	micros := minCallMicros(func() { load() })
	return []float64{float64(len(data)), heap, micros}, loadErr
}

// limiterWithDemand returns a limiter with recorded demand of the given number of clients.
func limiterWithDemand(clients int) *limits.Limiter {
	l := limits.New(limits.Defaults(), targetEntries)
	set := make(map[ids.Client]limits.Limit, clients)
	for i := range clients {
		set[ids.Client(clientName(i))] = limits.Limit{RequestsPerSecond: 50, TokensPerSecond: 20_000}
	}
	l.SetLimits(set)
	for i := range clients {
		_ = l.Consume(ids.Client(clientName(i)), float64(10+i%500), virtualStart)
	}
	return l
}

// limiterFigures returns the heap of a limiter in bytes, the times in microseconds of consuming an allowance and of a
// report, and the number of records in a report.
func limiterFigures(clients int) ([]float64, error) {
	heap := heapBytesOf(func() any { return limiterWithDemand(clients) })
	l := limiterWithDemand(clients)
	i := 0
	consume := minCallMicros(func() {
		i++
		_ = l.Consume(ids.Client(clientName(i%clients)), 200, virtualStart)
	})
	report := minCallMicros(func() { l.Report(virtualStart) })
	return []float64{heap, consume, report, float64(len(l.Report(virtualStart)))}, nil
}

// members returns n members in the target's ratio of 6 entries to 13 slots.
func members(n int) []*revision.Member {
	var out []*revision.Member
	for i := range n {
		role, kind := cardamomyokev1.NodeRole_NODE_ROLE_ENTRY, "entry"
		if i%19 >= 6 {
			role, kind = cardamomyokev1.NodeRole_NODE_ROLE_SLOT, "slot"
		}
		out = append(out, &revision.Member{
			Name: fmt.Sprintf("%s-%04d", kind, i), DataCentre: fmt.Sprintf("centre-%d", i%targetCentres), Role: role,
			Address: fmt.Sprintf("10.1.%d.%d:7200", i/250, i%250), DigestAddress: fmt.Sprintf("10.1.%d.%d:7300", i/250, i%250),
		})
	}
	return out
}

// memberFigures measures the roster and the member list that digests refresh: encoded sizes and heap in bytes, and the
// times in microseconds of a tick, of a view of the addresses and of a change of the roster.
func memberFigures(n int) ([]float64, error) {
	list := members(n)
	encoded := float64(proto.Size(&cardamomyokev1.State{Seq: 1, Members: list}))
	status := &cardamomyokev1.GetStatusResponse{Node: "entry-0000"}
	for _, m := range list {
		status.Nodes = append(status.Nodes, &cardamomyokev1.NodeStatus{Member: m})
	}
	identities := membership.FromRevision(list)
	build := func() *membership.MemberList {
		l := membership.New(identities[0], membership.Defaults(), virtualStart)
		l.SetRoster(identities, virtualStart)
		return l
	}
	heap := heapBytesOf(func() any { return []any{build(), revision.NewRoster(members(n))} })
	l := build()
	tick := minCallMicros(func() { l.Tick(virtualStart) })
	adopt := minCallMicros(func() { build() })
	addresses := minCallMicros(func() { l.Addresses("") })
	return []float64{encoded, float64(proto.Size(status)), heap, tick, addresses, adopt}, nil
}

func stateExperiments() []Experiment {
	return []Experiment{
		{
			Driver: "client accounts", Sizes: []int{3750, 7500, 15_000, 30_000}, Target: targetClients,
			Metrics: []Metric{
				{"configuration.bytes", "every node", "B encoded", Exact}, {"configuration.heap", "every node", "B of heap", Counted},
				{"configuration.adopt", "every node", "µs a change", Timed},
			},
			Run: configurationFigures,
		},
		{
			Driver: "clients with demand at one entry", Sizes: []int{1000, 4000, 15_000, 30_000}, Target: targetClients,
			Metrics: []Metric{
				{"limits.heap", "entry traffic", "B of heap", Counted}, {"limits.take", "entry traffic", "µs a request", Timed},
				{"limits.report", "entry control", "µs a second", Timed}, {"limits.records", "entry control", "records a second", Exact},
			},
			Run: limiterFigures,
		},
		{
			Driver: "members", Sizes: []int{19, 142, 285, 570, 1140}, Target: targetMembers,
			Metrics: []Metric{
				{"members.state.bytes", "every node", "B encoded", Exact}, {"members.status.bytes", "ctl", "B an answer", Exact},
				{"members.heap", "every node", "B of heap", Counted}, {"members.tick", "every node", "µs a tick", Timed},
				{"members.addresses", "caller's address answers", "µs a view", Timed}, {"members.adopt", "every node", "µs a change of the roster", Timed},
			},
			Run: memberFigures,
		},
	}
}

package load

import (
	"context"
	"fmt"
	"time"

	"github.com/go-kit/log"
	"github.com/valyala/fasthttp"

	"github.com/cardamomyoke/cardamomyoke/internal/base/httpserver"
	"github.com/cardamomyoke/cardamomyoke/internal/base/ids"
	"github.com/cardamomyoke/cardamomyoke/internal/base/tracing"
	cardamomyokev1 "github.com/cardamomyoke/cardamomyoke/internal/gen/cardamomyoke/v1"
	"github.com/cardamomyoke/cardamomyoke/internal/node/entry"
	"github.com/cardamomyoke/cardamomyoke/internal/node/host"
	"github.com/cardamomyoke/cardamomyoke/internal/node/slot"
	"github.com/cardamomyoke/cardamomyoke/internal/policy/attempt"
	"github.com/cardamomyoke/cardamomyoke/internal/state/config"
	"github.com/cardamomyoke/cardamomyoke/internal/testing/bench/meter"
	"github.com/cardamomyoke/cardamomyoke/internal/testing/standin/engine"
	"github.com/cardamomyoke/cardamomyoke/internal/testing/standin/plain"
	"github.com/cardamomyoke/cardamomyoke/internal/testing/standin/platform"
)

// Names of the services and of the paths.
const (
	serviceModel = "model"
	servicePlain = "plain"
	serviceStub  = "stub"

	nameDirect       = "straight to the stand-in"
	nameEntry        = "entry, stub in place of the slot"
	nameEntryAndSlot = "entry and slot"
)

// testbed holds the running entry, slots, stub and stand-ins.
type testbed struct {
	entryAddr, engineAddr, plainAddr string
	stopFuncs                        []func()
}

func (b *testbed) stop() {
	for i := len(b.stopFuncs) - 1; i >= 0; i-- {
		b.stopFuncs[i]()
	}
}

// snapshot returns a configuration with the three services and one client.
func snapshot() (*config.Snapshot, error) {
	service := func(name string, kind cardamomyokev1.ServiceKind) *cardamomyokev1.Service {
		return &cardamomyokev1.Service{
			Name: name, Kind: kind, Class: "all", Repeatable: true, DeadlineMs: 30_000, MaxBodyBytes: 1 << 20, RetryBudgetPercent: 10,
		}
	}
	return config.NewSnapshot(&cardamomyokev1.Configuration{
		Revision: 1,
		Classes:  []*cardamomyokev1.PriorityClass{{Name: "all", QueueLimit: 10_000}},
		Services: []*cardamomyokev1.Service{
			service(serviceModel, cardamomyokev1.ServiceKind_SERVICE_KIND_MODEL),
			service(servicePlain, cardamomyokev1.ServiceKind_SERVICE_KIND_PLAIN),
			service(serviceStub, cardamomyokev1.ServiceKind_SERVICE_KIND_PLAIN),
		},
		Clients:  []*cardamomyokev1.ClientAccount{{Name: "load", Share: 1}},
		Policies: &cardamomyokev1.Policies{AddressKeepMs: 100, QuarantineS: 60},
	})
}

// startTestbed starts the stand-ins, the slots, the stub and one entry.
func startTestbed(o Options) (*testbed, error) {
	b := &testbed{}
	if err := b.start(o); err != nil {
		b.stop()
		return nil, err
	}
	return b, nil
}

func (b *testbed) start(o Options) error {
	snap, err := snapshot()
	if err != nil {
		return fmt.Errorf("configuration: %w", err)
	}
	ports := make([]string, 16)
	for i := range ports {
		if ports[i], err = meter.FreePort(); err != nil {
			return err
		}
	}
	b.entryAddr, b.engineAddr, b.plainAddr = ports[0], ports[1], ports[2]
	if err := b.startStandins(o); err != nil {
		return err
	}
	tracer, err := tracing.New(context.Background(), "load", tracing.Options{})
	if err != nil {
		return fmt.Errorf("tracing: %w", err)
	}
	source := config.Static{Snapshot: snap}
	deps := slot.Deps{Config: source, Table: platform.NewStore(platform.Limits{}), Logger: log.NewNopLogger(), Tracer: tracer}
	if err := b.startSlot(serviceModel, slot.KindModel, b.engineAddr, ports[3:6], ports[6], o, deps); err != nil {
		return err
	}
	if err := b.startSlot(servicePlain, slot.KindPlain, b.plainAddr, ports[7:10], ports[6], o, deps); err != nil {
		return err
	}
	if err := b.startStub(ports[10:13], ports[6], o); err != nil {
		return err
	}
	return b.startEntry(ports[6], ports[13], source, tracer)
}

func (b *testbed) startStandins(o Options) error {
	e, err := engine.Start(b.engineAddr, engine.Options{Batch: o.Workers, CacheBlocks: 64})
	if err != nil {
		return err
	}
	b.stopFuncs = append(b.stopFuncs, e.Stop)
	p, err := plain.Start(b.plainAddr, 0)
	if err != nil {
		return err
	}
	b.stopFuncs = append(b.stopFuncs, p.Stop)
	return nil
}

func (b *testbed) startSlot(name string, kind slot.Kind, upstream string, ports []string, entryDigestAddr string, o Options, d slot.Deps) error {
	set := &slot.Settings{Settings: host.Settings{Name: name, DataCentre: "here", Platform: entryDigestAddr}, Service: ids.Service(name)}
	set.HTTP.Address = ports[0]
	set.Control.Address = ports[1]
	set.Digests.Address = ports[2]
	set.Digests.Seeds = []string{entryDigestAddr}
	set.Upstream.Kind = kind
	set.Upstream.Address = upstream
	set.Upstream.Batch = 4 * o.Workers
	s, err := slot.Start(set, d)
	if err != nil {
		return err
	}
	b.stopFuncs = append(b.stopFuncs, s.Kill)
	return nil
}

// startStub starts a server that responds immediately to each attempt, in place of a slot with its upstream.
func (b *testbed) startStub(ports []string, entryDigestAddr string, o Options) error {
	stub, err := httpserver.Start(ports[0], 1, httpserver.Limits{}, func(_ context.Context, x *httpserver.Exchange) {
		id := string(x.Req.Header.Peek(attempt.HeaderAttempt))
		_ = x.Respond(fasthttp.StatusOK, []httpserver.Header{{Name: attempt.HeaderAttempt, Value: id}}, []byte("{}"))
	})
	if err != nil {
		return err
	}
	b.stopFuncs = append(b.stopFuncs, func() { _ = stub.Stop(context.Background()) })
	stop, err := announceStub(ports[0], ports[2], entryDigestAddr, o)
	if err != nil {
		return err
	}
	b.stopFuncs = append(b.stopFuncs, stop)
	return nil
}

// startEntry starts the entry and waits until it uses all upstreams fully.
func (b *testbed) startEntry(digestAddr, controlAddr string, source config.Source, tracer *tracing.Tracer) error {
	set := &entry.Settings{Settings: host.Settings{Name: "entry", DataCentre: "here", Platform: controlAddr}}
	set.HTTP.Address = b.entryAddr
	set.Control.Address = controlAddr
	set.Digests.Address = digestAddr
	e, err := entry.Start(set, entry.Deps{Config: source, Logger: log.NewNopLogger(), Tracer: tracer})
	if err != nil {
		return err
	}
	b.stopFuncs = append(b.stopFuncs, e.Kill)
	const warmup = 12 * time.Second // the entry increases the share of new upstreams gradually
	time.Sleep(warmup)
	return nil
}

// paths returns the measured paths. The direct path of each kind is the first of its kind.
func (b *testbed) paths(o Options) []path {
	chat := chatBody(o.Tokens)
	body := []byte(`{"slip":1}`)
	return []path{
		{nameDirect, servicePlain, b.plainAddr, post("/slips", body)},
		{nameEntry, servicePlain, b.entryAddr, post("/v1/services/"+serviceStub+"/slips", body)},
		{nameEntryAndSlot, servicePlain, b.entryAddr, post("/v1/services/"+servicePlain+"/slips", body)},
		{nameDirect, serviceModel, b.engineAddr, post("/v1/chat/completions", chat)},
		{nameEntryAndSlot, serviceModel, b.entryAddr, post("/v1/chat/completions", chat)},
	}
}

// post returns a function that builds a POST request with the given path and body.
func post(uri string, body []byte) func() *fasthttp.Request {
	return func() *fasthttp.Request {
		req := &fasthttp.Request{}
		req.Header.SetMethod(fasthttp.MethodPost)
		req.SetRequestURI(uri)
		req.Header.SetHost("load")
		req.Header.SetContentType("application/json")
		req.Header.Set("Authorization", "Bearer load")
		req.SetBodyRaw(body)
		return req
	}
}

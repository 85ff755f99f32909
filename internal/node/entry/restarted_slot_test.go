package entry

import (
	"bufio"
	"bytes"
	"net"
	"net/http"
	"net/http/httputil"
	"testing"
	"time"

	"github.com/go-kit/log"

	"github.com/cardamomyoke/cardamomyoke/internal/base/failure"
	"github.com/cardamomyoke/cardamomyoke/internal/base/httpclient"
	"github.com/cardamomyoke/cardamomyoke/internal/base/tracing"
	cardamomyokev1 "github.com/cardamomyoke/cardamomyoke/internal/gen/cardamomyoke/v1"
	"github.com/cardamomyoke/cardamomyoke/internal/node/slot"
	"github.com/cardamomyoke/cardamomyoke/internal/state/config"
	"github.com/cardamomyoke/cardamomyoke/internal/testing/faulttest/memtable"
	"github.com/cardamomyoke/cardamomyoke/internal/testing/loopback"
)

func passOn(t *testing.T, to string, raw []byte) []byte {
	c, err := net.Dial("tcp", to)
	if err != nil {
		t.Error(err)
		return nil
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(2 * time.Second))
	_, _ = c.Write(raw)
	res, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Error(err)
		return nil
	}
	b, _ := httputil.DumpResponse(res, true)
	return b
}

// Guards against an attempt that ran before its slot restarted and counts as not run, because a copy of it reached the slot after its restart.
func TestCopyThatReachesRestartedSlotIsNoProof(t *testing.T) {
	before, service, addressBefore := startBareSlot(t, 0, true, false)
	_, _, addressAfter := startBareSlot(t, 0, true, false)
	l := listenTCP(t)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				r, err := http.ReadRequest(bufio.NewReader(c))
				if err != nil {
					return
				}
				var raw bytes.Buffer
				_ = r.Write(&raw)
				passOn(t, addressBefore, raw.Bytes()) // its answer is lost with the slot
				_, _ = c.Write(passOn(t, addressAfter, raw.Bytes()))
			}()
		}
	}()
	e := &Entry{client: httpclient.New(httpclient.Options{}), metrics: newEntryMetrics(), logger: log.NewNopLogger()}
	a := proofAttempt(before.Incarnation(), l.Addr().String(), 1, true)
	f := sendOne(t.Context(), e, a)
	runs := service.counts()[a.id.String()]
	if f != nil && f.Code.Meaning().NotRun && f.Proof != failure.ProofNone && runs > 0 {
		t.Fatalf("ran %d times, the entry was told %s with proof %s", runs, f.Code, f.Proof)
	}
	t.Logf("ran %d times: %v", runs, f)
}

func startBareSlot(t *testing.T, seed uint64, repeatable, stale bool) (*slot.Slot, *countingService, string) {
	t.Helper()
	service := &countingService{runs: map[string]int{}}
	upstream := listenTCP(t)
	go func() { _ = http.Serve(upstream, service) }()
	snap, err := config.NewSnapshot(&cardamomyokev1.Configuration{
		Revision: 1,
		Classes:  []*cardamomyokev1.PriorityClass{{Name: "first", QueueLimit: 1000}},
		Services: []*cardamomyokev1.Service{{
			Name: "slips", Kind: cardamomyokev1.ServiceKind_SERVICE_KIND_PLAIN, Class: "first", Repeatable: repeatable,
			DeadlineMs: 1000, MaxBodyBytes: 1 << 10, OutcomeKeptS: 3600, RetryBudgetPercent: 100,
		}},
		Clients:  []*cardamomyokev1.ClientAccount{{Name: "c", Share: 1}},
		Policies: &cardamomyokev1.Policies{AddressKeepMs: 100, EjectionPercent: 50, QuarantineS: 60},
	})
	if err != nil {
		t.Fatal(err)
	}
	tracer, err := tracing.New(t.Context(), "test", tracing.Options{})
	if err != nil {
		t.Fatal(err)
	}
	var source config.Source = config.Static{Snapshot: snap}
	if stale {
		source = staleConfig{config.Static{Snapshot: snap}}
	}
	set := &slot.Settings{Service: "slips"}
	set.Name, set.DataCentre = "s", "d"
	set.HTTP.Address, set.Control.Address, set.Digests.Address = loopback.Address(), loopback.Address(), loopback.Address()
	set.Upstream.Kind, set.Upstream.Address, set.Upstream.Batch = slot.KindPlain, upstream.Addr().String(), 64
	s, err := slot.Start(set, slot.Deps{Config: source, Table: memtable.New(nil), Logger: log.NewNopLogger(), Tracer: tracer})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Kill)
	return s, service, set.HTTP.Address
}

package platform_test

import (
	"context"
	"errors"
	"net"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/cardamomyoke/cardamomyoke/internal/base/ids"
	"github.com/cardamomyoke/cardamomyoke/internal/state/platform"
	standin "github.com/cardamomyoke/cardamomyoke/internal/testing/standin/platform"
)

func put(op, key, value string, version uint64) platform.Txn {
	return platform.Txn{
		Operation: ids.Operation(op),
		Checks:    []platform.Check{{Key: key, Version: version}},
		Puts:      []platform.Put{{Key: key, Value: []byte(value)}},
	}
}

// Guards against a caller that gets a conflict with its own write. The response to a commit is lost after the write
// took effect, and the client retries with the same operation ID.
func TestLostResponseIsResolvedByOperationID(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := standin.NewStore(standin.Limits{})
		c := platform.NewClient(s, platform.Options{})
		s.SetFaults(standin.PartTable, standin.Faults{LoseResponses: 2})
		res, err := c.Commit(t.Context(), put("op", "k", "v", 0))
		if err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff([]uint64{1}, res.Versions); diff != "" {
			t.Fatal(diff)
		}
	})
}

// Guards against "unavailable" for a write that may still take effect: a delayed write takes effect after the
// platform has become unavailable for the retries. The caller must get an unknown outcome.
func TestLateWriteIsNeverReportedUnavailable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := standin.NewStore(standin.Limits{})
		c := platform.NewClient(s, platform.Options{InitialWait: 100 * time.Millisecond})
		s.SetFaults(standin.PartTable, standin.Faults{LateWrites: 1, LateBy: time.Minute})
		time.AfterFunc(10*time.Millisecond, func() { s.SetFaults(standin.PartTable, standin.Faults{Outage: true}) })
		_, err := c.Commit(t.Context(), put("op", "k", "v", 0))
		var unknown *platform.UnknownOutcomeError
		if !errors.As(err, &unknown) || unknown.Operation != "op" {
			t.Fatalf("got %v", err)
		}
		time.Sleep(2 * time.Minute)
		s.SetFaults(standin.PartTable, standin.Faults{})
		rows, err := s.Get(t.Context(), "k")
		if err != nil || rows[0].Version != 1 {
			t.Fatalf("rows %v, err %v", rows, err)
		}
	})
}

// Guards against a node that calls the platform on every call during a long outage, instead of about once per second,
// or does not recover by itself after the outage.
func TestCircuitBreakerLimitsCallsDuringOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := standin.NewStore(standin.Limits{})
		c := platform.NewClient(s, platform.Options{})
		var reached int
		s.SetFaults(standin.PartTable, standin.Faults{Outage: true})
		for range 600 {
			_, err := c.Get(t.Context(), "k")
			var down *platform.UnavailableError
			if !errors.As(err, &down) {
				t.Fatalf("got %v", err)
			}
			var outage *standin.OutageError
			if errors.As(err, &outage) {
				reached++
			}
			time.Sleep(100 * time.Millisecond)
		}
		if reached < 30 || reached > 70 {
			t.Fatalf("reached the platform %d times in a minute", reached)
		}
		s.SetFaults(standin.PartTable, standin.Faults{})
		time.Sleep(1100 * time.Millisecond)
		if _, err := c.Get(t.Context(), "k"); err != nil || !c.Up() {
			t.Fatalf("after the outage: %v, up %v", err, c.Up())
		}
	})
}

func TestConflictIsNotRetried(t *testing.T) {
	s := standin.NewStore(standin.Limits{})
	c := platform.NewClient(s, platform.Options{})
	if _, err := c.Commit(t.Context(), put("a", "k", "v", 0)); err != nil {
		t.Fatal(err)
	}
	_, err := c.Commit(t.Context(), put("b", "k", "w", 0))
	var conflict *platform.ConflictError
	if !errors.As(err, &conflict) || conflict.Rows[0].Version != 1 {
		t.Fatalf("got %v", err)
	}
	if n := s.Usage().Writes; n != 2 {
		t.Fatalf("%d writes", n)
	}
}

func serve(t *testing.T, s *standin.Store) *platform.HTTP {
	srv := httptest.NewServer(standin.Handler(s))
	t.Cleanup(srv.Close)
	return platform.NewHTTP(strings.TrimPrefix(srv.URL, "http://"), time.Minute)
}

func TestHTTPCalls(t *testing.T) {
	s := standin.NewStore(standin.Limits{WeightBytesPerSecond: 7})
	h := serve(t, s)
	ctx := t.Context()
	if _, err := h.Commit(ctx, put("a", "p/1", "", 0)); err != nil {
		t.Fatal(err)
	}
	rows, err := h.List(ctx, "p/", "", 10)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff([]platform.Row{{Key: "p/1", Version: 1, Value: []byte{}}}, rows); diff != "" {
		t.Fatal(diff)
	}
	if err := h.PutObject(ctx, "maps/a", []byte("x")); err != nil {
		t.Fatal(err)
	}
	var conflict *platform.ConflictError
	if err := h.PutObject(ctx, "maps/a", []byte("y")); !errors.As(err, &conflict) {
		t.Fatalf("overwrite: %v", err)
	}
	if data, err := h.GetObject(ctx, "maps/a"); err != nil || string(data) != "x" {
		t.Fatalf("object %q, %v", data, err)
	}
	var notFound *platform.NotFoundError
	if _, err := h.GetObject(ctx, "maps/b"); !errors.As(err, &notFound) {
		t.Fatalf("missing: %v", err)
	}
	want := []platform.Host{{Name: "a", Role: "entry", DataCentre: "vallejo", State: platform.HostLive}}
	s.SetHosts(want, 0)
	hosts, _, err := h.Hosts(ctx)
	if diff := cmp.Diff(want, hosts); err != nil || diff != "" {
		t.Fatal(err, diff)
	}
	if bps, err := h.Rate(ctx, "g"); err != nil || bps != 7 {
		t.Fatal(bps, err)
	}
}

// Guards against a write whose response is lost and that is reported as unavailable. Only a write that was rejected
// or never sent is unavailable; the other has an unknown outcome.
func TestHTTPDistinguishesNotSentFromUnknown(t *testing.T) {
	s := standin.NewStore(standin.Limits{})
	h := serve(t, s)
	var unknown *platform.UnknownOutcomeError
	var down *platform.UnavailableError
	var conflict *platform.ConflictError

	s.SetFaults(standin.PartTable, standin.Faults{LoseResponses: 1})
	if _, err := h.Commit(t.Context(), put("a", "k", "v", 0)); !errors.As(err, &unknown) {
		t.Fatalf("lost response: %v", err)
	}
	if _, err := h.Commit(t.Context(), put("b", "k", "v", 0)); !errors.As(err, &conflict) || conflict.Rows[0].Version != 1 {
		t.Fatalf("conflict: %v", err)
	}
	s.SetFaults(standin.PartTable, standin.Faults{Outage: true})
	if _, err := h.Commit(t.Context(), put("c", "k", "v", 1)); !errors.As(err, &down) {
		t.Fatalf("outage: %v", err)
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := l.Addr().String()
	if err := l.Close(); err != nil {
		t.Fatal(err)
	}
	noListener := platform.NewHTTP(addr, time.Minute)
	if _, err := noListener.Commit(context.Background(), put("d", "k", "v", 1)); !errors.As(err, &down) {
		t.Fatalf("no listener: %v", err)
	}
}

package entry

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httputil"
	"sync"
	"testing"
	"time"

	"github.com/go-kit/log"

	"github.com/cardamomyoke/cardamomyoke/internal/base/failure"
	"github.com/cardamomyoke/cardamomyoke/internal/base/httpclient"
	"github.com/cardamomyoke/cardamomyoke/internal/base/ids"
	"github.com/cardamomyoke/cardamomyoke/internal/base/tracing"
	cardamomyokev1 "github.com/cardamomyoke/cardamomyoke/internal/gen/cardamomyoke/v1"
	"github.com/cardamomyoke/cardamomyoke/internal/node/slot"
	"github.com/cardamomyoke/cardamomyoke/internal/policy/attempt"
	"github.com/cardamomyoke/cardamomyoke/internal/policy/routing"
	"github.com/cardamomyoke/cardamomyoke/internal/state/config"
	"github.com/cardamomyoke/cardamomyoke/internal/testing/faulttest/memtable"
	"github.com/cardamomyoke/cardamomyoke/internal/testing/loopback"
)

const (
	proofAttempts = 400
	// proofCallers is how many attempts run at the same time.
	proofCallers = 16
	// proofTimeout bounds an attempt, maxProofDelay how long the link holds a request.
	proofTimeout  = 80 * time.Millisecond
	maxProofDelay = 120 * time.Millisecond
)

// countingService is a plain service that counts the runs of each attempt.
type countingService struct {
	mu   sync.Mutex
	runs map[string]int
}

// ServeHTTP implements http.Handler.
func (s *countingService) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Request-Id")
	s.mu.Lock()
	s.runs[id]++
	n := len(s.runs)
	s.mu.Unlock()
	w.Header().Set("X-Request-Id", id)
	time.Sleep(time.Duration(n%4) * 10 * time.Millisecond)
	_, _ = io.WriteString(w, "done")
}

// counts returns the number of runs by attempt.
func (s *countingService) counts() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.runs)
}

// wildLink carries requests to a slot. It loses, holds and doubles requests, and answers with the slot's answers to them or to
// others, again, late or in place of another one.
type wildLink struct {
	slot string
	mu   sync.Mutex
	rng  *rand.Rand
	// answers holds the slot's answers to requests that bear an attempt's id, by that id; strays those to all others.
	answers map[string][][]byte
	strays  [][]byte
}

func (l *wildLink) draw(n int) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.rng.IntN(n)
}

func (l *wildLink) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	in := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		var raw bytes.Buffer
		if r.Write(&raw) != nil {
			return
		}
		answer := l.answer(r.Header.Get(attempt.HeaderAttempt), raw.Bytes())
		if answer == nil {
			return
		}
		if _, err := c.Write(answer); err != nil {
			return
		}
	}
}

// answer returns what the link sends in response to a request; nil closes the connection.
func (l *wildLink) answer(id string, raw []byte) []byte {
	switch l.draw(10) {
	case 0: // lost
		return nil
	case 1: // carried out late, its answer lost
		go func() {
			time.Sleep(time.Duration(l.draw(int(maxProofDelay))))
			l.deliver(id, raw)
		}()
		return nil
	case 2: // twice
		first := l.deliver(id, raw)
		second := l.deliver(id, raw)
		return [][]byte{first, second}[l.draw(2)]
	case 3, 4: // another answer in place of its own
		own := l.deliver(id, raw)
		return l.other(id, own)
	case 5: // the answer is lost
		l.deliver(id, raw)
		return nil
	case 6: // another answer, the request itself comes late
		answer := l.other(id, nil)
		go func() {
			time.Sleep(time.Duration(l.draw(int(maxProofDelay))))
			l.deliver(id, raw)
		}()
		return answer
	}
	return l.deliver(id, raw)
}

// other returns an answer to an earlier request with the id or to one without an id, or own if there is none.
func (l *wildLink) other(id string, own []byte) []byte {
	l.mu.Lock()
	defer l.mu.Unlock()
	from := l.answers[id]
	if len(from) == 0 || l.rng.IntN(3) == 0 {
		from = l.strays
	}
	if len(from) == 0 {
		return own
	}
	return from[l.rng.IntN(len(from))]
}

// deliver sends a request to the slot on a connection of its own and returns the answer, nil if there is none.
func (l *wildLink) deliver(id string, raw []byte) []byte {
	c, err := net.Dial("tcp", l.slot)
	if err != nil {
		return nil
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(2 * time.Second))
	if _, err := c.Write(raw); err != nil {
		return nil
	}
	res, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return nil
	}
	answer, err := httputil.DumpResponse(res, true)
	if err != nil {
		return nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if id == "" {
		l.strays = append(l.strays, answer)
	} else {
		l.answers[id] = append(l.answers[id], answer)
	}
	return answer
}

// staleConfig is a configuration that the slot can rely on in every other period of staleFor only.
type staleConfig struct{ config.Static }

const staleFor = 15 * time.Millisecond

// Fresh implements config.Source.
func (staleConfig) Fresh(now time.Time) bool { return now.UnixNano()/int64(staleFor)%2 == 0 }

func listenTCP(t *testing.T) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", loopback.Address())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	return l
}

// startProofSlot starts a slot of a plain service behind a wildLink, and returns the slot and the link's address.
func startProofSlot(t *testing.T, seed uint64, repeatable, stale bool) (*slot.Slot, *countingService, string) {
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
	link := &wildLink{slot: set.HTTP.Address, rng: rand.New(rand.NewPCG(seed, 0)), answers: map[string][][]byte{}}
	// What a slot says to requests that are no attempts, or that it cannot read, bears no id.
	for _, raw := range []string{
		"GET /nowhere HTTP/1.1\r\nHost: slot\r\n\r\n",
		"POST " + attempt.PathRun + " HTTP/1.1\r\nHost: slot\r\nContent-Length: 0\r\n\r\n",
		"POST " + attempt.PathRun + " HTTP/1.1\r\nHost: slot\r\nContent-Length: 9999999\r\n\r\n",
		"nonsense\r\n\r\n",
	} {
		if link.deliver("", []byte(raw)) == nil {
			t.Fatalf("no answer to %q", raw)
		}
	}
	l := listenTCP(t)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go link.serve(c)
		}
	}()
	return s, service, l.Addr().String()
}

// Guards against requests that run although the entry has proof that they never will: links lose, hold, double and swap requests
// and answers, and slots refuse at times.
func TestNoLinkMakesAFalseProof(t *testing.T) {
	for kind := range 4 {
		repeatable, stale := kind%2 == 1, kind >= 2
		for seed := range uint64(2) {
			t.Run(fmt.Sprintf("repeatable=%t/stale=%t/%d", repeatable, stale, seed), func(t *testing.T) {
				t.Parallel()
				s, service, address := startProofSlot(t, seed, repeatable, stale)
				e := &Entry{client: httpclient.New(httpclient.Options{}), metrics: newEntryMetrics(), logger: log.NewNopLogger()}
				proofs := sendAll(t, e, s.Incarnation(), address, repeatable)
				time.Sleep(maxProofDelay + proofTimeout)
				runs := service.counts()
				counts := map[failure.Proof]int{}
				for id, f := range proofs {
					counts[f.Proof]++
					if n := runs[id]; n > 0 {
						t.Errorf("attempt %s ran %d times, the entry was told %s with proof %s", id, n, f.Code, f.Proof)
					}
				}
				for id, n := range runs {
					if n > 1 {
						t.Errorf("attempt %s ran %d times", id, n)
					}
				}
				t.Logf("%d attempts, %d ran, proofs %v", proofAttempts, len(runs), counts)
			})
		}
	}
}

// sendAll sends all attempts and returns the failures that prove "not run", by attempt.
func sendAll(t *testing.T, e *Entry, to ids.Incarnation, address string, repeatable bool) map[string]*failure.Error {
	var mu sync.Mutex
	proofs := map[string]*failure.Error{}
	var callers sync.WaitGroup
	for caller := range proofCallers {
		callers.Go(func() {
			for i := caller; i < proofAttempts; i += proofCallers {
				a := proofAttempt(to, address, i, repeatable)
				f := sendOne(t.Context(), e, a)
				if f != nil && f.Code.Meaning().NotRun && f.Proof != failure.ProofNone {
					mu.Lock()
					proofs[a.id.String()] = f
					mu.Unlock()
				}
			}
		})
	}
	callers.Wait()
	return proofs
}

func proofAttempt(to ids.Incarnation, address string, i int, repeatable bool) *outgoingAttempt {
	id := ids.Attempt{Entry: "e1", Seq: uint64(i + 1)}
	h := attempt.Header{
		Attempt: id, Incarnation: to, Service: "slips", Client: "c", Revision: 1, Remaining: proofTimeout, Method: "POST", Target: "/",
	}
	if !repeatable {
		h.Key = fmt.Sprint("k", i)
	}
	return &outgoingAttempt{id: id, to: &routing.Upstream{Address: address}, header: h, body: []byte("body"), mime: "text/plain"}
}

func sendOne(ctx context.Context, e *Entry, a *outgoingAttempt) *failure.Error {
	ctx, cancel := context.WithTimeout(ctx, proofTimeout)
	defer cancel()
	res, err := e.send(ctx, a)
	if err != nil {
		return failure.From(err)
	}
	_, err = readPlain(res)
	res.Release(err == nil)
	return nil
}

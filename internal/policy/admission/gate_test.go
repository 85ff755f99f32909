package admission_test

import (
	"sync"
	"testing"
	"time"

	"github.com/cardamomyoke/cardamomyoke/internal/policy/admission"
)

// Guards against tickets that are not decided or decided twice, and against capacity that is not freed, when many
// goroutines share one gate and some callers disconnect while they wait.
func TestGateDecidesEveryTicket(t *testing.T) {
	const callers, concurrency = 50, 4
	g := admission.NewGate(admission.NewQueue(options(), admission.Capacity{Concurrency: concurrency, TokensPerSecond: 1e9}))
	var wg sync.WaitGroup
	for i := range uint64(callers) {
		wg.Go(func() {
			ticket := g.Submit(admission.Request{
				ID: i + 1, Client: "a", Class: quotes, Tokens: tokens, Run: time.Millisecond, Deadline: begin.Add(time.Hour),
			}, begin)
			if i%5 == 0 {
				ticket.Done(0, begin)
				return
			}
			<-ticket.Decided()
			if err := ticket.Err(); err != nil {
				t.Errorf("request %d: %v", i, err)
			}
			ticket.Done(tokens, begin)
			ticket.Done(tokens, begin)
		})
	}
	wg.Wait()
	if waiting, started := g.Counts(); waiting != 0 || started != 0 {
		t.Fatalf("%d wait and %d are started after all are done", waiting, started)
	}
}

func BenchmarkGate(b *testing.B) {
	g := admission.NewGate(admission.NewQueue(options(), admission.Capacity{Concurrency: 1 << 20, TokensPerSecond: 1e9}))
	var mu sync.Mutex
	next := uint64(0)
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			mu.Lock()
			next++
			id := next
			mu.Unlock()
			ticket := g.Submit(admission.Request{ID: id, Client: "a", Class: quotes, Tokens: tokens, Deadline: begin.Add(time.Hour)}, begin)
			<-ticket.Decided()
			ticket.Done(tokens, begin)
		}
	})
}

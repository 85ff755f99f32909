// Package demo sends a mix of model and plain requests, as the callers of the example deployment in examples/arriaga do,
// and checks every response.
package demo

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"github.com/cardamomyoke/cardamomyoke/internal/base/failure"
	"github.com/cardamomyoke/cardamomyoke/internal/testing/bench/caller"
	"github.com/cardamomyoke/cardamomyoke/internal/testing/standin/engine"
	"github.com/cardamomyoke/cardamomyoke/internal/testing/standin/plain"
)

// Options configures the demo.
type Options struct {
	Entries  []string
	Ledgers  []string
	Requests int
	Rate     float64
	Seed     uint64
}

// Register adds the command to app.
func Register(app *kingpin.Application) {
	var o Options
	cmd := app.Command("demo", "Send mixed requests through entries and check every response.")
	cmd.Flag("entry", "Address of an entry, IP:PORT; repeat for more.").Required().StringsVar(&o.Entries)
	cmd.Flag("ledger", "Address of a plain stand-in, to count runs; repeat for more.").StringsVar(&o.Ledgers)
	cmd.Flag("requests", "Number of requests.").Default("600").IntVar(&o.Requests)
	cmd.Flag("rate", "Requests a second.").Default("60").Float64Var(&o.Rate)
	cmd.Flag("seed", "Seed of the mix.").Default("1").Uint64Var(&o.Seed)
	cmd.Action(func(*kingpin.ParseContext) error {
		r, err := Run(context.Background(), o)
		if err != nil {
			return err
		}
		r.Print(os.Stdout)
		return r.verdict()
	})
}

// Report holds the outcomes of the requests.
type Report struct {
	mu            sync.Mutex
	Requests      int
	Responded     int
	Refusals      map[failure.Code]int
	Refused       int
	Faults        []string
	ttft          []time.Duration
	tokenGaps     []time.Duration
	respondedKeys map[string]bool
}

// FaultError reports how many requests did not get exactly one correct response.
type FaultError struct{ Faults int }

// Error implements error.
func (e *FaultError) Error() string {
	return fmt.Sprintf("%d requests did not get exactly one correct response", e.Faults)
}

// verdict returns a *FaultError unless every request got exactly one correct response.
func (r *Report) verdict() error {
	if len(r.Faults) > 0 || r.Responded != r.Requests {
		return &FaultError{max(len(r.Faults), r.Requests-r.Responded)}
	}
	return nil
}

// Run sends the requests and checks the responses. At the end it checks how often each idempotency key ran.
func Run(ctx context.Context, o Options) (*Report, error) {
	r := &Report{Requests: o.Requests, respondedKeys: map[string]bool{}, Refusals: map[failure.Code]int{}}
	callers := []*caller.Caller{
		caller.New("azteca-films", o.Entries),
		caller.New("estudio-norte", o.Entries),
		caller.New("warehouse", o.Entries),
	}
	rng := rand.New(rand.NewPCG(o.Seed, 0))
	var wg sync.WaitGroup
	tick := time.NewTicker(time.Duration(float64(time.Second) / o.Rate))
	defer tick.Stop()
	for i := range o.Requests {
		<-tick.C
		c := callers[rng.IntN(len(callers))]
		isSlip := rng.Float64() < 0.3
		tokens := 10 + rng.IntN(60)
		wg.Go(func() {
			if isSlip {
				r.sendSlip(ctx, c, i)
			} else {
				r.sendQuote(ctx, c, i, tokens)
			}
		})
	}
	wg.Wait()
	return r, r.checkRuns(o.Ledgers)
}

// sendQuote sends a model request and compares the text with the only correct one.
func (r *Report) sendQuote(ctx context.Context, c *caller.Caller, i, tokens int) {
	text := fmt.Sprintf("Quote %d: two bodies, a set of primes, four days. %s", i, strings.Repeat("Terms apply. ", 40))
	messages, err := json.Marshal([]map[string]string{{"role": "user", "content": text}})
	if err != nil {
		r.addFault(i, err.Error())
		return
	}
	out, err := c.Chat(ctx, "desk-model", messages, tokens)
	if err == nil && string(out.Body) != engine.Completion(messages, tokens) {
		r.addFault(i, "the response is not the one to this request")
		return
	}
	r.record(i, out, err)
}

// sendSlip asks the ledger bridge to print a pick slip, a request that may run at most once.
func (r *Report) sendSlip(ctx context.Context, c *caller.Caller, i int) {
	key := fmt.Sprintf("slip-%d", i)
	body := []byte(fmt.Sprintf(`{"slip":%d}`, i))
	out, err := c.Plain(ctx, "/v1/services/ledger-bridge/slips", key, body)
	if err == nil {
		var in plain.Response
		jsonErr := json.Unmarshal(out.Body, &in)
		if jsonErr != nil || in.Key != key || in.Echo != plain.Echo(body) {
			r.addFault(i, "the response is not the one to this slip")
			return
		}
		r.mu.Lock()
		r.respondedKeys[key] = true
		r.mu.Unlock()
	}
	r.record(i, out, err)
}

func (r *Report) addFault(i int, fault string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Faults = append(r.Faults, fmt.Sprintf("request %d: %s", i, fault))
}

// record adds the outcome of a request. A failure that is not a refusal as "not run" is a fault.
func (r *Report) record(i int, out *caller.Result, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, code := range out.Refusals {
		r.Refusals[code]++
	}
	var refused *caller.RefusedError
	switch {
	case err == nil:
		r.Responded++
		if out.FirstToken > 0 {
			r.ttft = append(r.ttft, out.FirstToken)
		}
		r.tokenGaps = append(r.tokenGaps, out.TokenGaps...)
	case errors.As(err, &refused) && refused.Detail.NotRun:
		r.Refused++
	default:
		r.Faults = append(r.Faults, fmt.Sprintf("request %d: %v", i, err))
	}
}

// checkRuns reads from the plain stand-ins how often each key ran. A key with a response must have run once, any other
// at most once, over all stand-ins.
func (r *Report) checkRuns(ledgers []string) error {
	total := map[string]int{}
	for _, address := range ledgers {
		runs, err := fetchRuns(address)
		if err != nil {
			return err
		}
		for k, n := range runs {
			total[k] += n
		}
	}
	for key := range r.respondedKeys {
		if len(ledgers) > 0 && total[key] != 1 {
			r.Faults = append(r.Faults, fmt.Sprintf("%s got a response and ran %d times", key, total[key]))
		}
	}
	for key, n := range total {
		if n > 1 {
			r.Faults = append(r.Faults, fmt.Sprintf("%s ran %d times", key, n))
		}
	}
	return nil
}

// fetchRuns returns how often each key ran at the plain stand-in with the given address.
func fetchRuns(address string) (map[string]int, error) {
	res, err := http.Get("http://" + address + plain.PathRuns)
	if err != nil {
		return nil, fmt.Errorf("count runs: %w", err)
	}
	defer func() { _ = res.Body.Close() }()
	out := map[string]int{}
	if err := json.NewDecoder(res.Body).Decode(&out); err != nil {
		return nil, fmt.Errorf("count runs: %w", err)
	}
	return out, nil
}

// Print writes the table and the faults. The last line is the verdict.
func (r *Report) Print(w io.Writer) {
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	rows := [][2]string{
		{"requests", fmt.Sprint(r.Requests)},
		{"answered once", fmt.Sprint(r.Responded)},
		{"refused as not run, then answered after another send", fmt.Sprint(r.Refusals)},
		{"refused as not run in the end", fmt.Sprint(r.Refused)},
		{"lost, cut, doubled or another's", fmt.Sprint(len(r.Faults))},
		{"first token p50", percentile(r.ttft, 0.50)},
		{"first token p95", percentile(r.ttft, 0.95)},
		{"between tokens p95", percentile(r.tokenGaps, 0.95)},
	}
	for _, row := range rows {
		_, _ = fmt.Fprintf(tw, "%s\t%s\n", row[0], row[1])
	}
	_ = tw.Flush()
	for _, f := range r.Faults {
		_, _ = fmt.Fprintln(w, f)
	}
	_, _ = fmt.Fprintf(w, "answered once: %d of %d\n", r.Responded, r.Requests)
}

// percentile returns the value at p, from 0 to 1, as text; "-" if the list is empty.
func percentile(list []time.Duration, p float64) string {
	if len(list) == 0 {
		return "-"
	}
	sorted := slices.Sorted(slices.Values(list))
	return sorted[int(p*float64(len(sorted)-1))].Round(10 * time.Microsecond).String()
}

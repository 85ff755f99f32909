// Package demo sends a mix of requests as Arriaga's callers do and checks every answer.
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

// Options of the demo.
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
	cmd := app.Command("demo", "Send mixed requests through entries and check every answer.")
	cmd.Flag("entry", "Address of an entry, IP:PORT; repeat for more.").Required().StringsVar(&o.Entries)
	cmd.Flag("ledger", "Address of a plain stand-in, to count runs; repeat for more.").StringsVar(&o.Ledgers)
	cmd.Flag("requests", "How many requests.").Default("600").IntVar(&o.Requests)
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

// Report is what became of the requests.
type Report struct {
	mu         sync.Mutex
	Requests   int
	Answered   int
	Refusals   map[failure.Code]int
	Refused    int
	Faults     []string
	firstToken []time.Duration
	between    []time.Duration
	keys       map[string]bool
}

// FaultError says that answers were lost, cut, doubled or another's.
type FaultError struct{ Faults int }

// Error implements error.
func (e *FaultError) Error() string {
	return fmt.Sprintf("%d requests were not answered once", e.Faults)
}

func (r *Report) verdict() error {
	if len(r.Faults) > 0 || r.Answered != r.Requests {
		return &FaultError{max(len(r.Faults), r.Requests-r.Answered)}
	}
	return nil
}

// Run sends the requests and checks the answers and, in the end, how often each key ran.
func Run(ctx context.Context, o Options) (*Report, error) {
	r := &Report{Requests: o.Requests, keys: map[string]bool{}, Refusals: map[failure.Code]int{}}
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
		slip := rng.Float64() < 0.3
		tokens := 10 + rng.IntN(60)
		wg.Go(func() {
			if slip {
				r.slip(ctx, c, i)
			} else {
				r.quote(ctx, c, i, tokens)
			}
		})
	}
	wg.Wait()
	return r, r.countRuns(o.Ledgers)
}

// quote asks the model and compares its text with the only right one.
func (r *Report) quote(ctx context.Context, c *caller.Caller, i, tokens int) {
	text := fmt.Sprintf("Quote %d: two bodies, a set of primes, four days. %s", i, strings.Repeat("Terms apply. ", 40))
	messages, err := json.Marshal([]map[string]string{{"role": "user", "content": text}})
	if err != nil {
		r.fault(i, err.Error())
		return
	}
	out, err := c.Chat(ctx, "desk-model", messages, tokens)
	if err == nil && string(out.Body) != engine.Answer(messages, tokens) {
		r.fault(i, "the answer is not the one to this request")
		return
	}
	r.note(i, out, err)
}

// slip asks the ledger bridge to print a pick slip, which may run at most once.
func (r *Report) slip(ctx context.Context, c *caller.Caller, i int) {
	key := fmt.Sprintf("slip-%d", i)
	body := []byte(fmt.Sprintf(`{"slip":%d}`, i))
	out, err := c.Plain(ctx, "/v1/services/ledger-bridge/slips", key, body)
	if err == nil {
		var in plain.Answer
		jsonErr := json.Unmarshal(out.Body, &in)
		if jsonErr != nil || in.Key != key || in.Echo != plain.Echo(body) {
			r.fault(i, "the slip is not the one asked for")
			return
		}
		r.mu.Lock()
		r.keys[key] = true
		r.mu.Unlock()
	}
	r.note(i, out, err)
}

func (r *Report) fault(i int, what string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Faults = append(r.Faults, fmt.Sprintf("request %d: %s", i, what))
}

func (r *Report) note(i int, out *caller.Result, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, code := range out.Refusals {
		r.Refusals[code]++
	}
	var refused *caller.RefusedError
	switch {
	case err == nil:
		r.Answered++
		if out.FirstToken > 0 {
			r.firstToken = append(r.firstToken, out.FirstToken)
		}
		r.between = append(r.between, out.Between...)
	case errors.As(err, &refused) && refused.Detail.NotRun:
		r.Refused++
	default:
		r.Faults = append(r.Faults, fmt.Sprintf("request %d: %v", i, err))
	}
}

// countRuns asks the plain stand-ins how often each key ran; an answered one must have run once over all of them.
func (r *Report) countRuns(ledgers []string) error {
	total := map[string]int{}
	for _, address := range ledgers {
		runs, err := runsOf(address)
		if err != nil {
			return err
		}
		for k, n := range runs {
			total[k] += n
		}
	}
	for key := range r.keys {
		if len(ledgers) > 0 && total[key] != 1 {
			r.Faults = append(r.Faults, fmt.Sprintf("%s was answered and ran %d times", key, total[key]))
		}
	}
	for key, n := range total {
		if n > 1 {
			r.Faults = append(r.Faults, fmt.Sprintf("%s ran %d times", key, n))
		}
	}
	return nil
}

func runsOf(address string) (map[string]int, error) {
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

// Print writes the table; its last line is the verdict.
func (r *Report) Print(w io.Writer) {
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	rows := [][2]string{
		{"requests", fmt.Sprint(r.Requests)},
		{"answered once", fmt.Sprint(r.Answered)},
		{"refused as not run, then answered after another send", fmt.Sprint(r.Refusals)},
		{"refused as not run in the end", fmt.Sprint(r.Refused)},
		{"lost, cut, doubled or another's", fmt.Sprint(len(r.Faults))},
		{"first token p50", percentile(r.firstToken, 0.50)},
		{"first token p95", percentile(r.firstToken, 0.95)},
		{"between tokens p95", percentile(r.between, 0.95)},
	}
	for _, row := range rows {
		_, _ = fmt.Fprintf(tw, "%s\t%s\n", row[0], row[1])
	}
	_ = tw.Flush()
	for _, f := range r.Faults {
		_, _ = fmt.Fprintln(w, f)
	}
	_, _ = fmt.Fprintf(w, "answered once: %d of %d\n", r.Answered, r.Requests)
}

func percentile(list []time.Duration, p float64) string {
	if len(list) == 0 {
		return "-"
	}
	sorted := slices.Sorted(slices.Values(list))
	return sorted[int(p*float64(len(sorted)-1))].Round(10 * time.Microsecond).String()
}

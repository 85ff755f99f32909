// Package load measures what entry and slot add to a request, beside the same load sent straight to the stand-in.
//
// All parts run in one process over loopback, so that allocations can be counted and one run compares all paths on the
// same machine at the same time. Ratios are what counts; absolute figures are this machine's.
package load

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"runtime"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/alecthomas/kingpin/v2"
	"github.com/valyala/fasthttp"

	"github.com/cardamomyoke/cardamomyoke/internal/base/httpclient"
	"github.com/cardamomyoke/cardamomyoke/internal/testing/bench/report"
)

// Options of the measurement.
type Options struct {
	Requests int
	Workers  int
	Tokens   int
	Rounds   int
}

// Register adds the command to app.
func Register(app *kingpin.Application) {
	var o Options
	cmd := app.Command("load", "Measure what entry and slot add to a request.")
	cmd.Flag("requests", "Requests for each path and round.").Default("6000").IntVar(&o.Requests)
	cmd.Flag("workers", "Requests at once.").Default("16").IntVar(&o.Workers)
	cmd.Flag("tokens", "Tokens of a streamed answer.").Default("32").IntVar(&o.Tokens)
	cmd.Flag("rounds", "Rounds; the best of each path counts.").Default("3").IntVar(&o.Rounds)
	cmd.Action(func(*kingpin.ParseContext) error { return Run(os.Stdout, o) })
}

// path is one way of a request to its answer.
type path struct {
	name    string
	kind    string
	address string
	request func() *fasthttp.Request
}

// measured is what one path was measured at.
type measured struct {
	perSecond float64
	allocs    float64
	p50, p99  time.Duration
}

// Run measures every path and prints the table.
func Run(w io.Writer, o Options) error {
	t, err := Table(o)
	if err != nil {
		return err
	}
	if err := t.Markdown(w); err != nil {
		return fmt.Errorf("print table: %w", err)
	}
	return nil
}

// Table measures every path.
func Table(o Options) (report.Table, error) {
	b, err := startBed(o)
	if err != nil {
		return report.Table{}, err
	}
	defer b.stop()
	paths := b.paths(o)
	best := make([]measured, len(paths))
	for range o.Rounds {
		for i, p := range paths {
			m, err := measure(p, o)
			if err != nil {
				return report.Table{}, fmt.Errorf("path %s %s: %w", p.kind, p.name, err)
			}
			if m.perSecond > best[i].perSecond {
				best[i] = m
			}
		}
	}
	return table(paths, best), nil
}

func table(paths []path, results []measured) report.Table {
	t := report.Table{
		Title:   "What entry and slot add to a request",
		Columns: []string{"kind", "path", "requests/s", "ratio to straight", "added p50", "added p99", "allocs/request (client's included)"},
	}
	var straight measured
	for i, p := range paths {
		m := results[i]
		if p.name == nameStraight {
			straight = m
		}
		t.Add(p.kind, p.name, fmt.Sprintf("%.0f", m.perSecond), fmt.Sprintf("%.2f", m.perSecond/straight.perSecond),
			(m.p50 - straight.p50).String(), (m.p99 - straight.p99).String(), fmt.Sprintf("%.0f", m.allocs))
	}
	return t
}

// measure sends the load in a closed loop of o.Workers.
func measure(p path, o Options) (measured, error) {
	client := httpclient.New(httpclient.Options{})
	defer client.Close()
	if err := drive(client, p, o.Requests/10, o.Workers, nil); err != nil {
		return measured{}, err
	}
	hist := hdrhistogram.New(1, int64(time.Minute), 3)
	var mu sync.Mutex
	note := func(d time.Duration) {
		mu.Lock()
		defer mu.Unlock()
		_ = hist.RecordValue(int64(d))
	}
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	began := time.Now()
	if err := drive(client, p, o.Requests, o.Workers, note); err != nil {
		return measured{}, err
	}
	took := time.Since(began)
	runtime.ReadMemStats(&after)
	return measured{
		perSecond: float64(o.Requests) / took.Seconds(),
		allocs:    float64(after.Mallocs-before.Mallocs) / float64(o.Requests),
		p50:       time.Duration(hist.ValueAtPercentile(50)).Round(time.Microsecond),
		p99:       time.Duration(hist.ValueAtPercentile(99)).Round(time.Microsecond),
	}, nil
}

func drive(client *httpclient.Client, p path, requests, workers int, note func(time.Duration)) error {
	var next atomic.Int64
	errs := make(chan error, workers)
	for range workers {
		go func() {
			for next.Add(1) <= int64(requests) {
				began := time.Now()
				if err := one(client, p); err != nil {
					errs <- err
					return
				}
				if note != nil {
					note(time.Since(began))
				}
			}
			errs <- nil
		}()
	}
	var first error
	for range workers {
		if err := <-errs; err != nil && first == nil {
			first = err
		}
	}
	return first
}

// StatusError is an answer that the measurement does not expect.
type StatusError struct {
	Status int
	Body   string
}

// Error implements error.
func (e *StatusError) Error() string { return fmt.Sprintf("status %d: %s", e.Status, e.Body) }

func one(client *httpclient.Client, p path) error {
	res, err := client.Do(context.Background(), p.address, p.request())
	if err != nil {
		return err
	}
	body, err := io.ReadAll(res.Body)
	status := res.Header.StatusCode()
	res.Release(err == nil)
	if err != nil {
		return fmt.Errorf("read answer: %w", err)
	}
	if status != fasthttp.StatusOK {
		return &StatusError{status, string(body)}
	}
	return nil
}

func chatBody(tokens int) []byte {
	messages := []map[string]string{{"role": "user", "content": "Quote: two bodies, a set of primes, four days."}}
	body, err := json.Marshal(map[string]any{"model": serviceModel, "messages": messages, "max_tokens": tokens, "stream": true})
	if err != nil {
		return nil
	}
	return body
}

// Package load measures the overhead that entry and slot add to a request, compared with the same load sent directly to
// the stand-in of the upstream.
//
// All components run in one process over loopback, so that allocations can be counted and one run compares all paths on
// the same machine under the same conditions. Only the ratios are comparable between machines.
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

// Options configures the measurement.
type Options struct {
	Requests int
	Workers  int
	Tokens   int
	Rounds   int
}

// Register adds the command to app.
func Register(app *kingpin.Application) {
	var o Options
	cmd := app.Command("load", "Measure the overhead that entry and slot add to a request.")
	cmd.Flag("requests", "Requests for each path and round.").Default("6000").IntVar(&o.Requests)
	cmd.Flag("workers", "Concurrent requests.").Default("16").IntVar(&o.Workers)
	cmd.Flag("tokens", "Tokens of a streamed response.").Default("32").IntVar(&o.Tokens)
	cmd.Flag("rounds", "Rounds; the fastest of each path counts.").Default("3").IntVar(&o.Rounds)
	cmd.Action(func(*kingpin.ParseContext) error { return Run(os.Stdout, o) })
}

// path is one route of a request to the service that responds.
type path struct {
	name    string
	kind    string
	address string
	request func() *fasthttp.Request
}

// measurement holds the results of one path.
type measurement struct {
	perSecond float64
	allocs    float64
	p50, p99  time.Duration
}

// Run measures all paths and prints the table.
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

// Table measures all paths. Each row is the round with the highest throughput of its path.
func Table(o Options) (report.Table, error) {
	b, err := startTestbed(o)
	if err != nil {
		return report.Table{}, err
	}
	defer b.stop()
	paths := b.paths(o)
	best := make([]measurement, len(paths))
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
	return resultTable(paths, best), nil
}

func resultTable(paths []path, results []measurement) report.Table {
	t := report.Table{
		Title:   "What entry and slot add to a request",
		Columns: []string{"kind", "path", "requests/s", "ratio to straight", "added p50", "added p99", "allocs/request (client's included)"},
	}
	var direct measurement
	for i, p := range paths {
		m := results[i]
		if p.name == nameDirect {
			direct = m
		}
		t.Add(p.kind, p.name, fmt.Sprintf("%.0f", m.perSecond), fmt.Sprintf("%.2f", m.perSecond/direct.perSecond),
			(m.p50 - direct.p50).String(), (m.p99 - direct.p99).String(), fmt.Sprintf("%.0f", m.allocs))
	}
	return t
}

// measure sends the load in a closed loop with o.Workers workers, after a warm-up with a tenth of the requests.
func measure(p path, o Options) (measurement, error) {
	client := httpclient.New(httpclient.Options{UnidentifiedFor: keptFor})
	defer client.Close()
	if err := drive(client, p, o.Requests/10, o.Workers, nil); err != nil {
		return measurement{}, err
	}
	hist := hdrhistogram.New(1, int64(time.Minute), 3)
	var mu sync.Mutex
	record := func(d time.Duration) {
		mu.Lock()
		defer mu.Unlock()
		_ = hist.RecordValue(int64(d))
	}
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	start := time.Now()
	if err := drive(client, p, o.Requests, o.Workers, record); err != nil {
		return measurement{}, err
	}
	took := time.Since(start)
	runtime.ReadMemStats(&after)
	return measurement{
		perSecond: float64(o.Requests) / took.Seconds(),
		allocs:    float64(after.Mallocs-before.Mallocs) / float64(o.Requests),
		p50:       time.Duration(hist.ValueAtPercentile(50)).Round(time.Microsecond),
		p99:       time.Duration(hist.ValueAtPercentile(99)).Round(time.Microsecond),
	}, nil
}

// keptFor is how long a connection of the load is used. The peers are processes of this test, which send one response to each request.
const keptFor = time.Hour

// drive sends requests over a path with concurrent workers. It calls record, if set, with the latency of each, and returns
// the first error.
func drive(client *httpclient.Client, p path, requests, workers int, record func(time.Duration)) error {
	var next atomic.Int64
	errs := make(chan error, workers)
	for range workers {
		go func() {
			for next.Add(1) <= int64(requests) {
				start := time.Now()
				if err := sendOne(client, p); err != nil {
					errs <- err
					return
				}
				if record != nil {
					record(time.Since(start))
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

// StatusError reports a response with a status other than 200.
type StatusError struct {
	Status int
	Body   string
}

// Error implements error.
func (e *StatusError) Error() string {
	return fmt.Sprintf("unexpected status %d: %s", e.Status, e.Body)
}

// sendOne sends one request over a path and reads the complete response.
func sendOne(client *httpclient.Client, p path) error {
	res, err := client.Do(context.Background(), p.address, httpclient.Exchange{Request: p.request()})
	if err != nil {
		return err
	}
	body, err := io.ReadAll(res.Body)
	status := res.Header.StatusCode()
	res.Release(err == nil)
	if err != nil {
		return fmt.Errorf("read response: %w", err)
	}
	if status != fasthttp.StatusOK {
		return &StatusError{status, string(body)}
	}
	return nil
}

// chatBody returns the body of a streamed completion request.
func chatBody(tokens int) []byte {
	messages := []map[string]string{{"role": "user", "content": "Quote: two bodies, a set of primes, four days."}}
	body, err := json.Marshal(map[string]any{"model": serviceModel, "messages": messages, "max_tokens": tokens, "stream": true})
	if err != nil {
		return nil
	}
	return body
}

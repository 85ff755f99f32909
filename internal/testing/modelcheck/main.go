package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"golang.org/x/sync/errgroup"
)

type options struct {
	dir    string
	only   string
	traces string
	jobs   int
	limits Limits
}

// FailedError reports the number of runs whose verdict differs from the expected one.
type FailedError struct{ Runs int }

// Error implements error.
func (e *FailedError) Error() string {
	return fmt.Sprintf("%d runs have an unexpected verdict", e.Runs)
}

func main() {
	o := options{}
	app := kingpin.New("modelcheck", "Runs the specifications and their mutants through Spin.")
	app.Flag("dir", "Folder of the specifications.").Default("spec").StringVar(&o.dir)
	app.Flag("only", "Run only the specification of this name.").StringVar(&o.only)
	app.Flag("traces", "Write each mutant's counterexample to this folder.").StringVar(&o.traces)
	app.Flag("jobs", "Searches that run at the same time.").Default("3").IntVar(&o.jobs)
	app.Flag("memory", "Maximum memory of one search, in MB.").Default("2048").IntVar(&o.limits.MemoryMB)
	app.Flag("time", "Maximum processor time of one search.").Default("150s").DurationVar(&o.limits.Time)
	kingpin.MustParse(app.Parse(os.Args[1:]))
	if err := run(context.Background(), o, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

type job struct {
	plan Plan
	run  Run
	res  Result
}

func run(ctx context.Context, o options, w io.Writer) error {
	plans, err := LoadPlans(o.dir)
	if err != nil {
		return err
	}
	tmp, err := os.MkdirTemp("", "modelcheck-")
	if err != nil {
		return fmt.Errorf("make a working folder: %w", err)
	}
	defer os.RemoveAll(tmp)
	jobs := selectJobs(plans, o.only)
	if len(jobs) == 0 {
		return &PlanError{Plan: o.only, Reason: "no such specification"}
	}
	g, gctx := errgroup.WithContext(ctx)
	g.SetLimit(o.jobs)
	for i := range jobs {
		g.Go(func() error {
			res, err := Check(gctx, jobs[i].plan, jobs[i].run, o.limits, tmp)
			jobs[i].res = res
			return err
		})
	}
	if err := g.Wait(); err != nil {
		return err
	}
	if err := writeTraces(o.traces, jobs); err != nil {
		return err
	}
	return report(w, jobs)
}

func selectJobs(plans []Plan, only string) []job {
	var jobs []job
	for _, p := range plans {
		if only != "" && p.Name != only {
			continue
		}
		for _, r := range p.Runs {
			jobs = append(jobs, job{plan: p, run: r})
		}
	}
	return jobs
}

func report(w io.Writer, jobs []job) error {
	const row = "%-36s %-9s %12s  %-10s %-10s %7s  %s\n"
	fmt.Fprintf(w, row, "run", "search", "states", "expected", "found", "time", "")
	failed := 0
	for _, j := range jobs {
		mark := "ok"
		if j.res.Verdict != j.run.Expect {
			mark = "DIFFERS"
			failed++
		}
		elapsed := j.res.Elapsed.Round(100 * time.Millisecond).String()
		fmt.Fprintf(w, row, j.plan.Name+"/"+j.run.Name, j.run.Search, fmt.Sprint(j.res.States), j.run.Expect, j.res.Verdict, elapsed, mark)
	}
	for _, j := range jobs {
		if j.res.Verdict != j.run.Expect {
			fmt.Fprintf(w, "\n== %s/%s\n%s\n%s", j.plan.Name, j.run.Name, tail(j.res.Log), tail(j.res.Trace))
		}
	}
	if failed > 0 {
		return &FailedError{failed}
	}
	return nil
}

// tail returns the last lines of a log.
func tail(text string) string {
	const maxLines = 60
	lines := strings.Split(text, "\n")
	if len(lines) > maxLines {
		lines = lines[len(lines)-maxLines:]
	}
	return strings.Join(lines, "\n")
}

func writeTraces(dir string, jobs []job) error {
	if dir == "" {
		return nil
	}
	for _, j := range jobs {
		if j.run.Mutant == "" || j.res.Trace == "" {
			continue
		}
		name := filepath.Join(dir, j.plan.Name+"-"+j.run.Name+".trace")
		if err := os.WriteFile(name, []byte(traceLines(j.res.Trace)), 0o644); err != nil {
			return fmt.Errorf("write a counterexample: %w", err)
		}
	}
	return nil
}

// traceLines returns the lines that the specification printed with the prefix "EV ", without the prefix.
func traceLines(out string) string {
	var b strings.Builder
	for line := range strings.Lines(out) {
		line = strings.TrimSpace(line)
		if ev, ok := strings.CutPrefix(line, "EV "); ok {
			b.WriteString(ev + "\n")
		}
	}
	return b.String()
}

package mapswitch

import (
	"fmt"
	"io"
	"os"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"github.com/cardamomyoke/cardamomyoke/internal/experts/expertmap"
	"github.com/cardamomyoke/cardamomyoke/internal/testing/bench/report"
)

type options struct {
	ranks    []int
	switches int
	stepTime time.Duration
	seed     uint64
}

// Register adds the command mapswitch.
func Register(app *kingpin.Application) {
	var o options
	cmd := app.Command("mapswitch", "Measure the pause and messages of expert map switches over loopback.")
	cmd.Flag("ranks", "Group sizes.").Default("4", "16", "64").IntsVar(&o.ranks)
	cmd.Flag("switches", "Switches of each kind.").Default("20").IntVar(&o.switches)
	cmd.Flag("step-time", "Duration of a step.").Default("6ms").DurationVar(&o.stepTime)
	cmd.Flag("seed", "Seed of the steps' lag.").Default("1").Uint64Var(&o.seed)
	cmd.Action(func(*kingpin.ParseContext) error { return run(o, os.Stdout) })
}

// switchSample is the cost of one switch.
type switchSample struct {
	pausedSteps int
	pausedTime  time.Duration
	duration    time.Duration
	messages    int64
	attempts    int
}

func run(o options, w io.Writer) error {
	t := report.Table{
		Title:   fmt.Sprintf("%d switches of each kind, steps of %s, seed %d", o.switches, o.stepTime, o.seed),
		Columns: []string{"ranks", "fault", "paused steps mean", "most", "pause ms p50", "most", "switch ms p50", "messages", "a rank", "proposals"},
	}
	for _, ranks := range o.ranks {
		if err := runSize(o, ranks, &t); err != nil {
			return err
		}
	}
	return t.Markdown(w)
}

func runSize(o options, ranks int, t *report.Table) error {
	g, err := startGroup(ranks, o.stepTime, o.seed)
	if err != nil {
		return err
	}
	defer g.close()
	version := uint64(1)
	for _, crashes := range []bool{false, true} {
		var samples []switchSample
		for range o.switches {
			version++
			s, err := g.measure(expertmap.MapID{Version: version, Name: "next"}, crashes)
			if err != nil {
				return err
			}
			samples = append(samples, s)
		}
		addRow(t, ranks, crashes, samples)
	}
	return nil
}

// measure performs one switch. A proposer that crashes sends nothing after its cap requests, so that the slots finish the
// switch without it. It still receives messages, but only so that Propose returns when the slots have switched.
func (g *group) measure(to expertmap.MapID, crashes bool) (switchSample, error) {
	const idleTime = 150 * time.Millisecond
	time.Sleep(idleTime)
	g.engines.takePauses()
	g.sent.Store(0)
	g.proposerMuted.Store(crashes)
	start := time.Now()
	res, err := g.proposer.Propose(g.ctx, 2, to)
	if err != nil {
		return switchSample{}, err
	}
	took := time.Since(start)
	g.waitForSteps(res.Start)
	steps, pause, err := g.engines.takePauses()
	return switchSample{steps, pause, took, g.sent.Load(), res.Attempts}, err
}

// waitForSteps waits until the group has run a few steps under its new map.
func (g *group) waitForSteps(start expertmap.Step) {
	const stepsAfter = 5
	for {
		r, _ := rankEngine{g.engines, 0}.Report(g.ctx)
		if r.Next > start+stepsAfter {
			return
		}
		time.Sleep(time.Millisecond)
	}
}

func addRow(t *report.Table, ranks int, crashes bool, samples []switchSample) {
	fault := "none"
	if crashes {
		fault = "proposer dies after the caps"
	}
	var steps, pauses, took, messages, attempts []float64
	for _, s := range samples {
		steps = append(steps, float64(s.pausedSteps))
		pauses = append(pauses, float64(s.pausedTime.Microseconds())/1e3)
		took = append(took, float64(s.duration.Microseconds())/1e3)
		messages = append(messages, float64(s.messages))
		attempts = append(attempts, float64(s.attempts))
	}
	m := report.Summarize(messages).Mean
	t.Add(ranks, fault, report.Summarize(steps).Mean, report.Quantile(1, steps), report.Quantile(0.5, pauses),
		report.Quantile(1, pauses), report.Quantile(0.5, took), m, m/float64(ranks), report.Summarize(attempts).Mean)
}

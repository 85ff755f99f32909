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
	cmd := app.Command("mapswitch", "Pause and messages of expert map switches over loopback.")
	cmd.Flag("ranks", "Group sizes.").Default("4", "16", "64").IntsVar(&o.ranks)
	cmd.Flag("switches", "Switches of each kind.").Default("20").IntVar(&o.switches)
	cmd.Flag("step-time", "Duration of a step.").Default("6ms").DurationVar(&o.stepTime)
	cmd.Flag("seed", "Seed of the steps' lag.").Default("1").Uint64Var(&o.seed)
	cmd.Action(func(*kingpin.ParseContext) error { return run(o, os.Stdout) })
}

// sample is what one switch cost.
type sample struct {
	steps    int
	pause    time.Duration
	took     time.Duration
	messages int64
	attempts int
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
	for _, dies := range []bool{false, true} {
		var samples []sample
		for range o.switches {
			version++
			s, err := g.measure(expertmap.MapID{Version: version, Name: "next"}, dies)
			if err != nil {
				return err
			}
			samples = append(samples, s)
		}
		addRow(t, ranks, dies, samples)
	}
	return nil
}

// measure makes one switch. A proposer that dies falls silent after its caps, so that the slots finish alone; what it
// hears afterwards only tells the bench that they have.
func (g *group) measure(to expertmap.MapID, dies bool) (sample, error) {
	const settle = 150 * time.Millisecond
	time.Sleep(settle)
	g.engines.pauses()
	g.sent.Store(0)
	g.mute.Store(dies)
	start := time.Now()
	res, err := g.proposer.Propose(g.ctx, 2, to)
	if err != nil {
		return sample{}, err
	}
	took := time.Since(start)
	g.waitFor(res.Start)
	steps, pause, err := g.engines.pauses()
	return sample{steps, pause, took, g.sent.Load(), res.Attempts}, err
}

// waitFor returns when the group has run a few steps under its new map.
func (g *group) waitFor(start expertmap.Step) {
	const after = 5
	for {
		r, _ := rankEngine{g.engines, 0}.Report(g.ctx)
		if r.Next > start+after {
			return
		}
		time.Sleep(time.Millisecond)
	}
}

func addRow(t *report.Table, ranks int, dies bool, samples []sample) {
	fault := "none"
	if dies {
		fault = "proposer dies after the caps"
	}
	var steps, pauses, took, messages, attempts []float64
	for _, s := range samples {
		steps = append(steps, float64(s.steps))
		pauses = append(pauses, float64(s.pause.Microseconds())/1e3)
		took = append(took, float64(s.took.Microseconds())/1e3)
		messages = append(messages, float64(s.messages))
		attempts = append(attempts, float64(s.attempts))
	}
	m := report.Summarize(messages).Mean
	t.Add(ranks, fault, report.Summarize(steps).Mean, report.Quantile(1, steps), report.Quantile(0.5, pauses),
		report.Quantile(1, pauses), report.Quantile(0.5, took), m, m/float64(ranks), report.Summarize(attempts).Mean)
}

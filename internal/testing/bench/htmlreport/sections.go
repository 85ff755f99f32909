package htmlreport

import (
	"fmt"
	"io"
	"path/filepath"
	"strings"
	"time"

	"github.com/cardamomyoke/cardamomyoke/internal/testing/bench/config"
	"github.com/cardamomyoke/cardamomyoke/internal/testing/bench/load"
	"github.com/cardamomyoke/cardamomyoke/internal/testing/bench/policy"
	"github.com/cardamomyoke/cardamomyoke/internal/testing/bench/rebalance"
	"github.com/cardamomyoke/cardamomyoke/internal/testing/bench/report"
	"github.com/cardamomyoke/cardamomyoke/internal/testing/bench/slopes"
)

// loadSection measures the overhead that entry and slot add to a request.
func loadSection(o Options) (Section, error) {
	options := load.Options{Requests: o.Requests, Workers: 16, Tokens: 32, Rounds: 1}
	s := Section{
		ID: "load", Title: "Load", Text: "What entry and slot add to a request, all parts in one process over loopback.",
		Command: fmt.Sprintf("cardamomyoke-bench load --requests %d --rounds %d", options.Requests, options.Rounds),
	}
	t, err := load.Table(options)
	s.Tables = []report.Table{t}
	return s, err
}

// rebalanceSection runs the placement policy and its baselines for both deployments.
func rebalanceSection(o Options) (Section, error) {
	s := Section{
		ID: "rebalance", Title: "Rebalancing",
		Text: "Step-time skew (slowest rank over mean) and bytes moved on traces of drifting expert popularity, beside the " +
			"baselines and the bound that chance within a step leaves.",
		Command: fmt.Sprintf("cardamomyoke-bench rebalance --seed %d --seeds %d --hours %d", o.Seed, o.Seeds, o.Hours),
	}
	for _, d := range rebalance.Deployments() {
		settings := rebalance.Settings{Deployment: d, Seed: o.Seed, Seeds: o.Seeds, Hours: o.Hours, Workers: o.Workers, Out: o.Out}
		results, err := rebalance.RunAll(settings)
		if err != nil {
			return s, err
		}
		s.Tables = append(s.Tables, results.Table(d))
		s.Criteria = append(s.Criteria, results.Criteria(d)...)
		if err := results.Plots(d, o.Out); err != nil {
			return s, err
		}
		files, err := filepath.Glob(filepath.Join(o.Out, "rebalance-"+d.Name+"-*.svg"))
		if err != nil {
			return s, fmt.Errorf("list plots: %w", err)
		}
		for _, f := range files {
			name := strings.TrimSuffix(filepath.Base(f), ".svg")
			s.Plots = append(s.Plots, Plot{f, strings.ReplaceAll(strings.TrimPrefix(name, "rebalance-"), "-", " ")})
		}
	}
	return s, nil
}

// policySection runs the policy bench: routing, admission and retries.
func policySection(o Options) (Section, error) {
	s := Section{
		ID: "policy", Title: "Routing, admission, retries", Text: "Each policy beside its baselines on the same arrivals, in virtual time.",
		Command: fmt.Sprintf("cardamomyoke-bench policy --seed %d --seeds %d", o.Seed, o.Seeds),
	}
	results, err := policy.RunAll(policy.Settings{Seed: o.Seed, Seeds: o.Seeds, Workers: o.Workers})
	if err != nil {
		return s, err
	}
	for _, t := range results.Tables() {
		s.Tables = append(s.Tables, *t)
	}
	s.Criteria = results.Criteria()
	return s, nil
}

// configSection measures the acceptance of changes in deployments of each size in o.Nodes.
func configSection(o Options) (Section, error) {
	const idle = 5 * time.Second
	s := Section{
		ID: "config", Title: "Configuration", Text: "Time from a put until it is in force everywhere, and what acceptance costs a node.",
		Command: fmt.Sprintf("cardamomyoke-bench config --seed %d --changes %d --idle %s", o.Seed, o.Changes, idle),
	}
	for _, n := range o.Nodes {
		s.Command += fmt.Sprintf(" --nodes %d", n)
	}
	var out strings.Builder
	err := config.Run(&out, o.Nodes, o.Changes, idle, o.Seed)
	s.Output = out.String()
	return s, err
}

// slopesSection measures the slopes, or reads them from the file of an earlier run.
func slopesSection(o Options, log io.Writer) (Section, error) {
	s := Section{
		ID: "slopes", Title: "Slopes", Text: "How state, messages and processor time of each role grow with what drives them. " +
			"docs/capacity-entries.md says what follows for the target's size.",
		Command: "cardamomyoke-bench slopes",
	}
	series, err := o.slopes(log)
	if err != nil {
		return s, err
	}
	if s.Plots, err = slopePlots(series, o.Out); err != nil {
		return s, err
	}
	s.Tables = []report.Table{slopes.Table(series)}
	return s, nil
}

func (o Options) slopes(log io.Writer) ([]slopes.Series, error) {
	if o.Slopes != "" {
		return slopes.Read(o.Slopes)
	}
	series, err := slopes.Measure(slopes.Experiments(), log)
	if err != nil {
		return nil, fmt.Errorf("slopes: %w", err)
	}
	return series, nil
}

// Package report formats the results of experiments for the benches: tables, plots, means with their spread, and
// criteria with their limits.
package report

// Package report writes what an experiment found: tables, plots, means with their spread, and verdicts.
package report

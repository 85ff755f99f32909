// Package htmlreport runs the benches and writes all their results as one HTML page and a text summary.
//
// The benches run in this process, through their packages. The default runs are short: they show the trend of a result,
// not the figures that docs/measurements.md records. The page states the seeds and commands of its run.
package htmlreport

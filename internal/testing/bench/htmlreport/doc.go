// Package htmlreport runs the benches and writes all that they found as one HTML page and a text summary.
//
// The benches run in this process, through their packages. Short runs, which are the default, show the shape of a
// result and not the figures that docs/measurements.md records; the page says which run it was.
package htmlreport

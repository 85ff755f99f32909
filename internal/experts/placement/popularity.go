package placement

import (
	"math"

	"gonum.org/v1/gonum/floats"

	"github.com/cardamomyoke/cardamomyoke/internal/experts/placement/expert"
)

const (
	// openWindows is the number of newest windows for which reports are still accepted.
	openWindows = 3
	// leadMemory is the number of windows over which the forecast errors of the averages are compared.
	leadMemory = 12.0
	// minLeadDeviations is how much better a shorter average's forecasts must be than the longest one's before it is
	// used, in standard deviations of the mean difference. With a lower bound a short average is best by chance for
	// some windows of pure noise, its estimate swings, and experts move. Three deviations are rare, and the gain must
	// also exceed the noise.
	minLeadDeviations = 3.0
)

// memoryLengths are the lengths, in windows, of the moving averages that compete to forecast the next window, longest
// first.
var memoryLengths = []float64{32, 8, 2}

// popularity estimates the share of each cell in its layer's tokens. Short averages follow drift and long ones
// suppress noise. Which is better changes with load and time of day, so the average whose recent forecasts were best
// is used.
type popularity struct {
	shape expert.Shape
	open  map[uint64]*window
	// next is the oldest window for which reports are accepted.
	next uint64
	// newest is the newest window of any report.
	newest   uint64
	averages []average
}

// window collects the reports of one window.
type window struct {
	tokens   []float64
	reported map[int]bool
}

// average is one exponential moving average.
type average struct {
	memory float64
	value  []float64
	// windows is the number of windows recorded, and variance the variance of the value divided by that of one
	// window.
	windows  int
	variance float64
	// lead is the moving average, over windows, of how much smaller this average's squared forecast error was than that
	// of the longest average. leadSquare is the moving average of the square of that difference.
	lead, leadSquare float64
}

func newPopularity(shape expert.Shape) *popularity {
	p := &popularity{shape: shape, open: map[uint64]*window{}}
	for _, m := range memoryLengths {
		p.averages = append(p.averages, average{memory: m})
	}
	return p
}

// observe adds a rank's token counts and returns the windows, as shares by cell, that this report completes.
func (p *popularity) observe(r Report) [][]float64 {
	if r.Window > p.newest {
		p.newest = r.Window
	}
	if r.Tokens != nil && r.Window >= p.next {
		p.add(r)
	}
	var done [][]float64
	for p.next+openWindows <= p.newest {
		if shares := p.close(p.next); shares != nil {
			done = append(done, shares)
		}
		p.advance()
	}
	return done
}

// advance sets p.next to the oldest window that has reports or, past a gap, to the oldest one that is still accepted.
func (p *popularity) advance() {
	next := p.newest - openWindows + 1
	for number := range p.open {
		next = min(next, number)
	}
	p.next = max(next, p.next+1)
}

func (p *popularity) add(r Report) {
	w := p.open[r.Window]
	if w == nil {
		w = &window{tokens: make([]float64, p.shape.Cells()), reported: map[int]bool{}}
		p.open[r.Window] = w
	}
	if w.reported[r.Rank] {
		return
	}
	w.reported[r.Rank] = true
	for c, n := range r.Tokens {
		w.tokens[c] += float64(n)
	}
}

// close removes a window, records it in the averages and returns its shares; nil if one of its layers has no tokens.
func (p *popularity) close(number uint64) []float64 {
	w := p.open[number]
	delete(p.open, number)
	if w == nil || !normalizeLayers(p.shape, w.tokens) {
		return nil
	}
	longest := p.averages[0].squaredError(w.tokens)
	for i := range p.averages {
		a := &p.averages[i]
		a.recordLead(longest - a.squaredError(w.tokens))
		a.add(w.tokens)
	}
	return w.tokens
}

// normalizeLayers scales the counts of each layer to the sum 1. It returns false if a layer has none.
func normalizeLayers(shape expert.Shape, cells []float64) bool {
	for l := range shape.Layers {
		layer := cells[l*shape.Experts : (l+1)*shape.Experts]
		sum := floats.Sum(layer)
		if sum <= 0 {
			return false
		}
		floats.Scale(1/sum, layer)
	}
	return true
}

// squaredError returns the squared error of the average as a forecast of the window; 0 before the first window.
func (a *average) squaredError(shares []float64) float64 {
	if a.value == nil {
		return 0
	}
	d := floats.Distance(shares, a.value, 2)
	return d * d
}

func (a *average) recordLead(lead float64) {
	a.lead += (lead - a.lead) / leadMemory
	a.leadSquare += (lead*lead - a.leadSquare) / leadMemory
}

// leads reports whether the average forecasts significantly better than the longest one.
func (a *average) leads() bool {
	spread := math.Sqrt(max(0, a.leadSquare-a.lead*a.lead) / (2*leadMemory - 1))
	return a.lead > minLeadDeviations*spread
}

// add records a window. The first windows count equally, as in an arithmetic mean, until their number reaches the
// memory.
func (a *average) add(shares []float64) {
	a.windows++
	gain := max(1/a.memory, 1/float64(a.windows))
	a.variance = (1-gain)*(1-gain)*a.variance + gain*gain
	if a.value == nil {
		a.value = append([]float64(nil), shares...)
		return
	}
	for c, v := range shares {
		a.value[c] += gain * (v - a.value[c])
	}
}

// best returns the average in use at present; its value is nil before the first window.
func (p *popularity) best() *average {
	best := &p.averages[0]
	for i := range p.averages {
		a := &p.averages[i]
		if a.leads() && a.lead > best.lead {
			best = a
		}
	}
	return best
}

// noiseFactor returns the noise of the average divided by that of one window.
func (a *average) noiseFactor() float64 { return math.Sqrt(a.variance) }

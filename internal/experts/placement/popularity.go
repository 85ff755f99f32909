package placement

import (
	"math"

	"gonum.org/v1/gonum/floats"

	"github.com/cardamomyoke/cardamomyoke/internal/experts/placement/expert"
)

const (
	// openWindows is for how many windows a late report still counts.
	openWindows = 3
	// leadForget is the time, in windows, over which the averages' forecast errors are compared.
	leadForget = 12.0
	// leadDeviations is how clearly a shorter average's forecasts must be better than the longest one's, in standard
	// deviations of their mean, to be believed. Failure: by chance a short one is best for some windows of pure noise,
	// its estimate swings, and experts move. Three deviations are rare, and the gain must pass the test of noise too.
	leadDeviations = 3.0
)

// memories are the lengths, in windows, of the moving averages that compete to forecast the next window, longest first.
var memories = []float64{32, 8, 2}

// popularity estimates the share of each cell in its layer's tokens. Short averages follow drift and long ones quiet
// noise; which is better changes with load and hour, so the one whose recent forecasts were best is believed.
type popularity struct {
	shape expert.Shape
	open  map[uint64]*window
	// next is the oldest window that still takes reports.
	next uint64
	// newest is the newest window that was heard of.
	newest   uint64
	averages []average
}

// window collects the reports of one window.
type window struct {
	tokens []float64
	seen   map[int]bool
}

// average is one exponential moving average.
type average struct {
	memory float64
	value  []float64
	// seen is the number of windows taken in, and variance that of the value over the variance of one window.
	seen     int
	variance float64
	// lead is by how much its squared forecast error was smaller than that of the longest average, on average over
	// windows, and leadSquare the average of the squares of that.
	lead, leadSquare float64
}

func newPopularity(shape expert.Shape) *popularity {
	p := &popularity{shape: shape, open: map[uint64]*window{}}
	for _, m := range memories {
		p.averages = append(p.averages, average{memory: m})
	}
	return p
}

// observe adds a rank's token counts and returns the windows, as shares by cell, that are complete by now.
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
		p.skip()
	}
	return done
}

// skip moves on to the next window that is open, over gaps at once.
func (p *popularity) skip() {
	next := p.newest - openWindows + 1
	for number := range p.open {
		next = min(next, number)
	}
	p.next = max(next, p.next+1)
}

func (p *popularity) add(r Report) {
	w := p.open[r.Window]
	if w == nil {
		w = &window{tokens: make([]float64, p.shape.Cells()), seen: map[int]bool{}}
		p.open[r.Window] = w
	}
	if w.seen[r.Rank] {
		return
	}
	w.seen[r.Rank] = true
	for c, n := range r.Tokens {
		w.tokens[c] += float64(n)
	}
}

// close takes a window into the averages and returns its shares; nil if nothing was heard of one of its layers.
func (p *popularity) close(number uint64) []float64 {
	w := p.open[number]
	delete(p.open, number)
	if w == nil || !shares(p.shape, w.tokens) {
		return nil
	}
	longest := p.averages[0].miss(w.tokens)
	for i := range p.averages {
		a := &p.averages[i]
		a.compare(longest - a.miss(w.tokens))
		a.add(w.tokens)
	}
	return w.tokens
}

// shares scales the counts of each layer to the sum 1; false if a layer has none.
func shares(shape expert.Shape, cells []float64) bool {
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

// miss returns the squared error of the average as a forecast of the window; 0 before the first one.
func (a *average) miss(shares []float64) float64 {
	if a.value == nil {
		return 0
	}
	d := floats.Distance(shares, a.value, 2)
	return d * d
}

func (a *average) compare(lead float64) {
	a.lead += (lead - a.lead) / leadForget
	a.leadSquare += (lead*lead - a.leadSquare) / leadForget
}

// leads reports whether the average forecasts clearly better than the longest one.
func (a *average) leads() bool {
	spread := math.Sqrt(max(0, a.leadSquare-a.lead*a.lead) / (2*leadForget - 1))
	return a.lead > leadDeviations*spread
}

// add takes in a window. The first ones count evenly, as in a plain mean, until the memory is full.
func (a *average) add(shares []float64) {
	a.seen++
	gain := max(1/a.memory, 1/float64(a.seen))
	a.variance = (1-gain)*(1-gain)*a.variance + gain*gain
	if a.value == nil {
		a.value = append([]float64(nil), shares...)
		return
	}
	for c, v := range shares {
		a.value[c] += gain * (v - a.value[c])
	}
}

// best returns the average that is believed at present; its value is nil before the first window.
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

// noiseFactor is the noise of the average over that of one window.
func (a *average) noiseFactor() float64 { return math.Sqrt(a.variance) }

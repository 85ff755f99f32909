package placement

import (
	"math"

	"gonum.org/v1/gonum/floats"

	"github.com/cardamomyoke/cardamomyoke/internal/placement/expert"
)

const (
	// openWindows is for how many windows a late report still counts.
	openWindows = 3
	// errorForget is the time, in windows, over which the averages' forecast errors are compared.
	errorForget = 8.0
)

// memories are the lengths, in windows, of the moving averages that compete to forecast the next window.
var memories = []float64{2, 8, 32}

// popularity estimates the share of each cell in its layer's tokens. Short averages follow drift and long ones quiet
// noise; which is better changes with load and hour, so the one whose recent forecasts were best is believed.
type popularity struct {
	shape expert.Shape
	open  map[uint64]*window
	// next is the oldest window that still takes reports.
	next uint64
	// newest is the newest window that was heard of.
	newest   uint64
	closed   int
	averages []average
}

// window collects the reports of one window.
type window struct {
	tokens []float64
	seen   map[int]bool
}

// average is one exponential moving average with the error of its forecasts.
type average struct {
	memory float64
	value  []float64
	err    float64
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

// skip moves on to the next window, over a gap at once if no window is open.
func (p *popularity) skip() {
	p.next++
	if len(p.open) == 0 && p.newest > openWindows {
		p.next = max(p.next, p.newest-openWindows+1)
	}
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
	p.closed++
	for i := range p.averages {
		p.averages[i].add(w.tokens)
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

func (a *average) add(shares []float64) {
	if a.value == nil {
		a.value = append([]float64(nil), shares...)
		return
	}
	miss := floats.Distance(shares, a.value, 2)
	a.err += (miss*miss - a.err) / errorForget
	gain := 1 / a.memory
	for c, v := range shares {
		a.value[c] += gain * (v - a.value[c])
	}
}

// best returns the average that is believed at present; its value is nil before the first window.
func (p *popularity) best() *average {
	best := &p.averages[0]
	for i := range p.averages {
		if p.averages[i].err < best.err {
			best = &p.averages[i]
		}
	}
	return best
}

// noiseFactor is the noise of the average over that of one window.
func (a *average) noiseFactor() float64 { return 1 / math.Sqrt(2*a.memory-1) }

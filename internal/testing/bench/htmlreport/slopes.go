package htmlreport

import (
	"fmt"
	"path/filepath"
	"slices"
	"strings"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"github.com/cardamomyoke/cardamomyoke/internal/testing/bench/slopes"
)

const (
	slopeWidth  = 16 * vg.Centimeter
	slopeHeight = 10 * vg.Centimeter
	// textSize, in points, keeps labels readable when the page shows three plots side by side.
	textSize = 15
	// headroom is the extra height for each line of the legend, as a share of the highest value.
	headroom = 0.12
)

// axes identifies a plot: all its series have the same driver and unit.
type axes struct{ driver, unit string }

// slopePlots writes one SVG file to out for each combination of driver and unit, with the measured points and fitted
// lines of all its series.
func slopePlots(series []slopes.Series, out string) ([]Plot, error) {
	var keys []axes
	groups := map[axes][]slopes.Series{}
	for _, s := range series {
		key := axes{s.Driver, s.Unit}
		if groups[key] == nil {
			keys = append(keys, key)
		}
		groups[key] = append(groups[key], s)
	}
	var plots []Plot
	for i, key := range keys {
		file := filepath.Join(out, fmt.Sprintf("slopes-%02d.svg", i))
		if err := slopePlot(file, key, groups[key]); err != nil {
			return nil, err
		}
		plots = append(plots, Plot{file, caption(key, groups[key])})
	}
	return plots, nil
}

func caption(k axes, group []slopes.Series) string {
	var values []string
	for _, s := range group {
		values = append(values, fmt.Sprintf("%s: %.3g at %.6g", s.Name, s.AtTarget, s.Target))
	}
	return k.unit + " by " + k.driver + ". " + strings.Join(values, "; ") + "."
}

func slopePlot(file string, k axes, group []slopes.Series) error {
	p := plot.New()
	p.X.Label.Text, p.Y.Label.Text = k.driver, k.unit
	for _, axis := range []*plot.Axis{&p.X, &p.Y} {
		axis.Label.TextStyle.Font.Size = textSize
		axis.Tick.Label.Font.Size = textSize
	}
	p.Legend.Top, p.Legend.Left = true, true
	p.Legend.TextStyle.Font.Size = textSize
	p.Add(plotter.NewGrid())
	highest := 0.0
	for i, s := range group {
		if err := addSlope(p, s, i); err != nil {
			return err
		}
		highest = max(highest, slices.Max(s.Values))
	}
	// Axes start at zero so that noise in a constant figure does not look like growth.
	p.X.Min, p.Y.Min = 0, 0
	if highest == 0 {
		highest = 1
	}
	p.Y.Max = highest * (1 + headroom*float64(1+len(group)))
	if err := p.Save(slopeWidth, slopeHeight, file); err != nil {
		return fmt.Errorf("plot %s: %w", k.unit, err)
	}
	return nil
}

func addSlope(p *plot.Plot, s slopes.Series, i int) error {
	points := make(plotter.XYs, len(s.Sizes))
	for j := range s.Sizes {
		points[j] = plotter.XY{X: s.Sizes[j], Y: s.Values[j]}
	}
	scatter, err := plotter.NewScatter(points)
	if err != nil {
		return fmt.Errorf("plot %s: %w", s.Name, err)
	}
	scatter.Color = plotutil.Color(i)
	scatter.Shape = plotutil.Shape(i)
	scatter.Radius = vg.Points(4)
	last := s.Sizes[len(s.Sizes)-1]
	line, err := plotter.NewLine(plotter.XYs{{X: 0, Y: s.Fit.Intercept}, {X: last, Y: s.Fit.Intercept + s.Fit.Slope*last}})
	if err != nil {
		return fmt.Errorf("plot %s: %w", s.Name, err)
	}
	line.Color = plotutil.Color(i)
	line.Width = vg.Points(1.5)
	p.Add(line, scatter)
	p.Legend.Add(s.Name, line, scatter)
	return nil
}

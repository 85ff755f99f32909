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
	// textSize makes words readable when three plots stand side by side.
	textSize = 15
	// headroom is the part of the plot above the highest value for each line of the legend.
	headroom = 0.12
)

// axes is what series must share to stand in one plot.
type axes struct{ driver, unit string }

// slopePlots draws the series that share driver and unit into one plot: points as measured, lines as fitted.
func slopePlots(series []slopes.Series, out string) ([]Plot, error) {
	var order []axes
	groups := map[axes][]slopes.Series{}
	for _, s := range series {
		k := axes{s.Driver, s.Unit}
		if groups[k] == nil {
			order = append(order, k)
		}
		groups[k] = append(groups[k], s)
	}
	var plots []Plot
	for i, k := range order {
		file := filepath.Join(out, fmt.Sprintf("slopes-%02d.svg", i))
		if err := slopePlot(file, k, groups[k]); err != nil {
			return nil, err
		}
		plots = append(plots, Plot{file, caption(k, groups[k])})
	}
	return plots, nil
}

func caption(k axes, group []slopes.Series) string {
	var parts []string
	for _, s := range group {
		parts = append(parts, fmt.Sprintf("%s: %.3g at %.6g", s.Name, s.AtTarget, s.Target))
	}
	return k.unit + " by " + k.driver + ". " + strings.Join(parts, "; ") + "."
}

func slopePlot(file string, k axes, group []slopes.Series) error {
	p := plot.New()
	p.X.Label.Text, p.Y.Label.Text = k.driver, k.unit
	for _, size := range []*plot.Axis{&p.X, &p.Y} {
		size.Label.TextStyle.Font.Size = textSize
		size.Tick.Label.Font.Size = textSize
	}
	p.Legend.Top, p.Legend.Left = true, true
	p.Legend.TextStyle.Font.Size = textSize
	p.Add(plotter.NewGrid())
	most := 0.0
	for i, s := range group {
		if err := addSlope(p, s, i); err != nil {
			return err
		}
		most = max(most, slices.Max(s.Values))
	}
	// From zero, so that noise about a flat figure does not look like growth.
	p.X.Min, p.Y.Min = 0, 0
	if most == 0 {
		most = 1
	}
	p.Y.Max = most * (1 + headroom*float64(1+len(group)))
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
	marks, err := plotter.NewScatter(points)
	if err != nil {
		return fmt.Errorf("plot %s: %w", s.Name, err)
	}
	marks.Color = plotutil.Color(i)
	marks.Shape = plotutil.Shape(i)
	marks.Radius = vg.Points(4)
	last := s.Sizes[len(s.Sizes)-1]
	line, err := plotter.NewLine(plotter.XYs{{X: 0, Y: s.Fit.Intercept}, {X: last, Y: s.Fit.Intercept + s.Fit.Slope*last}})
	if err != nil {
		return fmt.Errorf("plot %s: %w", s.Name, err)
	}
	line.Color = plotutil.Color(i)
	line.Width = vg.Points(1.5)
	p.Add(line, marks)
	p.Legend.Add(s.Name, line, marks)
	return nil
}

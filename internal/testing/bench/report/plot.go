package report

import (
	"fmt"
	"os"
	"path/filepath"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

const (
	plotWidth  = 20 * vg.Centimeter
	plotHeight = 11 * vg.Centimeter
	barWidth   = 10 // points
)

// Labels are the title and the axis labels of a plot.
type Labels struct {
	Title, X, Y string
}

// Series is one line of a plot; X and Y have the same length.
type Series struct {
	Name string
	X, Y []float64
}

// Bars is a group of bars of one colour, with one value for each category of the plot.
type Bars struct {
	Name   string
	Values []float64
}

// LinePlot writes an SVG file with one line for each series. It creates the folder if needed.
func LinePlot(file string, l Labels, series ...Series) error {
	p := newPlot(l)
	for i, s := range series {
		line, err := plotter.NewLine(points(s))
		if err != nil {
			return fmt.Errorf("plot series %s: %w", s.Name, err)
		}
		line.Color = plotutil.Color(i)
		line.Dashes = plotutil.Dashes(i / len(plotutil.DefaultColors))
		p.Add(line)
		p.Legend.Add(s.Name, line)
	}
	return save(p, file)
}

// BarPlot writes an SVG file with, for each category, one bar from each of groups. It creates the folder if needed.
func BarPlot(file string, l Labels, categories []string, groups ...Bars) error {
	p := newPlot(l)
	for i, g := range groups {
		bars, err := plotter.NewBarChart(plotter.Values(g.Values), vg.Points(barWidth))
		if err != nil {
			return fmt.Errorf("plot bars %s: %w", g.Name, err)
		}
		bars.Color = plotutil.Color(i)
		bars.LineStyle.Width = 0
		bars.Offset = vg.Points(barWidth * (float64(i) - float64(len(groups)-1)/2))
		p.Add(bars)
		p.Legend.Add(g.Name, bars)
	}
	p.NominalX(categories...)
	return save(p, file)
}

func newPlot(l Labels) *plot.Plot {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = l.Title, l.X, l.Y
	p.Legend.Top = true
	p.Add(plotter.NewGrid())
	return p
}

func points(s Series) plotter.XYs {
	pts := make(plotter.XYs, len(s.X))
	for i := range s.X {
		pts[i] = plotter.XY{X: s.X[i], Y: s.Y[i]}
	}
	return pts
}

func save(p *plot.Plot, file string) error {
	if err := os.MkdirAll(filepath.Dir(file), 0o755); err != nil {
		return fmt.Errorf("create folder for plot: %w", err)
	}
	if err := p.Save(plotWidth, plotHeight, file); err != nil {
		return fmt.Errorf("save plot: %w", err)
	}
	return nil
}

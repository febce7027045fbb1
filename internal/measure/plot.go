package measure

import (
	"fmt"
	"image/color"
	"math"
	"os"
	"path/filepath"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

const (
	plotWidth  = 8 * vg.Inch
	plotHeight = 4.5 * vg.Inch
	barWidth   = 0.25 * vg.Inch
)

// Plot writes SVG plots of the results to a directory. Cases without results are
// omitted.
func Plot(directory string, list []Result) error {
	if err := os.MkdirAll(directory, 0o750); err != nil {
		return err
	}
	t := newTables(list)
	for i, c := range choiceCases() {
		if err := t.bars(directory, fmt.Sprintf("choice-%d.svg", i+1), c.name(), "P99", "p99 (ms)"); err != nil {
			return err
		}
	}
	for _, b := range []struct{ file, name, metric, axis string }{
		{"flood-least.svg", floodName(len(floodClasses()) - 1), "Goodput of best", "goodput by worth (% of the best)"},
		{"flood-most.svg", floodName(0), "Goodput of best", "goodput by worth (% of the best)"},
		{"organisations.svg", organisationCase, "second in time", "in time (%)"},
		{"metastable.svg", chainCase, "Recovery", "recovery (s; 4 = not recovered)"},
		{"fail-fast.svg", failCase, "Failed", "failed requests (%)"},
		{"limit.svg", limitCase, "Inside P99", "p99 inside the target (ms)"},
		{"link.svg", linkCase, "Lookup P99", "lookup p99 (ms)"},
	} {
		if err := t.bars(directory, b.file, b.name, b.metric, b.axis); err != nil {
			return err
		}
	}
	if err := t.probePlot(directory); err != nil {
		return err
	}
	return t.regionPlot(directory)
}

// bars plots the median of a metric for each policy of a case, with the range as
// error bars.
func (t *tables) bars(directory, file, c, metric, axis string) error {
	if !t.hasCase(c) {
		return nil
	}
	p := plot.New()
	p.Title.Text = c
	p.Y.Label.Text = axis
	p.Y.Min = 0
	var values plotter.Values
	points := &errorPoints{}
	for i, policy := range t.policies[c] {
		s := t.spread(c, policy, metric)
		values = append(values, s.median)
		points.add(float64(i), s)
	}
	bars, err := plotter.NewBarChart(values, barWidth)
	if err != nil {
		return err
	}
	bars.Color = color.RGBA{R: 120, G: 150, B: 200, A: 255}
	ranges, err := plotter.NewYErrorBars(points)
	if err != nil {
		return err
	}
	p.Add(bars, ranges)
	p.NominalX(t.policies[c]...)
	p.X.Tick.Label.Rotation = math.Pi / 7
	p.X.Tick.Label.XAlign = -0.9
	return p.Save(plotWidth, plotHeight, filepath.Join(directory, file))
}

// errorPoints are points with vertical error bars.
type errorPoints struct {
	plotter.XYs
	plotter.YErrors
}

func (s *errorPoints) add(x float64, v spread) {
	s.XYs = append(s.XYs, plotter.XY{X: x, Y: v.median})
	s.YErrors = append(s.YErrors, struct{ Low, High float64 }{v.median - v.least, v.greatest - v.median})
}

// probePlot plots p99 against the probes per request.
func (t *tables) probePlot(directory string) error {
	if !t.hasCase(probeCase) {
		return nil
	}
	p := plot.New()
	p.Title.Text = probeCase
	p.X.Label.Text = "probes per request (0 drawn at 0.001)"
	p.Y.Label.Text = "p99 (ms)"
	p.X.Scale = plot.LogScale{}
	p.X.Tick.Marker = plot.LogTicks{}
	p.Y.Min = 0
	for i, name := range []string{ownPolicy, "pooled probing"} {
		points := &errorPoints{}
		for _, share := range probeRates() {
			if s := t.spread(probeCase, probeName(name, share), "P99"); !math.IsNaN(s.median) {
				points.add(max(share, 0.001), s)
			}
		}
		line, err := plotter.NewLine(points.XYs)
		if err != nil {
			return err
		}
		line.Color = color.RGBA{R: uint8(200 * i), B: uint8(200 * (1 - i)), A: 255}
		ranges, err := plotter.NewYErrorBars(points)
		if err != nil {
			return err
		}
		p.Add(line, ranges)
		p.Legend.Add(name, line)
	}
	return p.Save(plotWidth, plotHeight, filepath.Join(directory, "probes.svg"))
}

// regionPlot plots p99 against the bytes sent between regions.
func (t *tables) regionPlot(directory string) error {
	if !t.hasCase(regionCase) {
		return nil
	}
	p := plot.New()
	p.Title.Text = regionCase
	p.X.Label.Text = "bytes between regions (MB/s)"
	p.Y.Label.Text = "p99 (ms)"
	p.Y.Scale = plot.LogScale{}
	p.Y.Tick.Marker = plot.LogTicks{}
	var points plotter.XYs
	names := t.policies[regionCase]
	for _, policy := range names {
		points = append(points, plotter.XY{
			X: t.spread(regionCase, policy, "Bytes between regions").median,
			Y: t.spread(regionCase, policy, "P99").median,
		})
	}
	scatter, err := plotter.NewScatter(points)
	if err != nil {
		return err
	}
	labels, err := plotter.NewLabels(plotter.XYLabels{XYs: points, Labels: names})
	if err != nil {
		return err
	}
	p.Add(scatter, labels)
	p.X.Min, p.X.Max = 0, 40
	p.Y.Min, p.Y.Max = 100, 3000
	return p.Save(plotWidth, plotHeight, filepath.Join(directory, "regions.svg"))
}

// Package zyplot plots the results of experiments.
package zyplot

import (
	"fmt"
	"path/filepath"
	"strings"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"zinniayoke/core/zyexperiment"
)

const (
	width           = 16 * vg.Centimeter
	height          = 8 * vg.Centimeter
	sampleInterval  = 0.1
	smoothingWindow = 5
)

// Goodput plots successful calls per second over time for one scenario, with a line for
// each policy. It writes an SVG file to dir and returns the file name.
func Goodput(dir string, results []zyexperiment.Result) (string, error) {
	p := plot.New()
	p.Title.Text = fmt.Sprintf("%s, %d services deep", results[0].Scenario, results[0].Depth)
	p.X.Label.Text = "seconds"
	p.Y.Label.Text = "complete calls per second"
	p.Legend.Top = true
	for i, r := range results {
		line, err := plotter.NewLine(smoothedPoints(r.GoodputSeries))
		if err != nil {
			return "", fmt.Errorf("plot series of policy %s: %w", r.Policy, err)
		}
		line.Color = plotutil.Color(i)
		line.Dashes = plotutil.Dashes(i)
		p.Add(line)
		p.Legend.Add(r.Policy, line)
	}
	name := fileName(results[0])
	if err := p.Save(width, height, filepath.Join(dir, name)); err != nil {
		return "", fmt.Errorf("save plot %s: %w", name, err)
	}
	return name, nil
}

// smoothedPoints returns a trailing moving average of the series over half a second.
func smoothedPoints(series []float64) plotter.XYs {
	xys := make(plotter.XYs, 0, len(series))
	for i := smoothingWindow - 1; i < len(series); i++ {
		sum := 0.0
		for _, v := range series[i-smoothingWindow+1 : i+1] {
			sum += v
		}
		xys = append(xys, plotter.XY{X: float64(i) * sampleInterval, Y: sum / smoothingWindow})
	}
	return xys
}

func fileName(r zyexperiment.Result) string {
	name := strings.NewReplacer(" ", "-", ",", "", "%", "").Replace(r.Scenario)
	return fmt.Sprintf("%s-%d.svg", name, r.Depth)
}

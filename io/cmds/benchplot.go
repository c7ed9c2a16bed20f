package cmds

import (
	"fmt"
	"image/color"
	"os"
	"path/filepath"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"

	"shallotcleat/core/bench"
)

// Dimensions of a plot.
const (
	plotWidth  = 12 * vg.Centimeter
	plotHeight = 8 * vg.Centimeter
	lineWidth  = 1.5 * vg.Millimeter / 3
)

// policyColors are the line colors of the policies, in the order of bench.Policies.
var policyColors = []color.Color{
	color.RGBA{R: 20, G: 110, B: 60, A: 255},
	color.RGBA{R: 200, G: 60, B: 50, A: 255},
	color.RGBA{R: 60, G: 90, B: 190, A: 255},
	color.RGBA{R: 150, G: 110, B: 20, A: 255},
}

// plotCases writes one plot of the p99 time to first token over load for each deployment and condition.
func plotCases(dir string, cases []*benchCase) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return fmt.Errorf("create plot directory: %w", err)
	}
	lines := make(map[string]map[bench.Policy]plotter.XYs)
	for _, bc := range cases {
		name := bc.deployment.Name() + "-" + bc.condition.Name()
		if lines[name] == nil {
			lines[name] = make(map[bench.Policy]plotter.XYs)
		}
		point := plotter.XY{X: float64(bc.load), Y: bc.result.TimeToFirstToken(99).Seconds()}
		lines[name][bc.policy] = append(lines[name][bc.policy], point)
	}
	for name, byPolicy := range lines {
		if err := savePlot(dir, name, byPolicy); err != nil {
			return fmt.Errorf("plot %s: %w", name, err)
		}
	}
	return nil
}

func savePlot(dir, name string, byPolicy map[bench.Policy]plotter.XYs) error {
	pt := plot.New()
	pt.Title.Text = name
	pt.X.Label.Text = "load (percent)"
	pt.Y.Label.Text = "p99 time to first token (s)"
	pt.Y.Scale = plot.LogScale{}
	pt.Y.Tick.Marker = plot.LogTicks{Prec: -1}
	pt.Legend.Top = true
	pt.Legend.Left = true
	for i, pl := range bench.Policies() {
		line, err := plotter.NewLine(byPolicy[pl])
		if err != nil {
			return fmt.Errorf("line of %s: %w", pl, err)
		}
		line.Color = policyColors[i]
		line.Width = lineWidth
		pt.Add(line)
		pt.Legend.Add(string(pl), line)
	}
	if err := pt.Save(plotWidth, plotHeight, filepath.Join(dir, name+".png")); err != nil {
		return fmt.Errorf("save: %w", err)
	}
	return nil
}

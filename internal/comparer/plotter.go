package comparer

import (
	"io"
	"os"
	"path/filepath"

	"github.com/rotisserie/eris"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"

	"github.com/endivemast/endivemast/internal/loader"
)

const (
	plotWidth  = 22 * vg.Centimeter
	plotHeight = 14 * vg.Centimeter
	// smoothing is the number of seconds before and after a point that its moving
	// average includes.
	smoothing = 1
)

// WritePlots writes an SVG file for each scenario and fault with the goodput by
// variant and the policy's roles, from the runs of the first seed.
func (c *Comparison) WritePlots(directory string) error {
	if err := os.MkdirAll(directory, 0o755); err != nil {
		return eris.Wrap(err, "create directory for plots")
	}
	for _, group := range c.groups() {
		path := filepath.Join(directory, group.name()+".svg")
		if err := writeFile(path, group.writePlot); err != nil {
			return err
		}
	}
	return nil
}

func (g *group) writePlot(w io.Writer) error {
	goodput, err := g.goodputPlot()
	if err != nil {
		return eris.Wrap(err, "draw goodput")
	}
	roles := plot.New()
	if reports := g.reportsOf(PolicyName); len(reports) > 0 {
		if roles, err = reports[0].RolesPlot(); err != nil {
			return eris.Wrap(err, "draw roles")
		}
	}
	canvas := vgsvg.New(plotWidth, plotHeight)
	tiles := draw.Tiles{Rows: 2, Cols: 1, PadTop: vg.Millimeter, PadBottom: vg.Millimeter, PadRight: 4 * vg.Millimeter, PadY: 4 * vg.Millimeter}
	canvases := plot.Align([][]*plot.Plot{{goodput}, {roles}}, tiles, draw.New(canvas))
	goodput.Draw(canvases[0][0])
	roles.Draw(canvases[1][0])
	_, err = canvas.WriteTo(w)
	return eris.Wrap(err, "write plot")
}

func (g *group) goodputPlot() (*plot.Plot, error) {
	p := plot.New()
	p.Title.Text = g.name()
	p.Y.Label.Text = "weighted requests a second"
	p.Y.Min = 0
	p.Legend.Top = true
	var lines []any
	for _, variant := range g.variants {
		reports := g.reportsOf(variant.Name)
		if len(reports) == 0 {
			continue
		}
		if len(lines) == 0 {
			lines = append(lines, "offered", line(reports[0], func(s *loader.SecondReport) float64 { return s.Offered }))
		}
		lines = append(lines, variant.Name, line(reports[0], func(s *loader.SecondReport) float64 { return s.Goodput }))
	}
	return p, plotutil.AddLines(p, lines...)
}

// line returns the moving average of a value over the seconds of a run.
func line(report *loader.Report, value func(*loader.SecondReport) float64) plotter.XYs {
	points := make(plotter.XYs, len(report.Seconds))
	for i := range report.Seconds {
		first, last := max(i-smoothing, 0), min(i+smoothing, len(report.Seconds)-1)
		var sum float64
		for j := first; j <= last; j++ {
			sum += value(&report.Seconds[j])
		}
		points[i] = plotter.XY{X: float64(i), Y: sum / float64(last-first+1)}
	}
	return points
}

package loader

import (
	"io"
	"maps"
	"slices"

	"github.com/rotisserie/eris"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"
)

const (
	plotWidth  = 24 * vg.Centimeter
	plotHeight = 16 * vg.Centimeter
)

// WritePlot draws goodput and the engines' roles over time as SVG.
func (r *Report) WritePlot(w io.Writer) (err error) {
	defer func() { err = eris.Wrap(err, "draw plot") }()
	goodput, err := r.goodputPlot()
	if err != nil {
		return err
	}
	roles, err := r.RolesPlot()
	if err != nil {
		return err
	}
	canvas := vgsvg.New(plotWidth, plotHeight)
	tiles := draw.Tiles{Rows: 2, Cols: 1, PadTop: vg.Millimeter, PadBottom: vg.Millimeter, PadRight: 4 * vg.Millimeter, PadY: 4 * vg.Millimeter}
	plots := [][]*plot.Plot{{goodput}, {roles}}
	canvases := plot.Align(plots, tiles, draw.New(canvas))
	goodput.Draw(canvases[0][0])
	roles.Draw(canvases[1][0])
	_, err = canvas.WriteTo(w)
	return err
}

func (r *Report) goodputPlot() (*plot.Plot, error) {
	p := plot.New()
	p.Title.Text = r.Scenario
	p.Y.Label.Text = "weighted requests a second"
	p.Y.Min = 0
	p.Legend.Top = true
	offered, good := make(plotter.XYs, len(r.Seconds)), make(plotter.XYs, len(r.Seconds))
	for i, s := range r.Seconds {
		offered[i] = plotter.XY{X: float64(s.Second), Y: s.Offered}
		good[i] = plotter.XY{X: float64(s.Second), Y: s.Goodput}
	}
	return p, plotutil.AddLines(p, "offered", offered, "in time", good)
}

// RolesPlot draws the engines by role over time.
func (r *Report) RolesPlot() (*plot.Plot, error) {
	p := plot.New()
	p.X.Label.Text = "seconds"
	p.Y.Label.Text = "engines by role"
	p.Y.Min = 0
	p.Legend.Top = true
	names := make(map[string]bool)
	for _, point := range r.Roles {
		for role := range point.Roles {
			names[role] = true
		}
	}
	var lines []any
	for _, role := range slices.Sorted(maps.Keys(names)) {
		line := make(plotter.XYs, len(r.Roles))
		for i, point := range r.Roles {
			line[i] = plotter.XY{X: float64(point.AtMS) / 1e3, Y: float64(point.Roles[role])}
		}
		lines = append(lines, role, line)
	}
	return p, plotutil.AddLines(p, lines...)
}

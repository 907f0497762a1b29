package load

import (
	"maps"
	"slices"

	"github.com/rotisserie/eris"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

const (
	plotWidth  = 24 * vg.Centimeter
	plotHeight = 14 * vg.Centimeter
)

// Plot draws the p99 of each kind of request by phase. The file name extension
// selects the format, SVG or PNG.
func (r *Report) Plot(path string) error {
	p := plot.New()
	p.Title.Text = r.Profile + ": p99 by phase"
	p.Y.Label.Text = "p99 in ms"
	p.Y.Min = 0
	var names []string
	kinds := map[string]bool{}
	for _, phase := range r.Phases {
		names = append(names, phase.Phase.Name)
		for kind := range phase.Kinds {
			kinds[kind] = true
		}
	}
	p.NominalX(names...)
	for i, kind := range slices.Sorted(maps.Keys(kinds)) {
		line, points, err := plotter.NewLinePoints(r.points(kind))
		if err != nil {
			return eris.Wrapf(err, "plot %s", kind)
		}
		line.Color = plotutil.Color(i)
		points.Color = plotutil.Color(i)
		points.Shape = plotutil.Shape(i)
		p.Add(line, points)
		p.Legend.Add(kind, line, points)
	}
	p.Legend.Top = true
	return eris.Wrapf(p.Save(plotWidth, plotHeight, path), "write plot %s", path)
}

func (r *Report) points(kind string) plotter.XYs {
	var points plotter.XYs
	for i, phase := range r.Phases {
		if s := phase.Kinds[kind]; s != nil {
			points = append(points, plotter.XY{X: float64(i), Y: float64(s.P99) / 1000})
		}
	}
	return points
}

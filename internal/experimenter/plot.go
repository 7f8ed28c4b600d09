package experimenter

import (
	"fmt"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"github.com/lagooncleat/lagooncleat/pkg/identifier"
)

const (
	plotWidth  = 18 * vg.Centimeter
	plotHeight = 12 * vg.Centimeter
)

// plotQuantiles are the quantiles plotted in a latency curve.
var plotQuantiles = []float64{0.5, 0.75, 0.9, 0.95, 0.98, 0.99, 0.995, 0.998, 0.999}

// Plot plots the quantiles of urgent latency, with a curve for each policy and
// condition, to a file. Its extension selects the format, as in urgent.svg.
func (r *Report) Plot(file string) error {
	p := plot.New()
	p.Title.Text = fmt.Sprintf("%s, %s: urgent latency", r.Experiment.Name, r.Options.Region.Name)
	p.X.Label.Text = "1 / (1 - quantile)"
	p.Y.Label.Text = "latency, ms"
	p.X.Scale, p.X.Tick.Marker = plot.LogScale{}, plot.LogTicks{Prec: -1}
	var curves []any
	for _, policy := range r.policies() {
		for i, condition := range r.Experiment.Conditions {
			var segments []Segment
			for _, run := range r.runsOf(policy, false) {
				segments = append(segments, run[i])
			}
			curves = append(curves, policy+", "+condition.Name, latencyCurve(mergeSegments(segments).Ranks[identifier.Urgent]))
		}
	}
	if err := plotutil.AddLinePoints(p, curves...); err != nil {
		return err
	}
	p.Legend.Top, p.Legend.Left = true, true
	return p.Save(plotWidth, plotHeight, file)
}

func latencyCurve(r RankResult) plotter.XYs {
	var points plotter.XYs
	for _, q := range plotQuantiles {
		points = append(points, plotter.XY{X: 1 / (1 - q), Y: milliseconds(r.quantile(q))})
	}
	return points
}

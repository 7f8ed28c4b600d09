package reporter

import (
	"bytes"
	_ "embed" // for page.html
	"fmt"
	"html/template"
	"image/color"
	"io"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"

	"github.com/lagooncleat/lagooncleat/pkg/budgeter"
	"github.com/lagooncleat/lagooncleat/pkg/identifier"
)

//go:embed page.html
var pageText string

var pageTemplate = template.Must(template.New("page").Parse(pageText))

const (
	plotWidth  = 18 * vg.Centimeter
	plotHeight = 6 * vg.Centimeter
)

// chart is the plot of one history's burn over time.
type chart struct {
	Title string
	SVG   template.HTML
}

// WriteHTML writes the report as a self-contained HTML page.
func (r Report) WriteHTML(w io.Writer) error {
	page := struct {
		Headings cells
		Rows     []cells
		Charts   []chart
		Notes    []string
	}{Headings: headings, Notes: r.Notes}
	for _, row := range r.Rows {
		page.Rows = append(page.Rows, row.cells())
	}
	for _, h := range r.Histories {
		c, err := h.chart()
		if err != nil {
			return err
		}
		page.Charts = append(page.Charts, c)
	}
	if err := pageTemplate.Execute(w, page); err != nil {
		return fmt.Errorf("reporter: write page: %w", err)
	}
	return nil
}

// chart plots the burn of each bucket that has queries. Points are not connected, so that
// periods without queries stay visible.
func (h History) chart() (chart, error) {
	title := fmt.Sprintf("%s, %s", h.Series.Customer, h.Series.Rank)
	p := plot.New()
	p.X.Label.Text = "minutes before the report"
	p.Y.Label.Text = "burn"
	p.Y.Min = 0
	points := h.burnPoints()
	p.Y.Max = max(2, maxBurn(points)*1.1)
	p.X.Max = 0
	p.X.Min = -float64(Windows[len(Windows)-1]) / float64(identifier.Minute)
	if len(points) > 0 {
		p.X.Min = min(-5, points[0].X-1)
	}
	scatter, err := plotter.NewScatter(points)
	if err != nil {
		return chart{}, fmt.Errorf("reporter: plot %s: %w", title, err)
	}
	scatter.Radius = vg.Points(2.5)
	scatter.Color = color.RGBA{R: 0x1f, G: 0x5f, B: 0xa8, A: 0xff}
	budgetLine := plotter.NewFunction(func(float64) float64 { return 1 })
	budgetLine.Color = color.RGBA{R: 0xc0, G: 0x30, B: 0x30, A: 0xff}
	budgetLine.Dashes = []vg.Length{vg.Points(4), vg.Points(3)}
	p.Add(plotter.NewGrid(), budgetLine, scatter)
	canvas := vgsvg.New(plotWidth, plotHeight)
	p.Draw(draw.New(canvas))
	var buffer bytes.Buffer
	if _, err := canvas.WriteTo(&buffer); err != nil {
		return chart{}, fmt.Errorf("reporter: plot %s: %w", title, err)
	}
	// The SVG needs no escaping: the plot holds only numbers and constant texts.
	return chart{Title: title, SVG: template.HTML(stripProlog(buffer.Bytes()))}, nil
}

// burnPoints returns the burn of each bucket that has queries, or none if the objective allows
// no bad query. X is the start of the bucket, in minutes relative to the report.
func (h History) burnPoints() plotter.XYs {
	var points plotter.XYs
	for _, p := range h.mergedPoints() {
		b, ok := budgeter.BurnRate(p.Tally.Bad(), p.Tally.Total, h.Objective.Share)
		if ok {
			points = append(points, plotter.XY{X: -float64(p.Age) / float64(identifier.Minute), Y: float64(b)})
		}
	}
	return points
}

// mergedPoints sums the points, of any host, whose ages fall into the same bucket.
func (h History) mergedPoints() []Point {
	var merged []Point
	for _, p := range h.Points {
		age := p.Age - p.Age%budgeter.BucketDuration
		last := len(merged) - 1
		if last < 0 || merged[last].Age != age {
			merged = append(merged, Point{Age: age, Tally: p.Tally})
			continue
		}
		merged[last].Tally = merged[last].Tally.Plus(p.Tally)
	}
	return merged
}

func maxBurn(points plotter.XYs) float64 {
	var highest float64
	for _, p := range points {
		highest = max(highest, p.Y)
	}
	return highest
}

// stripProlog removes the XML prolog before the svg element, which is not allowed within an
// HTML page.
func stripProlog(svg []byte) []byte {
	if i := bytes.Index(svg, []byte("<svg")); i > 0 {
		return svg[i:]
	}
	return svg
}

package load

import (
	"image/color"
	"os"
	"path/filepath"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgimg"
)

const (
	plotFile   = "plot.png"
	plotWidth  = 18 * vg.Centimeter
	plotHeight = 14 * vg.Centimeter
	// plotStep is the width of one point of the plot in time.
	plotStep = 500 * time.Millisecond
)

var (
	blue  = color.RGBA{R: 31, G: 119, B: 180, A: 255}
	green = color.RGBA{R: 44, G: 160, B: 44, A: 255}
	red   = color.RGBA{R: 214, G: 39, B: 40, A: 255}
	grey  = color.RGBA{R: 120, G: 120, B: 120, A: 255}
)

// curve is one line over time.
type curve struct {
	name   string
	color  color.Color
	points plotter.XYs
}

// Plot draws rates and latencies over time, with the faults marked, into a directory.
// ErrSetup.
func (t *Trial) Plot(results []Result, dir string) error {
	top, err := t.panel("requests/s", []curve{
		t.rate("reads answered", green, results, func(r Result) bool { return r.Outcome == Answered && r.Kind == Read }),
		t.rate("writes answered", blue, results, func(r Result) bool { return r.Outcome == Answered && r.Kind == Write }),
		t.rate("refused or unknown", red, results, func(r Result) bool { return r.Outcome != Answered }),
	})
	if err != nil {
		return err
	}
	top.Title.Text = string(t.Scenario.Name)
	bottom, err := t.panel("p99, ms", t.tails(results))
	if err != nil {
		return err
	}
	bottom.X.Label.Text = "seconds"
	return save([][]*plot.Plot{{top}, {bottom}}, filepath.Join(dir, plotFile))
}

// panel draws curves and marks of one vertical scale.
func (t *Trial) panel(label string, curves []curve) (*plot.Plot, error) {
	p := plot.New()
	p.Y.Label.Text = label
	p.Y.Min, p.X.Min, p.X.Max = 0, 0, t.Duration.Seconds()
	p.Legend.Top, p.Legend.Left = true, true
	p.Add(plotter.NewGrid())
	highest := 1.0
	for _, c := range curves {
		l, err := plotter.NewLine(c.points)
		if err != nil {
			return nil, ErrSetup.Wrap(err, "plot")
		}
		l.Color = c.color
		p.Add(l)
		p.Legend.Add(c.name, l)
		for _, point := range c.points {
			highest = max(highest, point.Y)
		}
	}
	const room = 1.35 // for the legend and the marks' labels
	p.Y.Max = room * highest
	return p, t.mark(p, p.Y.Max)
}

// marks are the moments to mark, with their labels.
func (t *Trial) marks() plotter.XYLabels {
	var m plotter.XYLabels
	add := func(part float64, label string) {
		m.XYs = append(m.XYs, plotter.XY{X: part * t.Duration.Seconds()})
		m.Labels = append(m.Labels, label)
	}
	for _, f := range t.Scenario.Faults {
		add(f.At, f.Fault.label())
	}
	if t.Scenario.Surge > 0 {
		add(t.Scenario.SurgeFrom, string(surging(t.Site.Document))+" surges")
		add(t.Scenario.SurgeTo, "surge over")
	}
	return m
}

func (t *Trial) mark(p *plot.Plot, top float64) error {
	m := t.marks()
	for i, point := range m.XYs {
		l, err := plotter.NewLine(plotter.XYs{{X: point.X, Y: 0}, {X: point.X, Y: top}})
		if err != nil {
			return ErrSetup.Wrap(err, "plot")
		}
		l.Color, l.Dashes = grey, []vg.Length{vg.Points(3), vg.Points(3)}
		p.Add(l)
		const lines = 10
		m.XYs[i].Y = top * (1 - float64(i%2+1)/lines)
	}
	if len(m.XYs) == 0 {
		return nil
	}
	labels, err := plotter.NewLabels(m)
	if err != nil {
		return ErrSetup.Wrap(err, "plot")
	}
	labels.Offset.X = vg.Points(2)
	p.Add(labels)
	return nil
}

// rate counts the chosen results a second, by when they ended.
func (t *Trial) rate(name string, c color.Color, results []Result, chosen func(Result) bool) curve {
	points := t.steps()
	for _, r := range results {
		if step := int(r.Done / plotStep); chosen(r) && step < len(points) {
			points[step].Y += float64(time.Second) / float64(plotStep)
		}
	}
	return curve{name, c, points}
}

// tails are the latencies of reads and writes, or, when a workspace surges, of it and
// of all others.
func (t *Trial) tails(results []Result) []curve {
	if t.Scenario.Surge == 0 {
		return []curve{
			t.tail("reads", green, results, func(r Result) bool { return r.Kind == Read }),
			t.tail("writes", blue, results, func(r Result) bool { return r.Kind == Write }),
		}
	}
	name := surging(t.Site.Document)
	return []curve{
		t.tail(string(name), red, results, func(r Result) bool { return r.Workspace == name }),
		t.tail("all other workspaces", green, results, func(r Result) bool { return r.Workspace != name }),
	}
}

// tail gives the 99th percentile of latency, by when requests were meant to start.
func (t *Trial) tail(name string, c color.Color, results []Result, chosen func(Result) bool) curve {
	points := t.steps()
	for i := range points {
		points[i].Y = float64(latency(results, func(r Result) bool {
			return chosen(r) && int(r.At/plotStep) == i
		}).P99)
	}
	return curve{name, c, points}
}

func (t *Trial) steps() plotter.XYs {
	points := make(plotter.XYs, max(1, int(t.Duration/plotStep)))
	for i := range points {
		points[i].X = (time.Duration(i) * plotStep).Seconds()
	}
	return points
}

// save draws panels below each other into a PNG file.
func save(panels [][]*plot.Plot, path string) error {
	image := vgimg.New(plotWidth, plotHeight)
	tiles := draw.Tiles{Rows: len(panels), Cols: 1, PadY: vg.Points(8)}
	for i, row := range plot.Align(panels, tiles, draw.New(image)) {
		panels[i][0].Draw(row[0])
	}
	file, err := os.Create(path)
	if err != nil {
		return ErrSetup.Wrap(err, "plot")
	}
	defer file.Close()
	if _, err := (vgimg.PngCanvas{Canvas: image}).WriteTo(file); err != nil {
		return ErrSetup.Wrap(err, "plot")
	}
	return nil
}

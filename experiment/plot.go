package experiment

import (
	"image/color"
	"os"
	"path/filepath"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgimg"
	"gonum.org/v1/plot/vg/vgsvg"
)

const (
	plotWidth  = 26 * vg.Centimeter
	plotHeight = 30 * vg.Centimeter
	plotRows   = 3
	// minStallMS is the minimum of the logarithmic axis of stalls.
	minStallMS = 1.0
	// stallBucket is the interval over which stalls are averaged.
	stallBucket = 10 * time.Second
)

// Plot draws the distribution of stalls, the mean stall over time and the batch
// efficiency over time of each policy to an .svg or .png file.
func Plot(file string, rep Report) error {
	plots, err := drawAll(rep)
	if err != nil {
		return err
	}
	f, err := os.Create(file)
	if err != nil {
		return errors.Wrap(err, "plot")
	}
	defer f.Close()
	switch filepath.Ext(file) {
	case ".svg":
		c := vgsvg.New(plotWidth, plotHeight)
		drawTiles(plots, draw.New(c))
		_, err = c.WriteTo(f)
	case ".png":
		c := vgimg.New(plotWidth, plotHeight)
		drawTiles(plots, draw.New(c))
		_, err = vgimg.PngCanvas{Canvas: c}.WriteTo(f)
	default:
		return errors.Newf("plot: %s is neither .svg nor .png", file)
	}
	return errors.Wrap(err, "plot")
}

func drawAll(rep Report) ([]*plot.Plot, error) {
	stalls := newPlot("Interactive load stalls: part of requests at or below", "stall, ms", "part of requests")
	stalls.X.Scale = plot.LogScale{}
	stalls.X.Tick.Marker = plot.LogTicks{Prec: -1}
	meanStalls := newPlot("Mean interactive load stall", "time, s", "stall, s")
	efficiency := newPlot("Batch efficiency", "time, s", "part of step used")
	for i, r := range rep.Policies {
		col := plotutil.Color(i)
		if err := addLine(stalls, r.Name, col, distribution(r.Stalls)); err != nil {
			return nil, err
		}
		if err := addLine(meanStalls, r.Name, col, stallsOverTime(r.StallPoints)); err != nil {
			return nil, err
		}
		if err := addLine(efficiency, r.Name, col, efficiencyOverTime(r.EfficiencyPoints)); err != nil {
			return nil, err
		}
	}
	efficiency.Y.Min = 0
	meanStalls.Y.Min = 0
	stalls.Y.Min = 0
	stalls.Legend.Left = false
	stalls.Legend.Top = false
	return []*plot.Plot{stalls, meanStalls, efficiency}, nil
}

func newPlot(title, x, y string) *plot.Plot {
	p := plot.New()
	p.Title.Text = title
	p.X.Label.Text = x
	p.Y.Label.Text = y
	p.Legend.Top = true
	p.Legend.Left = true
	p.Add(plotter.NewGrid())
	return p
}

func addLine(p *plot.Plot, name string, col color.Color, pts plotter.XYs) error {
	if len(pts) == 0 {
		return nil
	}
	line, err := plotter.NewLine(pts)
	if err != nil {
		return errors.Wrap(err, "plot")
	}
	line.Color = col
	line.Width = vg.Points(1.5)
	p.Add(line)
	p.Legend.Add(name, line)
	return nil
}

// distribution returns up to 200 points of the cumulative distribution.
func distribution(sorted []time.Duration) plotter.XYs {
	const points = 200
	var pts plotter.XYs
	for i := 1; i <= points && len(sorted) > 0; i++ {
		q := float64(i) / points
		pts = append(pts, plotter.XY{
			X: max(minStallMS, millis(quantile(sorted, q))),
			Y: q,
		})
	}
	return pts
}

// stallsOverTime returns the mean stall per stallBucket.
func stallsOverTime(list []StallPoint) plotter.XYs {
	sums := make(map[time.Duration]time.Duration)
	counts := make(map[time.Duration]int)
	for _, p := range list {
		at := p.At.Truncate(stallBucket)
		sums[at] += p.Stall
		counts[at]++
	}
	var pts plotter.XYs
	for at, sum := range sums {
		pts = append(pts, plotter.XY{
			X: at.Seconds(),
			Y: sum.Seconds() / float64(counts[at]),
		})
	}
	slices.SortFunc(pts, compareX)
	return pts
}

func compareX(a, b plotter.XY) int {
	switch {
	case a.X < b.X:
		return -1
	case a.X > b.X:
		return 1
	}
	return 0
}

func efficiencyOverTime(list []EfficiencyPoint) plotter.XYs {
	pts := make(plotter.XYs, 0, len(list))
	for _, p := range list {
		pts = append(pts, plotter.XY{
			X: p.At.Seconds(),
			Y: p.Efficiency,
		})
	}
	return pts
}

// drawTiles draws the plots below each other.
func drawTiles(plots []*plot.Plot, c draw.Canvas) {
	t := draw.Tiles{
		Rows:      plotRows,
		Cols:      1,
		PadTop:    vg.Points(8),
		PadBottom: vg.Points(8),
		PadLeft:   vg.Points(8),
		PadRight:  vg.Points(8),
		PadY:      vg.Points(12),
	}
	rows := make([][]*plot.Plot, 0, len(plots))
	for _, p := range plots {
		rows = append(rows, []*plot.Plot{p})
	}
	canvases := plot.Align(rows, t, c)
	for i, row := range rows {
		row[0].Draw(canvases[i][0])
	}
}

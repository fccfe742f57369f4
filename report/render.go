package report

import (
	"bytes"
	"fmt"
	"html/template"
	"image/color"
	"io"
	"text/tabwriter"
	"time"

	"github.com/cockroachdb/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"
)

// WriteText writes the report as a table.
func (b BurnReport) WriteText(w io.Writer) error {
	fmt.Fprintf(w, "service-level burn at %s, %d processes", b.Time.UTC().Format(time.RFC3339), b.Processes)
	if len(b.Missing) > 0 {
		fmt.Fprintf(w, ", %d did not answer: %v", len(b.Missing), b.Missing)
	}
	fmt.Fprintln(w)
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "objective\tteam\tindicator\tgood if\ttarget\tpolicy\talert\tlong burn\tshort burn\tevents\tknown\t")
	for _, l := range b.Objectives {
		for _, f := range l.Alerts {
			fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%g%%\t%s\t%s\t%s\t%s\t%d\t%.0f%%\t\n",
				l.Objective.Name, l.Objective.Team, l.Objective.Indicator, l.Objective.goodCondition(),
				100*l.Objective.Target, l.Policy, f.stateText(), f.Long.burnText(), f.Short.burnText(), f.Long.Events, 100*f.Long.KnownFraction)
		}
	}
	return t.Flush()
}

func (o Objective) goodCondition() string {
	if o.Threshold == 0 {
		return "done"
	}
	return "<= " + o.Threshold.String()
}

func (f AlertState) stateText() string {
	if f.Firing {
		return f.Alert + " FIRES"
	}
	return f.Alert
}

func (s WindowBurn) burnText() string {
	if s.NoData {
		return "unknown"
	}
	return fmt.Sprintf("%.2f", s.BurnRate)
}

// pageTemplate is the template of the HTML report. The page refers to no other files.
var pageTemplate = template.Must(template.New("burn").Parse(`<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>Service-level burn</title>
<style>
body{font:15px/1.45 system-ui,sans-serif;margin:2rem auto;max-width:62rem;color:#1b2733}
table{border-collapse:collapse;margin:.6rem 0 1.2rem}
th,td{border:1px solid #c9d3dd;padding:.25rem .6rem;text-align:right}
th:first-child,td:first-child{text-align:left}
.fires{background:#fbd5d5;font-weight:600}
.unknown{color:#7a6a00;background:#fff6d6}
svg{max-width:100%;height:auto}
</style></head><body>
<h1>Service-level burn</h1>
<p>At {{.At}}, counted by {{.Processes}} processes.
{{if .Missing}}<strong>Not answered, their minutes are unknown:</strong> {{range .Missing}}{{.}} {{end}}{{end}}</p>
{{range .Lines}}
<h2>{{.Title}}</h2>
<p>{{.Text}}</p>
<table><tr><th>alert</th><th>window</th><th>burn</th><th>bad</th><th>events</th><th>known</th></tr>
{{range .Rows}}<tr class="{{.Class}}"><td>{{.Alert}}</td><td>{{.Window}}</td><td>{{.Burn}}</td><td>{{.Bad}}</td><td>{{.Events}}</td><td>{{.Known}}</td></tr>
{{end}}</table>
{{.Plot}}
{{end}}
</body></html>
`))

type pageData struct {
	At        string
	Processes int
	Missing   []string
	Lines     []pageLine
}

type pageLine struct {
	Title string
	Text  string
	Rows  []pageRow
	Plot  template.HTML
}

type pageRow struct {
	Class  string
	Alert  string
	Window string
	Burn   string
	Bad    uint64
	Events uint64
	Known  string
}

// WriteHTML writes the report as a self-contained HTML page with plots.
func (b BurnReport) WriteHTML(w io.Writer) error {
	data := pageData{
		At:        b.Time.UTC().Format(time.RFC3339),
		Processes: b.Processes,
		Missing:   b.Missing,
	}
	for _, l := range b.Objectives {
		pl, err := l.pageLine()
		if err != nil {
			return err
		}
		data.Lines = append(data.Lines, pl)
	}
	return errors.Wrap(pageTemplate.Execute(w, data), "report")
}

func (l ObjectiveReport) pageLine() (pageLine, error) {
	o := l.Objective
	pl := pageLine{
		Title: fmt.Sprintf("%s: %s", o.Team, o.Name),
		Text:  fmt.Sprintf("%g%% of %s events %s, over %s.", 100*o.Target, o.Indicator, o.goodCondition(), o.Window),
	}
	if l.Policy != "" {
		pl.Title += ", policy " + l.Policy
	}
	for _, f := range l.Alerts {
		for _, s := range []WindowBurn{f.Long, f.Short} {
			pl.Rows = append(pl.Rows, newPageRow(f, s))
		}
	}
	svg, err := l.plotSVG()
	pl.Plot = template.HTML(svg)
	return pl, err
}

func newPageRow(f AlertState, s WindowBurn) pageRow {
	r := pageRow{
		Alert:  f.Alert,
		Window: s.Length.String(),
		Burn:   s.burnText(),
		Bad:    s.Bad,
		Events: s.Events,
		Known:  fmt.Sprintf("%.0f%%", 100*s.KnownFraction),
	}
	switch {
	case f.Firing:
		r.Class = "fires"
	case s.NoData:
		r.Class = "unknown"
	}
	return r
}

// plotSVG returns an SVG plot of the burn rate by minute of the last hour. Minutes
// without events are gaps.
func (l ObjectiveReport) plotSVG() (string, error) {
	p := plot.New()
	p.Title.Text = "burn rate by minute, last hour (gaps: unknown)"
	p.X.Label.Text = "minutes ago"
	p.Add(plotter.NewGrid())
	for _, pts := range l.segments() {
		line, err := plotter.NewLine(pts)
		if err != nil {
			return "", errors.Wrap(err, "plot")
		}
		dots, err := plotter.NewScatter(pts)
		if err != nil {
			return "", errors.Wrap(err, "plot")
		}
		blue := color.RGBA{R: 30, G: 90, B: 160, A: 255}
		line.Color = blue
		line.Width = vg.Points(1.5)
		dots.GlyphStyle.Color = blue
		dots.GlyphStyle.Radius = vg.Points(1.5)
		p.Add(line, dots)
	}
	if p.Y.Max <= 0 {
		p.Y.Max = 1
	}
	p.Y.Min = 0
	p.X.Min = -plotMinutes
	p.X.Max = 0
	const width, height = 24 * vg.Centimeter, 7 * vg.Centimeter
	c := vgsvg.New(width, height)
	p.Draw(draw.New(c))
	var buf bytes.Buffer
	if _, err := c.WriteTo(&buf); err != nil {
		return "", errors.Wrap(err, "plot")
	}
	svg := buf.Bytes()
	if i := bytes.Index(svg, []byte("<svg")); i > 0 {
		svg = svg[i:]
	}
	return string(svg), nil
}

// segments returns the burn rates of each run of consecutive minutes with events.
func (l ObjectiveReport) segments() []plotter.XYs {
	var list []plotter.XYs
	var run plotter.XYs
	for i, m := range l.Minutes {
		if m.Events == 0 {
			if len(run) > 0 {
				list = append(list, run)
			}
			run = nil
			continue
		}
		run = append(run, plotter.XY{
			X: float64(i - plotMinutes),
			Y: float64(m.Bad) / float64(m.Events) / (1 - l.Objective.Target),
		})
	}
	if len(run) > 0 {
		list = append(list, run)
	}
	return list
}

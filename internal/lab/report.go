package lab

import (
	"bytes"
	"fmt"
	"html/template"
	"image/color"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"
)

const (
	plotWidth  = 24 * vg.Centimeter
	plotHeight = 8 * vg.Centimeter
	maxCurves  = 40 // in one plot; more would be indistinguishable
)

// curve is one line of a plot, with a value for each second.
type curve struct {
	name   string
	values []float64
}

// reportPage is the template of the report, a single page that needs no other files.
var reportPage = template.Must(template.New("report").Parse(`<!doctype html>
<meta charset="utf-8"><title>{{.R.Scenario}}, seed {{.R.Seed}}</title>
<style>body{font:15px sans-serif;max-width:62em;margin:2em auto}td,th{text-align:left;padding:.1em .8em .1em 0;vertical-align:top}
.bad{color:#a00;font-weight:bold}svg{max-width:100%;height:auto}</style>
<h1>{{.R.Scenario}}</h1>
<p>{{.R.About}}</p>
<p>To play it again: <code>fleetlab play {{.R.Scenario}} --seed {{.R.Seed}} --sidecars {{.R.Sidecars}} --servers {{.R.Servers}}</code>
on the tree {{.R.Commit}} (program {{.R.Program}}). Played {{.R.Began}}, {{.R.Seconds}} s.</p>
{{with .R.Late}}<p class="bad">The lab ran late: {{.}}. Measured times of this run are unreliable.</p>{{end}}
<h2>Invariants</h2><table>
{{range .R.Verdicts}}<tr><td>{{.Invariant}}</td><td>{{if not .Judged}}not judged{{else if .Held}}held{{else}}<span class="bad">broken {{.Broken}} times</span>{{end}}</td>
<td>{{range .Findings}}{{.}}<br>{{end}}</td></tr>{{end}}</table>
<h2>Faults</h2><ol>{{range .R.Plan}}<li>{{.}}</li>{{else}}<li>none</li>{{end}}</ol>
{{range .Plots}}<h2>{{.Title}}</h2>{{.SVG}}{{end}}
<h2>Figures</h2><table>{{range .Figures}}<tr><td>{{.Name}}</td><td>{{printf "%.4g" .Value}}</td></tr>{{end}}</table>
`))

// renderReport renders the report of a result as HTML, with plots of the run.
func renderReport(r *Result, run *run) ([]byte, error) {
	type drawn struct {
		Title string
		SVG   template.HTML
	}
	type figure struct {
		Name  string
		Value float64
	}
	data := struct {
		R       *Result
		Plots   []drawn
		Figures []figure
	}{R: r}
	k := run.clients
	late := k.outcomes[Served].values()
	for i, v := range k.inTime.values() {
		late[i] -= v
	}
	lost := k.outcomes[Broken].values()
	for i, v := range k.outcomes[Unreachable].values() {
		lost[i] += v
	}
	var p50, p99 []float64
	for _, h := range k.latencyBySecond {
		p50 = append(p50, float64(h.ValueAtQuantile(50))/1000)
		p99 = append(p99, float64(h.ValueAtQuantile(99))/1000)
	}
	var servers, sidecars []curve
	for i, c := range run.servers.arrivals {
		servers = append(servers, curve{serverName(i), c.values()})
	}
	for i, c := range k.servedBySidecar {
		sidecars = append(sidecars, curve{sidecarName(i), c.values()})
	}
	for _, p := range []struct {
		title, unit string
		curves      []curve
	}{
		{"Requests by outcome, in the second in which they were due", "requests a second", []curve{
			{"in time", k.inTime.values()}, {"late", late}, {"refused", k.outcomes[Refused].values()}, {"failed", k.outcomes[Failed].values()},
			{"gave up", k.outcomes[GaveUp].values()}, {"broken or unreachable", lost},
		}},
		{"Latency, from when a request was due", "milliseconds", []curve{{"p50", p50}, {"p99", p99}}},
		{"Attempts that reached each server", "attempts a second", servers},
		{"Servers slowed down by overload", "servers", []curve{{"congested", run.servers.congested.values()}}},
		{"Requests served by each sidecar", "requests a second", sidecars},
		{"Attempts at the ready, warm servers", "relative to their mean", spreadCurves(run.servers.arrivals, run.fits, run.scenario.For.Std())},
	} {
		svg, err := drawPlot(p.unit, p.curves, run.faults.played, run.scenario.For.Std())
		if err != nil {
			return nil, err
		}
		data.Plots = append(data.Plots, drawn{p.title, template.HTML(svg)})
	}
	for _, name := range FigureNames(r) {
		data.Figures = append(data.Figures, figure{name, r.Figures[name]})
	}
	var out bytes.Buffer
	err := reportPage.Execute(&out, data)
	return out.Bytes(), err
}

// drawPlot draws curves over time as SVG, with a vertical line where each fault began and a lighter one where it ended.
func drawPlot(unit string, curves []curve, marks []PlayedFault, length time.Duration) ([]byte, error) {
	p := plot.New()
	p.X.Label.Text, p.Y.Label.Text = "seconds", unit
	p.X.Min, p.X.Max, p.Y.Min = 0, length.Seconds(), 0
	p.Legend.Top = true
	highest := 1.0
	for i, c := range curves[:min(len(curves), maxCurves)] {
		var points plotter.XYs
		for second, v := range c.values {
			if float64(second) < length.Seconds() {
				points = append(points, plotter.XY{X: float64(second) + 0.5, Y: v})
				highest = max(highest, v)
			}
		}
		line, err := plotter.NewLine(points)
		if err != nil {
			return nil, err
		}
		line.Color, line.Width = plotutil.Color(i), vg.Points(1)
		p.Add(line)
		if len(curves) <= 8 {
			p.Legend.Add(c.name, line)
		}
	}
	p.Y.Max = highest * 1.05
	for i, m := range marks {
		for at, shade := range map[time.Duration]uint8{m.At: 60, m.Until: 180} {
			if at == 0 && shade == 180 {
				continue
			}
			line, err := plotter.NewLine(plotter.XYs{{X: at.Seconds(), Y: 0}, {X: at.Seconds(), Y: p.Y.Max}})
			if err != nil {
				return nil, err
			}
			line.Color, line.Dashes = color.Gray{shade}, []vg.Length{vg.Points(3), vg.Points(2)}
			p.Add(line)
		}
		name, err := plotter.NewLabels(plotter.XYLabels{
			XYs: plotter.XYs{{X: m.At.Seconds(), Y: p.Y.Max * 0.97}}, Labels: []string{fmt.Sprint(i + 1)},
		})
		if err != nil {
			return nil, err
		}
		p.Add(name)
	}
	canvas := vgsvg.New(plotWidth, plotHeight)
	p.Draw(draw.New(canvas))
	var out bytes.Buffer
	if _, err := canvas.WriteTo(&out); err != nil {
		return nil, err
	}
	if i := bytes.Index(out.Bytes(), []byte("<svg")); i > 0 { // an SVG inside an HTML page has no XML header
		out.Next(i)
	}
	return out.Bytes(), nil
}

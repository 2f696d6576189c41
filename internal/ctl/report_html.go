package ctl

import (
	"bytes"
	"fmt"
	"html/template"
	"strings"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/vgsvg"

	"github.com/amaranthfold/amaranthfold/internal/measure"
)

// Sizes of a chart.
const (
	chartWidth  = 18 * vg.Centimeter
	chartHeight = 8 * vg.Centimeter
	barWidth    = 18 // points
)

// chart is a bar chart: one bar per name, with the value at the same index.
type chart struct {
	title, axis string
	names       []string
	values      plotter.Values
}

func (c *chart) add(name string, value float64) {
	c.names = append(c.names, name)
	c.values = append(c.values, value)
}

// charts returns the charts of a report. A chart without data has no bars.
func charts(r *measure.Report) []chart {
	p99 := chart{title: "99th percentile by client account", axis: "milliseconds"}
	unserved := chart{title: "Requests failed or refused by client account", axis: "requests"}
	for _, a := range r.Accounts {
		p99.add(a.Name, float64(a.P99Millis))
		unserved.add(a.Name, float64(a.Failed+a.Refused))
	}
	idle := chart{title: "Idle time by trainer", axis: "seconds"}
	stale := chart{title: "Mean staleness by trainer", axis: "weight versions"}
	for i := range r.Trainers {
		idle.add(r.Trainers[i].Name, r.Trainers[i].IdleSeconds)
		stale.add(r.Trainers[i].Name, r.Trainers[i].MeanStaleness())
	}
	spend := chart{title: "Target spend by data centre", axis: "currency units"}
	work := chart{title: "Work by data centre", axis: "tokens and calls"}
	for _, d := range r.DataCentres {
		name := d.Name
		if d.Cheap {
			name += " (cheap)"
		}
		spend.add(name, d.Spend)
		work.add(name, d.CallerWork+d.SampleWork)
	}
	return []chart{p99, unserved, idle, stale, spend, work}
}

// svg renders the chart as an SVG element.
func (c *chart) svg() (template.HTML, error) {
	p := plot.New()
	p.Title.Text, p.Y.Label.Text, p.Y.Min = c.title, c.axis, 0
	bars, err := plotter.NewBarChart(c.values, vg.Points(barWidth))
	if err != nil {
		return "", fmt.Errorf("chart %q: %w", c.title, err)
	}
	p.Add(bars)
	p.NominalX(c.names...)
	p.X.Tick.Label.Rotation = 0.5 // radians
	p.X.Tick.Label.XAlign = -1
	canvas, err := p.WriterTo(chartWidth, chartHeight, "svg")
	if err != nil {
		return "", fmt.Errorf("chart %q: %w", c.title, err)
	}
	var out bytes.Buffer
	if _, err := canvas.WriteTo(&out); err != nil {
		return "", fmt.Errorf("chart %q: %w", c.title, err)
	}
	// An SVG element in an HTML page must not have the XML declaration before it.
	_, element, _ := strings.Cut(out.String(), "<svg")
	return template.HTML("<svg" + element), nil //nolint:gosec // rendered by the plotting library, which escapes names
}

// Importing vgsvg registers the svg format with the plotting library.
var _ = vgsvg.New

var reportPage = template.Must(template.New("report").Parse(`<!DOCTYPE html>
<html lang="en"><head><meta charset="utf-8"><title>Measures</title>
<style>body{font-family:sans-serif;margin:2em;max-width:60em}table{border-collapse:collapse}td,th{border:1px solid #bbb;padding:.3em .6em;text-align:left}</style>
</head><body><h1>Measures</h1>
<p>Instances: {{range .Instances}}{{.}} {{end}}{{if .Missing}}— no answer from: {{range .Missing}}{{.}} {{end}}{{end}}</p>
<table>{{range .Rows}}<tr><th>{{index . 0}}</th><td>{{index . 1}}</td></tr>
{{end}}</table>
{{range .Charts}}<figure>{{.}}</figure>
{{end}}<pre>{{.Tables}}</pre></body></html>
`))

// htmlReport renders the report as one HTML page that loads no other resource.
func htmlReport(doc *reportDocument) ([]byte, error) {
	var svgs []template.HTML
	for _, c := range charts(&doc.Report) {
		if len(c.values) == 0 {
			continue
		}
		svg, err := c.svg()
		if err != nil {
			return nil, err
		}
		svgs = append(svgs, svg)
	}
	var tables, page bytes.Buffer
	if err := doc.Print(&tables); err != nil {
		return nil, err
	}
	err := reportPage.Execute(&page, struct {
		Instances, Missing []string
		Rows               [][2]string
		Charts             []template.HTML
		Tables             string
	}{doc.Instances, doc.Missing, doc.Summary.Rows(), svgs, tables.String()})
	if err != nil {
		return nil, fmt.Errorf("report page: %w", err)
	}
	return page.Bytes(), nil
}

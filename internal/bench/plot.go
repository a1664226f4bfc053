package bench

import (
	"io"
	"math"
	"text/template"
)

const (
	plotWidth        = 640
	plotLabelWidth   = 230
	plotBarHeight    = 18
	plotGap          = 6
	plotHeaderHeight = 34
	plotValueWidth   = 70
)

// plotTemplate draws one horizontal bar for each row.
var plotTemplate = template.Must(template.New("plot").Parse(`<svg xmlns="http://www.w3.org/2000/svg" width="{{.Width}}" height="{{.Height}}" font-family="sans-serif" font-size="12">
<rect width="100%" height="100%" fill="white"/>
<text x="8" y="20" font-weight="bold">{{html .Title}}</text>
{{range .Bars}}<text x="{{.LabelX}}" y="{{.TextY}}" text-anchor="end">{{html .Name}}</text>
<rect x="{{.X}}" y="{{.Y}}" width="{{printf "%.1f" .Width}}" height="{{.Height}}" fill="#4477aa"/>
<text x="{{printf "%.1f" .ValueX}}" y="{{.TextY}}">{{.Value}}</text>
{{end}}</svg>
`))

// bar is one row of plotTemplate.
type bar struct {
	Name, Value      string
	LabelX, X        int
	Y, TextY, Height int
	Width, ValueX    float64
}

// plot draws plottedColumn as an SVG bar chart. Ratios and values that are negative
// or not finite are left out.
func (t *Table) plot(w io.Writer) error {
	var rows []Row
	maxValue := 0.0
	for _, r := range t.Rows {
		v := float64(r.Values[t.plottedColumn])
		if t.isRatio(r.Name) || math.IsNaN(v) || math.IsInf(v, 0) || v < 0 {
			continue
		}
		rows = append(rows, r)
		maxValue = max(maxValue, v)
	}
	column := t.Columns[t.plottedColumn]
	data := struct {
		Title         string
		Width, Height int
		Bars          []bar
	}{t.Experiment + ": " + column.Name + " (" + column.Unit + ")", plotWidth, plotHeaderHeight + len(rows)*(plotBarHeight+plotGap), nil}
	for i, r := range rows {
		v := r.Values[t.plottedColumn]
		b := bar{Name: r.Name, Value: v.String(), LabelX: plotLabelWidth - plotGap, X: plotLabelWidth, Height: plotBarHeight}
		b.Y = plotHeaderHeight + i*(plotBarHeight+plotGap)
		b.TextY = b.Y + plotBarHeight - plotGap + 1
		if maxValue > 0 {
			b.Width = float64(v) / maxValue * (plotWidth - plotLabelWidth - plotValueWidth)
		}
		b.ValueX = float64(b.X) + b.Width + plotGap
		data.Bars = append(data.Bars, b)
	}
	return plotTemplate.Execute(w, data)
}

// isRatio reports whether name is the name of a ratio row.
func (t *Table) isRatio(name string) bool {
	for _, pair := range t.ratios {
		if name == pair[0]+" / "+pair[1] {
			return true
		}
	}
	return false
}

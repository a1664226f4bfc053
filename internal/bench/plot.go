package bench

import (
	"io"
	"math"
	"text/template"
)

const (
	plotWidth   = 640
	plotLabel   = 230
	plotBar     = 18
	plotGap     = 6
	plotHead    = 34
	plotNumbers = 70
)

// plotText draws one horizontal bar for each row.
var plotText = template.Must(template.New("plot").Parse(`<svg xmlns="http://www.w3.org/2000/svg" width="{{.Width}}" height="{{.Height}}" font-family="sans-serif" font-size="12">
<rect width="100%" height="100%" fill="white"/>
<text x="8" y="20" font-weight="bold">{{html .Title}}</text>
{{range .Bars}}<text x="{{.LabelX}}" y="{{.TextY}}" text-anchor="end">{{html .Name}}</text>
<rect x="{{.X}}" y="{{.Y}}" width="{{printf "%.1f" .Width}}" height="{{.Height}}" fill="#4477aa"/>
<text x="{{printf "%.1f" .ValueX}}" y="{{.TextY}}">{{.Value}}</text>
{{end}}</svg>
`))

type bar struct {
	Name, Value      string
	LabelX, X        int
	Y, TextY, Height int
	Width, ValueX    float64
}

// plot draws the table's main column as SVG. Ratios are left out.
func (t *Table) plot(w io.Writer) error {
	var rows []Row
	highest := 0.0
	for _, r := range t.Rows {
		v := float64(r.Values[t.plotted])
		if t.isRatio(r.Name) || math.IsNaN(v) || math.IsInf(v, 0) || v < 0 {
			continue
		}
		rows = append(rows, r)
		highest = max(highest, v)
	}
	column := t.Columns[t.plotted]
	data := struct {
		Title         string
		Width, Height int
		Bars          []bar
	}{t.Experiment + ": " + column.Name + " (" + column.Unit + ")", plotWidth, plotHead + len(rows)*(plotBar+plotGap), nil}
	for i, r := range rows {
		v := r.Values[t.plotted]
		b := bar{Name: r.Name, Value: v.String(), LabelX: plotLabel - plotGap, X: plotLabel, Height: plotBar}
		b.Y = plotHead + i*(plotBar+plotGap)
		b.TextY = b.Y + plotBar - plotGap + 1
		if highest > 0 {
			b.Width = float64(v) / highest * (plotWidth - plotLabel - plotNumbers)
		}
		b.ValueX = float64(b.X) + b.Width + plotGap
		data.Bars = append(data.Bars, b)
	}
	return plotText.Execute(w, data)
}

func (t *Table) isRatio(name string) bool {
	for _, pair := range t.ratios {
		if name == pair[0]+" / "+pair[1] {
			return true
		}
	}
	return false
}

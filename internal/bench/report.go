package bench

import (
	"encoding/json"
	"fmt"
	"io"
	"math"
	"os"
	"path/filepath"
	"runtime/pprof"
	"slices"
	"strconv"
	"strings"
	"text/tabwriter"
)

// Report is the content of the JSON file.
type Report struct {
	Seed   uint64  `json:"seed"`
	Runs   int     `json:"runs"`
	Scale  float64 `json:"scale"`
	Tables []Table `json:"tables"`
}

// Column describes the values of one column.
type Column struct {
	Name string `json:"name"`
	Unit string `json:"unit,omitempty"`
	// HigherIsBetter decides which of several runs is the worst.
	HigherIsBetter bool `json:"higher_is_better,omitempty"`
}

// Row holds the median and the worst value of each column over the runs. A value
// that was not measured is NaN, and null in JSON.
type Row struct {
	Name   string   `json:"name"`
	Values []Number `json:"values"`
	Worst  []Number `json:"worst,omitempty"`
}

// Number is a float64 that is null in JSON if it is NaN or infinite.
type Number float64

// MarshalJSON implements json.Marshaler.
func (n Number) MarshalJSON() ([]byte, error) {
	if math.IsNaN(float64(n)) || math.IsInf(float64(n), 0) {
		return []byte("null"), nil
	}
	return json.Marshal(float64(n))
}

// UnmarshalJSON implements json.Unmarshaler.
func (n *Number) UnmarshalJSON(data []byte) error {
	if string(data) == "null" {
		*n = Number(math.NaN())
		return nil
	}
	return json.Unmarshal(data, (*float64)(n))
}

// String formats n with three significant digits; from 100 on, it rounds to an
// integer.
func (n Number) String() string {
	v := float64(n)
	switch {
	case math.IsNaN(v):
		return "-"
	case math.Abs(v) >= 100 || v == math.Trunc(v):
		return strconv.FormatFloat(v, 'f', 0, 64)
	}
	return strconv.FormatFloat(v, 'g', 3, 64)
}

// Table is a table of results of one experiment.
type Table struct {
	Experiment string   `json:"experiment"`
	Title      string   `json:"title"`
	Columns    []Column `json:"columns"`
	Rows       []Row    `json:"rows"`
	Notes      []string `json:"notes,omitempty"`
	// ratios are pairs of row names; the ratio of the two rows is shown below the
	// second one.
	ratios [][2]string
	// plottedColumn is the index of the column that the plot shows.
	plottedColumn int
}

func (t *Table) addRow(name string, values ...float64) {
	row := Row{Name: name}
	for _, v := range values {
		row.Values = append(row.Values, Number(v))
	}
	t.Rows = append(t.Rows, row)
}

// addRatio makes combineRuns add a row with the ratio of the row to the base row,
// both given by name.
func (t *Table) addRatio(row, base string) { t.ratios = append(t.ratios, [2]string{row, base}) }

// combineRuns takes the median and the worst of each cell over the runs. Every run
// has the same tables and rows.
func combineRuns(name string, runs [][]Table) []Table {
	tables := runs[0]
	for i := range tables {
		t := &tables[i]
		t.Experiment = name
		for r := range t.Rows {
			if len(runs) == 1 {
				continue
			}
			row := Row{Name: t.Rows[r].Name}
			for c, column := range t.Columns {
				var cells []float64
				for _, run := range runs {
					cells = append(cells, float64(run[i].Rows[r].Values[c]))
				}
				median, worst := medianAndWorst(cells, column.HigherIsBetter)
				row.Values = append(row.Values, Number(median))
				row.Worst = append(row.Worst, Number(worst))
			}
			t.Rows[r] = row
		}
		t.insertRatios()
	}
	return tables
}

// medianAndWorst ignores values that were not measured (NaN). Both results are NaN
// if no value was measured.
func medianAndWorst(values []float64, higherIsBetter bool) (median, worst float64) {
	values = slices.DeleteFunc(slices.Clone(values), math.IsNaN)
	if len(values) == 0 {
		return math.NaN(), math.NaN()
	}
	slices.Sort(values)
	n := len(values)
	median = (values[(n-1)/2] + values[n/2]) / 2
	if higherIsBetter {
		return median, values[0]
	}
	return median, values[n-1]
}

// insertRatios inserts each ratio below the row of its denominator.
func (t *Table) insertRatios() {
	for _, pair := range t.ratios {
		numerator, denominator := t.row(pair[0]), t.row(pair[1])
		ratio := Row{Name: pair[0] + " / " + pair[1]}
		for c := range numerator.Values {
			ratio.Values = append(ratio.Values, Number(float64(numerator.Values[c])/float64(denominator.Values[c])))
		}
		index := slices.IndexFunc(t.Rows, func(r Row) bool { return r.Name == pair[1] })
		t.Rows = slices.Insert(t.Rows, index+1, ratio)
	}
}

func (t *Table) row(name string) Row {
	return t.Rows[slices.IndexFunc(t.Rows, func(r Row) bool { return r.Name == name })]
}

// Write prints the table as text.
func (t *Table) Write(w io.Writer) {
	fmt.Fprintf(w, "\n%s: %s\n\n", t.Experiment, t.Title)
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	headers := []string{"case"}
	for _, c := range t.Columns {
		header := c.Name
		if c.Unit != "" {
			header += " (" + c.Unit + ")"
		}
		headers = append(headers, header)
	}
	fmt.Fprintln(tw, strings.Join(headers, "\t"))
	for _, r := range t.Rows {
		cells := []string{r.Name}
		for i, v := range r.Values {
			cell := v.String()
			if i < len(r.Worst) {
				cell += " [" + r.Worst[i].String() + "]"
			}
			cells = append(cells, cell)
		}
		fmt.Fprintln(tw, strings.Join(cells, "\t"))
	}
	_ = tw.Flush()
	for _, note := range t.Notes {
		fmt.Fprintf(w, "%s\n", note)
	}
}

// writeFiles writes the JSON file and the plots. An empty path leaves them out.
func (r Report) writeFiles(jsonFile, plotDir string) error {
	if jsonFile != "" {
		data, err := json.MarshalIndent(r, "", "  ")
		if err != nil {
			return err
		}
		if err := os.WriteFile(jsonFile, append(data, '\n'), 0o644); err != nil {
			return err
		}
	}
	if plotDir == "" {
		return nil
	}
	if err := os.MkdirAll(plotDir, 0o755); err != nil {
		return err
	}
	for i, t := range r.Tables {
		f, err := os.Create(filepath.Join(plotDir, fmt.Sprintf("%02d-%s.svg", i+1, t.Experiment)))
		if err != nil {
			return err
		}
		err = t.plot(f)
		if err := f.Close(); err != nil {
			return err
		}
		if err != nil {
			return err
		}
	}
	return nil
}

// startCPUProfile starts a CPU profile, unless file is empty, and returns the
// function that ends it.
func startCPUProfile(file string) (stop func(), err error) {
	if file == "" {
		return func() {}, nil
	}
	f, err := os.Create(file)
	if err != nil {
		return nil, err
	}
	if err := pprof.StartCPUProfile(f); err != nil {
		return nil, err
	}
	return func() {
		pprof.StopCPUProfile()
		_ = f.Close()
	}, nil
}

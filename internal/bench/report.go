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

// Row holds the median of each column over the runs, and the worst. A value
// that was not measured is null.
type Row struct {
	Name   string   `json:"name"`
	Values []Number `json:"values"`
	Worst  []Number `json:"worst,omitempty"`
}

// Number is a float64 that is null in JSON if it is not a number.
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

// String formats three significant digits.
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

// Table is the result of one experiment.
type Table struct {
	Experiment string   `json:"experiment"`
	Title      string   `json:"title"`
	Columns    []Column `json:"columns"`
	Rows       []Row    `json:"rows"`
	Notes      []string `json:"notes,omitempty"`
	// Ratios are pairs of rows whose ratio is shown below them.
	ratios [][2]string
	// plotted is the column that the plot shows.
	plotted int
}

func (t *Table) add(name string, values ...float64) {
	row := Row{Name: name}
	for _, v := range values {
		row.Values = append(row.Values, Number(v))
	}
	t.Rows = append(t.Rows, row)
}

// compare adds a row with the ratio of two rows after the runs are combined.
func (t *Table) compare(ours, naive string) { t.ratios = append(t.ratios, [2]string{ours, naive}) }

// combine takes the median and the worst of each cell over the runs. Every run
// has the same tables and rows.
func combine(name string, runs [][]Table) []Table {
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
		t.addRatios()
	}
	return tables
}

// medianAndWorst ignores values that were not measured.
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

func (t *Table) addRatios() {
	for _, pair := range t.ratios {
		a, b := t.row(pair[0]), t.row(pair[1])
		ratio := Row{Name: pair[0] + " / " + pair[1]}
		for c := range a.Values {
			ratio.Values = append(ratio.Values, Number(float64(a.Values[c])/float64(b.Values[c])))
		}
		at := slices.IndexFunc(t.Rows, func(r Row) bool { return r.Name == pair[1] })
		t.Rows = slices.Insert(t.Rows, at+1, ratio)
	}
}

func (t *Table) row(name string) Row {
	return t.Rows[slices.IndexFunc(t.Rows, func(r Row) bool { return r.Name == name })]
}

// Write prints the table as text.
func (t *Table) Write(w io.Writer) {
	fmt.Fprintf(w, "\n%s: %s\n\n", t.Experiment, t.Title)
	tab := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	heads := []string{"case"}
	for _, c := range t.Columns {
		head := c.Name
		if c.Unit != "" {
			head += " (" + c.Unit + ")"
		}
		heads = append(heads, head)
	}
	fmt.Fprintln(tab, strings.Join(heads, "\t"))
	for _, r := range t.Rows {
		cells := []string{r.Name}
		for i, v := range r.Values {
			cell := v.String()
			if i < len(r.Worst) {
				cell += " [" + r.Worst[i].String() + "]"
			}
			cells = append(cells, cell)
		}
		fmt.Fprintln(tab, strings.Join(cells, "\t"))
	}
	_ = tab.Flush()
	for _, note := range t.Notes {
		fmt.Fprintf(w, "%s\n", note)
	}
}

// save writes the JSON file and the plots, if asked for.
func (r Report) save(file, dir string) error {
	if file != "" {
		data, err := json.MarshalIndent(r, "", "  ")
		if err != nil {
			return err
		}
		if err := os.WriteFile(file, append(data, '\n'), 0o644); err != nil {
			return err
		}
	}
	if dir == "" {
		return nil
	}
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	for i, t := range r.Tables {
		f, err := os.Create(filepath.Join(dir, fmt.Sprintf("%02d-%s.svg", i+1, t.Experiment)))
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

// startProfile starts a CPU profile if a file is named.
func startProfile(file string) (stop func(), err error) {
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

package report

import (
	"errors"
	"fmt"
	"io"
	"os"
	"strings"
	"text/tabwriter"
)

// WriteText writes a summary of one result, or of two that are compared.
func WriteText(w io.Writer, results ...Result) error {
	if err := checkResultCount(results); err != nil {
		return err
	}
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	for run, r := range results {
		fmt.Fprintf(t, "%s: %s\n", runLabel(r.Title, run, len(results)), r.CommandWithSeed())
	}
	if q := quantileTable(results); len(q.Rows) > 0 {
		writeTable(t, q)
	}
	if c := ratioTable(results); len(c.Rows) > 0 {
		writeTable(t, c)
	}
	bars := Table{Title: "Policy beside baseline", Columns: []string{"measure", "policy", "baseline", "unit", "ratio"}}
	for run, r := range results {
		for _, c := range r.Bars {
			bars.Rows = append(bars.Rows, []string{runLabel(c.Name, run, len(results)), formatNumber(c.Policy), formatNumber(c.Baseline), c.Unit, formatRatio(c)})
		}
	}
	if len(bars.Rows) > 0 {
		writeTable(t, bars)
	}
	for _, table := range groupTables(results) {
		writeTable(t, table)
	}
	if err := t.Flush(); err != nil {
		return fmt.Errorf("writing the summary: %w", err)
	}
	return nil
}

func writeTable(w io.Writer, t Table) {
	fmt.Fprintf(w, "\n%s\n%s\n", t.Title, strings.Join(t.Columns, "\t"))
	for _, row := range t.Rows {
		fmt.Fprintln(w, strings.Join(row, "\t"))
	}
}

// Files reads one or two result files, writes the summary to out and, if
// htmlPath is not empty, the page.
func Files(paths []string, htmlPath string, out io.Writer) error {
	results := make([]Result, len(paths))
	for i, path := range paths {
		f, err := os.Open(path)
		if err != nil {
			return fmt.Errorf("opening the result: %w", err)
		}
		results[i], err = Read(f)
		f.Close()
		if err != nil {
			return fmt.Errorf("%s: %w", path, err)
		}
	}
	if err := WriteText(out, results...); err != nil || htmlPath == "" {
		return err
	}
	f, err := os.Create(htmlPath)
	if err != nil {
		return fmt.Errorf("creating the page: %w", err)
	}
	return errors.Join(WriteHTML(f, results...), f.Close())
}

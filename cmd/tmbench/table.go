package main

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
)

// table is a table of text. The first row has the names of the columns.
type table struct {
	rows [][]string
}

func newTable(columns ...string) *table {
	return &table{rows: [][]string{columns}}
}

// add adds a row. Floats get three significant digits.
func (t *table) add(cells ...any) {
	row := make([]string, 0, len(cells))
	for _, c := range cells {
		switch v := c.(type) {
		case float64:
			row = append(row, number(v))
		default:
			row = append(row, fmt.Sprint(v))
		}
	}
	t.rows = append(t.rows, row)
}

func number(v float64) string {
	switch {
	case v >= 100 || v <= -100:
		return fmt.Sprintf("%.0f", v)
	case v >= 10 || v <= -10:
		return fmt.Sprintf("%.1f", v)
	case v >= 1 || v <= -1:
		return fmt.Sprintf("%.2f", v)
	default:
		return fmt.Sprintf("%.4f", v)
	}
}

// write writes the table with a line of what it shows.
func (t *table) write(out io.Writer, title string) error {
	if _, err := fmt.Fprintf(out, "\n%s\n", title); err != nil {
		return err
	}
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	for _, row := range t.rows {
		if _, err := fmt.Fprintln(w, strings.Join(row, "\t")); err != nil {
			return err
		}
	}
	return w.Flush()
}

// met says whether a value is within its target.
func met(ok bool) string {
	if ok {
		return "met"
	}
	return "MISSED"
}

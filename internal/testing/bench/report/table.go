package report

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
)

// Table is a table of formatted cells with a title and column names.
type Table struct {
	Title   string
	Columns []string
	Rows    [][]string
}

// Add appends a row. Cells are formatted with fmt.Sprint, but float64 values with four significant digits.
func (t *Table) Add(cells ...any) {
	row := make([]string, len(cells))
	for i, c := range cells {
		row[i] = cell(c)
	}
	t.Rows = append(t.Rows, row)
}

func cell(c any) string {
	if f, ok := c.(float64); ok {
		return fmt.Sprintf("%.4g", f)
	}
	return fmt.Sprint(c)
}

// Text writes the table as aligned plain text.
func (t *Table) Text(w io.Writer) error {
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	if t.Title != "" {
		fmt.Fprintln(w, t.Title)
	}
	fmt.Fprintln(tw, strings.Join(t.Columns, "\t"))
	for _, r := range t.Rows {
		fmt.Fprintln(tw, strings.Join(r, "\t"))
	}
	if err := tw.Flush(); err != nil {
		return fmt.Errorf("write table: %w", err)
	}
	return nil
}

// Markdown writes the table as Markdown, in the format of docs/measurements.md.
func (t *Table) Markdown(w io.Writer) error {
	var b strings.Builder
	if t.Title != "" {
		fmt.Fprintf(&b, "%s\n\n", t.Title)
	}
	fmt.Fprintf(&b, "| %s |\n", strings.Join(t.Columns, " | "))
	b.WriteString("|" + strings.Repeat("---|", len(t.Columns)) + "\n")
	for _, r := range t.Rows {
		fmt.Fprintf(&b, "| %s |\n", strings.Join(r, " | "))
	}
	if _, err := io.WriteString(w, b.String()); err != nil {
		return fmt.Errorf("write table: %w", err)
	}
	return nil
}

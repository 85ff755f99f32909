package htmlreport

import (
	_ "embed"
	"encoding/base64"
	"fmt"
	"html/template"
	"io"
	"os"

	"github.com/cardamomyoke/cardamomyoke/internal/testing/bench/report"
)

// Plot is one picture with the words that stand below it.
type Plot struct {
	// File is an SVG file.
	File    string
	Caption string
}

// Section is what one bench found.
type Section struct {
	ID, Title, Text string
	// Command repeats the measurement.
	Command  string
	Tables   []report.Table
	Criteria []report.Claim
	Plots    []Plot
	// Output is what a bench wrote as text, if it has no tables of its own.
	Output string
	// Error is why the bench gave no result; empty if it did.
	Error string
}

// Page is the whole report.
type Page struct {
	Title, Provenance string
	Sections          []Section
}

//go:embed page.html
var pageTemplate string

// WriteHTML writes the page with its plots inside, so that it can be moved as one file.
func (p Page) WriteHTML(w io.Writer) error {
	t, err := template.New("page").Funcs(template.FuncMap{"picture": picture, "numeric": numeric}).Parse(pageTemplate)
	if err != nil {
		return fmt.Errorf("page: %w", err)
	}
	if err := t.Execute(w, p); err != nil {
		return fmt.Errorf("page: %w", err)
	}
	return nil
}

// picture returns the SVG file as a data URL.
func picture(file string) (template.URL, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return "", fmt.Errorf("plot: %w", err)
	}
	return template.URL("data:image/svg+xml;base64," + base64.StdEncoding.EncodeToString(data)), nil
}

// numeric reports whether a cell holds a figure, which is set flush right.
func numeric(cell string) bool {
	if cell == "" {
		return false
	}
	c := cell[0]
	return c >= '0' && c <= '9' || c == '-' || c == '+'
}

// WriteText writes the summary: the verdicts of each section and what gave no result.
func (p Page) WriteText(w io.Writer) error {
	fmt.Fprintf(w, "%s, %s\n", p.Title, p.Provenance)
	for _, s := range p.Sections {
		fmt.Fprintf(w, "\n%s (%s)\n", s.Title, s.Command)
		if s.Error != "" {
			fmt.Fprintf(w, "no result: %s\n", s.Error)
			continue
		}
		if s.Output != "" {
			fmt.Fprint(w, s.Output)
			continue
		}
		if len(s.Criteria) == 0 {
			fmt.Fprintf(w, "%d tables, no limits to meet\n", len(s.Tables))
		}
		if _, err := report.WriteClaims(w, s.Criteria); err != nil {
			return fmt.Errorf("summary: %w", err)
		}
	}
	return nil
}

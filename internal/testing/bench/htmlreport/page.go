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

// Plot is an image with its caption.
type Plot struct {
	// File is the path of an SVG file.
	File    string
	Caption string
}

// Section holds the results of one bench.
type Section struct {
	ID, Title, Text string
	// Command is the command line that repeats the measurement.
	Command  string
	Tables   []report.Table
	Criteria []report.Criterion
	Plots    []Plot
	// Output is the text output of a bench that has no tables.
	Output string
	// Error is the reason why the bench has no result, or empty.
	Error string
}

// Page is the complete report. Provenance states the time and the seeds of the run.
type Page struct {
	Title, Provenance string
	Sections          []Section
}

//go:embed page.html
var pageTemplate string

// WriteHTML writes the page as one self-contained file with the plots embedded.
func (p Page) WriteHTML(w io.Writer) error {
	page, err := template.New("page").Funcs(template.FuncMap{"picture": picture, "numeric": numeric}).Parse(pageTemplate)
	if err != nil {
		return fmt.Errorf("render page: %w", err)
	}
	if err := page.Execute(w, p); err != nil {
		return fmt.Errorf("render page: %w", err)
	}
	return nil
}

// picture returns the contents of an SVG file as a data URL.
func picture(file string) (template.URL, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return "", fmt.Errorf("read plot: %w", err)
	}
	return template.URL("data:image/svg+xml;base64," + base64.StdEncoding.EncodeToString(data)), nil
}

// numeric reports whether a cell holds a number, which the page aligns right.
func numeric(cell string) bool {
	if cell == "" {
		return false
	}
	c := cell[0]
	return c >= '0' && c <= '9' || c == '-' || c == '+'
}

// WriteText writes the text summary: the criteria, text output or error of each section.
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
		if _, err := report.WriteCriteria(w, s.Criteria); err != nil {
			return fmt.Errorf("write summary: %w", err)
		}
	}
	return nil
}

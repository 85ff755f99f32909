package ctl

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"github.com/cardamomyoke/cardamomyoke/internal/tool/explain"
)

// explainFlags holds the flags and arguments of explain.
type explainFlags struct {
	worst, twice  bool
	maxCauses     int
	before, after time.Duration
	// args holds the request's id, unless worst or twice is set, and the log files.
	args []string
}

const (
	// explainBefore covers the inputs of a placement: digests are less than a second old, and an upstream is avoided for a
	// few seconds.
	explainBefore = "3s"
	// explainAfter covers lines that show only later that an upstream had crashed.
	explainAfter = "1s"
	// explainMaxCauses is the number of causes that fit on a screen.
	explainMaxCauses = "20"
)

// RequestError reports that no log contains lines about a request, or that the command line names no request.
type RequestError struct{ Request string }

// Error implements error.
func (e *RequestError) Error() string {
	return fmt.Sprintf("request %s is in none of the logs: it never arrived, its lines were left out (see left_out), or other processes took it", e.Request)
}

func (s *session) registerExplain(app *kingpin.Application) {
	cmd := app.Command("explain", "Tell from logs what became of a request: explain ID [FILE...], explain --worst [FILE...] or explain --twice [FILE...]; standard input if no file is named.")
	f := &explainFlags{}
	cmd.Flag("worst", "Instead of one request: count what was refused, failed or late, by cause.").BoolVar(&f.worst)
	cmd.Flag("twice", "Instead of one request: the requests that may run once and that were sent more than once, with the proof that each attempt has not run.").BoolVar(&f.twice)
	cmd.Flag("most", "The most causes to print.").Default(explainMaxCauses).IntVar(&f.maxCauses)
	cmd.Flag("before", "How long before the request lines about its processes and upstreams count.").Default(explainBefore).DurationVar(&f.before)
	cmd.Flag("after", "The same after it.").Default(explainAfter).DurationVar(&f.after)
	cmd.Arg("id", "The request's id, then the logs' files.").StringsVar(&f.args)
	s.commands[cmd.FullCommand()] = func(context.Context) error { return s.explain(f, os.Stdin) }
}

func (s *session) explain(f *explainFlags, in io.Reader) error {
	files := f.args
	request := ""
	if !f.worst && !f.twice {
		if len(files) == 0 {
			return &FileError{File: "explain", Cause: &RequestError{"(none named)"}}
		}
		request, files = files[0], files[1:]
	}
	lines, err := readLogs(files, in)
	if err != nil {
		return err
	}
	if f.twice {
		return s.printResends(explain.Resends(lines))
	}
	if f.worst {
		return s.printCauses(explain.FailuresByCause(lines), f.maxCauses)
	}
	relevant := explain.ForRequest(lines, request, f.before, f.after)
	if len(relevant) == 0 {
		return &RequestError{request}
	}
	return s.printExplanation(request, relevant, explain.Attempts(lines, request))
}

// readLogs reads the files, or in if there are none. Errors: *FileError.
func readLogs(files []string, in io.Reader) ([]*explain.Line, error) {
	if len(files) == 0 {
		lines, err := explain.Read(in)
		if err != nil {
			return nil, &FileError{"standard input", err}
		}
		return lines, nil
	}
	var out []*explain.Line
	for _, name := range files {
		lines, err := readLog(name)
		if err != nil {
			return nil, &FileError{name, err}
		}
		out = append(out, lines...)
	}
	return out, nil
}

func readLog(name string) ([]*explain.Line, error) {
	file, err := os.Open(name)
	if err != nil {
		return nil, err
	}
	defer func() { _ = file.Close() }()
	return explain.Read(file)
}

func (s *session) printExplanation(request string, lines []*explain.Line, attempts []*explain.Attempt) error {
	if s.output == outputJSON {
		return s.printJSON(lines)
	}
	if len(attempts) > 0 {
		s.printTable(attemptHeader, attemptRows(request, attempts))
		_, _ = fmt.Fprintln(s.out)
	}
	var rows [][]string
	for _, l := range lines {
		about := "process"
		if l.Request != "" {
			about = "request"
		}
		var details []string
		for _, f := range l.Fields {
			if f.Value != "" {
				details = append(details, f.Key+"="+strings.ReplaceAll(f.Value, "\n", "; "))
			}
		}
		rows = append(rows, []string{l.At.UTC().Format("15:04:05.000"), l.Node, about, l.Message, strings.Join(details, " ")})
	}
	s.printTable([]string{"AT", "NODE", "ABOUT", "DECISION", "INPUTS AND OUTCOME"}, rows)
	return nil
}

var attemptHeader = []string{"REQUEST", "ATTEMPT", "AT", "NODE", "UPSTREAM", "ADDRESS", "PROOF", "RESPONSE", "RESULT"}

// attemptRows returns a row for each attempt at a request.
func attemptRows(request string, attempts []*explain.Attempt) [][]string {
	var rows [][]string
	for i, a := range attempts {
		result := strings.ReplaceAll(a.Result, "\n", "; ")
		rows = append(rows, []string{
			request, strconv.Itoa(i + 1), a.At.UTC().Format("15:04:05.000"), a.Node, a.Upstream, a.Address,
			orDash(a.Proof), orDash(a.Response), orDash(result),
		})
	}
	return rows
}

func (s *session) printResends(resends []*explain.Resend) error {
	if s.output == outputJSON {
		return s.printJSON(resends)
	}
	var rows [][]string
	for _, r := range resends {
		rows = append(rows, attemptRows(r.Request, r.Attempts)...)
	}
	s.printTable(attemptHeader, rows)
	return nil
}

func orDash(text string) string { return cmp.Or(text, "-") }

func (s *session) printCauses(causes []*explain.Cause, maxCauses int) error {
	causes = causes[:min(max(0, maxCauses), len(causes))]
	if s.output == outputJSON {
		return s.printJSON(causes)
	}
	var rows [][]string
	for _, c := range causes {
		span := c.First.UTC().Format("15:04:05") + "-" + c.Last.UTC().Format("15:04:05")
		rows = append(rows, []string{strconv.Itoa(c.Count), c.Outcome, c.Code, c.Route, span, c.Example, c.Reason})
	}
	s.printTable([]string{"COUNT", "OUTCOME", "CODE", "ROUTE", "SPAN", "EXAMPLE", "REASON"}, rows)
	return nil
}

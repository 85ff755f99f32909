package ctl

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"google.golang.org/protobuf/encoding/protojson"

	cardamomyokev1 "github.com/cardamomyoke/cardamomyoke/internal/gen/cardamomyoke/v1"
	"github.com/cardamomyoke/cardamomyoke/internal/state/audit"
)

// auditPage is how many rows one call brings.
const auditPage = 1000

// AuditError says that rows of the audit are missing or were changed.
type AuditError struct{ Faults []*audit.Fault }

// Error implements error.
func (e *AuditError) Error() string {
	return fmt.Sprintf("the audit has %d faults, the first is: %v", len(e.Faults), e.Faults[0])
}

// TimeError says that a flag holds no time.
type TimeError struct{ Flag, Text string }

// Error implements error.
func (e *TimeError) Error() string {
	return fmt.Sprintf("%s: got %q, want a time like 2026-01-31T15:04:05Z", e.Flag, e.Text)
}

// exportFlags are the flags of audit export.
type exportFlags struct {
	from, to string
	verify   bool
}

func (s *session) registerAudit(app *kingpin.Application) {
	cmd := app.Command("audit", "What was done, by whom, when and why.")
	export := cmd.Command("export", "Print audit rows as JSON lines, in the order of their chains.")
	f := &exportFlags{}
	export.Flag("from", "Only rows from this time on (RFC 3339).").StringVar(&f.from)
	export.Flag("to", "Only rows before this time (RFC 3339).").StringVar(&f.to)
	export.Flag("verify", "Check the chains of the whole audit, whatever the span; prints a summary to standard error.").BoolVar(&f.verify)
	// An export reads as long as it needs: a day at the target size is some two million rows.
	s.commands[export.FullCommand()] = func(ctx context.Context) error { return s.export(ctx, f) }
}

// span is a span of time, in milliseconds of Unix time; a zero end is open.
type span struct{ from, to int64 }

func (s span) holds(unixMS int64) bool {
	return unixMS >= s.from && (s.to == 0 || unixMS < s.to)
}

func spanOf(f *exportFlags) (span, error) {
	from, err := parseTime("--from", f.from)
	if err != nil {
		return span{}, err
	}
	to, err := parseTime("--to", f.to)
	return span{from, to}, err
}

func parseTime(flag, text string) (int64, error) {
	if text == "" {
		return 0, nil
	}
	t, err := time.Parse(time.RFC3339, text)
	if err != nil {
		return 0, &TimeError{flag, text}
	}
	return t.UnixMilli(), nil
}

// export prints the rows of a span. All rows are read, as their order is that of the chains and not of time.
func (s *session) export(ctx context.Context, f *exportFlags) error {
	wanted, err := spanOf(f)
	if err != nil {
		return err
	}
	v := audit.NewVerifier()
	err = s.eachAuditRow(ctx, func(r *audit.Row) error {
		v.Add(r)
		if audit.IsHead(r) || !wanted.holds(r.GetUnixMs()) {
			return nil
		}
		return s.printRow(r)
	})
	if err != nil || !f.verify {
		return err
	}
	return s.printVerdict(v)
}

func (s *session) eachAuditRow(ctx context.Context, do func(*audit.Row) error) error {
	after := ""
	for {
		page, err := s.client.ListAudit(ctx, &cardamomyokev1.ListAuditRequest{After: after, Limit: auditPage})
		if err != nil {
			return fmt.Errorf("audit: %w", err)
		}
		for _, r := range page.GetRows() {
			if err := do(r); err != nil {
				return err
			}
			after = r.GetKey()
		}
		if len(page.GetRows()) < auditPage {
			return nil
		}
	}
}

// auditLine is a row with its own hash, as a line of an export.
type auditLine struct {
	Row  json.RawMessage `json:"row"`
	Hash []byte          `json:"hash"`
}

func (s *session) printRow(r *audit.Row) error {
	text := protojson.MarshalOptions{UseProtoNames: true, EmitUnpopulated: true}.Format(r)
	return s.printJSON(auditLine{json.RawMessage(text), audit.Hash(r)})
}

// printVerdict prints what was verified, on standard error, so that the lines of the export stay pure.
func (s *session) printVerdict(v *audit.Verifier) error {
	faults := v.Faults()
	for _, f := range faults {
		fmt.Fprintln(s.errOut, f)
	}
	if len(faults) > 0 {
		return &AuditError{faults}
	}
	sum := v.Summary()
	fmt.Fprintf(s.errOut, "verified: %d rows in %d chains; heads sha256 %s\n", sum.Rows, sum.Chains, sum.Heads)
	return nil
}

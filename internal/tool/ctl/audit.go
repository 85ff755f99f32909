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

// auditPageRows is the number of rows in one page.
const auditPageRows = 1000

// AuditError reports that rows of the audit log are missing or were changed.
type AuditError struct{ Faults []*audit.Fault }

// Error implements error.
func (e *AuditError) Error() string {
	return fmt.Sprintf("the audit has %d faults, the first is: %v", len(e.Faults), e.Faults[0])
}

// TimeError reports that the value of a flag is not a time in RFC 3339.
type TimeError struct{ Flag, Text string }

// Error implements error.
func (e *TimeError) Error() string {
	return fmt.Sprintf("%s: got %q, want a time like 2026-01-31T15:04:05Z", e.Flag, e.Text)
}

// exportFlags holds the flags of audit export.
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
	// An export has no timeout: one day at the target size is about two million rows.
	s.commands[export.FullCommand()] = func(ctx context.Context) error { return s.export(ctx, f) }
}

// timeRange is a time range in Unix milliseconds, from inclusive to exclusive. A zero from or to is no bound.
type timeRange struct{ from, to int64 }

func (s timeRange) contains(unixMS int64) bool {
	return unixMS >= s.from && (s.to == 0 || unixMS < s.to)
}

func timeRangeOf(f *exportFlags) (timeRange, error) {
	from, err := parseTime("--from", f.from)
	if err != nil {
		return timeRange{}, err
	}
	to, err := parseTime("--to", f.to)
	return timeRange{from, to}, err
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

// export prints the rows of a time range, without the head rows of the chains. It reads all rows, since they are sorted by
// chain and not by time.
func (s *session) export(ctx context.Context, f *exportFlags) error {
	wanted, err := timeRangeOf(f)
	if err != nil {
		return err
	}
	v := audit.NewVerifier()
	err = s.eachAuditRow(ctx, func(r *audit.Row) error {
		v.Add(r)
		if audit.IsHead(r) || !wanted.contains(r.GetUnixMs()) {
			return nil
		}
		return s.printRow(r)
	})
	if err != nil || !f.verify {
		return err
	}
	return s.printVerification(v)
}

func (s *session) eachAuditRow(ctx context.Context, do func(*audit.Row) error) error {
	after := ""
	for {
		page, err := s.client.ListAudit(ctx, &cardamomyokev1.ListAuditRequest{After: after, Limit: auditPageRows})
		if err != nil {
			return fmt.Errorf("audit: %w", err)
		}
		for _, r := range page.GetRows() {
			if err := do(r); err != nil {
				return err
			}
			after = r.GetKey()
		}
		if len(page.GetRows()) < auditPageRows {
			return nil
		}
	}
}

// auditLine is one line of an export: a row and its hash.
type auditLine struct {
	Row  json.RawMessage `json:"row"`
	Hash []byte          `json:"hash"`
}

func (s *session) printRow(r *audit.Row) error {
	text := protojson.MarshalOptions{UseProtoNames: true, EmitUnpopulated: true}.Format(r)
	return s.printJSON(auditLine{json.RawMessage(text), audit.Hash(r)})
}

// printVerification prints the result of the verification to standard error, so that standard output contains only rows.
// It returns *AuditError if there are faults.
func (s *session) printVerification(v *audit.Verifier) error {
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

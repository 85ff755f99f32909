package ctl

import (
	"context"
	"fmt"
	"os"
	"os/user"
	"time"

	"connectrpc.com/connect"
	"github.com/alecthomas/kingpin/v2"
	"google.golang.org/protobuf/encoding/protojson"

	cardamomyokev1 "github.com/cardamomyoke/cardamomyoke/internal/gen/cardamomyoke/v1"
	"github.com/cardamomyoke/cardamomyoke/internal/ids"
)

// applyFlags are the flags of apply.
type applyFlags struct {
	file     string
	operator string
	reason   string
	dryRun   bool
	wait     time.Duration
}

func (s *session) registerApply(app *kingpin.Application, commands map[string]func(context.Context) error) {
	f := &applyFlags{}
	cmd := app.Command("apply", "Make the configuration equal to a file; prints what changes.")
	cmd.Flag("file", "Configuration (JSON).").Short('f').Required().StringVar(&f.file)
	cmd.Flag("operator", "Name of the operator.").Default(loginName()).StringVar(&f.operator)
	cmd.Flag("reason", "Why; kept in the audit.").Required().StringVar(&f.reason)
	cmd.Flag("dry-run", "Only print what would change.").BoolVar(&f.dryRun)
	cmd.Flag("wait", "How long to wait until every node holds it.").Default("30s").DurationVar(&f.wait)
	commands["apply"] = func(ctx context.Context) error { return s.apply(ctx, f) }
}

func loginName() string {
	u, err := user.Current()
	if err != nil {
		return ""
	}
	return u.Username
}

func (s *session) apply(ctx context.Context, f *applyFlags) error {
	wanted, err := readConfiguration(f.file)
	if err != nil {
		return err
	}
	diff, err := s.client.Diff(ctx, &cardamomyokev1.DiffRequest{Wanted: wanted})
	if err != nil {
		return fmt.Errorf("diff: %w", err)
	}
	s.printEdits(diff.GetEdits())
	if len(diff.GetEdits()) == 0 || f.dryRun {
		return nil
	}
	return s.change(ctx, f, diff)
}

func (s *session) change(ctx context.Context, f *applyFlags, diff *cardamomyokev1.DiffResponse) error {
	meta := &cardamomyokev1.ChangeMeta{
		Operator:     f.operator,
		Reason:       f.reason,
		OperationId:  string(ids.NewOperation()),
		BaseRevision: diff.GetBaseRevision(),
	}
	answer, err := s.client.Change(ctx, &cardamomyokev1.ChangeRequest{
		Meta: meta, Edits: diff.GetEdits(), WaitMs: uint32(f.wait.Milliseconds()),
	})
	if connect.CodeOf(err) == connect.CodeUnavailable {
		return fmt.Errorf("operation %s may have been applied: %w", meta.GetOperationId(), err)
	}
	if err != nil {
		return fmt.Errorf("change: %w", err)
	}
	return s.printOutcome(answer.GetOutcome())
}

func readConfiguration(file string) (*cardamomyokev1.Configuration, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, &FileError{file, err}
	}
	c := &cardamomyokev1.Configuration{}
	if err := protojson.Unmarshal(text, c); err != nil {
		return nil, &FileError{file, err}
	}
	return c, nil
}

// printOutcome prints how far a change has come; it returns *PendingError if it is not accepted yet.
func (s *session) printOutcome(o *cardamomyokev1.Outcome) error {
	if o.GetState() != cardamomyokev1.ChangeState_CHANGE_STATE_ACCEPTED {
		return &PendingError{o.GetRevision(), o.GetPending()}
	}
	fmt.Fprintf(s.out, "revision %d is accepted: every node holds it\n", o.GetRevision())
	return nil
}

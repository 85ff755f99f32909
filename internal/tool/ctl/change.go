package ctl

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"os/user"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"google.golang.org/protobuf/encoding/protojson"

	"github.com/cardamomyoke/cardamomyoke/internal/base/ids"
	cardamomyokev1 "github.com/cardamomyoke/cardamomyoke/internal/gen/cardamomyoke/v1"
)

// changeFlags holds the flags of every command that changes state.
type changeFlags struct {
	session   *session
	operator  string
	reason    string
	operation string
	wait      time.Duration
}

func (s *session) addChangeFlags(cmd *kingpin.CmdClause) *changeFlags {
	f := &changeFlags{session: s}
	cmd.Flag("operator", "Name of the operator; the certificate's, which it must be with TLS, or your login name if it is left out.").
		StringVar(&f.operator)
	cmd.Flag("reason", "Why; kept in the audit.").Required().StringVar(&f.reason)
	cmd.Flag("operation", "Operation id, to send a change once more whose answer was lost.").
		Default(string(ids.NewOperation())).StringVar(&f.operation)
	cmd.Flag("wait", "How long to wait until every node holds it, at most 1m.").Default("30s").DurationVar(&f.wait)
	return f
}

func loginName() string {
	u, err := user.Current()
	if err != nil {
		return ""
	}
	return u.Username
}

func (f *changeFlags) waitMS() uint32 { return uint32(f.wait.Milliseconds()) }

func (f *changeFlags) meta(base uint64) *cardamomyokev1.ChangeMeta {
	return &cardamomyokev1.ChangeMeta{Operator: cmp.Or(f.operator, f.session.operator, loginName()), Reason: f.reason, OperationId: f.operation, BaseRevision: base}
}

// committedRevision returns the newest committed revision.
func (s *session) committedRevision(ctx context.Context) (uint64, error) {
	r, err := s.client.List(ctx, &cardamomyokev1.ListRequest{Kind: cardamomyokev1.ObjectKind_OBJECT_KIND_POLICIES})
	if err != nil {
		return 0, fmt.Errorf("committed revision: %w", err)
	}
	return r.GetConfiguration().GetRevision(), nil
}

// outcomeJSON is the JSON output of a change.
type outcomeJSON struct {
	Operation string          `json:"operation"`
	Outcome   json.RawMessage `json:"outcome"`
}

// printOutcome prints the state of a change. It returns *PendingError if the change is not accepted yet.
func (s *session) printOutcome(operation string, o *cardamomyokev1.Outcome) error {
	accepted := o.GetState() == cardamomyokev1.ChangeState_CHANGE_STATE_ACCEPTED
	if s.output == outputJSON {
		if err := s.printJSON(outcomeJSON{operation, rawJSON(o)}); err != nil {
			return err
		}
	}
	if !accepted {
		return &PendingError{o.GetRevision(), o.GetPending()}
	}
	if s.output == outputTable {
		fmt.Fprintf(s.out, "revision %d is accepted: every node holds it\n", o.GetRevision())
	}
	return nil
}

func (s *session) registerRollForward(app *kingpin.Application) {
	cmd := app.Command("roll-forward", "Commit a new revision with the content of an older one.")
	to := cmd.Arg("revision", "The older revision.").Required().Uint64()
	f := s.addChangeFlags(cmd)
	s.command(cmd, func(ctx context.Context) error { return s.rollForward(ctx, *to, f) })
}

func (s *session) rollForward(ctx context.Context, to uint64, f *changeFlags) error {
	base, err := s.committedRevision(ctx)
	if err != nil {
		return err
	}
	var r *cardamomyokev1.RollForwardResponse
	err = sendWithRetry(ctx, f.operation, func(ctx context.Context) error {
		var err error
		r, err = s.client.RollForward(ctx, &cardamomyokev1.RollForwardRequest{Meta: f.meta(base), ToRevision: to, WaitMs: f.waitMS()})
		return err
	})
	if err != nil {
		return fmt.Errorf("roll forward: %w", err)
	}
	if s.output == outputTable {
		s.printEdits(r.GetEdits(), nil)
	}
	return s.printOutcome(f.operation, r.GetOutcome())
}

func (s *session) registerOperation(app *kingpin.Application) {
	cmd := app.Command("operation", "Tell what became of a change whose answer was lost.")
	id := cmd.Arg("id", "Operation id.").Required().String()
	s.command(cmd, func(ctx context.Context) error { return s.operation(ctx, *id) })
}

func (s *session) operation(ctx context.Context, id string) error {
	r, err := s.client.GetOperation(ctx, &cardamomyokev1.GetOperationRequest{OperationId: id})
	if err != nil {
		return fmt.Errorf("operation: %w", err)
	}
	if !r.GetFound() {
		return &OperationError{id}
	}
	return s.printOutcome(id, r.GetOutcome())
}

func rawJSON(o *cardamomyokev1.Outcome) json.RawMessage {
	return json.RawMessage(protojson.MarshalOptions{EmitUnpopulated: true}.Format(o))
}

// Package ctl implements cardamomyokectl, the operators' command line. It sends changes to an entry, reports their outcome
// by an exit code, and explains requests from logs.
//
// Each command has a register function, which adds its flags to the parser and its action to the session's commands.
package ctl

import (
	"context"
	"fmt"
	"io"
	"os/signal"
	"syscall"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"github.com/cardamomyoke/cardamomyoke/internal/base/keys"
	"github.com/cardamomyoke/cardamomyoke/internal/gen/cardamomyoke/v1/cardamomyokev1connect"
)

// Exit codes; scripts depend on them.
const (
	ExitOK = 0
	// ExitFailed: the call failed for another reason.
	ExitFailed = 1
	// ExitUsage: the command line, a file or a field of the input is invalid; nothing was changed.
	ExitUsage = 2
	// ExitPending: the change is committed but not yet accepted, or too many changes wait to be accepted and nothing was
	// changed.
	ExitPending = 3
	// ExitConflict: the change lost a race or conflicts with an earlier one, and was not applied; check the current state
	// before a retry.
	ExitConflict = 4
	// ExitUnavailable: no entry is reachable, or the platform's table is down; nothing was changed.
	ExitUnavailable = 5
	// ExitUnknown: the response was lost; `operation ID` reports the outcome of the change.
	ExitUnknown = 6
	// ExitNotFound: the named object, operation or request does not exist.
	ExitNotFound = 7
	// ExitAudit: rows of the audit log are missing or were changed.
	ExitAudit = 8
	// ExitRefused: the operator's role does not permit the call, or the operator is not authenticated.
	ExitRefused = 9
)

// Output formats.
const (
	outputTable = "table"
	outputJSON  = "json"
)

// session is one invocation of the command line.
type session struct {
	out     io.Writer
	errOut  io.Writer
	entries []string
	output  string
	keys    keys.Settings
	// operator is the name in the certificate; empty without one.
	operator string
	client   cardamomyokev1connect.OperatorServiceClient
	commands map[string]func(context.Context) error
}

// callTimeout bounds every command that is registered with session.command. It exceeds the minute for which a change may
// wait for its acceptance.
const callTimeout = 75 * time.Second

// defaultEntry is the address of the control port of the demo's first entry.
const defaultEntry = "127.0.0.1:21101"

// Main runs a command line and returns its exit code.
func Main(args []string, out, errOut io.Writer) int {
	s := &session{out: out, errOut: errOut, commands: map[string]func(context.Context) error{}}
	name, err := s.parser().Parse(args)
	if err != nil {
		fmt.Fprintln(errOut, "cardamomyokectl:", err)
		return ExitUsage
	}
	if err := s.connect(); err != nil {
		fmt.Fprintln(errOut, "cardamomyokectl:", err)
		return ExitUsage
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	if err := s.commands[name](ctx); err != nil {
		fmt.Fprintln(errOut, "cardamomyokectl:", describeError(err))
		return exitCode(err)
	}
	return ExitOK
}

// parser returns the parser of the whole command line.
func (s *session) parser() *kingpin.Application {
	app := kingpin.New("cardamomyokectl", "Operate cardamomyoke through any of its entries.")
	app.UsageWriter(s.errOut)
	app.ErrorWriter(s.errOut)
	app.Flag("entry", "RPC address of an entry, IP:PORT; repeat it to name others to try in turn.").
		Envar("CARDAMOMYOKE_ENTRY").Default(defaultEntry).StringsVar(&s.entries)
	app.Flag("output", "table or json.").Short('o').Default(outputTable).EnumVar(&s.output, outputTable, outputJSON)
	app.Flag("ca", "File with the authorities of the nodes' certificates; needed with TLS.").
		Envar("CARDAMOMYOKE_CA").StringVar(&s.keys.CA)
	app.Flag("certificate", "File with your certificate.").Envar("CARDAMOMYOKE_CERTIFICATE").StringVar(&s.keys.Certificate)
	app.Flag("key", "File with your certificate's key.").Envar("CARDAMOMYOKE_KEY").StringVar(&s.keys.Key)
	s.registerApply(app)
	s.registerDiff(app)
	s.registerList(app)
	s.registerHistory(app)
	s.registerOperation(app)
	s.registerRollForward(app)
	s.registerActions(app)
	s.registerForce(app)
	s.registerOrder(app)
	s.registerWatch(app)
	s.registerStatus(app)
	s.registerAudit(app)
	s.registerExplain(app)
	s.registerEvacuations(app)
	s.registerParts(app)
	return app
}

// command registers the action of a command, bounded by callTimeout.
func (s *session) command(c *kingpin.CmdClause, action func(context.Context) error) {
	s.commands[c.FullCommand()] = func(ctx context.Context) error {
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		return action(ctx)
	}
}

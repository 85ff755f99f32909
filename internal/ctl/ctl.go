// Package ctl is the operators' command line: cardamomyokectl.
package ctl

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"connectrpc.com/connect"
	"github.com/alecthomas/kingpin/v2"

	"github.com/cardamomyoke/cardamomyoke/internal/gen/cardamomyoke/v1/cardamomyokev1connect"
)

// Exit codes; scripts compare them.
const (
	ExitOK = 0
	// ExitFailed: the call failed.
	ExitFailed = 1
	// ExitUsage: the command line or a file is wrong.
	ExitUsage = 2
	// ExitPending: the change is committed and not yet accepted.
	ExitPending = 3
	// ExitConflict: the change lost a race; look again and decide.
	ExitConflict = 4
	// ExitUnavailable: the platform or the entry cannot be reached; nothing was changed, or the operation id tells.
	ExitUnavailable = 5
)

// Forms of output.
const (
	outputTable = "table"
	outputJSON  = "json"
)

// session is one run of the command line.
type session struct {
	out    io.Writer
	entry  string
	output string
	client cardamomyokev1connect.OperatorServiceClient
}

// callTimeout bounds one call; a change may wait for its acceptance for a minute.
const callTimeout = 75 * time.Second

// Main runs the command line and returns the exit code.
func Main(args []string, out, errOut io.Writer) int {
	s := &session{out: out}
	app := kingpin.New("cardamomyokectl", "Operate cardamomyoke through any of its entries.")
	app.UsageWriter(errOut)
	app.ErrorWriter(errOut)
	app.Flag("entry", "RPC address of an entry, IP:PORT.").Envar("CARDAMOMYOKE_ENTRY").Default("127.0.0.1:21101").StringVar(&s.entry)
	app.Flag("output", "table or json.").Default(outputTable).EnumVar(&s.output, outputTable, outputJSON)
	commands := map[string]func(context.Context) error{}
	s.registerApply(app, commands)
	s.registerStatus(app, commands)
	name, err := app.Parse(args)
	if err != nil {
		fmt.Fprintln(errOut, "cardamomyokectl:", err)
		return ExitUsage
	}
	s.connect()
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	err = commands[name](ctx)
	if err != nil {
		fmt.Fprintln(errOut, "cardamomyokectl:", describe(err))
	}
	return exitCode(err)
}

func (s *session) connect() {
	transport := &http.Transport{DialContext: (&net.Dialer{Timeout: 2 * time.Second}).DialContext}
	s.client = cardamomyokev1connect.NewOperatorServiceClient(&http.Client{Transport: transport}, "http://"+s.entry)
}

// PendingError says that a change is committed and these nodes do not hold it yet.
type PendingError struct {
	Revision uint64
	Nodes    []string
}

// Error implements error.
func (e *PendingError) Error() string {
	return fmt.Sprintf("revision %d is committed and pending: waiting for %v", e.Revision, e.Nodes)
}

// FileError says that an input file cannot be used.
type FileError struct {
	File  string
	Cause error
}

// Error implements error.
func (e *FileError) Error() string { return fmt.Sprintf("%s: %v", e.File, e.Cause) }

// Unwrap returns the cause.
func (e *FileError) Unwrap() error { return e.Cause }

func exitCode(err error) int {
	var pending *PendingError
	var file *FileError
	switch {
	case err == nil:
		return ExitOK
	case errors.As(err, &pending):
		return ExitPending
	case errors.As(err, &file) || connect.CodeOf(err) == connect.CodeInvalidArgument:
		return ExitUsage
	case connect.CodeOf(err) == connect.CodeAborted || connect.CodeOf(err) == connect.CodeFailedPrecondition:
		return ExitConflict
	case connect.CodeOf(err) == connect.CodeUnavailable:
		return ExitUnavailable
	}
	return ExitFailed
}

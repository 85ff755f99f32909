package ctl

import (
	"errors"
	"fmt"
	"strings"

	"connectrpc.com/connect"
)

// PendingError reports that a change is committed but Nodes do not hold it yet.
type PendingError struct {
	Revision uint64
	Nodes    []string
}

// Error implements error.
func (e *PendingError) Error() string {
	return fmt.Sprintf("revision %d is committed and pending, not yet accepted; waiting for: %s",
		e.Revision, strings.Join(e.Nodes, ", "))
}

// FileError reports that an input file cannot be read or parsed.
type FileError struct {
	File  string
	Cause error
}

// Error implements error.
func (e *FileError) Error() string { return fmt.Sprintf("%s: %v", e.File, e.Cause) }

// Unwrap returns the cause.
func (e *FileError) Unwrap() error { return e.Cause }

// OperationError reports that no change with this operation id is committed.
type OperationError struct{ Operation string }

// Error implements error.
func (e *OperationError) Error() string {
	return fmt.Sprintf("operation %s has not been applied; it still may be if a request with it is under way", e.Operation)
}

func exitCode(err error) int {
	var (
		pending  *PendingError
		file     *FileError
		unknown  *UnknownOutcomeError
		notFound *OperationError
		audit    *AuditError
		badTime  *TimeError
		request  *RequestError
		part     *PartError
	)
	switch {
	case errors.As(err, &pending):
		return ExitPending
	case errors.As(err, &file) || errors.As(err, &badTime) || errors.As(err, &part):
		return ExitUsage
	case errors.As(err, &unknown):
		return ExitUnknown
	case errors.As(err, &notFound) || errors.As(err, &request):
		return ExitNotFound
	case errors.As(err, &audit):
		return ExitAudit
	}
	return exitCodes[connect.CodeOf(err)]
}

// exitCodes maps the codes of RPC errors (see internal/node/operator) to exit codes.
var exitCodes = map[connect.Code]int{
	connect.CodeCanceled:           ExitFailed,
	connect.CodeUnknown:            ExitFailed,
	connect.CodeInvalidArgument:    ExitUsage,
	connect.CodeDeadlineExceeded:   ExitUnavailable,
	connect.CodeNotFound:           ExitNotFound,
	connect.CodeAlreadyExists:      ExitConflict,
	connect.CodePermissionDenied:   ExitRefused,
	connect.CodeResourceExhausted:  ExitPending,
	connect.CodeFailedPrecondition: ExitConflict,
	connect.CodeAborted:            ExitConflict,
	connect.CodeOutOfRange:         ExitUsage,
	connect.CodeUnimplemented:      ExitFailed,
	connect.CodeInternal:           ExitFailed,
	connect.CodeUnavailable:        ExitUnavailable,
	connect.CodeDataLoss:           ExitFailed,
	connect.CodeUnauthenticated:    ExitRefused,
}

// hints explains the codes of RPC errors to operators.
var hints = map[connect.Code]string{
	connect.CodeInvalidArgument:   "the input was refused, nothing was changed",
	connect.CodeAborted:           "another change was committed first, nothing was changed; look again and decide",
	connect.CodeAlreadyExists:     "the operation id belongs to another change, nothing was changed",
	connect.CodeResourceExhausted: "too many changes wait to be accepted, nothing was changed; `status` names the missing nodes",
	connect.CodeUnavailable:       "the platform's table is down, nothing was changed; traffic goes on with what is in force",
}

// describeError returns the text of an error; to that of an RPC error it adds a hint and the typed details.
func describeError(err error) string {
	text := err.Error()
	var ce *connect.Error
	if !errors.As(err, &ce) || !connect.IsWireError(err) {
		return text
	}
	if hint := hints[ce.Code()]; hint != "" {
		text = hint + ": " + text
	}
	for _, d := range ce.Details() {
		value, err := d.Value()
		if err != nil {
			continue
		}
		text += fmt.Sprintf(" (%s)", formatMessage(value.ProtoReflect()))
	}
	return text
}

package operator

import (
	"errors"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/proto"

	cardamomyokev1 "github.com/cardamomyoke/cardamomyoke/internal/gen/cardamomyoke/v1"
	"github.com/cardamomyoke/cardamomyoke/internal/state/config"
	"github.com/cardamomyoke/cardamomyoke/internal/state/platform"
	"github.com/cardamomyoke/cardamomyoke/internal/state/revision/store"
)

// asConnect returns err as a connect error with the code and the detail that clients depend on:
//
//	invalid_argument    nothing was done; FieldViolation names the field
//	aborted             nothing was done: another write came first; ConflictDetail if that was a change
//	already_exists      nothing was done: the operation id belongs to another change
//	resource_exhausted  nothing was done: too many changes wait to be accepted
//	unavailable         nothing was done: the platform cannot be reached
//	unknown             the outcome is unknown and may change: call GetOperation, or retry with the same operation id
//	internal            any other error
func asConnect(err error) error {
	var (
		field   *config.FieldError
		race    *store.RaceError
		reused  *store.ReusedError
		pending *store.PendingError
		unknown *store.UnknownOutcomeError
		lost    *platform.UnknownOutcomeError
		down    *platform.UnavailableError
	)
	var conflict *platform.ConflictError
	switch {
	case errors.As(err, &field):
		return detailed(connect.CodeInvalidArgument, err, &cardamomyokev1.FieldViolation{Field: field.Field, Want: field.Want})
	case errors.As(err, &race):
		return detailed(connect.CodeAborted, err, &cardamomyokev1.ConflictDetail{
			CommittedRevision: race.Committed, BaseRevision: race.Base,
		})
	case errors.As(err, &conflict):
		return connect.NewError(connect.CodeAborted, err)
	case errors.As(err, &reused):
		return connect.NewError(connect.CodeAlreadyExists, err)
	case errors.As(err, &pending):
		return connect.NewError(connect.CodeResourceExhausted, err)
	case errors.As(err, &unknown), errors.As(err, &lost):
		return connect.NewError(connect.CodeUnknown, err)
	case errors.As(err, &down):
		return connect.NewError(connect.CodeUnavailable, err)
	}
	return connect.NewError(connect.CodeInternal, err)
}

func detailed(code connect.Code, err error, detail proto.Message) error {
	out := connect.NewError(code, err)
	if d, failed := connect.NewErrorDetail(detail); failed == nil {
		out.AddDetail(d)
	}
	return out
}

package gateway

import (
	"errors"

	"github.com/cardamomyoke/cardamomyoke/internal/base/httpclient"
	"github.com/cardamomyoke/cardamomyoke/internal/policy/notrun"
)

// proofOf returns the proof that an attempt that failed with err has not run; notrun.None if there is none.
func proofOf(err error) notrun.Proof {
	var broken *httpclient.BrokenError
	var dial *httpclient.DialError
	var refused *RefusedError
	switch {
	case errors.As(err, &broken):
		return notrun.None // whatever it wraps, the request may have been written
	case errors.As(err, &dial):
		return notrun.NoConnection
	case isUnwritten(err):
		return notrun.NotWritten
	case errors.As(err, &refused):
		return refused.Proof
	}
	return notrun.None
}

// proofFields returns the log fields of a failed attempt that tell why another one may follow: the proof, and where it rests on a
// response, its status, the upstream that it names, whether it bore the attempt's id, and whether it was the first on its connection.
func proofFields(err error) []any {
	fields := []any{"proof", proofOf(err)}
	var refused *RefusedError
	if errors.As(err, &refused) {
		fields = append(fields, "status", refused.Status, "responder", refused.Instance, "has_id", refused.Identified, "first", refused.First)
	}
	return fields
}

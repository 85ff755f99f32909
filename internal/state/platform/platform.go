// Package platform is what the system sees of the platform it runs on: a transactional table, an object store, a
// lagging list of hosts and a rate-limited store of weights.
//
// The interfaces are small so that tests can meet them with fakes; the client in this package meets them over HTTP.
package platform

import (
	"context"
	"fmt"
	"time"

	"github.com/cardamomyoke/cardamomyoke/internal/base/ids"
)

// Row is one row of the table. Version 0 means that the row does not exist; each write raises it by one.
type Row struct {
	Key     string `json:"key"`
	Version uint64 `json:"version"`
	Value   []byte `json:"value"`
}

// Check is a condition of a transaction: the row's version must be exactly this one, 0 for a row that must not exist.
type Check struct {
	Key     string `json:"key"`
	Version uint64 `json:"version"`
}

// Put writes one row; a nil Value deletes it.
type Put struct {
	Key   string `json:"key"`
	Value []byte `json:"value"`
}

// Txn is applied whole or not at all. A transaction whose Operation was applied before is not applied again and
// returns the first result, so that a lost answer can be settled by sending it once more.
type Txn struct {
	Operation ids.Operation `json:"operation"`
	Checks    []Check       `json:"checks"`
	Puts      []Put         `json:"puts"`
}

// Result tells what a transaction did: the new version of each row put, in the order of Txn.Puts.
type Result struct {
	Versions []uint64 `json:"versions"`
}

// Table is the platform's transactional table. All methods honour the context's deadline.
type Table interface {
	// Get reads rows in one consistent read; an absent row has version 0. Errors: *UnavailableError.
	Get(ctx context.Context, keys ...string) ([]Row, error)
	// List reads up to limit rows with the prefix and a key larger than after, in key order. Errors: *UnavailableError.
	List(ctx context.Context, prefix, after string, limit int) ([]Row, error)
	// Commit applies a transaction. Errors: *ConflictError (not applied), *UnavailableError (not applied),
	// *UnknownOutcomeError (may have been applied, or may still be).
	Commit(ctx context.Context, t Txn) (Result, error)
}

// Objects is the platform's object store. Objects are never overwritten with other content.
type Objects interface {
	// PutObject stores data under name; storing the same data again is no error. Errors: *ConflictError (other
	// data is stored there), *UnavailableError, *UnknownOutcomeError.
	PutObject(ctx context.Context, name string, data []byte) error
	// GetObject reads an object. Errors: *NotFoundError, *UnavailableError.
	GetObject(ctx context.Context, name string) ([]byte, error)
}

// HostState is what the host list says of a host.
type HostState string

// The states of a host in the list.
const (
	HostLive    HostState = "live"
	HostLeaving HostState = "leaving"
)

// Host is one line of the host list, which lags behind the truth by seconds to minutes.
type Host struct {
	Name       string         `json:"name"`
	Role       string         `json:"role"`
	DataCentre ids.DataCentre `json:"data_centre"`
	Address    string         `json:"address"`
	State      HostState      `json:"state"`
}

// HostList is the platform's list of hosts.
type HostList interface {
	// Hosts returns the whole list and how old it says it is. Errors: *UnavailableError.
	Hosts(ctx context.Context) (hosts []Host, age time.Duration, err error)
}

// Weights is the rate-limited store that engines load weights from.
type Weights interface {
	// Rate returns the bytes a second that the store grants to one group.
	Rate(ctx context.Context, group ids.Group) (bytesPerSecond uint64, err error)
}

// Service is everything that the platform gives.
type Service interface {
	Table
	Objects
	HostList
	Weights
}

// ConflictError says that a transaction was not applied because a row had another version than its check.
type ConflictError struct {
	// Rows are the rows as they are, for the checks that failed.
	Rows []Row
}

// Error implements error.
func (e *ConflictError) Error() string {
	if len(e.Rows) == 0 {
		return "platform: conflict"
	}
	return fmt.Sprintf("platform: conflict at %s, which has version %d", e.Rows[0].Key, e.Rows[0].Version)
}

// UnavailableError says that the platform did not do what was asked, and will not do it later.
type UnavailableError struct {
	Op    string
	Cause error
}

// Error implements error.
func (e *UnavailableError) Error() string {
	return fmt.Sprintf("platform: %s: unavailable: %v", e.Op, e.Cause)
}

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error { return e.Cause }

// UnknownOutcomeError says that a write may or may not have taken effect, or may still do so.
type UnknownOutcomeError struct {
	Operation ids.Operation
	Cause     error
}

// Error implements error.
func (e *UnknownOutcomeError) Error() string {
	return fmt.Sprintf("platform: outcome of operation %s is unknown: %v", e.Operation, e.Cause)
}

// Unwrap returns the cause.
func (e *UnknownOutcomeError) Unwrap() error { return e.Cause }

// NotFoundError says that an object does not exist.
type NotFoundError struct{ Name string }

// Error implements error.
func (e *NotFoundError) Error() string { return fmt.Sprintf("platform: no object %s", e.Name) }

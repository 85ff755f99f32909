// Package platform defines the services of the platform that the system runs on: a transactional table, a feed of the
// tables that other systems write, an object store, a delayed list of hosts and a rate-limited store of weights. The
// platform's table is Table; the platform's store is what Feed reads.
//
// The interfaces are small so that tests can replace them with fakes. Client and HTTP in this package implement them
// over HTTP.
package platform

import (
	"context"
	"fmt"
	"time"

	"github.com/cardamomyoke/cardamomyoke/internal/base/ids"
)

// Row is one row of the table. Version is 0 if the row does not exist; each write increments it.
type Row struct {
	Key     string `json:"key"`
	Version uint64 `json:"version"`
	// Era is the era in which the row was read; see Position.
	Era   uint64 `json:"era,omitempty"`
	Value []byte `json:"value"`
}

// Position returns the position at which the row was written, in the era in which it was read.
func (r Row) Position() Position { return Position{Era: r.Era, Version: r.Version} }

// Check is a precondition of a transaction: the row must have exactly this version; 0 means that it must not exist. It
// does not hold in another era than that of the version.
type Check struct {
	Key     string `json:"key"`
	Version uint64 `json:"version"`
	Era     uint64 `json:"era,omitempty"`
}

// Position returns the position that the row must have.
func (c Check) Position() Position { return Position{Era: c.Era, Version: c.Version} }

// CheckAt returns the condition that a row has the position.
func CheckAt(key string, p Position) Check { return Check{Key: key, Version: p.Version, Era: p.Era} }

// Unchanged returns the condition that the row is as it was read.
func (r Row) Unchanged() Check { return CheckAt(r.Key, r.Position()) }

// Put writes one row; a nil Value deletes it.
type Put struct {
	Key   string `json:"key"`
	Value []byte `json:"value"`
}

// Txn is a transaction, which is applied entirely or not at all. If its Operation was applied before, it is not
// applied again and returns the first result, so that a lost response can be resolved by a retry.
type Txn struct {
	Operation ids.Operation `json:"operation"`
	Checks    []Check       `json:"checks"`
	Puts      []Put         `json:"puts"`
}

// Result is the outcome of a transaction: the new version of each row put, in the sequence of Txn.Puts.
type Result struct {
	Versions []uint64 `json:"versions"`
	Era      uint64   `json:"era,omitempty"`
}

// Position returns the new position of the row with the index in Txn.Puts.
func (r Result) Position(i int) Position { return Position{Era: r.Era, Version: r.Versions[i]} }

// Table is the platform's transactional table. All methods honour the context's deadline.
type Table interface {
	// Get reads rows in one consistent read; a row that does not exist has version 0. Errors: *UnavailableError.
	Get(ctx context.Context, keys ...string) ([]Row, error)
	// List reads up to limit rows whose key has the prefix and is greater than after, sorted by key. Errors:
	// *UnavailableError.
	List(ctx context.Context, prefix, after string, limit int) ([]Row, error)
	// Commit applies a transaction. Errors: *ConflictError and *UnavailableError (not applied), *UnknownOutcomeError
	// (may have been applied, or may still be).
	Commit(ctx context.Context, t Txn) (Result, error)
}

// Objects is the platform's object store. An object is never overwritten with other content.
type Objects interface {
	// PutObject stores data under name; storing the same data again is no error. Errors: *ConflictError (other data
	// is stored under the name), *UnavailableError, *UnknownOutcomeError.
	PutObject(ctx context.Context, name string, data []byte) error
	// GetObject reads an object. Errors: *NotFoundError, *UnavailableError.
	GetObject(ctx context.Context, name string) ([]byte, error)
}

// HostState is the state of a host in the host list.
type HostState string

// The states of a host in the list.
const (
	HostLive    HostState = "live"
	HostLeaving HostState = "leaving"
)

// Host is one host of the host list, which lags by seconds to minutes.
type Host struct {
	Name       string         `json:"name"`
	Role       string         `json:"role"`
	DataCentre ids.DataCentre `json:"data_centre"`
	Address    string         `json:"address"`
	State      HostState      `json:"state"`
}

// HostList is the platform's list of hosts.
type HostList interface {
	// Hosts returns the full list and its age as reported by the platform. Errors: *UnavailableError.
	Hosts(ctx context.Context) (hosts []Host, age time.Duration, err error)
}

// Weights is the rate-limited store from which engines load weights.
type Weights interface {
	// Rate returns the rate that the store grants to one group, in bytes per second.
	Rate(ctx context.Context, group ids.Group) (bytesPerSecond uint64, err error)
}

// Service combines all services of the platform.
type Service interface {
	Table
	Objects
	HostList
	Weights
}

// ConflictError reports that a write was not applied: the version of a row differs from its check, or an object is
// stored with other data under the name.
type ConflictError struct {
	// Rows are the current rows of the checks that failed. For an object, Rows has one row with its name and version
	// 1.
	Rows []Row
}

// Error implements error.
func (e *ConflictError) Error() string {
	if len(e.Rows) == 0 {
		return "platform: conflict"
	}
	return fmt.Sprintf("platform: conflict at %s: current version is %d", e.Rows[0].Key, e.Rows[0].Version)
}

// UnavailableError reports that the platform did not carry out the call, and will not do so later.
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

// UnknownOutcomeError reports that a write may or may not have taken effect, or may still do so.
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

// NotFoundError reports that an object does not exist.
type NotFoundError struct{ Name string }

// Error implements error.
func (e *NotFoundError) Error() string { return fmt.Sprintf("platform: no object %s", e.Name) }

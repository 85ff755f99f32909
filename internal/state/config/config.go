// Package config checks and edits the operators' configuration, and indexes it in immutable snapshots for request handlers.
// It decides which configurations and edits are valid, for the nodes that apply the configuration log and for operators
// whose changes are committed to it.
package config

import (
	"fmt"
	"time"

	"github.com/cardamomyoke/cardamomyoke/internal/base/ids"
	cardamomyokev1 "github.com/cardamomyoke/cardamomyoke/internal/gen/cardamomyoke/v1"
)

// FieldError identifies a field of a configuration or change that is invalid.
type FieldError struct {
	// Field is the path of the field, for example "services[2].class".
	Field string
	// Want describes the valid values.
	Want string
}

// Error implements error.
func (e *FieldError) Error() string { return fmt.Sprintf("%s: want %s", e.Field, e.Want) }

// Snapshot is a configuration with indexes by name. It is immutable and safe for concurrent use.
type Snapshot struct {
	// Proto is the configuration itself; it must not be changed.
	Proto    *cardamomyokev1.Configuration
	services map[ids.Service]*cardamomyokev1.Service
	clients  map[ids.Client]*cardamomyokev1.ClientAccount
	groups   map[ids.Group]*cardamomyokev1.ModelGroup
	classes  map[string]*cardamomyokev1.PriorityClass
	drained  map[ids.Upstream]bool
}

// NewSnapshot checks c and indexes it. It returns *FieldError for the first invalid field.
func NewSnapshot(c *cardamomyokev1.Configuration) (*Snapshot, error) {
	if err := Check(c); err != nil {
		return nil, err
	}
	s := &Snapshot{
		Proto:    c,
		services: make(map[ids.Service]*cardamomyokev1.Service, len(c.GetServices())),
		clients:  make(map[ids.Client]*cardamomyokev1.ClientAccount, len(c.GetClients())),
		groups:   make(map[ids.Group]*cardamomyokev1.ModelGroup, len(c.GetGroups())),
		classes:  make(map[string]*cardamomyokev1.PriorityClass, len(c.GetClasses())),
		drained:  make(map[ids.Upstream]bool, len(c.GetUpstreams())),
	}
	for _, v := range c.GetServices() {
		s.services[ids.Service(v.GetName())] = v
	}
	for _, v := range c.GetClients() {
		s.clients[ids.Client(v.GetName())] = v
	}
	for _, v := range c.GetGroups() {
		s.groups[ids.Group(v.GetName())] = v
	}
	for _, v := range c.GetClasses() {
		s.classes[v.GetName()] = v
	}
	for _, v := range c.GetUpstreams() {
		s.drained[ids.Upstream(v.GetName())] = v.GetDrained()
	}
	return s, nil
}

// Revision returns the revision of the configuration.
func (s *Snapshot) Revision() ids.Revision { return ids.Revision(s.Proto.GetRevision()) }

// Service returns the service of that name, or nil.
func (s *Snapshot) Service(name ids.Service) *cardamomyokev1.Service { return s.services[name] }

// Client returns the client account of that name, or nil.
func (s *Snapshot) Client(name ids.Client) *cardamomyokev1.ClientAccount { return s.clients[name] }

// Group returns the model group of that name, or nil.
func (s *Snapshot) Group(name ids.Group) *cardamomyokev1.ModelGroup { return s.groups[name] }

// Class returns the priority class of that name, or nil.
func (s *Snapshot) Class(name string) *cardamomyokev1.PriorityClass { return s.classes[name] }

// Drained reports whether an operator has drained the upstream, which then gets no new work.
func (s *Snapshot) Drained(name ids.Upstream) bool { return s.drained[name] }

// Deadline returns how long a request to v may take: the requested duration, limited to the service's deadline. A requested
// duration of zero or less selects the service's deadline.
func Deadline(v *cardamomyokev1.Service, requested time.Duration) time.Duration {
	limit := time.Duration(v.GetDeadlineMs()) * time.Millisecond
	if requested <= 0 || requested > limit {
		return limit
	}
	return requested
}

package platform

import (
	"bytes"
	"context"
	"slices"
	"time"

	"github.com/cardamomyoke/cardamomyoke/internal/base/ids"
	api "github.com/cardamomyoke/cardamomyoke/internal/state/platform"
)

// hostList is the published host list. changedAt is the time of its SetHosts call, before the lag.
type hostList struct {
	published []api.Host
	changedAt time.Time
}

// SetHosts publishes hosts after lag, unless a list that was set later has been published by then.
func (s *Store) SetHosts(hosts []api.Host, lag time.Duration) {
	hosts = slices.Clone(hosts)
	setAt := time.Now()
	publish := func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.hosts.changedAt.After(setAt) {
			return
		}
		s.hosts = hostList{hosts, setAt}
	}
	if lag <= 0 {
		publish()
		return
	}
	time.AfterFunc(lag, publish)
}

// Hosts implements platform.HostList.
func (s *Store) Hosts(ctx context.Context) ([]api.Host, time.Duration, error) {
	remaining, err := s.admitRead(ctx, PartHosts)
	if err == nil {
		err = sleep(ctx, remaining)
	}
	if err != nil {
		return nil, 0, &api.UnavailableError{Op: "hosts", Cause: err}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var age time.Duration
	if !s.hosts.changedAt.IsZero() {
		age = time.Since(s.hosts.changedAt)
	}
	return slices.Clone(s.hosts.published), age, nil
}

// Rate implements platform.Weights.
func (s *Store) Rate(ctx context.Context, _ ids.Group) (uint64, error) {
	remaining, err := s.admitRead(ctx, PartWeights)
	if err == nil {
		err = sleep(ctx, remaining)
	}
	if err != nil {
		return 0, &api.UnavailableError{Op: "rate", Cause: err}
	}
	return s.limits.WeightBytesPerSecond, nil
}

// PutObject implements platform.Objects.
func (s *Store) PutObject(ctx context.Context, name string, data []byte) error {
	f, err := s.admitWrite(ctx, PartObjects)
	if err != nil {
		return &api.UnavailableError{Op: "put object", Cause: err}
	}
	unknown := func(cause error) error {
		return &api.UnknownOutcomeError{Operation: ids.Operation(name), Cause: cause}
	}
	data = bytes.Clone(data)
	if f.applyAfter > 0 {
		time.AfterFunc(f.applyAfter, func() { _ = s.storeObject(name, data) })
		return unknown(&LostResponseError{PartObjects})
	}
	if err := sleep(ctx, f.delay); err != nil {
		time.AfterFunc(f.delay, func() { _ = s.storeObject(name, data) })
		return unknown(err)
	}
	err = s.storeObject(name, data)
	if f.loseResponse {
		return unknown(&LostResponseError{PartObjects})
	}
	if waitErr := sleep(ctx, f.delay); waitErr != nil {
		return unknown(waitErr)
	}
	return err
}

func (s *Store) storeObject(name string, data []byte) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	old, found := s.objects[name]
	if found && !bytes.Equal(old, data) {
		return &api.ConflictError{Rows: []api.Row{{Key: name, Version: 1}}}
	}
	s.objects[name] = data
	return nil
}

// GetObject implements platform.Objects.
func (s *Store) GetObject(ctx context.Context, name string) ([]byte, error) {
	remaining, err := s.admitRead(ctx, PartObjects)
	if err == nil {
		err = sleep(ctx, remaining)
	}
	if err != nil {
		return nil, &api.UnavailableError{Op: "get object", Cause: err}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	data, found := s.objects[name]
	if !found {
		return nil, &api.NotFoundError{Name: name}
	}
	return bytes.Clone(data), nil
}

// Package objectstore adapts the platform's object API to the stores that the
// operation and lease packages use.
package objectstore

import (
	"context"
	"errors"
	"fmt"

	"github.com/nutmegroute/nutmegroute/internal/lease"
	"github.com/nutmegroute/nutmegroute/internal/operation"
	"github.com/nutmegroute/nutmegroute/internal/platform"
)

// errorSet holds the errors of the package that uses a store.
type errorSet struct {
	notFound, conflict, unavailable, outcomeUnknown error
}

// convert turns an error of the platform's client into one of the set. A
// rejected write was surely not applied.
func (e errorSet) convert(err error) error {
	switch {
	case err == nil:
		return nil
	case errors.Is(err, platform.ErrNotFound):
		return e.notFound
	case errors.Is(err, platform.ErrConflict):
		return e.conflict
	case errors.Is(err, platform.ErrUnavailable), errors.Is(err, platform.ErrRejected):
		return fmt.Errorf("%w: %w", e.unavailable, err)
	}
	return fmt.Errorf("%w: %w", e.outcomeUnknown, err)
}

// objects reads and writes single objects.
type objects struct {
	client *platform.Client
	errors errorSet
}

// Get returns an object's value and version.
func (s *objects) Get(ctx context.Context, key string) ([]byte, uint64, error) {
	object, err := s.client.Get(ctx, key)
	return object.Value, object.Version, s.errors.convert(err)
}

// Create writes an object that does not exist yet.
func (s *objects) Create(ctx context.Context, key string, value []byte) (uint64, error) {
	object, err := s.client.Create(ctx, key, value)
	return object.Version, s.errors.convert(err)
}

// Update writes an object that has the given version.
func (s *objects) Update(ctx context.Context, key string, value []byte, version uint64) (uint64, error) {
	object, err := s.client.Update(ctx, key, version, value)
	return object.Version, s.errors.convert(err)
}

// Records stores operation records.
type Records struct {
	objects
}

var (
	_ operation.Store      = (*Records)(nil)
	_ operation.SweepStore = (*Records)(nil)
	_ lease.Store          = (*Leases)(nil)
)

// NewRecords returns a store of operation records. Its errors are those of the
// operation package.
func NewRecords(client *platform.Client) *Records {
	return &Records{objects{client, errorSet{
		operation.ErrNotFound, operation.ErrConflict, operation.ErrUnavailable, operation.ErrOutcomeUnknown,
	}}}
}

// List implements operation.SweepStore.
func (s *Records) List(ctx context.Context, prefix, after string, limit int) ([]operation.StoredRecord, bool, error) {
	list, err := s.client.List(ctx, prefix, after, limit)
	if err != nil {
		return nil, false, s.errors.convert(err)
	}
	records := make([]operation.StoredRecord, 0, len(list.Objects))
	for _, o := range list.Objects {
		records = append(records, operation.StoredRecord{Key: o.Key, Version: o.Version, Value: o.Value})
	}
	return records, list.More, nil
}

// Delete implements operation.SweepStore.
func (s *Records) Delete(ctx context.Context, key string, version uint64) error {
	return s.errors.convert(s.client.Delete(ctx, key, version))
}

// Leases stores leases.
type Leases struct {
	objects
}

// NewLeases returns a store of leases. Its errors are those of the lease
// package.
func NewLeases(client *platform.Client) *Leases {
	return &Leases{objects{client, errorSet{
		lease.ErrNotFound, lease.ErrConflict, lease.ErrUnavailable, lease.ErrOutcomeUnknown,
	}}}
}

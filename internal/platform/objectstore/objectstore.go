// Package objectstore implements the store interfaces of the operation and lease
// packages with the platform's object API.
package objectstore

import (
	"context"
	"errors"
	"fmt"

	"github.com/nutmegroute/nutmegroute/internal/lease"
	"github.com/nutmegroute/nutmegroute/internal/operation"
	"github.com/nutmegroute/nutmegroute/internal/platform"
)

// storeErrors holds the errors that a store returns, which belong to the package
// that uses the store.
type storeErrors struct {
	notFound, conflict, unavailable, outcomeUnknown error
}

// convert returns the error that corresponds to an error of the platform's
// client. A rejected write was not applied and counts as unavailable.
func (e storeErrors) convert(err error) error {
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

// objectStore reads and writes individual objects.
type objectStore struct {
	client *platform.Client
	errors storeErrors
}

// Get returns an object's value and version.
func (s *objectStore) Get(ctx context.Context, key string) ([]byte, uint64, error) {
	object, err := s.client.Get(ctx, key)
	return object.Value, object.Version, s.errors.convert(err)
}

// Create writes an object that must not exist.
func (s *objectStore) Create(ctx context.Context, key string, value []byte) (uint64, error) {
	object, err := s.client.Create(ctx, key, value)
	return object.Version, s.errors.convert(err)
}

// Update writes an object that must have the given version.
func (s *objectStore) Update(ctx context.Context, key string, value []byte, version uint64) (uint64, error) {
	object, err := s.client.Update(ctx, key, version, value)
	return object.Version, s.errors.convert(err)
}

// Records stores operation records.
type Records struct {
	objectStore
}

var (
	_ operation.Store      = (*Records)(nil)
	_ operation.SweepStore = (*Records)(nil)
	_ lease.Store          = (*Leases)(nil)
)

// NewRecords returns a store of operation records. Its errors are those of the
// operation package.
func NewRecords(client *platform.Client) *Records {
	return &Records{objectStore{client, storeErrors{
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
	objectStore
}

// NewLeases returns a store of leases. Its errors are those of the lease
// package.
func NewLeases(client *platform.Client) *Leases {
	return &Leases{objectStore{client, storeErrors{
		lease.ErrNotFound, lease.ErrConflict, lease.ErrUnavailable, lease.ErrOutcomeUnknown,
	}}}
}

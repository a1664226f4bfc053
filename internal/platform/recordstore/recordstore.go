// Package recordstore stores operation records through the platform's object
// API.
package recordstore

import (
	"context"
	"errors"
	"fmt"

	"github.com/nutmegroute/nutmegroute/internal/operation"
	"github.com/nutmegroute/nutmegroute/internal/platform"
)

// Store is an operation.Store and an operation.SweepStore.
type Store struct {
	client *platform.Client
}

var (
	_ operation.Store      = (*Store)(nil)
	_ operation.SweepStore = (*Store)(nil)
)

// New returns a Store on client.
func New(client *platform.Client) *Store { return &Store{client: client} }

// Get implements operation.Store.
func (s *Store) Get(ctx context.Context, key string) ([]byte, uint64, error) {
	object, err := s.client.Get(ctx, key)
	return object.Value, object.Version, convert(err)
}

// Create implements operation.Store.
func (s *Store) Create(ctx context.Context, key string, value []byte) (uint64, error) {
	object, err := s.client.Create(ctx, key, value)
	return object.Version, convert(err)
}

// Update implements operation.Store.
func (s *Store) Update(ctx context.Context, key string, value []byte, version uint64) (uint64, error) {
	object, err := s.client.Update(ctx, key, version, value)
	return object.Version, convert(err)
}

// List implements operation.SweepStore.
func (s *Store) List(ctx context.Context, prefix, after string, limit int) ([]operation.StoredRecord, bool, error) {
	list, err := s.client.List(ctx, prefix, after, limit)
	if err != nil {
		return nil, false, convert(err)
	}
	records := make([]operation.StoredRecord, 0, len(list.Objects))
	for _, o := range list.Objects {
		records = append(records, operation.StoredRecord{Key: o.Key, Version: o.Version, Value: o.Value})
	}
	return records, list.More, nil
}

// Delete implements operation.SweepStore.
func (s *Store) Delete(ctx context.Context, key string, version uint64) error {
	return convert(s.client.Delete(ctx, key, version))
}

// convert turns an error of the platform's client into one of the operation
// package. A rejected write was surely not applied.
func convert(err error) error {
	switch {
	case err == nil:
		return nil
	case errors.Is(err, platform.ErrNotFound):
		return operation.ErrNotFound
	case errors.Is(err, platform.ErrConflict):
		return operation.ErrConflict
	case errors.Is(err, platform.ErrUnavailable), errors.Is(err, platform.ErrRejected):
		return fmt.Errorf("%w: %w", operation.ErrUnavailable, err)
	}
	return fmt.Errorf("%w: %w", operation.ErrOutcomeUnknown, err)
}

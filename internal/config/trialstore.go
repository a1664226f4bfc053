package config

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/nutmegroute/nutmegroute/internal/platform"
)

// StoreOptions configure a Store.
type StoreOptions struct{}

// Store is an interim client of the configuration log: it neither retries nor
// resolves lost answers. The full one replaces it.
type Store struct{ c *platform.Client }

// NewStore returns a Store on client c.
func NewStore(c *platform.Client, _ StoreOptions) *Store { return &Store{c} }

// Accept writes the next change.
func (s *Store) Accept(ctx context.Context, p Proposal) (Change, error) {
	r := NewReplica()
	list, err := s.c.List(ctx, "config/changes/", "", 1000)
	if err != nil {
		return Change{}, err
	}
	for _, o := range list.Objects {
		var c Change
		if err := json.Unmarshal(o.Value, &c); err != nil {
			return c, err
		}
		if err := r.Apply(c); err != nil {
			return c, err
		}
	}
	c, err := r.State().Next(p, time.Now())
	if err != nil {
		return c, err
	}
	data, _ := json.Marshal(c)
	_, err = s.c.Create(ctx, fmt.Sprintf("config/changes/%012d", c.Revision), data)
	return c, err
}

// Follow feeds the replica until ctx ends.
func (s *Store) Follow(ctx context.Context, r *Replica) error {
	after := uint64(0)
	for ctx.Err() == nil {
		list, err := s.c.Watch(ctx, "config/changes/", after, 20*time.Second)
		if err != nil {
			time.Sleep(50 * time.Millisecond)
			continue
		}
		after = list.Revision
		for _, o := range list.Objects {
			var c Change
			if json.Unmarshal(o.Value, &c) == nil {
				_ = r.Apply(c)
			}
		}
	}
	return ctx.Err()
}

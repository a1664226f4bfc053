package config

import "github.com/cespare/xxhash/v2"

// shardCount splits a map so that one change copies 1/64 of its entries: about
// 80 of 5,000.
const shardCount = 64

// shards is an immutable map from strings. The zero value is empty.
type shards[V any] struct {
	maps [shardCount]map[string]V
}

func shardOf(key string) uint64 { return xxhash.Sum64String(key) % shardCount }

func (s *shards[V]) get(key string) (V, bool) {
	v, ok := s.maps[shardOf(key)][key]
	return v, ok
}

// editor changes a copy of a shards value and copies each shard at most once.
type editor[V any] struct {
	shards *shards[V]
	owned  [shardCount]bool
}

func (s *shards[V]) edit() *editor[V] {
	c := *s
	return &editor[V]{shards: &c}
}

func (e *editor[V]) own(key string) map[string]V {
	i := shardOf(key)
	if !e.owned[i] {
		old := e.shards.maps[i]
		m := make(map[string]V, len(old)+1)
		for k, v := range old {
			m[k] = v
		}
		e.shards.maps[i], e.owned[i] = m, true
	}
	return e.shards.maps[i]
}

func (e *editor[V]) set(key string, v V)      { e.own(key)[key] = v }
func (e *editor[V]) remove(key string)        { delete(e.own(key), key) }
func (e *editor[V]) get(key string) (V, bool) { return e.shards.get(key) }

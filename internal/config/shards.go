package config

import "github.com/cespare/xxhash/v2"

// shardCount is the number of shards of a map. A change of one key copies 1/64
// of the entries: about 80 of 5,000.
const shardCount = 64

// shardedMap is an immutable map with string keys. The zero value is empty.
type shardedMap[V any] struct {
	maps [shardCount]map[string]V
}

func shardIndex(key string) uint64 { return xxhash.Sum64String(key) % shardCount }

func (s *shardedMap[V]) get(key string) (V, bool) {
	v, ok := s.maps[shardIndex(key)][key]
	return v, ok
}

// editor makes a changed copy of a shardedMap. It copies a shard before the
// first change to it.
type editor[V any] struct {
	result *shardedMap[V]
	copied [shardCount]bool
}

// edit returns an editor whose result starts as a copy of s.
func (s *shardedMap[V]) edit() *editor[V] {
	c := *s
	return &editor[V]{result: &c}
}

// writableShard returns the shard of key in the result, copied from the
// original map if that has not happened yet.
func (e *editor[V]) writableShard(key string) map[string]V {
	i := shardIndex(key)
	if !e.copied[i] {
		old := e.result.maps[i]
		m := make(map[string]V, len(old)+1)
		for k, v := range old {
			m[k] = v
		}
		e.result.maps[i], e.copied[i] = m, true
	}
	return e.result.maps[i]
}

func (e *editor[V]) set(key string, v V)      { e.writableShard(key)[key] = v }
func (e *editor[V]) remove(key string)        { delete(e.writableShard(key), key) }
func (e *editor[V]) get(key string) (V, bool) { return e.result.get(key) }

package engine

import (
	"container/list"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	api "github.com/nutmegroute/nutmegroute/internal/engine"
)

const (
	// cacheBlock is the number of prompt tokens in one block of the cache.
	cacheBlock = 16
	// prefixLayer is the layer argument of hash for prefix keys.
	prefixLayer = -3
	// maxPendingEvents is the maximum number of cache events that are kept. Older
	// events are discarded.
	maxPendingEvents = 4096
)

// block holds the KV state after one block of a prompt and the outputs of the tokens
// of the block.
type block struct {
	key     uint64
	kv      []uint64
	outputs []uint64
}

// prefixCache maps prompt prefixes, in blocks of cacheBlock tokens, to saved states.
// It evicts the least recently used block first.
type prefixCache struct {
	maxTokens int
	blocks    map[uint64]*list.Element
	lru       *list.List

	eventDelay    time.Duration
	eventLossRate float64
	random        *rand.Rand
	lastEvent     uint64
	events        []pendingEvent
}

// pendingEvent is a cache event and the time from which clients can read it.
type pendingEvent struct {
	event     api.CacheEvent
	visibleAt time.Time
}

func newPrefixCache(c Config) *prefixCache {
	return &prefixCache{
		maxTokens: c.CacheLimit, blocks: make(map[uint64]*list.Element), lru: list.New(),
		eventDelay: c.CacheEventDelay, eventLossRate: c.CacheEventLossRate, random: rand.New(rand.NewPCG(c.Seed, 0)),
	}
}

// prefixKeys returns the key of each complete block of values. A block that ends
// with the last value gets no key, so that at least one value is not cached and
// runs.
func prefixKeys(seed uint64, values []uint64) []uint64 {
	var keys []uint64
	var key uint64
	for i, v := range values[:len(values)-1] {
		key = hash(seed, prefixLayer, v, key)
		if i%cacheBlock == cacheBlock-1 {
			keys = append(keys, key)
		}
	}
	return keys
}

// prefixName returns the name of a prefix in cache events.
func prefixName(key uint64) string { return fmt.Sprintf("%016x", key) }

// PromptPrefixes returns the names of the prefixes of a prompt, shortest first, as
// they appear in the cache events of an engine that holds the model's first layer.
func PromptPrefixes(model, prompt string) []string {
	seed := xxhash.Sum64String(model)
	var values []uint64
	for _, token := range tokenize(prompt) {
		values = append(values, embed(seed, token))
	}
	var names []string
	for _, key := range prefixKeys(seed, values) {
		names = append(names, prefixName(key))
	}
	return names
}

// lookup returns the blocks of the longest cached prefix of a prompt and marks them
// as recently used.
func (c *prefixCache) lookup(keys []uint64) []*block {
	var found []*block
	for _, key := range keys {
		element := c.blocks[key]
		if element == nil {
			break
		}
		c.lru.MoveToFront(element)
		found = append(found, element.Value.(*block))
	}
	return found
}

// store adds a block and evicts the least recently used blocks beyond maxTokens.
func (c *prefixCache) store(key uint64, kv, outputs []uint64) {
	if c.blocks[key] != nil || c.maxTokens < cacheBlock {
		return
	}
	c.blocks[key] = c.lru.PushFront(&block{key: key, kv: slices.Clone(kv), outputs: slices.Clone(outputs)})
	c.publish(key, false)
	for c.tokenCount() > c.maxTokens {
		oldest := c.lru.Remove(c.lru.Back()).(*block)
		delete(c.blocks, oldest.key)
		c.publish(oldest.key, true)
	}
}

// clear evicts all blocks.
func (c *prefixCache) clear() {
	for key := range c.blocks {
		c.publish(key, true)
	}
	clear(c.blocks)
	c.lru.Init()
}

func (c *prefixCache) tokenCount() int { return len(c.blocks) * cacheBlock }

// publish adds a cache event, unless the event is chosen to be lost. A lost event
// still takes a number.
func (c *prefixCache) publish(key uint64, evicted bool) {
	c.lastEvent++
	if c.random.Float64() < c.eventLossRate {
		return
	}
	event := api.CacheEvent{Number: c.lastEvent, Prefix: prefixName(key), Evicted: evicted}
	c.events = append(c.events, pendingEvent{event, time.Now().Add(c.eventDelay)})
	if len(c.events) > maxPendingEvents {
		c.events = c.events[len(c.events)-maxPendingEvents:]
	}
}

// eventsAfter returns the visible events with a number greater than number.
func (c *prefixCache) eventsAfter(number uint64) []api.CacheEvent {
	events := []api.CacheEvent{}
	for _, e := range c.events {
		if e.event.Number > number && !e.visibleAt.After(time.Now()) {
			events = append(events, e.event)
		}
	}
	return events
}

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
	// maxEvents bounds the cache events kept for publication.
	maxEvents = 4096
)

// block holds the state after one block of a prompt and the block's outputs.
type block struct {
	key     uint64
	kv      []uint64
	outputs []uint64
}

// prefixCache maps prompt prefixes, in blocks, to saved states. The least
// recently used block leaves first.
type prefixCache struct {
	limit  int
	blocks map[uint64]*list.Element
	recent *list.List

	delay  time.Duration
	loss   float64
	random *rand.Rand
	number uint64
	events []pendingEvent
}

type pendingEvent struct {
	event   api.CacheEvent
	visible time.Time
}

func newPrefixCache(c Config) *prefixCache {
	return &prefixCache{
		limit: c.CacheLimit, blocks: make(map[uint64]*list.Element), recent: list.New(),
		delay: c.CacheEventDelay, loss: c.CacheEventLossRate, random: rand.New(rand.NewPCG(c.Seed, 0)),
	}
}

// prefixKeys returns the key of each whole block of values, except a last
// block that would leave no value to run.
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

func prefixName(key uint64) string { return fmt.Sprintf("%016x", key) }

// PromptPrefixes returns the names that the cache events of an engine with the
// model's first layer use for the prefixes of a prompt, shortest first.
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

// lookup returns the cached blocks that start a prompt.
func (c *prefixCache) lookup(keys []uint64) []*block {
	var found []*block
	for _, key := range keys {
		element := c.blocks[key]
		if element == nil {
			break
		}
		c.recent.MoveToFront(element)
		found = append(found, element.Value.(*block))
	}
	return found
}

func (c *prefixCache) store(key uint64, kv, outputs []uint64) {
	if c.blocks[key] != nil || c.limit < cacheBlock {
		return
	}
	c.blocks[key] = c.recent.PushFront(&block{key: key, kv: slices.Clone(kv), outputs: slices.Clone(outputs)})
	c.publish(key, false)
	for c.tokens() > c.limit {
		oldest := c.recent.Remove(c.recent.Back()).(*block)
		delete(c.blocks, oldest.key)
		c.publish(oldest.key, true)
	}
}

func (c *prefixCache) clear() {
	for key := range c.blocks {
		c.publish(key, true)
	}
	clear(c.blocks)
	c.recent.Init()
}

func (c *prefixCache) tokens() int { return len(c.blocks) * cacheBlock }

func (c *prefixCache) publish(key uint64, evicted bool) {
	c.number++
	if c.random.Float64() < c.loss {
		return
	}
	event := api.CacheEvent{Number: c.number, Prefix: prefixName(key), Evicted: evicted}
	c.events = append(c.events, pendingEvent{event, time.Now().Add(c.delay)})
	if len(c.events) > maxEvents {
		c.events = c.events[len(c.events)-maxEvents:]
	}
}

func (c *prefixCache) eventsAfter(number uint64) []api.CacheEvent {
	events := []api.CacheEvent{}
	for _, e := range c.events {
		if e.event.Number > number && !e.visible.After(time.Now()) {
			events = append(events, e.event)
		}
	}
	return events
}

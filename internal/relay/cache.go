// Package relay passes the feeds of the platform's store from gateway to gateway.
// Few gateways read the store; each keeps what it read in a Cache and serves it to
// others, which read from it like from the store. A gateway whose source is silent,
// old or behind reads the store itself.
package relay

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/nutmegroute/nutmegroute/internal/feed"
	"github.com/nutmegroute/nutmegroute/internal/revision"
)

// ErrUnavailable means that a gateway can't serve a feed, because it has not read it
// yet or can't reach its own source.
var ErrUnavailable = errors.New("relay: feed unavailable")

// maxLogEntries bounds the number of batches that a Cache keeps for watches.
const maxLogEntries = 256

// Describe returns the key of a record, and whether the record removes the key.
type Describe[R any] func(R) (key string, removed bool)

// Cache holds the latest records of a feed and its recent changes. It is a
// feed.Handler that passes everything on to another handler. It is safe for concurrent
// use.
type Cache[R any] struct {
	next     feed.Handler[R]
	describe Describe[R]

	// mu guards the fields below.
	mu      sync.Mutex
	records map[string]R
	// keys holds the keys of records in the order of their addition.
	keys []string
	// available is false before the first list and while the source fails.
	available bool
	revision  revision.Revision
	// latestChange is the highest feed.Batch.LatestChange.
	latestChange revision.Revision
	// confirmedAt and relays are those of the batch with the latest confirmation.
	confirmedAt time.Time
	relays      int
	// log holds the recent changes, oldest first. Changes up to logStart are not in
	// it.
	log      []logEntry[R]
	logStart revision.Revision
	// changed is closed at each list, watch or failure of the source.
	changed chan struct{}
}

// logEntry holds the records of one batch and the revision after it.
type logEntry[R any] struct {
	records  []R
	revision revision.Revision
}

// NewCache returns an empty cache that passes what it receives on to next.
func NewCache[R any](next feed.Handler[R], describe Describe[R]) *Cache[R] {
	return &Cache[R]{
		next: next, describe: describe, records: make(map[string]R), changed: make(chan struct{}),
	}
}

// Replace implements feed.Handler.
func (c *Cache[R]) Replace(b feed.Batch[R], afterOutage bool) {
	c.next.Replace(b, afterOutage)
	c.mu.Lock()
	defer c.mu.Unlock()
	clear(c.records)
	c.keys = nil
	c.store(b.Records)
	c.log, c.logStart, c.revision = nil, b.Revision, b.Revision
	c.available = true
	c.confirm(b)
}

// Update implements feed.Handler.
func (c *Cache[R]) Update(b feed.Batch[R]) {
	c.next.Update(b)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.store(b.Records)
	c.revision = max(c.revision, b.Revision)
	if len(b.Records) > 0 {
		c.log = append(c.log, logEntry[R]{slices.Clone(b.Records), c.revision})
	}
	if len(c.log) > maxLogEntries {
		c.logStart = c.log[0].revision
		c.log = slices.Delete(c.log, 0, 1)
	}
	c.confirm(b)
}

// SourceFailed implements feed.Handler.
func (c *Cache[R]) SourceFailed(err error) {
	c.next.SourceFailed(err)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.available = false
	c.notify()
}

// SourceRecovered implements feed.Handler.
func (c *Cache[R]) SourceRecovered() { c.next.SourceRecovered() }

// store applies records in their order.
func (c *Cache[R]) store(records []R) {
	for _, r := range records {
		key, removed := c.describe(r)
		if _, known := c.records[key]; !known && !removed {
			c.keys = append(c.keys, key)
		}
		if !removed {
			c.records[key] = r
			continue
		}
		delete(c.records, key)
		c.keys = slices.DeleteFunc(c.keys, func(k string) bool { return k == key })
	}
}

func (c *Cache[R]) confirm(b feed.Batch[R]) {
	c.latestChange = max(c.latestChange, b.LatestChange)
	if b.ConfirmedAt.After(c.confirmedAt) {
		c.confirmedAt, c.relays = b.ConfirmedAt, b.Relays
	}
	c.notify()
}

// notify wakes the watches.
func (c *Cache[R]) notify() {
	close(c.changed)
	c.changed = make(chan struct{})
}

// List returns all records.
func (c *Cache[R]) List(context.Context) (feed.Batch[R], error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.available {
		return feed.Batch[R]{}, ErrUnavailable
	}
	b := c.emptyBatch()
	for _, key := range c.keys {
		b.Records = append(b.Records, c.records[key])
	}
	return b, nil
}

// emptyBatch returns a batch without records.
func (c *Cache[R]) emptyBatch() feed.Batch[R] {
	return feed.Batch[R]{Revision: c.revision, LatestChange: c.latestChange, ConfirmedAt: c.confirmedAt, Relays: c.relays}
}

// Watch waits for changes after a revision, for at most wait. It also returns, without
// changes, when the store has confirmed the revision at a later time than confirmedAt.
func (c *Cache[R]) Watch(
	ctx context.Context, after revision.Revision, confirmedAt time.Time, wait time.Duration,
) (feed.Batch[R], error) {
	b, changed, err := c.changesAfter(after)
	if err != nil || len(b.Records) > 0 || b.ConfirmedAt.After(confirmedAt) {
		return b, err
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return feed.Batch[R]{}, ctx.Err()
	case <-timer.C:
	case <-changed:
	}
	b, _, err = c.changesAfter(after)
	return b, err
}

// changesAfter returns the changes after a revision, possibly with changes before it,
// and the channel that is closed at the next change.
func (c *Cache[R]) changesAfter(after revision.Revision) (feed.Batch[R], <-chan struct{}, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	// A cache in a former era of the store has nothing that the caller may use.
	if !c.available || after.Era() > c.revision.Era() {
		return feed.Batch[R]{}, c.changed, ErrUnavailable
	}
	if after < c.logStart {
		return feed.Batch[R]{}, c.changed, feed.ErrHistoryExpired
	}
	b := c.emptyBatch()
	for _, e := range c.log {
		if e.revision > after {
			b.Records = append(b.Records, e.records...)
		}
	}
	return b, c.changed, nil
}

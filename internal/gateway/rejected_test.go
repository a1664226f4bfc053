package gateway

import (
	"errors"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/nutmegroute/nutmegroute/internal/events"
	"github.com/nutmegroute/nutmegroute/internal/feed"
)

// batchCounter counts the batches that it receives.
type batchCounter struct{ lists, updates int }

func (c *batchCounter) Replace(feed.Batch[int], bool) { c.lists++ }
func (c *batchCounter) Update(feed.Batch[int])        { c.updates++ }
func (c *batchCounter) SourceFailed(error)            {}
func (c *batchCounter) SourceRecovered()              {}

// Guards against odd entries of the store that are not logged, that fill the log, or that
// keep a batch from its handler.
func TestRejectedEntriesAreLogged(t *testing.T) {
	var out strings.Builder
	log, err := events.New(&out, "info", "json", "g")
	assert.NilError(t, err)
	next := &batchCounter{}
	l := &rejectionLogger[int]{next, "instances", log}
	odd := feed.Rejection{Name: strings.Repeat("n", 5000), Err: errors.New("odd value")}
	l.Replace(feed.Batch[int]{Rejected: []feed.Rejection{odd, odd}}, false)
	l.Update(feed.Batch[int]{Rejected: []feed.Rejection{{Err: errors.New("no name")}}})
	l.Update(feed.Batch[int]{})
	assert.Equal(t, strings.Count(out.String(), "entry-rejected"), 1, out.String())
	assert.Assert(t, strings.Contains(out.String(), "odd value"))
	assert.Assert(t, len(out.String()) < 1000)
	assert.Equal(t, *next, batchCounter{1, 2})
}

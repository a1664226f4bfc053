package gateway

import (
	"slices"
	"strings"
	"sync"
	"testing"

	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	"github.com/nutmegroute/nutmegroute/internal/events"
	"github.com/nutmegroute/nutmegroute/internal/feed"
	"github.com/nutmegroute/nutmegroute/internal/fleet"
	"github.com/nutmegroute/nutmegroute/internal/revision"
	"github.com/nutmegroute/nutmegroute/internal/routing"
)

// leaseWithEras records the eras that it is told.
type leaseWithEras struct {
	leaseWithUnreachableStore
	eras []uint64
}

func (l *leaseWithEras) ObserveEra(era uint64) { l.eras = append(l.eras, era) }

// lines is a writer that counts log lines.
type lines struct {
	mu   sync.Mutex
	text strings.Builder
}

func (l *lines) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(p)
}

func (l *lines) count(text string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return strings.Count(l.text.String(), text)
}

// Guards against a gateway that goes on holding the lease of a former era, takes its start or
// an older batch for a restore, or leaves operators without a line in the log.
func TestNewEraIsLoggedAndEndsTheLease(t *testing.T) {
	log, lease := &lines{}, &leaseWithEras{}
	logger, err := events.New(log, "info", "json", "g")
	assert.NilError(t, err)
	g := New(Settings{}, Platform{Lease: lease}, logger, tally.NoopScope)
	for _, era := range []uint64{3, 3, 4, 3, 4, 5} {
		at := revision.New(era, 10)
		(&configHandler{g}).Replace(feed.Batch[routing.Configuration]{Revision: at, LatestChange: at}, false)
		(&instanceHandler{g}).Replace(feed.Batch[fleet.Record]{Revision: at, LatestChange: at}, false)
	}
	assert.Assert(t, slices.Equal(lease.eras, []uint64{3, 4, 5}), "%v", lease.eras)
	assert.Equal(t, log.count("store-restored"), 2, "%s", log.text.String())
}

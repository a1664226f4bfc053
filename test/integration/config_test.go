package integration

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/nutmegroute/nutmegroute/internal/config"
	"github.com/nutmegroute/nutmegroute/internal/peer"
	"github.com/nutmegroute/nutmegroute/internal/profile"
	"github.com/nutmegroute/nutmegroute/internal/request"
	standinplatform "github.com/nutmegroute/nutmegroute/internal/standin/platform"
)

// maxPropagationTime is the longest time that an accepted change may take to reach
// every process (I7).
const maxPropagationTime = 4 * time.Second

// observer is a peer that reads the configuration revisions which processes announce
// on their connections. Its own revision is always 0, and it installs no
// configuration.
type observer struct {
	node *peer.Node
	c    *cluster
}

// revision returns the revision that a process announces, or 0 if the process is
// unreachable.
func (o observer) revision(p *process) uint64 {
	conn, err := o.node.Dial(o.c.t.Context(), p.listenAddress)
	if err != nil {
		return 0
	}
	return conn.PeerRevision()
}

// Connected implements peer.Handler.
func (observer) Connected(*peer.Conn) {}

// HandleFrame implements peer.Handler.
func (observer) HandleFrame(*peer.Conn, peer.Frame) {}

// Disconnected implements peer.Handler.
func (observer) Disconnected(*peer.Conn, error) {}

// observer returns an observer that is closed at the end of the test.
func (c *cluster) observer() observer {
	o := observer{c: c}
	o.node = peer.NewNode(peer.Hello{Role: peer.RoleEntry, ID: "observer", Address: "127.0.0.1:1"}, o,
		func() uint64 { return 0 }, peer.Options{Secret: secret})
	c.t.Cleanup(o.node.Close)
	return o
}

// waitForRevision waits until every process announces the revision or a later one,
// and returns the time since the change was accepted.
func (o observer) waitForRevision(revision config.Revision, accepted time.Time) time.Duration {
	for _, p := range o.c.processes {
		o.c.waitFor(fmt.Sprintf("revision %d at %s", revision, p.id), func() bool { return o.revision(p) >= uint64(revision) })
	}
	return time.Since(accepted)
}

// changeProfile publishes a change of the profile speech, and returns its revision
// and the time at which it was accepted.
func (c *cluster) changeProfile(base config.Revision) (config.Revision, time.Time) {
	next := c.acceptChange(config.KindProfile, "speech", base, profile.Profile{Name: "speech", Model: model, MaxTokens: 500 + int(base)})
	return next, time.Now()
}

// Guards against an accepted change that does not reach every process, and against
// a process that returns to an older configuration after a pause or a restart
// during an outage of the store (I7).
func TestConfigurationReachesEveryProcess(t *testing.T) {
	t.Parallel()
	c := startCluster(t, clusterOptions{entries: 2, replicas: 1, services: 1})
	o := c.observer()
	base := config.Revision(2) // the profile speech is the second change of configure
	var worst time.Duration
	for range 10 {
		var accepted time.Time
		base, accepted = c.changeProfile(base)
		worst = max(worst, o.waitForRevision(base, accepted))
	}
	assert.Assert(t, worst <= maxPropagationTime, "%s", worst)
	t.Logf("10 changes reached every process within %s at most", worst)

	// A process that was frozen while the configuration changed gets the change
	// from its peers, although it is unfrozen during an outage of the store.
	entry, sidecar := c.entries[1], c.engines[0].process
	entry.freeze()
	sidecar.freeze()
	base, _ = c.changeProfile(base)
	c.waitFor("the change at entry-0", func() bool { return o.revision(c.entries[0]) >= uint64(base) })
	c.platform.SetFaults(standinplatform.Faults{Outage: standinplatform.OutageUnavailable, InstancesOutage: standinplatform.OutageUnavailable})
	entry.unfreeze()
	sidecar.unfreeze()
	unfrozenAt := time.Now()
	t.Logf("the change reached the unfrozen processes within %s", o.waitForRevision(base, unfrozenAt))

	// Processes that restart during the outage get the configuration from their
	// seeds, and never announce an older revision.
	for _, p := range []*process{entry, sidecar, c.serviceSidecars[0]} {
		p.kill()
		p.writeSettings(c.entries[0].advertisedAddress)
		p.start()
		c.waitFor("revision at "+p.id, func() bool {
			current := o.revision(p)
			assert.Assert(t, current == 0 || current == uint64(base), "%s announces revision %d after revision %d", p.id, current, base)
			return current == uint64(base)
		})
		c.waitFor(p.id+" ready", p.isReady)
	}

	// During the outage entries still serve chat requests. They refuse a purchase
	// as not-run, because no claim can be stored.
	assert.NilError(t, c.chat(t.Context(), c.entries[0], "speech", uniquePrompt(1, 10), nil).checkComplete())
	result, err := c.purchase(t.Context(), c.entries[0], "outage", "{}")
	assert.NilError(t, err)
	assert.Equal(t, result.outcome, request.OutcomeNotRun, result.body)
	assert.Equal(t, result.status, http.StatusServiceUnavailable)

	c.platform.SetFaults(standinplatform.Faults{})
	var accepted time.Time
	base, accepted = c.changeProfile(base)
	t.Logf("a change after the outage reached every process within %s", o.waitForRevision(base, accepted))
	assert.Equal(t, len(c.service.Executions()), 0)
}

// Guards against an entry that becomes ready without a configuration, and against an
// entry that can't start from its seeds during an outage of the store (I7).
func TestEntryStartsFromSeeds(t *testing.T) {
	t.Parallel()
	c := startCluster(t, clusterOptions{entries: 2, replicas: 1})
	o := c.observer()
	unseeded, seeded := c.entries[0], c.entries[1]
	o.waitForRevision(5, time.Now()) // the number of changes of configure
	unseeded.kill()
	seeded.kill()
	sidecar := c.engines[0].process
	revision := o.revision(sidecar)
	c.platform.SetFaults(standinplatform.Faults{Outage: standinplatform.OutageCloseConnection, InstancesOutage: standinplatform.OutageCloseConnection})
	// This entry has no seed, and the instance list is unavailable.
	unseeded.start()
	c.waitFor("the entry without seeds serves HTTP", unseeded.healthy)
	seeded.writeSettings(sidecar.advertisedAddress)
	seeded.start()
	c.waitFor("the entry with a seed is ready", seeded.isReady)
	assert.Equal(t, o.revision(seeded), revision)
	assert.Assert(t, !unseeded.isReady(), "an entry without any configuration is ready")
	assert.Equal(t, o.revision(unseeded), uint64(0))
	refused := c.chat(t.Context(), unseeded, "speech", uniquePrompt(1, 5), nil)
	assert.Equal(t, refused.outcome, request.OutcomeNotRun)
}

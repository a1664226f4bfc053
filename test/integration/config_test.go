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

// configLimit is the target of I7.
const configLimit = 4 * time.Second

// observer is a peer that reads the revisions which processes show on their
// connections. It takes no part in the configuration.
type observer struct {
	node *peer.Node
	c    *cluster
}

// revision returns the revision that a process shows, or 0 if it can't be
// reached.
func (o observer) revision(p *process) uint64 {
	conn, err := o.node.Dial(o.c.t.Context(), p.listen)
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

func (c *cluster) observer() observer {
	o := observer{c: c}
	o.node = peer.NewNode(peer.Hello{Role: peer.RoleEntry, ID: "observer", Address: "127.0.0.1:1"}, o,
		func() uint64 { return 0 }, peer.Options{Secret: secret})
	c.t.Cleanup(o.node.Close)
	return o
}

// inForce waits until every process shows a revision, and returns how long it
// took since the change was accepted.
func (o observer) inForce(revision config.Revision, accepted time.Time) time.Duration {
	for _, p := range o.c.all {
		o.c.wait(fmt.Sprintf("revision %d at %s", revision, p.id), func() bool { return o.revision(p) >= uint64(revision) })
	}
	return time.Since(accepted)
}

// change publishes one more revision of a profile.
func (c *cluster) change(base config.Revision) (config.Revision, time.Time) {
	next := c.accept(config.KindProfile, "speech", base, profile.Profile{Name: "speech", Model: model, MaxTokens: 500 + int(base)})
	return next, time.Now()
}

// Guards against an accepted change that stays unknown somewhere, and against a
// process that falls back to an older configuration (I7).
func TestConfigurationIsInForceEverywhere(t *testing.T) {
	t.Parallel()
	c := start(t, shape{entries: 2, replicas: 1, services: 1})
	o := c.observer()
	base := config.Revision(2) // the profile speech is the second change of configure
	var worst time.Duration
	for range 10 {
		var accepted time.Time
		base, accepted = c.change(base)
		worst = max(worst, o.inForce(base, accepted))
	}
	assert.Assert(t, worst <= configLimit, "%s", worst)
	t.Logf("in force everywhere within %s at most, 10 changes", worst)

	// A process that was frozen while the configuration changed catches up,
	// although it resumes during an outage of the store.
	e, sidecar := c.entries[1], c.engines[0].process
	e.freeze()
	sidecar.freeze()
	base, _ = c.change(base)
	c.wait("the change at entry-0", func() bool { return o.revision(c.entries[0]) >= uint64(base) })
	c.platform.SetFaults(standinplatform.Faults{Outage: standinplatform.OutageUnavailable, InstancesOutage: standinplatform.OutageUnavailable})
	e.thaw()
	sidecar.thaw()
	thawed := time.Now()
	t.Logf("in force within %s of the thaw", o.inForce(base, thawed))

	// Processes that restart during the outage get the configuration from their
	// seeds, and never show an older one.
	for _, p := range []*process{e, sidecar, c.accounts[0]} {
		p.kill()
		p.write(c.entries[0].advertise)
		p.start()
		c.wait("revision at "+p.id, func() bool {
			shown := o.revision(p)
			assert.Assert(t, shown == 0 || shown == uint64(base), "%s shows revision %d after %d", p.id, shown, base)
			return shown == uint64(base)
		})
		c.wait(p.id+" ready", p.isReady)
	}

	// The requests of callers work during the outage.
	assert.NilError(t, c.chat(t.Context(), c.entries[0], "speech", prompt(1, 10), nil).whole())
	bought, err := c.purchase(t.Context(), c.entries[0], "outage", "{}")
	assert.NilError(t, err)
	assert.Equal(t, bought.outcome, request.OutcomeNotRun, bought.body)
	assert.Equal(t, bought.status, http.StatusServiceUnavailable)

	c.platform.SetFaults(standinplatform.Faults{})
	var accepted time.Time
	base, accepted = c.change(base)
	t.Logf("in force within %s after the outage", o.inForce(base, accepted))
	assert.Equal(t, len(c.service.Executions()), 0)
}

// Guards against an entry that serves callers without a configuration, and
// against one that can't start during an outage of the store (I7).
func TestEntryStartsFromSeeds(t *testing.T) {
	t.Parallel()
	c := start(t, shape{entries: 2, replicas: 1})
	o := c.observer()
	lone, seeded := c.entries[0], c.entries[1]
	o.inForce(5, time.Now()) // the changes of configure
	lone.kill()
	seeded.kill()
	sidecar := c.engines[0].process
	revision := o.revision(sidecar)
	c.platform.SetFaults(standinplatform.Faults{Outage: standinplatform.OutageCloseConnection, InstancesOutage: standinplatform.OutageCloseConnection})
	// Neither a seed nor the list is within reach of this entry.
	lone.start()
	c.wait("the entry without seeds serves HTTP", lone.healthy)
	seeded.write(sidecar.advertise)
	seeded.start()
	c.wait("the entry with a seed is ready", seeded.isReady)
	assert.Equal(t, o.revision(seeded), revision)
	assert.Assert(t, !lone.isReady(), "an entry without any configuration is ready")
	assert.Equal(t, o.revision(lone), uint64(0))
	refused := c.chat(t.Context(), lone, "speech", prompt(1, 5), nil)
	assert.Equal(t, refused.outcome, request.OutcomeNotRun)
}

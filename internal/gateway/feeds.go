package gateway

import (
	"context"
	"errors"
	"hash/fnv"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"

	"github.com/nutmegroute/nutmegroute/internal/backend"
	"github.com/nutmegroute/nutmegroute/internal/events"
	"github.com/nutmegroute/nutmegroute/internal/feed"
	"github.com/nutmegroute/nutmegroute/internal/fleet"
	"github.com/nutmegroute/nutmegroute/internal/gossip"
	"github.com/nutmegroute/nutmegroute/internal/process"
	"github.com/nutmegroute/nutmegroute/internal/quarantine"
	"github.com/nutmegroute/nutmegroute/internal/relay"
	"github.com/nutmegroute/nutmegroute/internal/revision"
	"github.com/nutmegroute/nutmegroute/internal/routing"
)

// Feeds by their index in the reports between gateways.
const (
	configFeed = iota
	instanceFeed
	gatewayFeed
	quarantineFeed
)

// feedNames are the names of the feeds between gateways, by index.
var feedNames = []string{"configuration", "instances", "gateways", "quarantines"}

const (
	// storeWatchWait is how long a watch for configurations or instances waits
	// for changes. A watch that receives nothing, because its connection is
	// dead or the store lost its history, is aborted after storeWatchWait and
	// feed.WatchTimeoutMargin.
	storeWatchWait = 2200 * time.Millisecond
	// rareWatchWait is how long a watch for gateways or quarantined parts waits for
	// changes, which are rare.
	rareWatchWait = 20 * time.Second
	// storeWatchPause is the pause after a change of a configuration or of instances,
	// gatewayWatchPause that after a change of the gateways: all of them register when
	// a deployment starts.
	storeWatchPause   = 150 * time.Millisecond
	gatewayWatchPause = time.Second
	// peerSettleTime is how long after its start a gateway waits for the reports of
	// gateways from which it can read.
	peerSettleTime = 1500 * time.Millisecond
	// relaySettleTime is how long a gateway that was silent for a while must have
	// been heard before feeds are read from it. One that was suspended does not know
	// how old its records are until its next watch of the store has ended.
	relaySettleTime = storeWatchWait + feed.WatchTimeoutMargin + 400*time.Millisecond
)

// followStore follows the configurations, instances and gateways in the platform's
// store until ctx ends. In a large deployment a few gateways read the store, the relays
// of the failure domains read from them, and the other gateways from the relays.
func (g *Gateway) followStore(ctx context.Context, group *errgroup.Group) error {
	server := relay.NewServer()
	startFeed(ctx, g, group, server, configFeed, g.platform.Configurations, &configHandler{g},
		feed.Options{Wait: storeWatchWait, Pause: storeWatchPause},
		func(routing.Configuration) (string, bool) { return "", false })
	startFeed(ctx, g, group, server, instanceFeed, g.platform.Instances, &instanceHandler{g},
		feed.Options{Wait: storeWatchWait, Pause: storeWatchPause},
		func(r fleet.Record) (string, bool) { return r.ID, r.Instance == nil })
	startFeed(ctx, g, group, server, quarantineFeed, g.platform.Quarantines, &quarantineHandler{g: g, revisions: make(map[quarantine.Part]revision.Revision)},
		feed.Options{Wait: rareWatchWait, Pause: storeWatchPause},
		func(r QuarantineRecord) (string, bool) { return string(r.Part), r.Removed })
	if g.settings.PeerPort == 0 {
		return nil
	}
	startFeed(ctx, g, group, server, gatewayFeed, g.platform.Gateways, &peerHandler{g},
		feed.Options{Wait: rareWatchWait, Pause: gatewayWatchPause},
		func(r gossip.PeerRecord) (string, bool) { return r.Name, r.Removed })
	return g.serveFeeds(ctx, group, server)
}

// startFeed follows one kind of record in the platform's store.
func startFeed[R any](ctx context.Context, g *Gateway, group *errgroup.Group, server *relay.Server, index int,
	store feed.Source[R], handler feed.Handler[R], o feed.Options, describe relay.Describe[R]) {
	cache := relay.NewCache(&rejectionLogger[R]{handler, feedNames[index], g.log}, describe)
	relay.AddFeed(server, feedNames[index], cache)
	source := relay.NewSource(feedNames[index], store, &feedGuide{g, index}, o.Wait, backend.NewDialer().DialContext)
	group.Go(func() error {
		feed.New(source, cache, o).Run(ctx)
		return nil
	})
}

// serveFeeds serves the feeds to other gateways until ctx ends.
func (g *Gateway) serveFeeds(ctx context.Context, group *errgroup.Group, feeds http.Handler) error {
	l, err := net.Listen("tcp", net.JoinHostPort(g.settings.Address, strconv.Itoa(g.settings.PeerPort)))
	if err != nil {
		return eris.Wrap(err, "gateway: listen for gateways")
	}
	mux := http.NewServeMux()
	mux.Handle("GET "+relay.Path, feeds)
	server := process.NewServer(mux)
	g.closeFeeds = sync.OnceFunc(func() { _ = errors.Join(server.Close(), l.Close()) })
	context.AfterFunc(ctx, g.closeFeeds)
	group.Go(func() error { return process.Serve(server, l, nil) })
	return nil
}

// feedGuide implements relay.Guide for one feed.
type feedGuide struct {
	g     *Gateway
	index int
}

// Peers implements relay.Guide. Gateways of a failure domain differ in the relay that
// they prefer, so that the relays share the work.
func (f *feedGuide) Peers(now time.Time) []relay.Peer {
	r := f.g.reporter.Load()
	if r == nil {
		return nil
	}
	sources := r.FeedSources(relaySettleTime, now)
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(f.g.settings.Instance))
	peers := make([]relay.Peer, len(sources))
	for i, p := range sources {
		preference := (i + int(hash.Sum32()%uint32(len(sources)))) % len(sources)
		peers[preference] = relay.Peer{Name: p.Name, Address: p.Address.String()}
	}
	return peers
}

// Settled implements relay.Guide. When a large deployment starts, all gateways would
// otherwise watch the instances register. The gateways themselves must be watched to
// become known.
func (f *feedGuide) Settled(now time.Time) bool {
	r := f.g.reporter.Load()
	return r == nil || f.index == gatewayFeed || now.Sub(f.g.startedAt) > peerSettleTime || r.FeedSourcesKnown(now)
}

// LatestChange implements relay.Guide. When one feed has read a new era, watches of the
// others from a former one are given up, which the store may leave waiting.
func (f *feedGuide) LatestChange() revision.Revision {
	f.g.mu.Lock()
	latest := revision.New(f.g.era, 0)
	f.g.mu.Unlock()
	if r := f.g.reporter.Load(); r != nil {
		latest = max(latest, r.LatestChange(f.index))
	}
	return latest
}

// SourceChanged implements relay.Guide.
func (f *feedGuide) SourceChanged(peer string, err error) {
	f.g.log.Log(events.FeedSourceChanged).Str("feed", feedNames[f.index]).Str("relay", peer).Err(err).Send()
}

// reportChange makes the latest change of a feed known to the other gateways, and its era
// to this one.
func (g *Gateway) reportChange(feedIndex int, latest revision.Revision) {
	g.observeEra(latest.Era())
	if r := g.reporter.Load(); r != nil {
		r.SetLatestChange(feedIndex, latest)
	}
}

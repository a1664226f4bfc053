package daemon

import (
	"crypto/tls"
	"errors"
	"fmt"

	"github.com/nutmegroute/nutmegroute/internal/engine"
	"github.com/nutmegroute/nutmegroute/internal/entry"
	"github.com/nutmegroute/nutmegroute/internal/operation"
	"github.com/nutmegroute/nutmegroute/internal/peer"
	"github.com/nutmegroute/nutmegroute/internal/platform"
	"github.com/nutmegroute/nutmegroute/internal/platform/objectstore"
	"github.com/nutmegroute/nutmegroute/internal/service"
	"github.com/nutmegroute/nutmegroute/internal/settings"
	"github.com/nutmegroute/nutmegroute/internal/sidecar"
	"github.com/nutmegroute/nutmegroute/internal/upstream"
)

// errUpstreamKind is returned for settings with an unknown kind of upstream.
var errUpstreamKind = errors.New("daemon: unknown kind of upstream")

// NewEntry creates an entry from its settings.
func NewEntry(s *settings.Entry, env Environment) (Process, error) {
	tlsConfig, err := loadTLS(s.Peer)
	if err != nil {
		return nil, err
	}
	return entry.New(entry.Options{
		ID:                s.Process.Instance,
		FailureDomain:     s.Process.FailureDomain,
		PeerListen:        s.Peer.Listen,
		Advertise:         s.Peer.Advertise,
		CallerListen:      s.Caller.Listen,
		AdminListen:       s.Admin.Listen,
		Secret:            string(s.Peer.Secret),
		Seeds:             s.Peer.Seeds,
		HeartbeatInterval: s.Peer.HeartbeatInterval,
		SuspectAfter:      s.Peer.SuspectAfter,
		StarForwarding:    s.Forwarding == settings.ForwardingStar,
		DrainDelay:        s.DrainDelay,
		DrainTimeout:      s.DrainTimeout,
		MaxInFlight:       s.MaxInFlight,
		MaxBody:           s.Caller.MaxBody,
		MaxHeader:         s.Caller.MaxHeader,
		Operators:         s.Operators,
		TLS:               tlsConfig,
		Platform:          platformClient(s.Platform),
		Log:               env.Log,
		Scope:             env.Scope,
		MetricsHandler:    env.Metrics,
	})
}

// NewSidecar creates a sidecar from its settings.
func NewSidecar(s *settings.Sidecar, env Environment) (Process, error) {
	tlsConfig, err := loadTLS(s.Peer)
	if err != nil {
		return nil, err
	}
	client := platformClient(s.Platform)
	options := sidecar.Options{
		ID:                s.Process.Instance,
		FailureDomain:     s.Process.FailureDomain,
		Listen:            s.Peer.Listen,
		Advertise:         s.Peer.Advertise,
		MetricsListen:     s.MetricsListen,
		Secret:            string(s.Peer.Secret),
		Seeds:             s.Peer.Seeds,
		HeartbeatInterval: s.Peer.HeartbeatInterval,
		SuspectAfter:      s.Peer.SuspectAfter,
		Group:             s.Upstream.Group,
		MaxBatch:          s.MaxBatch,
		MaxQueue:          s.MaxQueue,
		MaxQueueTokens:    s.MaxQueueTokens,
		OutputLogBytes:    s.OutputLogBytes,
		DrainTimeout:      s.DrainTimeout,
		TLS:               tlsConfig,
		Leases:            objectstore.NewLeases(client),
		Log:               env.Log,
		MetricsHandler:    env.Metrics,
	}
	switch s.Upstream.Kind {
	case upstream.KindEngine:
		options.Engine = engine.NewClient(s.Upstream.Address, nil)
	case upstream.KindService:
		options.Service = service.NewClient(s.Upstream.Address, nil)
		options.ServiceName = s.Upstream.Service
		options.Claimer = operation.NewClaimer(objectstore.NewRecords(client), operation.Options{})
	default:
		return nil, fmt.Errorf("%w: %q", errUpstreamKind, s.Upstream.Kind)
	}
	return sidecar.New(options)
}

func platformClient(s settings.Platform) *platform.Client {
	return platform.NewClient(s.Address, platform.WithTimeout(s.Timeout), platform.WithKey(string(s.Key)))
}

// loadTLS returns the TLS configuration of peer connections, or nil if the
// settings have no certificate file.
func loadTLS(p settings.PeerConnections) (*tls.Config, error) {
	if p.TLSCertFile == "" {
		return nil, nil
	}
	return peer.LoadTLS(p.TLSCertFile, p.TLSKeyFile, p.TLSCAFile)
}

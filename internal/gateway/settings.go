// Package gateway serves clients over plain HTTP: it forwards opaque requests
// to upstream instances, over chains of instances where these share the
// layers of a model.
package gateway

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/nutmegroute/nutmegroute/internal/chain"
	"github.com/nutmegroute/nutmegroute/internal/fleet"
)

// Settings holds the configuration that a gateway receives at its start.
type Settings struct {
	// Instance is the name of this process, FailureDomain the failure domain in
	// which it runs.
	Instance      string
	FailureDomain string
	// Address is the IP address of the machine.
	Address string
	// ClientAddress is where clients connect, ReadyAddress where the load
	// balancer checks readiness; both are IP:PORT.
	ClientAddress string
	ReadyAddress  string
	// MetricsPort is the port of /metrics and /status on Address, 0 for none.
	MetricsPort int
	// PeerPort is the port on Address that receives the reports of other
	// gateways, 0 for none.
	PeerPort int
	// DrainTimeout is how long a graceful shutdown may take.
	DrainTimeout time.Duration
	// Within RetryWindow, all gateways together may repeat RetryRatio of the
	// requests in the window, and RetryReserve requests more.
	RetryRatio   float64
	RetryWindow  time.Duration
	RetryReserve float64
	// HedgeShare is the share of the requests to a service that may be sent to a second
	// instance because the first one is slow, 0 for none.
	HedgeShare float64
	// FirstStart is true if the deployment starts for the first time, so that no
	// earlier process of this gateway has repeated requests.
	FirstStart bool
	// Capacity is the processor time that the process may use, in thousandths of a
	// core. Gateways with the most take on duties for their failure domain.
	Capacity int
	// MemoryLimitMB is the memory that the process may use, 0 for no limit.
	MemoryLimitMB int
	// MaxFDs is the number of descriptors of the machine, 0 for the limit of the process.
	MaxFDs int
}

// Inbound is what a client's request headers specify.
type Inbound struct {
	// ID identifies the client's attempt.
	ID string
	// Credential is the API key.
	Credential string
	// Timeout is how long the client waits for the response, 0 if it is not
	// specified.
	Timeout time.Duration
	// PromptTokens, MaxOutputTokens and ExpectedOutput (the client's estimate)
	// are sizes in tokens; 0 if unknown.
	PromptTokens, MaxOutputTokens, ExpectedOutput int
	// LastEvent is the id of the last event that the client has.
	LastEvent string
	// SharedParts identifies the parts of the prompt that other requests may share, in
	// their order: all but the last one.
	SharedParts []string
}

// Outbound is what a request to an instance carries in addition to the client's
// headers.
type Outbound struct {
	// Instance is the only instance that may run the request.
	Instance string
	Path     chain.Path
	Team     string
	// Remaining is how long the instance may work on the request.
	Remaining time.Duration
	// Urgency is 0 for the most urgent requests; higher values are less urgent.
	Urgency int
	// LastEvent is the id of the event after which a stream continues, "" for
	// its beginning.
	LastEvent string
}

// Reply is what the headers of an instance's response specify.
type Reply struct {
	// ID identifies the client's attempt that the response belongs to.
	ID string
	// Sealed is true if the response carries the instance's signature.
	Sealed bool
	// NotExecuted is true if the request has not run and will not run.
	NotExecuted bool
	// FaultAddress is the address of the instance that failed.
	FaultAddress string
	// Limit is the limit that the instance names.
	Limit chain.Limit
	Notice
}

// Notice is what an instance says of itself in the headers of any answer.
type Notice struct {
	// Leaving is true if the instance leaves.
	Leaving bool
	// Backoff is how long the instance, which refused the call, wants no calls.
	Backoff time.Duration
}

// Protocol translates the headers of requests and responses.
type Protocol interface {
	// Inbound reads a client's request headers.
	Inbound(h http.Header) Inbound
	// Outbound returns the headers of a request to an instance.
	Outbound(client http.Header, o Outbound) http.Header
	// Reply reads the headers of an instance's response.
	Reply(resp *http.Response) Reply
	// SetOwnHeaders adds the headers that clients expect to a response that the
	// gateway itself produces.
	SetOwnHeaders(h http.Header, id string)
}

// ErrOrderRefused means that an instance did not accept an order and will not
// carry it out.
var ErrOrderRefused = errors.New("gateway: order refused")

// Report is the state that a model engine reports of itself.
type Report struct {
	// Stalled maps the IDs of requests that wait for another instance to the
	// address of that instance.
	Stalled map[string]string
	// Orders is the number of orders that the instance has started since its
	// own start.
	Orders int64
	// Slowness is the factor by which the instance is slower than usual for its
	// accelerator.
	Slowness float64
	// Layers is the layer range that the instance holds.
	Layers fleet.LayerRange
	// Loading is true if the instance carries out an order. LoadingKnown is false if it
	// does not say so.
	Loading, LoadingKnown bool
	// KVCacheUsed is the fraction of the KV cache in use; it is 1 if the
	// instance does not report it.
	KVCacheUsed float64
	// Requests is the number of running and waiting requests.
	Requests int
}

// Engines calls the control interface of model engines. A notice is also returned with an
// error if the instance answered.
type Engines interface {
	// Report asks an instance for its state.
	Report(ctx context.Context, address string) (Report, Notice, error)
	// OrderLayers orders an instance to hold layers, provided that it has
	// started exactly ordersStarted orders since its own start. An order that
	// gets no answer may still be carried out.
	OrderLayers(
		ctx context.Context, in fleet.Instance, layers fleet.LayerRange, ordersStarted int64,
	) (Notice, error)
	// Reroute changes the path of a running request. The first stage of the path
	// must stay the same.
	Reroute(ctx context.Context, address, id string, p chain.Path) (Notice, error)
}

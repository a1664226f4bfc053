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

// Settings are what a gateway learns at its start.
type Settings struct {
	// Instance names this process, FailureDomain where it runs.
	Instance      string
	FailureDomain string
	// Address is the IP address of the machine.
	Address string
	// ClientAddress is where clients connect, ReadyAddress where the load
	// balancer asks for readiness; both are IP:PORT.
	ClientAddress string
	ReadyAddress  string
	// MetricsPort serves /metrics on Address, 0 for none.
	MetricsPort int
	// PeerPort receives the reports of other gateways on Address, 0 for none.
	PeerPort int
	// DrainTimeout is how long a planned stop may take.
	DrainTimeout time.Duration
	// Repeats of requests may reach RetryRatio of the requests of a window,
	// and RetryReserve more, over all gateways.
	RetryRatio   float64
	RetryWindow  time.Duration
	RetryReserve float64
	// MemoryLimitMB is the memory that the process may use, 0 for no limit.
	MemoryLimitMB int
}

// Inbound is what a client's headers say about its request.
type Inbound struct {
	// ID identifies the client's attempt.
	ID string
	// Credential is the API key.
	Credential string
	// Timeout is how long the client waits, 0 if it doesn't say.
	Timeout time.Duration
	// PromptTokens, MaxOutputTokens and ExpectedOutput (the client's
	// estimate) size a prompt; 0 if unknown.
	PromptTokens, MaxOutputTokens, ExpectedOutput int
	// LastEvent is the id of the last event that the client has.
	LastEvent string
}

// Outbound is what a request to an instance carries beside the client's
// headers.
type Outbound struct {
	// Instance is the only one that may run the request.
	Instance string
	Path     chain.Path
	Team     string
	// Remaining is how long the instance may work.
	Remaining time.Duration
	// Urgency is 0 for the most urgent requests.
	Urgency int
	// LastEvent continues a stream after that event.
	LastEvent string
}

// Reply is what the headers of a response say.
type Reply struct {
	// ID is the attempt that the response belongs to.
	ID string
	// Sealed responses carry the instance's signature.
	Sealed bool
	// NotExecuted means that the request has not run and will not.
	NotExecuted bool
	// FaultAddress is the address of the instance that failed.
	FaultAddress string
}

// Protocol translates the headers of requests and responses.
type Protocol interface {
	Inbound(h http.Header) Inbound
	// Outbound returns the headers for an instance.
	Outbound(client http.Header, o Outbound) http.Header
	Reply(resp *http.Response) Reply
	// SetOwnHeaders adds to a response of the gateway's own what clients expect.
	SetOwnHeaders(h http.Header, id string)
}

// ErrOrderRefused means that an instance did not accept an order and will not
// carry it out.
var ErrOrderRefused = errors.New("gateway: order refused")

// Report is what a model engine says of itself.
type Report struct {
	// Stalled are the requests that wait for another instance, by request id,
	// with the address of the instance at fault.
	Stalled map[string]string
	// Orders counts the orders that the instance has begun since its start.
	Orders int64
	// Slowness is the factor by which the instance is slower than its type.
	Slowness float64
	// Layers are those that the instance holds.
	Layers fleet.LayerRange
	// KVCacheUsed is the part of the KV cache that is in use, 0 to 1; it is 1
	// if the instance does not say.
	KVCacheUsed float64
	// Requests is the number of requests that run or wait.
	Requests int
}

// Engines calls the control interface of model engines.
type Engines interface {
	// Report asks an instance for its state.
	Report(ctx context.Context, address string) (Report, error)
	// OrderLayers orders an instance to hold layers, if it has begun as many orders
	// since its start as begun says. An order without an answer may still be
	// carried out.
	OrderLayers(ctx context.Context, in fleet.Instance, layers fleet.LayerRange, begun int64) error
	// Repath changes the path of a running request. The first part stays.
	Repath(ctx context.Context, address, id string, p chain.Path) error
}

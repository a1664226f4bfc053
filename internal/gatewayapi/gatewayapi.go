// Package gatewayapi defines the status that a gateway serves to operators on
// its metrics port, and a client for it.
package gatewayapi

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"net/url"
	"time"

	"github.com/rotisserie/eris"
)

const (
	// StatusPath is the path at which a gateway serves its Status.
	StatusPath = "/status"
	// ReleasePath is the path of POST requests that release a quarantined part of prompts;
	// PartParameter names the query parameter that holds the part. The answer is 204, or 404
	// if the part is not quarantined.
	ReleasePath   = "/quarantine/release"
	PartParameter = "part"
)

// ErrNotQuarantined means that the gateway does not refuse requests with the part.
var ErrNotQuarantined = errors.New("gatewayapi: part is not quarantined")

// ErrUnavailable means that the gateway can't be reached or does not answer
// with a status.
var ErrUnavailable = errors.New("gatewayapi: no status")

// Status is one gateway's view of the deployment.
type Status struct {
	Instance      string `json:"instance"`
	FailureDomain string `json:"failureDomain"`
	Ready         bool   `json:"ready"`
	// Configuration is the version of the configuration in force, 0 if there is
	// none.
	Configuration int64 `json:"configuration"`
	// Outdated is true if the store has not confirmed the configuration
	// recently.
	Outdated bool `json:"outdated"`
	// Leads is true if this gateway places layers.
	Leads bool `json:"leads"`
	// Gateways is the number of gateways that share the retry budget, this one
	// included. It counts registered gateways even if nothing was heard of them
	// recently.
	Gateways  int             `json:"gateways"`
	InFlight  int64           `json:"inFlight"`
	Coverage  []LayerCoverage `json:"chains"`
	Instances []Instance      `json:"instances"`
	// Quarantined holds the parts of prompts whose requests are refused.
	Quarantined []QuarantinedPart `json:"quarantined,omitempty"`
}

// QuarantinedPart is a part of prompts whose requests are refused because they crash
// instances.
type QuarantinedPart struct {
	Part string `json:"part"`
	// AgeSeconds is the time since the decision, in seconds.
	AgeSeconds float64 `json:"ageSeconds"`
	// Instances is the number of instances that the gateway knows to have crashed when it
	// decided, 0 if it took the decision over.
	Instances int `json:"crashedInstances"`
}

// LayerCoverage tells whether the usable instances of one service in one failure
// domain hold all layers of the service's model.
type LayerCoverage struct {
	// Service is the name of the service.
	Service       string `json:"service"`
	FailureDomain string `json:"failureDomain"`
	// Instances is the number of usable instances.
	Instances int `json:"instances"`
	// Missing is the number of layers that no usable instance holds.
	Missing int `json:"missing"`
}

// Instance is an upstream instance as the gateway sees it.
type Instance struct {
	ID string `json:"id"`
	// Service is the name of the configured service, plain or backed by engines.
	Service       string `json:"service"`
	FailureDomain string `json:"failureDomain"`
	Accelerator   string `json:"accelerator,omitempty"`
	// From and To (exclusive) delimit the layers that the instance holds.
	From     int  `json:"from"`
	To       int  `json:"to"`
	Draining bool `json:"draining"`
	Lost     bool `json:"lost"`
	// Requests is the number of unfinished requests that all gateways have
	// assigned to the instance. KVCacheUsed is the fraction of its KV cache that
	// is charged for these requests.
	Requests    int     `json:"requests"`
	KVCacheUsed float64 `json:"kvCacheUsed"`
}

// requestTimeout bounds one status request.
const requestTimeout = 5 * time.Second

// Release makes the gateway whose metrics are served at base, a URL, release a part of
// prompts in the whole deployment. Its errors wrap ErrNotQuarantined or ErrUnavailable.
func Release(ctx context.Context, base, part string) error {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	target := base + ReleasePath + "?" + url.Values{PartParameter: {part}}.Encode()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, target, nil)
	if err != nil {
		return eris.Wrap(errors.Join(ErrUnavailable, err), "gatewayapi: request")
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return errors.Join(ErrUnavailable, err)
	}
	_ = resp.Body.Close()
	switch resp.StatusCode {
	case http.StatusNoContent:
		return nil
	case http.StatusNotFound:
		return ErrNotQuarantined
	}
	return eris.Wrapf(ErrUnavailable, "status %d", resp.StatusCode)
}

// FetchStatus requests the status of the gateway whose metrics are served at
// base, a URL. Every error that it returns wraps ErrUnavailable.
func FetchStatus(ctx context.Context, base string) (Status, error) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, base+StatusPath, nil)
	if err != nil {
		return Status{}, eris.Wrap(errors.Join(ErrUnavailable, err), "gatewayapi: request")
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return Status{}, errors.Join(ErrUnavailable, err)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return Status{}, eris.Wrapf(ErrUnavailable, "status %d", resp.StatusCode)
	}
	var s Status
	if err := json.NewDecoder(resp.Body).Decode(&s); err != nil {
		return Status{}, errors.Join(ErrUnavailable, err)
	}
	return s, nil
}

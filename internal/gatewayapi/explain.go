package gatewayapi

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/url"
	"strconv"

	"github.com/rotisserie/eris"
)

// ExplainPath is the path at which a gateway explains where a request would go now. The query holds
// an ExplainRequest. The answer is an Explanation, or 404 with a text if no route or service matches.
const ExplainPath = "/explain"

// ErrNoRoute means that no route or service matches the request.
var ErrNoRoute = errors.New("gatewayapi: no route")

// ExplainRequest describes a request that is not sent. Service, or Host and Path, select its service.
type ExplainRequest struct {
	Service, Host, Path, Team string
	// Tokens is the KV cache that the request needs: its prompt and half of its output. 0 stands for
	// the typical request of the service.
	Tokens int
	// Kind selects a route of Service: idempotent, non-idempotent or streaming, "" for any.
	Kind string
}

// Query returns the query of the request.
func (r ExplainRequest) Query() url.Values {
	v := url.Values{"tokens": {strconv.Itoa(r.Tokens)}}
	for name, value := range map[string]string{
		"service": r.Service, "host": r.Host, "path": r.Path, "team": r.Team, "kind": r.Kind,
	} {
		if value != "" {
			v.Set(name, value)
		}
	}
	return v
}

// ParseExplainRequest is the inverse of Query.
func ParseExplainRequest(v url.Values) (ExplainRequest, error) {
	r := ExplainRequest{
		Service: v.Get("service"), Host: v.Get("host"), Path: v.Get("path"), Team: v.Get("team"), Kind: v.Get("kind"),
	}
	if text := v.Get("tokens"); text != "" {
		tokens, err := strconv.Atoi(text)
		if err != nil || tokens < 0 {
			return r, eris.Errorf("gatewayapi: tokens %q", text)
		}
		r.Tokens = tokens
	}
	return r, nil
}

// Explanation tells where a request would go now, and why.
type Explanation struct {
	Configuration int64  `json:"configuration"`
	Route         string `json:"route"`
	Service       string `json:"service"`
	// Rank is 0 for the most urgent requests of the service.
	Rank   int `json:"rank"`
	Tokens int `json:"tokens"`
	// Outcome is sent, waits or refused. Reason is why it is not sent at once.
	Outcome string `json:"outcome"`
	Reason  string `json:"reason,omitempty"`
	// WaitSeconds is the longest wait for capacity; the Retry-After of a refusal after it is between
	// the other two.
	WaitSeconds          float64 `json:"waitSeconds,omitempty"`
	MinRetryAfterSeconds float64 `json:"minRetryAfterSeconds,omitempty"`
	MaxRetryAfterSeconds float64 `json:"maxRetryAfterSeconds,omitempty"`
	// ReservedShare is the share of each instance that the request must leave free, Pressure the
	// demand of all gateways as a share of CapacityTokens.
	ReservedShare  float64 `json:"reservedShare"`
	Pressure       float64 `json:"pressure"`
	CapacityTokens float64 `json:"capacityTokens"`
	// Choices holds the path that would be used and the two next best without its instances.
	Choices []Choice `json:"choices"`
	// Excluded holds the instances of the service that can't get the request.
	Excluded []Exclusion      `json:"excluded"`
	Domains  []DomainCapacity `json:"failureDomains"`
	Ages     ExplanationAge   `json:"ages"`
}

// Choice is a path that the request may take.
type Choice struct {
	Path string `json:"path"`
	// StepMS is the time of a token step in milliseconds, Load the requests on the instance of a
	// plain service. Both include the cost of another failure domain.
	StepMS float64 `json:"stepMs,omitempty"`
	Load   int     `json:"load"`
}

// Exclusion is an instance that can't get the request.
type Exclusion struct {
	Instance      string `json:"instance"`
	FailureDomain string `json:"failureDomain"`
	Reason        string `json:"reason"`
}

// DomainCapacity is the free capacity in one failure domain.
type DomainCapacity struct {
	FailureDomain string `json:"failureDomain"`
	// Instances is the number of instances that can get the request, FreeShare the mean share of
	// their KV cache, or of the slots of a plain service, that is free.
	Instances int     `json:"instances"`
	FreeShare float64 `json:"freeShare"`
}

// ExplanationAge holds the age of what the gateway knows, in seconds.
type ExplanationAge struct {
	ConfigurationSeconds float64 `json:"configurationSeconds"`
	// OldestReportSeconds is the age of the oldest report of another gateway that counts.
	OldestReportSeconds float64 `json:"oldestReportSeconds"`
}

// FetchExplanation asks the gateway whose metrics are served at base, a URL, where a request would
// go now. Its errors wrap ErrNoRoute or ErrUnavailable.
func FetchExplanation(ctx context.Context, base string, r ExplainRequest) (Explanation, error) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, base+ExplainPath+"?"+r.Query().Encode(), nil)
	if err != nil {
		return Explanation{}, eris.Wrap(errors.Join(ErrUnavailable, err), "gatewayapi: request")
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return Explanation{}, errors.Join(ErrUnavailable, err)
	}
	defer func() { _ = resp.Body.Close() }()
	switch resp.StatusCode {
	case http.StatusOK:
	case http.StatusNotFound, http.StatusBadRequest:
		const maxReasonBytes = 1 << 10
		reason, _ := io.ReadAll(io.LimitReader(resp.Body, maxReasonBytes))
		return Explanation{}, eris.Wrap(ErrNoRoute, string(reason))
	default:
		return Explanation{}, eris.Wrapf(ErrUnavailable, "status %d", resp.StatusCode)
	}
	var e Explanation
	if err := json.NewDecoder(resp.Body).Decode(&e); err != nil {
		return Explanation{}, errors.Join(ErrUnavailable, err)
	}
	return e, nil
}

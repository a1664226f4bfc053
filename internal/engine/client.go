package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"strings"
	"sync/atomic"

	"github.com/rotisserie/eris"

	"github.com/nutmegroute/nutmegroute/internal/httpclient"
)

var (
	// ErrUnavailable is returned if no byte of the request was sent to the engine.
	ErrUnavailable = eris.New("engine: unavailable, nothing was sent")
	// ErrNoResponse is returned if the request may have reached the engine but
	// no valid response was received. The engine may have executed the request.
	ErrNoResponse = eris.New("engine: no response")
	// ErrStaleFencing is returned if the engine rejected an order because of a
	// stale fencing token.
	ErrStaleFencing = eris.New("engine: stale fencing number")
	// ErrRejected is returned if the engine rejected the request without
	// executing it.
	ErrRejected = eris.New("engine: request rejected")
	// ErrUnknownSequence is returned if the engine doesn't hold the sequence.
	ErrUnknownSequence = eris.New("engine: unknown sequence")
)

const (
	// maxResponseBytes bounds the size of a response, in bytes. Exported KV
	// caches are the largest responses.
	maxResponseBytes = 64 << 20
	// maxErrorBytes is the maximum number of bytes of a response body that are
	// included in an error.
	maxErrorBytes = 512
	// maxIdleConns is the maximum number of idle connections to one engine.
	// Concurrent batches use one connection each.
	maxIdleConns = 64
)

// Client calls one model engine. It is safe for concurrent use. It sets no
// timeouts; the caller's context bounds each call.
type Client struct {
	baseURL string
	http    http.Client
}

// NewClient returns a client of the engine at baseURL, for example
// "http://127.0.0.1:8000". If httpClient is nil, a client without a proxy is
// used. Redirects are never followed.
func NewClient(baseURL string, httpClient *http.Client) *Client {
	c := &Client{baseURL: strings.TrimRight(baseURL, "/")}
	if httpClient != nil {
		c.http = *httpClient
	} else {
		c.http.Transport = &http.Transport{MaxIdleConnsPerHost: maxIdleConns, DisableCompression: true}
	}
	c.http.Transport = httpclient.CheckedTransport{Next: c.http.Transport}
	// Following a 307 or 308 redirect would send a batch a second time.
	c.http.CheckRedirect = func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return c
}

// Info returns the engine's description.
func (c *Client) Info(ctx context.Context) (Info, error) {
	var info Info
	err := c.doJSON(ctx, http.MethodGet, PathInfo, nil, &info)
	return info, err
}

// Batch runs steps and returns one result for each. After ErrNoResponse the steps
// may have run or may still be running; Sequence returns the status.
func (c *Client) Batch(ctx context.Context, batch BatchRequest) (BatchResponse, error) {
	var response BatchResponse
	if err := c.doJSON(ctx, http.MethodPost, PathBatch, batch, &response); err != nil {
		return BatchResponse{}, err
	}
	if len(response.Results) != len(batch.Steps) {
		return BatchResponse{}, eris.Wrapf(ErrNoResponse, "%d results for %d steps", len(response.Results), len(batch.Steps))
	}
	return response, nil
}

// Sequence returns the next position and the last output of a sequence, or
// ErrUnknownSequence if the engine doesn't hold the sequence.
func (c *Client) Sequence(ctx context.Context, id string) (SequenceStatus, error) {
	var status SequenceStatus
	err := c.doJSON(ctx, http.MethodGet, sequencePath(id), nil, &status)
	return status, err
}

// Cancel ends a sequence and releases its KV cache. Cancelling an unknown sequence
// is not an error.
func (c *Client) Cancel(ctx context.Context, id string) error {
	_, err := c.do(ctx, http.MethodDelete, sequencePath(id), "", nil)
	if eris.Is(err, ErrUnknownSequence) {
		return nil
	}
	return err
}

// ExportKV returns the KV cache of a sequence as opaque bytes.
func (c *Client) ExportKV(ctx context.Context, id string) ([]byte, error) {
	return c.do(ctx, http.MethodGet, sequencePath(id)+"/kv", "", nil)
}

// ImportKV creates or replaces a sequence from a KV cache returned by ExportKV.
func (c *Client) ImportKV(ctx context.Context, id string, kv []byte) error {
	_, err := c.do(ctx, http.MethodPut, sequencePath(id)+"/kv", "application/octet-stream", kv)
	return err
}

// Load returns the engine's load report.
func (c *Client) Load(ctx context.Context) (LoadReport, error) {
	var load LoadReport
	err := c.doJSON(ctx, http.MethodGet, PathLoadReport, nil, &load)
	return load, err
}

// CacheEvents returns the published cache events whose numbers are greater than
// after.
func (c *Client) CacheEvents(ctx context.Context, after uint64) ([]CacheEvent, error) {
	var response CacheEventsResponse
	err := c.doJSON(ctx, http.MethodGet, PathCacheEvents+"?after="+strconv.FormatUint(after, 10), nil, &response)
	return response.Events, err
}

// Order sends an order to the engine. It returns ErrStaleFencing if the engine
// checks fencing tokens and has seen a higher one.
func (c *Client) Order(ctx context.Context, order Order) error {
	return c.doJSON(ctx, http.MethodPost, PathOrders, order, nil)
}

func sequencePath(id string) string { return PathSequences + url.PathEscape(id) }

func (c *Client) doJSON(ctx context.Context, method, path string, in, out any) error {
	var body []byte
	if in != nil {
		var err error
		if body, err = json.Marshal(in); err != nil {
			return eris.Wrapf(ErrUnavailable, "%s %s: encode: %v", method, path, err)
		}
	}
	data, err := c.do(ctx, method, path, "application/json", body)
	if err != nil || out == nil {
		return err
	}
	if err := json.Unmarshal(data, out); err != nil {
		return eris.Wrapf(ErrNoResponse, "%s %s: decode: %v", method, path, err)
	}
	return nil
}

func (c *Client) do(ctx context.Context, method, path, contentType string, body []byte) ([]byte, error) {
	// Once the transport has a connection, the request may have been sent. The
	// transport requests another connection only if it wrote nothing to the
	// previous one or may safely repeat the request, so GetConn clears sent.
	var sent atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GetConn: func(string) { sent.Store(false) },
		GotConn: func(httptrace.GotConnInfo) { sent.Store(true) },
	})
	r, err := http.NewRequestWithContext(ctx, method, c.baseURL+path, bytes.NewReader(body))
	if err != nil {
		return nil, eris.Wrapf(ErrUnavailable, "%s %s: %v", method, path, err)
	}
	if body != nil {
		r.Header.Set("Content-Type", contentType)
	}
	response, err := c.http.Do(r)
	if err != nil {
		class := ErrUnavailable
		if sent.Load() {
			class = ErrNoResponse
		}
		return nil, eris.Wrapf(class, "%s %s: %v", method, path, err)
	}
	defer response.Body.Close()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes+1))
	switch {
	case err != nil:
		return nil, eris.Wrapf(ErrNoResponse, "%s %s: %v", method, path, err)
	case len(data) > maxResponseBytes:
		return nil, eris.Wrapf(ErrNoResponse, "%s %s: response exceeds %d bytes", method, path, maxResponseBytes)
	case response.StatusCode/100 == 2:
		return data, nil
	}
	text := strings.TrimSpace(string(data[:min(len(data), maxErrorBytes)]))
	return nil, eris.Wrapf(statusError(path, response.StatusCode), "%s %s: status %d: %s",
		method, path, response.StatusCode, text)
}

// statusError returns the error for a status that isn't 2xx. An engine responds
// with 4xx and 503 before it executes a request; other statuses don't show
// whether it did.
func statusError(path string, status int) error {
	switch {
	case status == http.StatusConflict && path == PathOrders:
		return ErrStaleFencing
	case status == http.StatusNotFound && strings.HasPrefix(path, PathSequences):
		return ErrUnknownSequence
	case status/100 == 4 || status == http.StatusServiceUnavailable:
		return ErrRejected
	default:
		return ErrNoResponse
	}
}

package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/nutmegroute/nutmegroute/internal/httpclient"
)

const (
	// DefaultTimeout bounds one call. The platform answers in milliseconds; a
	// call that takes seconds is part of an outage.
	DefaultTimeout = 2 * time.Second
	// DefaultWatchTimeout is how long the platform holds a watch open.
	DefaultWatchTimeout = 20 * time.Second
	// DefaultMaxResponseBytes bounds a response.
	DefaultMaxResponseBytes = 16 << 20
	// maxErrorBytes bounds the part of an error response that is included in the
	// returned error.
	maxErrorBytes = 512
)

var (
	// ErrNotFound means the object doesn't exist.
	ErrNotFound = errors.New("platform: object not found")
	// ErrConflict means the object doesn't have the expected version, or
	// already exists when it is to be created.
	ErrConflict = errors.New("platform: object has another version")
	// ErrUnavailable means the platform can't be reached or is overloaded, or a
	// read got no usable response. A write that returns it was not applied.
	ErrUnavailable = errors.New("platform: unavailable")
	// ErrOutcomeUnknown means a write may have been applied: it was sent, and
	// its answer is missing or inconclusive.
	ErrOutcomeUnknown = errors.New("platform: outcome of the write is unknown")
	// ErrRejected means the request is invalid: the platform refused it, or the
	// client did not send it. The request was not applied, and a retry would fail
	// too.
	ErrRejected = errors.New("platform: request rejected")
)

// ConflictError reports the failed condition of a write. It wraps ErrConflict.
type ConflictError struct {
	// Current is the stored object without its value.
	Current Object
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("%v: %s is at version %d", ErrConflict, e.Current.Key, e.Current.Version)
}

// Unwrap returns ErrConflict.
func (e *ConflictError) Unwrap() error { return ErrConflict }

// Client calls the platform's HTTP API. It is safe for concurrent use.
type Client struct {
	base             string
	http             *http.Client
	timeout          time.Duration
	maxResponseBytes int64
}

// Option changes a Client.
type Option func(*Client)

// WithTimeout bounds each call other than a watch. Default DefaultTimeout.
func WithTimeout(d time.Duration) Option { return func(c *Client) { c.timeout = d } }

// WithMaxResponseBytes bounds each response. Default DefaultMaxResponseBytes.
func WithMaxResponseBytes(n int64) Option { return func(c *Client) { c.maxResponseBytes = n } }

// WithKey sends key as a bearer token with each request. Default none.
func WithKey(key string) Option {
	return func(c *Client) {
		if key != "" {
			c.http.Transport = bearerTransport{key: key, next: c.http.Transport}
		}
	}
}

// bearerTransport adds the Authorization header to each request.
type bearerTransport struct {
	key  string
	next http.RoundTripper
}

// RoundTrip implements http.RoundTripper.
func (b bearerTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	r = r.Clone(r.Context())
	r.Header.Set("Authorization", "Bearer "+b.key)
	return b.next.RoundTrip(r)
}

// CloseIdleConnections closes the idle connections of the wrapped transport.
// http.Client calls it.
func (b bearerTransport) CloseIdleConnections() {
	if c, ok := b.next.(interface{ CloseIdleConnections() }); ok {
		c.CloseIdleConnections()
	}
}

// NewClient returns a client of the platform at baseURL, for example
// "http://10.0.0.1:8080".
func NewClient(baseURL string, options ...Option) *Client {
	c := &Client{
		base:             strings.TrimRight(baseURL, "/"),
		http:             httpclient.New(),
		timeout:          DefaultTimeout,
		maxResponseBytes: DefaultMaxResponseBytes,
	}
	for _, o := range options {
		o(c)
	}
	return c
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Get returns an object. It returns ErrNotFound, ErrRejected or ErrUnavailable.
func (c *Client) Get(ctx context.Context, key string) (Object, error) {
	return get[Object](ctx, c, c.timeout, objectPath(key), nil)
}

// Create writes an object that must not exist. It returns a *ConflictError if
// the object exists (ErrConflict if the response can't be decoded), ErrRejected if
// the request is invalid, ErrUnavailable if the write was certainly not applied for
// another reason, and ErrOutcomeUnknown otherwise.
func (c *Client) Create(ctx context.Context, key string, value []byte) (Object, error) {
	return c.write(ctx, http.MethodPut, key, "If-None-Match", "*", value)
}

// Update writes an object that must have the given version. It returns
// ErrNotFound if the object doesn't exist, and otherwise the errors of Create.
func (c *Client) Update(ctx context.Context, key string, version uint64, value []byte) (Object, error) {
	return c.write(ctx, http.MethodPut, key, "If-Match", etag(version), value)
}

// Delete removes an object that must have the given version. It returns the
// errors of Update.
func (c *Client) Delete(ctx context.Context, key string, version uint64) error {
	_, err := c.write(ctx, http.MethodDelete, key, "If-Match", etag(version), nil)
	return err
}

// List returns at most limit objects whose keys start with prefix and follow
// after, in key order. An after of "" starts at the first key; a limit of 0
// leaves the limit to the platform.
func (c *Client) List(ctx context.Context, prefix, after string, limit int) (ListResponse, error) {
	query := url.Values{"prefix": {prefix}}
	if after != "" {
		query.Set("after", after)
	}
	if limit > 0 {
		query.Set("limit", strconv.Itoa(limit))
	}
	return get[ListResponse](ctx, c, c.timeout, PathObjects, query)
}

// Watch returns the objects whose keys start with prefix and whose version is
// above after, in version order. It waits until such an object exists or timeout
// has passed; after the timeout the list is empty. The timeout is rounded up to
// full seconds.
func (c *Client) Watch(ctx context.Context, prefix string, after uint64, timeout time.Duration) (ListResponse, error) {
	seconds := int((timeout + time.Second - 1) / time.Second)
	query := url.Values{
		"prefix":  {prefix},
		"after":   {strconv.FormatUint(after, 10)},
		"timeout": {strconv.Itoa(seconds)},
	}
	wait := time.Duration(seconds)*time.Second + c.timeout
	return get[ListResponse](ctx, c, wait, PathWatch, query)
}

// Instances returns the platform's list of instances. The list may lag behind
// the actual state.
func (c *Client) Instances(ctx context.Context) ([]Instance, error) {
	r, err := get[InstancesResponse](ctx, c, c.timeout, PathInstances, nil)
	return r.Instances, err
}

func objectPath(key string) string {
	segments := strings.Split(key, "/")
	for i, s := range segments {
		segments[i] = url.PathEscape(s)
	}
	return PathObjects + "/" + strings.Join(segments, "/")
}

func etag(version uint64) string { return strconv.Quote(strconv.FormatUint(version, 10)) }

// get sends a GET request and decodes the response.
func get[T any](ctx context.Context, c *Client, timeout time.Duration, path string, query url.Values) (T, error) {
	var result T
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	target := c.base + path
	if len(query) > 0 {
		target += "?" + query.Encode()
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return result, fmt.Errorf("%w: %w", ErrRejected, err)
	}
	response, err := c.http.Do(request)
	if err != nil {
		return result, fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	defer response.Body.Close()
	if err := c.checkStatus(response); err != nil {
		return result, err
	}
	if err := c.decode(response, &result); err != nil {
		return result, fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	return result, nil
}

// write sends a conditional write. A transport error leaves the outcome unknown
// once any byte of the request may have been sent.
func (c *Client) write(ctx context.Context, method, key, condition, expected string, value []byte) (Object, error) {
	if len(value) > MaxValueBytes {
		return Object{}, fmt.Errorf("%w: value has %d bytes, the limit is %d", ErrRejected, len(value), MaxValueBytes)
	}
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	ctx, sent := httpclient.TraceSent(ctx)
	request, err := newWriteRequest(ctx, method, c.base+objectPath(key), value)
	if err != nil {
		return Object{}, fmt.Errorf("%w: %w", ErrRejected, err)
	}
	request.Header.Set(condition, expected)
	response, err := c.http.Do(request)
	if err != nil {
		if sent() {
			return Object{}, fmt.Errorf("%w: %w", ErrOutcomeUnknown, err)
		}
		return Object{}, fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	defer response.Body.Close()
	return c.decodeWriteResponse(response, key)
}

func newWriteRequest(ctx context.Context, method, target string, value []byte) (*http.Request, error) {
	if method == http.MethodDelete {
		return http.NewRequestWithContext(ctx, method, target, nil)
	}
	body, err := json.Marshal(PutRequest{Value: value})
	if err != nil {
		return nil, err
	}
	request, err := http.NewRequestWithContext(ctx, method, target, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	request.Header.Set("Content-Type", "application/json")
	return request, nil
}

func (c *Client) decodeWriteResponse(response *http.Response, key string) (Object, error) {
	if err := c.checkStatus(response); err != nil {
		return Object{}, err
	}
	o := Object{Key: key}
	if response.StatusCode == http.StatusNoContent {
		return o, nil
	}
	if err := c.decode(response, &o); err != nil {
		return Object{}, fmt.Errorf("%w: %w", ErrOutcomeUnknown, err)
	}
	return o, nil
}

// checkStatus returns the error for a response whose status isn't a success. The
// platform sends 429 or 503 only for requests that it has not applied; any other
// server error of a write leaves the outcome unknown.
func (c *Client) checkStatus(response *http.Response) error {
	status := response.StatusCode
	switch {
	case status >= 200 && status < 300:
		return nil
	case status == http.StatusNotFound:
		return ErrNotFound
	case status == http.StatusPreconditionFailed:
		var conflict ConflictError
		if err := c.decode(response, &conflict.Current); err != nil {
			// The status alone proves that the condition failed.
			return fmt.Errorf("%w: %w", ErrConflict, err)
		}
		return &conflict
	}
	text, _ := io.ReadAll(io.LimitReader(response.Body, maxErrorBytes))
	detail := fmt.Sprintf("HTTP %d: %s", status, strings.TrimSpace(string(text)))
	switch {
	case status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable:
		return fmt.Errorf("%w: %s", ErrUnavailable, detail)
	case status < 500 && status != http.StatusRequestTimeout:
		return fmt.Errorf("%w: %s", ErrRejected, detail)
	case response.Request.Method == http.MethodGet:
		return fmt.Errorf("%w: %s", ErrUnavailable, detail)
	}
	return fmt.Errorf("%w: %s", ErrOutcomeUnknown, detail)
}

func (c *Client) decode(response *http.Response, result any) error {
	data, err := io.ReadAll(io.LimitReader(response.Body, c.maxResponseBytes+1))
	if err != nil {
		return err
	}
	if int64(len(data)) > c.maxResponseBytes {
		return fmt.Errorf("response exceeds %d bytes", c.maxResponseBytes)
	}
	return json.Unmarshal(data, result)
}

package adminapi

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

	"github.com/nutmegroute/nutmegroute/internal/config"
	"github.com/nutmegroute/nutmegroute/internal/httpclient"
	"github.com/nutmegroute/nutmegroute/internal/request"
	"github.com/nutmegroute/nutmegroute/internal/upstream"
)

const (
	// clientTimeout limits one call. It exceeds config.AcceptTimeout, so that
	// the server reports the outcome of a change before the client gives up.
	clientTimeout = config.AcceptTimeout + 5*time.Second
	// maxResponseBytes is the maximum size of a response. An audit response
	// contains at most about 8 MiB of object values.
	maxResponseBytes = 32 << 20
)

// Client calls the API of one entry. It is safe for concurrent use.
type Client struct {
	base string
	key  string
	http *http.Client
}

// NewClient returns a client of the entry at baseURL. key is the operator's key.
func NewClient(baseURL, key string) *Client {
	return &Client{base: strings.TrimRight(baseURL, "/"), key: key, http: httpclient.New()}
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Objects returns the objects of a kind, sorted by name.
func (c *Client) Objects(ctx context.Context, kind config.Kind) ([]config.Object, error) {
	return call[[]config.Object](ctx, c, http.MethodGet, PathObjects+url.PathEscape(string(kind)), nil, nil)
}

// Object returns an object. A deleted object has Deleted set and no value. The
// error wraps ErrNotFound if the object never existed.
func (c *Client) Object(ctx context.Context, kind config.Kind, name string) (config.Object, error) {
	return call[config.Object](ctx, c, http.MethodGet, objectPath(PathObjects, kind, name), nil, nil)
}

// History returns at most limit changes of an object, newest first.
func (c *Client) History(ctx context.Context, kind config.Kind, name string, limit int) ([]config.Change, error) {
	query := url.Values{"limit": {strconv.Itoa(limit)}}
	return call[[]config.Change](ctx, c, http.MethodGet, objectPath(PathHistory, kind, name), query, nil)
}

// Propose submits a change. The server sets the author. The error is an *Error
// that wraps ErrConflict, ErrInvalid, ErrUnauthorized, ErrNotFound,
// ErrChangeIDReused, ErrUnavailable, ErrUnknownOutcome or ErrInternal.
func (c *Client) Propose(ctx context.Context, p config.Proposal) (config.Change, error) {
	change, err := call[config.Change](ctx, c, http.MethodPost, PathChanges, nil, p)
	var e *Error
	if errors.As(err, &e) && e.Code == CodeUnknownOutcome {
		e.ChangeID = p.ID
	}
	return change, err
}

// Audit returns at most limit changes after a revision, oldest first.
func (c *Client) Audit(ctx context.Context, after config.Revision, limit int) ([]config.Change, error) {
	query := url.Values{"after": {strconv.FormatUint(uint64(after), 10)}, "limit": {strconv.Itoa(limit)}}
	return call[[]config.Change](ctx, c, http.MethodGet, PathAudit, query, nil)
}

// Revision returns the configuration revision of the entry.
func (c *Client) Revision(ctx context.Context) (config.Revision, error) {
	r, err := call[Revision](ctx, c, http.MethodGet, PathRevision, nil, nil)
	return r.Revision, err
}

// Status describes the entry and its upstreams.
func (c *Client) Status(ctx context.Context) (Status, error) {
	return call[Status](ctx, c, http.MethodGet, PathStatus, nil, nil)
}

// Teams returns the load of each team at each entry and on all sidecars together.
func (c *Client) Teams(ctx context.Context) ([]TeamStatus, error) {
	return call[[]TeamStatus](ctx, c, http.MethodGet, PathTeams, nil, nil)
}

// Drain puts an upstream into the state leaving, in which it gets no new work.
func (c *Client) Drain(ctx context.Context, instance upstream.InstanceID) error {
	_, err := call[struct{}](ctx, c, http.MethodPost, PathDrain+url.PathEscape(string(instance)), nil, nil)
	return err
}

// Explain describes how a recent request was routed.
func (c *Client) Explain(ctx context.Context, id request.ID) (Explanation, error) {
	return call[Explanation](ctx, c, http.MethodGet, PathExplain+url.PathEscape(string(id)), nil, nil)
}

// Ready returns nil if the entry can serve callers.
func (c *Client) Ready(ctx context.Context) error {
	_, err := call[struct{}](ctx, c, http.MethodGet, PathReady, nil, nil)
	return err
}

func objectPath(prefix string, kind config.Kind, name string) string {
	return prefix + url.PathEscape(string(kind)) + "/" + url.PathEscape(name)
}

// call sends a request and decodes the response. Every error is an *Error.
func call[T any](ctx context.Context, c *Client, method, path string, query url.Values, body any) (T, error) {
	var result T
	ctx, cancel := context.WithTimeout(ctx, clientTimeout)
	defer cancel()
	ctx, sent := httpclient.TraceSent(ctx)
	r, err := c.newRequest(ctx, method, path, query, body)
	if err != nil {
		return result, &Error{Code: CodeInvalid, Message: err.Error()}
	}
	// failureCode is the code of a call without a valid response. Once a
	// request other than GET has been sent it may have been applied.
	failureCode := CodeUnavailable
	response, err := c.http.Do(r)
	if method != http.MethodGet && sent() {
		failureCode = CodeUnknownOutcome
	}
	if err != nil {
		return result, &Error{Code: failureCode, Message: err.Error()}
	}
	defer response.Body.Close()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes+1))
	if err == nil && len(data) > maxResponseBytes {
		err = fmt.Errorf("response exceeds %d bytes", maxResponseBytes)
	}
	if err != nil {
		return result, &Error{Code: failureCode, Message: err.Error()}
	}
	if response.StatusCode != http.StatusOK {
		return result, responseError(response.StatusCode, data, failureCode)
	}
	if err := json.Unmarshal(data, &result); err != nil {
		return result, &Error{Code: failureCode, Message: err.Error()}
	}
	return result, nil
}

// responseError returns the error of an error response. For a response that does
// not come from the API, such as an error page of a load balancer, the code is
// failureCode, because such a response does not show whether a change was
// applied. With a status below 500 the change was not applied, and the code is
// CodeInternal.
func responseError(status int, data []byte, failureCode Code) error {
	e := &Error{}
	if err := json.Unmarshal(data, e); err == nil && httpStatus[e.Code] == status {
		return e
	}
	if status < http.StatusInternalServerError {
		failureCode = CodeInternal
	}
	return &Error{Code: failureCode, Message: fmt.Sprintf("unexpected answer: HTTP %d", status)}
}

func (c *Client) newRequest(ctx context.Context, method, path string, query url.Values, body any) (*http.Request, error) {
	target := c.base + path
	if len(query) > 0 {
		target += "?" + query.Encode()
	}
	var reader io.Reader
	if body != nil {
		data, err := json.Marshal(body)
		if err != nil {
			return nil, err
		}
		reader = bytes.NewReader(data)
	}
	r, err := http.NewRequestWithContext(ctx, method, target, reader)
	if err != nil {
		return nil, err
	}
	r.Header.Set("Authorization", "Bearer "+c.key)
	r.Header.Set("Content-Type", "application/json")
	return r, nil
}

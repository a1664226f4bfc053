package adminapi

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/nutmegroute/nutmegroute/internal/config"
	"github.com/nutmegroute/nutmegroute/internal/request"
	"github.com/nutmegroute/nutmegroute/internal/upstream"
)

// fakeConfiguration keeps the configuration in memory. Accept fails with
// acceptErr if it is set.
type fakeConfiguration struct {
	Configuration
	replica   *config.Replica
	acceptErr error
}

func (f *fakeConfiguration) State() *config.State { return f.replica.State() }

func (f *fakeConfiguration) Accept(_ context.Context, p config.Proposal) (config.Change, error) {
	p, err := p.Normalize()
	if err == nil {
		err = f.acceptErr
	}
	if err != nil {
		return config.Change{}, err
	}
	c, err := f.State().NextChange(p, time.Now())
	if err != nil {
		return config.Change{}, err
	}
	return c, f.replica.Apply(c)
}

// fakeBackend records the operator and instance of the last Drain.
type fakeBackend struct {
	Backend
	drainCall string
}

func (f *fakeBackend) Drain(_ context.Context, instance upstream.InstanceID, operator string) error {
	f.drainCall = operator + " " + string(instance)
	return nil
}

func (f *fakeBackend) Explain(context.Context, request.ID) (Explanation, error) {
	return Explanation{}, ErrNotFound
}

func (f *fakeBackend) Ready() error { return errors.New("no revision") }

func newTestServer(t *testing.T) (*fakeConfiguration, *fakeBackend, string) {
	digest := sha256.Sum256([]byte("secret"))
	c, b := &fakeConfiguration{replica: config.NewReplica()}, &fakeBackend{}
	h, err := NewHandler([]Operator{{Name: "ama", KeyHash: hex.EncodeToString(digest[:])}}, c, b)
	assert.NilError(t, err)
	server := httptest.NewServer(h)
	t.Cleanup(server.Close)
	return c, b, server.URL
}

func proposal(id string, base config.Revision, value string) config.Proposal {
	return config.Proposal{ID: id, Author: "someone else", Kind: config.KindTeam, Name: "a", Base: base, Value: json.RawMessage(value)}
}

// Guards against changes with an author set by the client instead of the
// authenticated operator, and against errors that the client does not map to
// their sentinel errors.
func TestChanges(t *testing.T) {
	ctx := context.Background()
	fake, _, url := newTestServer(t)
	c := NewClient(url, "secret")
	defer c.Close()
	change, err := c.Propose(ctx, proposal("c1", 0, `{"name":"a"}`))
	assert.NilError(t, err)
	assert.Equal(t, change.Author, "ama")
	_, err = c.Propose(ctx, proposal("c2", 0, `{"name":"a"}`))
	var e *Error
	assert.Assert(t, errors.As(err, &e))
	assert.ErrorIs(t, err, ErrConflict)
	assert.Equal(t, e.ChangeID+" "+e.Author, "c1 ama")
	_, err = c.Propose(ctx, proposal("c2", 1, `{"name":"a","weight":-1}`))
	assert.Assert(t, errors.As(err, &e))
	assert.Equal(t, e.Field, "weight")
	_, err = c.Propose(ctx, proposal("c2", 1, `"`+strings.Repeat("x", MaxBodyBytes)+`"`))
	assert.ErrorIs(t, err, ErrInvalid)
	for _, tc := range []struct{ err, want error }{
		{&config.UnknownOutcomeError{ChangeID: "c2", Cause: errors.New("lost")}, ErrUnknownOutcome},
		{config.ErrUnavailable, ErrUnavailable},
		{config.ErrChangeIDReused, ErrChangeIDReused},
		{errors.New("other"), ErrInternal},
	} {
		fake.acceptErr = tc.err
		_, err = c.Propose(ctx, proposal("c2", 1, `{"name":"a"}`))
		assert.ErrorIs(t, err, tc.want)
	}
}

// Guards against errors of reads that the client does not map to their sentinel
// errors, and against a drain without the name of its operator. The tests of ctl
// cover the successful reads.
func TestReadsAndDrain(t *testing.T) {
	ctx := context.Background()
	_, b, url := newTestServer(t)
	c := NewClient(url, "secret")
	defer c.Close()
	_, err := c.Object(ctx, config.KindTeam, "b")
	assert.ErrorIs(t, err, ErrNotFound)
	_, err = c.Objects(ctx, "other")
	assert.ErrorIs(t, err, ErrInvalid)
	assert.NilError(t, c.Drain(ctx, "u/1"))
	assert.Equal(t, b.drainCall, "ama u/1")
	_, err = c.Explain(ctx, request.NewID())
	assert.ErrorIs(t, err, ErrNotFound)
	assert.ErrorContains(t, c.Ready(ctx), "no revision")
}

// Guards against paths that are served without a valid operator key.
func TestOperatorKeyIsRequired(t *testing.T) {
	_, _, url := newTestServer(t)
	for _, path := range []string{PathObjects + "team", PathObjects + "team/a", PathHistory + "team/a", PathChanges,
		PathAudit, PathRevision, PathStatus, PathTeams, PathDrain + "u", PathExplain + "x"} {
		for _, authorization := range []string{"", "Bearer ", "Bearer other", "secret"} {
			method := http.MethodGet
			if path == PathChanges || path == PathDrain+"u" {
				method = http.MethodPost
			}
			r, _ := http.NewRequest(method, url+path, nil)
			r.Header.Set("Authorization", authorization)
			response, err := http.DefaultClient.Do(r)
			assert.NilError(t, err)
			response.Body.Close()
			assert.Equal(t, response.StatusCode, http.StatusUnauthorized, path)
		}
	}
}

// Guards against a change that is reported as not applied although only its
// response was lost.
func TestLostResponse(t *testing.T) {
	for _, status := range []int{0, http.StatusBadGateway, http.StatusServiceUnavailable} {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			if status == 0 {
				panic(http.ErrAbortHandler)
			}
			w.WriteHeader(status)
		}))
		c := NewClient(server.URL, "k")
		_, err := c.Propose(context.Background(), proposal("c1", 0, `{}`))
		var e *Error
		assert.Assert(t, errors.As(err, &e))
		assert.Equal(t, e.Code, CodeUnknownOutcome)
		assert.Equal(t, e.ChangeID, "c1")
		server.Close()
		// A new client is used, because on a reused connection the request may
		// be sent before the client detects that the server has closed it.
		_, err = NewClient(server.URL, "k").Propose(context.Background(), proposal("c1", 0, `{}`))
		assert.ErrorIs(t, err, ErrUnavailable)
	}
}

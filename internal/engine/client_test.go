package engine_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/nutmegroute/nutmegroute/internal/engine"
	"github.com/nutmegroute/nutmegroute/internal/pipeline"
	standin "github.com/nutmegroute/nutmegroute/internal/standin/engine"
)

// Guards against an error that reports a lost response as a step that didn't run,
// after which layers would run twice, and against the opposite mistake.
func TestBatchErrors(t *testing.T) {
	cancelled, cancel := context.WithCancel(t.Context())
	cancel()
	tests := []struct {
		name    string
		ctx     context.Context
		handler http.HandlerFunc
		want    error
	}{
		{"connection refused", t.Context(), nil, engine.ErrUnavailable},
		{"cancelled before sending", cancelled, func(http.ResponseWriter, *http.Request) {}, engine.ErrUnavailable},
		{"connection dropped", t.Context(), func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, engine.ErrNoResponse},
		{"truncated response", t.Context(), func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", "100")
			_, _ = w.Write([]byte("{"))
		}, engine.ErrNoResponse},
		{"missing result", t.Context(), func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("{}")) }, engine.ErrNoResponse},
		{"internal error", t.Context(), func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(500) }, engine.ErrNoResponse},
		{"overloaded", t.Context(), func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(503) }, engine.ErrRejected},
		{"status outside the protocol", t.Context(), func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(600) }, engine.ErrNoResponse},
		{"redirect", t.Context(), func(w http.ResponseWriter, r *http.Request) { http.Redirect(w, r, "/x", http.StatusTemporaryRedirect) }, engine.ErrNoResponse},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			h := httptest.NewServer(tt.handler)
			defer h.Close()
			if tt.handler == nil {
				h.Close()
			}
			_, err := engine.NewClient(h.URL, nil).Batch(tt.ctx, engine.BatchRequest{Steps: make([]engine.Step, 1)})
			assert.ErrorIs(t, err, tt.want)
		})
	}
}

// Guards against the transport sending a step again after its response was lost on
// a reused connection, and against a sequence status without the step's result.
func TestLostResponseRunsOnce(t *testing.T) {
	s := standin.NewServer(standin.Config{Model: "m", ModelLayers: 2, Layers: pipeline.LayerRange{To: 2}})
	defer s.Close()
	h := httptest.NewServer(s.Handler())
	defer h.Close()
	c := engine.NewClient(h.URL, nil)
	_, err := c.Sequence(t.Context(), "r/1")
	assert.ErrorIs(t, err, engine.ErrUnknownSequence)
	s.SetControls(standin.Controls{LoseResponses: 1})
	_, err = c.Batch(t.Context(), engine.BatchRequest{Steps: []engine.Step{{Sequence: "r/1", Prompt: "x"}}})
	assert.ErrorIs(t, err, engine.ErrNoResponse)
	status, err := c.Sequence(t.Context(), "r/1")
	assert.NilError(t, err)
	assert.Equal(t, int(status.Next), 1)
	assert.Assert(t, status.Last.Text != "")
	assert.Equal(t, s.Runs().Positions, uint64(1))
	assert.NilError(t, c.Cancel(t.Context(), "r/1"))
	assert.NilError(t, c.Cancel(t.Context(), "r/1"))
}

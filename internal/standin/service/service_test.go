package service

import (
	"encoding/json"
	"net/http/httptest"
	"testing"

	"gotest.tools/v3/assert"

	api "github.com/nutmegroute/nutmegroute/internal/service"
)

// Guards against an execution that is not recorded, in particular one whose
// response is dropped or has an error status, or one with a repeated key.
func TestExecutionsRecorded(t *testing.T) {
	s := NewServer(Options{})
	h := httptest.NewServer(s.Handler())
	defer h.Close()
	client := api.NewClient(h.URL, nil)
	tests := []struct {
		options    Options
		key        string
		status     int
		err        error
		duplicates int
	}{
		{Options{}, "a", 200, nil, 0},
		{Options{Status: 500}, "b", 500, nil, 0},
		{Options{DropResponses: 1, DelayMillis: 1}, "c", 0, api.ErrNoResponse, 0},
		{Options{}, "c", 200, nil, 1},
	}
	for i, tt := range tests {
		s.SetOptions(tt.options)
		got, err := client.Call(t.Context(), api.Request{Operation: "reserve part", ID: "r", IdempotencyKey: tt.key, Body: []byte("{}")})
		assert.ErrorIs(t, err, tt.err)
		assert.Equal(t, got.Status, tt.status)
		var result Result
		assert.Assert(t, err != nil || json.Unmarshal(got.Body, &result) == nil && result.Number == i+1)
		executions := s.Executions()
		assert.Equal(t, len(executions), i+1)
		assert.Equal(t, executions[i].Operation+executions[i].IdempotencyKey+executions[i].RequestID+executions[i].Body, "reserve part"+tt.key+"r{}")
		assert.Equal(t, len(s.Duplicates()), tt.duplicates)
	}
}

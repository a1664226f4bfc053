package callerapi

import (
	"encoding/json"
	"errors"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/nutmegroute/nutmegroute/internal/request"
)

const (
	chatIDPrefix    = "chatcmpl-"
	objectChat      = "chat.completion"
	objectChatChunk = "chat.completion.chunk"
)

// usage is the OpenAI usage object.
type usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

func usageOf(r ChatResult) *usage {
	return &usage{r.PromptTokens, r.CompletionTokens, r.PromptTokens + r.CompletionTokens}
}

type responseMessage struct {
	Role    string  `json:"role"`
	Content string  `json:"content"`
	Refusal *string `json:"refusal"`
}

type choice struct {
	Index        int             `json:"index"`
	Message      responseMessage `json:"message"`
	Logprobs     *struct{}       `json:"logprobs"`
	FinishReason FinishReason    `json:"finish_reason"`
}

type completion struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage"`
}

type delta struct {
	Role    string  `json:"role,omitempty"`
	Content *string `json:"content,omitempty"`
}

type chunkChoice struct {
	Index        int           `json:"index"`
	Delta        delta         `json:"delta"`
	Logprobs     *struct{}     `json:"logprobs"`
	FinishReason *FinishReason `json:"finish_reason"`
}

type chunk struct {
	ID        string        `json:"id"`
	Object    string        `json:"object"`
	Created   int64         `json:"created"`
	Model     string        `json:"model"`
	Choices   []chunkChoice `json:"choices"`
	Usage     *usage        `json:"usage,omitempty"`
	Extension *extension    `json:"nutmegroute,omitempty"`
}

// errResponseEnded is returned to a backend that delivers text after its
// result.
var errResponseEnded = errors.New("callerapi: the response has ended")

// chat serves POST /v1/chat/completions.
func (a *api) chat(w http.ResponseWriter, r *http.Request) {
	team, ok := a.authenticate(w, r)
	if !ok {
		return
	}
	body, e := a.readBody(w, r)
	if e != nil {
		writeError(w, e)
		return
	}
	call, e := decodeChat(body)
	if e == nil {
		call.model, e = a.selectProfile(r, call.model)
	}
	if e != nil {
		writeError(w, e)
		return
	}
	req := ChatRequest{ID: exchangeOf(r).id, Team: team, Profile: call.model, Messages: call.messages, MaxTokens: call.maxTokens}
	if call.stream {
		a.streamChat(w, r, req, call.includeUsage)
		return
	}
	a.wholeChat(w, r, req)
}

// wholeChat runs a chat request and sends its response at the end.
func (a *api) wholeChat(w http.ResponseWriter, r *http.Request, req ChatRequest) {
	created := time.Now().Unix()
	var text strings.Builder
	result := a.backend.Chat(r.Context(), req, func(piece string) error {
		text.WriteString(piece)
		return r.Context().Err()
	})
	result.Result = a.finish(r, result.Result, true)
	if result.Err != nil {
		writeFailure(w, result.Result)
		return
	}
	writeJSON(w, http.StatusOK, result.Outcome, completion{
		ID:      chatIDPrefix + string(req.ID),
		Object:  objectChat,
		Created: created,
		Model:   req.Profile,
		Choices: []choice{{Message: responseMessage{Role: "assistant", Content: text.String()}, FinishReason: finishOf(result)}},
		Usage:   usageOf(result),
	})
}

// streamChat runs a chat request and sends each piece of text as an event. The
// status and headers go out with the first piece, so that a request that ends
// before it gets an ordinary error response.
func (a *api) streamChat(w http.ResponseWriter, r *http.Request, req ChatRequest, includeUsage bool) {
	s := &stream{
		w:     w,
		flush: exchangeOf(r).writer.FlushError,
		base: chunk{
			ID:      chatIDPrefix + string(req.ID),
			Object:  objectChatChunk,
			Created: time.Now().Unix(),
			Model:   req.Profile,
		},
	}
	defer s.close()
	result := a.backend.Chat(r.Context(), req, s.token)
	result.Result = a.finish(r, result.Result, true)
	s.end(req.ID, result, includeUsage)
}

// finishOf returns the finish reason that the response carries; clients
// require one.
func finishOf(r ChatResult) FinishReason {
	if r.Finish == "" {
		return FinishStop
	}
	return r.Finish
}

// stream writes the events of one response. The mutex and ended keep a
// backend that calls token too late from writing into a later response on the
// same connection.
type stream struct {
	mu      sync.Mutex
	w       http.ResponseWriter
	flush   func() error
	base    chunk
	started bool
	ended   bool
}

// token sends one piece of text.
func (s *stream) token(text string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ended {
		return errResponseEnded
	}
	d := delta{Content: &text}
	if !s.started {
		d.Role = "assistant"
		// The outcome isn't known yet; the last event carries it.
		s.start(request.OutcomeUnknown)
	}
	c := s.base
	c.Choices = []chunkChoice{{Delta: d}}
	return s.event(c)
}

// close makes later calls of token fail, also after a panic of the backend.
func (s *stream) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ended = true
}

// start sends the status and headers.
func (s *stream) start(outcome request.Outcome) {
	s.started = true
	h := s.w.Header()
	h.Set(HeaderOutcome, string(outcome))
	h.Set("Content-Type", contentTypeStream)
	h.Set("Cache-Control", "no-cache")
	h.Set("X-Accel-Buffering", "no")
	s.w.WriteHeader(http.StatusOK)
}

// end sends the last events, or a whole error response if nothing was sent.
// No [DONE] follows an error, because it would mark the response as complete.
func (s *stream) end(id request.ID, result ChatResult, includeUsage bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ended = true
	if result.Err != nil && !s.started {
		writeFailure(s.w, result.Result)
		return
	}
	ext := &extension{RequestID: id, Outcome: result.Outcome}
	if result.Err != nil {
		_ = s.event(errorBody{Error: result.Err, Extension: ext})
		return
	}
	if !s.started {
		s.start(result.Outcome)
	}
	finish := finishOf(result)
	last := s.base
	last.Choices = []chunkChoice{{FinishReason: &finish}}
	if includeUsage {
		if s.event(last) != nil {
			return
		}
		last.Choices = []chunkChoice{}
		last.Usage = usageOf(result)
	}
	last.Extension = ext
	if s.event(last) == nil {
		_ = s.data([]byte("[DONE]"))
	}
}

func (s *stream) event(v any) error {
	data, err := json.Marshal(v)
	if err != nil {
		return err
	}
	return s.data(data)
}

// data writes one event in a single write and flushes it.
func (s *stream) data(data []byte) error {
	event := make([]byte, 0, len(data)+8)
	event = append(event, "data: "...)
	event = append(event, data...)
	event = append(event, "\n\n"...)
	if _, err := s.w.Write(event); err != nil {
		return err
	}
	return s.flush()
}

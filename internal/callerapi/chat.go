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

// errResponseEnded is returned to a backend that sends text after it has
// returned its result.
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
	decoded, e := decodeChat(body)
	if e == nil {
		decoded.model, e = a.selectProfile(r, decoded.model)
	}
	if e != nil {
		writeError(w, e)
		return
	}
	req := ChatRequest{ID: exchangeOf(r).id, Team: team, Profile: decoded.model, Messages: decoded.messages, MaxTokens: decoded.maxTokens}
	if decoded.stream {
		a.streamChat(w, r, req, decoded.includeUsage)
		return
	}
	a.bufferedChat(w, r, req)
}

// bufferedChat runs a chat request and sends one response with the whole text.
func (a *api) bufferedChat(w http.ResponseWriter, r *http.Request, req ChatRequest) {
	created := time.Now().Unix()
	var text strings.Builder
	result := a.backend.Chat(r.Context(), req, func(piece string) error {
		text.WriteString(piece)
		return r.Context().Err()
	})
	result.Result = a.finishResult(r, result.Result, true)
	if result.Err != nil {
		writeFailure(w, result.Result)
		return
	}
	writeJSON(w, http.StatusOK, result.Outcome, completion{
		ID:      chatIDPrefix + string(req.ID),
		Object:  objectChat,
		Created: created,
		Model:   req.Profile,
		Choices: []choice{{Message: responseMessage{Role: "assistant", Content: text.String()}, FinishReason: finishReasonOf(result)}},
		Usage:   usageOf(result),
	})
}

// streamChat runs a chat request and sends each piece of text as a server-sent
// event. The status and headers are sent with the first piece, so that a
// request that fails earlier gets an ordinary error response.
func (a *api) streamChat(w http.ResponseWriter, r *http.Request, req ChatRequest, includeUsage bool) {
	s := &stream{
		w:     w,
		flush: exchangeOf(r).writer.FlushError,
		template: chunk{
			ID:      chatIDPrefix + string(req.ID),
			Object:  objectChatChunk,
			Created: time.Now().Unix(),
			Model:   req.Profile,
		},
	}
	defer s.close()
	result := a.backend.Chat(r.Context(), req, s.sendToken)
	result.Result = a.finishResult(r, result.Result, true)
	s.sendEnd(req.ID, result, includeUsage)
}

// finishReasonOf returns the finish reason of the response. It defaults to
// FinishStop, because clients require a finish reason.
func finishReasonOf(r ChatResult) FinishReason {
	if r.Finish == "" {
		return FinishStop
	}
	return r.Finish
}

// stream writes the events of one response. mu serializes writes and guards
// headerSent and ended; ended keeps a backend that still sends text after its
// result from writing into a later response on the same connection.
type stream struct {
	mu         sync.Mutex
	w          http.ResponseWriter
	flush      func() error
	template   chunk
	headerSent bool
	ended      bool
}

// sendToken sends one piece of text as an event. The first event also carries
// the role.
func (s *stream) sendToken(text string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ended {
		return errResponseEnded
	}
	d := delta{Content: &text}
	if !s.headerSent {
		d.Role = "assistant"
		// The header carries outcome unknown, because the request still runs;
		// the last event carries the final outcome.
		s.sendHeader(request.OutcomeUnknown)
	}
	c := s.template
	c.Choices = []chunkChoice{{Delta: d}}
	return s.sendJSON(c)
}

// close makes later calls of sendToken fail. It is deferred, so that it also
// runs if the backend panics.
func (s *stream) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ended = true
}

// sendHeader sends the status line and headers of a successful stream.
func (s *stream) sendHeader(outcome request.Outcome) {
	s.headerSent = true
	h := s.w.Header()
	h.Set(HeaderOutcome, string(outcome))
	h.Set("Content-Type", contentTypeStream)
	h.Set("Cache-Control", "no-cache")
	h.Set("X-Accel-Buffering", "no")
	s.w.WriteHeader(http.StatusOK)
}

// sendEnd sends the last events, or an ordinary error response if the request
// failed before the headers were sent. An error is not followed by [DONE],
// which would mark the response as complete.
func (s *stream) sendEnd(id request.ID, result ChatResult, includeUsage bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ended = true
	if result.Err != nil && !s.headerSent {
		writeFailure(s.w, result.Result)
		return
	}
	ext := &extension{RequestID: id, Outcome: result.Outcome}
	if result.Err != nil {
		_ = s.sendJSON(errorBody{Error: result.Err, Extension: ext})
		return
	}
	if !s.headerSent {
		s.sendHeader(result.Outcome)
	}
	finish := finishReasonOf(result)
	last := s.template
	last.Choices = []chunkChoice{{FinishReason: &finish}}
	if includeUsage {
		if s.sendJSON(last) != nil {
			return
		}
		last.Choices = []chunkChoice{}
		last.Usage = usageOf(result)
	}
	last.Extension = ext
	if s.sendJSON(last) == nil {
		_ = s.sendEvent([]byte("[DONE]"))
	}
}

func (s *stream) sendJSON(v any) error {
	data, err := json.Marshal(v)
	if err != nil {
		return err
	}
	return s.sendEvent(data)
}

// sendEvent writes one server-sent event in a single write and flushes it.
func (s *stream) sendEvent(data []byte) error {
	event := make([]byte, 0, len(data)+8)
	event = append(event, "data: "...)
	event = append(event, data...)
	event = append(event, "\n\n"...)
	if _, err := s.w.Write(event); err != nil {
		return err
	}
	return s.flush()
}

package callerapi

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"
	"gotest.tools/v3/assert"

	"github.com/nutmegroute/nutmegroute/internal/events"
	"github.com/nutmegroute/nutmegroute/internal/request"
)

func (b *fakeBackend) TeamLoads() []TeamLoad {
	return []TeamLoad{{Team: "large", Weight: 1, QueuedTokens: 90}, {Team: "small", Weight: 1}}
}

// fakeBackend answers chats with tokens followed by chatResult, and service
// calls with serviceResult. It records the last request of each kind and the
// last token callback. If waitForCancel is set, a chat waits until its context is
// cancelled and sends the error of the context to contextErr.
type fakeBackend struct {
	tokens           []string
	chatResult       ChatResult
	serviceResult    ServiceResult
	readyErr         error
	panicAfterTokens bool
	waitForCancel    bool
	contextErr       chan error
	lastChat         ChatRequest
	lastCall         ServiceRequest
	tokenCallback    func(string) error
}

func (b *fakeBackend) Authenticate(key string) (string, bool)          { return "team", key == "good-key" }
func (b *fakeBackend) Profiles() []string                              { return []string{"desk", "speech"} }
func (b *fakeBackend) RequiresIdempotencyKey(_, operation string) bool { return operation != "check" }
func (b *fakeBackend) Ready() error                                    { return b.readyErr }
func (b *fakeBackend) Metrics() http.Handler                           { return http.NotFoundHandler() }

func (b *fakeBackend) Chat(ctx context.Context, r ChatRequest, token func(string) error) ChatResult {
	b.lastChat, b.tokenCallback = r, token
	for _, t := range b.tokens {
		if err := token(t); err != nil {
			break
		}
	}
	if b.panicAfterTokens {
		panic("backend fault")
	}
	if b.waitForCancel {
		<-ctx.Done()
		b.contextErr <- ctx.Err()
	}
	return b.chatResult
}

func (b *fakeBackend) Call(_ context.Context, r ServiceRequest) ServiceResult {
	b.lastCall = r
	return b.serviceResult
}

func startServer(t *testing.T, b Backend, log *events.Logger) *httptest.Server {
	t.Helper()
	s, err := NewServer(b, Options{MaxBody: 4096, MaxHeader: 2048, Log: log})
	assert.NilError(t, err)
	ts := httptest.NewUnstartedServer(s.Handler)
	ts.Config = s
	ts.Start()
	t.Cleanup(ts.Close)
	return ts
}

// sendRequest sends a request with a valid key and returns the response and its
// body. header lists names and values alternately; an empty value removes the
// header. The response must have a valid request id.
func sendRequest(t *testing.T, ts *httptest.Server, method, path, body string, header ...string) (*http.Response, string) {
	t.Helper()
	req, err := http.NewRequest(method, ts.URL+path, strings.NewReader(body))
	assert.NilError(t, err)
	req.Header.Set("Authorization", "Bearer good-key")
	for i := 0; i < len(header); i += 2 {
		req.Header.Add(header[i], header[i+1])
		if header[i+1] == "" {
			req.Header.Del(header[i])
		}
	}
	resp, err := ts.Client().Do(req)
	assert.NilError(t, err)
	data, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	assert.NilError(t, resp.Body.Close())
	_, err = request.ParseID(resp.Header.Get(HeaderRequestID))
	assert.NilError(t, err, "%s %s: response has no valid request id", method, path)
	return resp, string(data)
}

var (
	completedResult = ChatResult{Result: Result{Outcome: request.OutcomeCompleted}, Finish: FinishLength, PromptTokens: 3, CompletionTokens: 2}
	failedResult    = ChatResult{Result: Result{Outcome: request.OutcomeFailed, Err: &Error{Message: "stage lost"}}}
	notRunResult    = ChatResult{Result: Result{Outcome: request.OutcomeNotRun, RetryAfter: 1500 * time.Millisecond,
		Err: &Error{Status: 429, Message: "team above its share", Type: "rate_limit_error"}}}
)

const chatBodyPrefix = `{"model":"desk","messages":[{"role":"user","content":"hi"}]`

// Guards against responses that the official OpenAI client can't decode, and
// against partial responses that the client takes for complete ones.
func TestOfficialOpenAIClient(t *testing.T) {
	for _, c := range []struct {
		name       string
		stream     bool
		tokens     []string
		result     ChatResult
		wantText   string
		wantError  string
		wantStatus int
	}{
		{"not streamed", false, []string{"نعم", " <b>"}, completedResult, "نعم <b>", "", 0},
		{"not streamed, failed", false, []string{"a"}, failedResult, "", "stage lost", 502},
		{"not streamed, not run", false, nil, notRunResult, "", "team above its share", 429},
		{"stream", true, []string{"نعم", "", " <b>"}, completedResult, "نعم <b>", "", 0},
		{"stream without tokens", true, nil, completedResult, "", "", 0},
		{"stream, not run", true, nil, notRunResult, "", "team above its share", 429},
		{"stream, failed before the first token", true, nil, failedResult, "", "stage lost", 502},
		{"stream, failed after the first token", true, []string{"a"}, failedResult, "a", "stage lost", 0},
		{"result without an outcome", true, nil, ChatResult{}, "", "may have run", 500},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := &fakeBackend{tokens: c.tokens, chatResult: c.result}
			client := openai.NewClient(option.WithBaseURL(startServer(t, b, nil).URL+"/v1"), option.WithAPIKey("good-key"), option.WithMaxRetries(0))
			params := openai.ChatCompletionNewParams{
				Model:     "desk",
				MaxTokens: openai.Int(7),
				Messages:  []openai.ChatCompletionMessageParamUnion{openai.SystemMessage("s"), openai.UserMessage("q")},
			}
			var got openai.ChatCompletion
			var err error
			if c.stream {
				params.StreamOptions.IncludeUsage = openai.Bool(true)
				s := client.Chat.Completions.NewStreaming(t.Context(), params)
				acc := openai.ChatCompletionAccumulator{}
				for s.Next() {
					assert.Assert(t, acc.AddChunk(s.Current()))
				}
				got, err = acc.ChatCompletion, s.Err()
			} else if resp, callErr := client.Chat.Completions.New(t.Context(), params); callErr == nil {
				got = *resp
			} else {
				err = callErr
			}
			assert.DeepEqual(t, b.lastChat.Messages, []Message{{"system", "s"}, {"user", "q"}})
			assert.Equal(t, b.lastChat.MaxTokens, 7)
			if len(got.Choices) > 0 {
				assert.Equal(t, got.Choices[0].Message.Content, c.wantText)
			}
			if c.wantError != "" {
				var apiErr *openai.Error
				if c.wantStatus == 0 {
					assert.ErrorContains(t, err, c.wantError)
					return
				}
				assert.Assert(t, errors.As(err, &apiErr) && apiErr.StatusCode == c.wantStatus, err)
				assert.Assert(t, strings.Contains(apiErr.Message, c.wantError), apiErr.Message)
				return
			}
			assert.NilError(t, err)
			assert.Equal(t, got.Choices[0].FinishReason, "length")
			assert.Equal(t, got.Usage.TotalTokens, int64(5))
		})
	}
}

// Guards against a stream whose last event has the wrong outcome, against [DONE]
// after an error or a panic, and against text that the backend sends after its
// result and that would enter a later response on the same connection. The
// outcome header is always unknown, because it is sent before the outcome is
// known.
func TestStreamEnd(t *testing.T) {
	for _, c := range []struct {
		backend    fakeBackend
		wantSuffix string
	}{
		{fakeBackend{tokens: []string{"a"}, chatResult: completedResult}, `"outcome":"completed"}}` + "\n\ndata: [DONE]\n\n"},
		{fakeBackend{tokens: []string{"a"}, chatResult: failedResult}, `"outcome":"failed"}}` + "\n\n"},
		{fakeBackend{tokens: []string{"a"}, panicAfterTokens: true}, `"outcome":"unknown"}}` + "\n\n"},
	} {
		resp, body := sendRequest(t, startServer(t, &c.backend, nil), "POST", "/v1/chat/completions", chatBodyPrefix+`,"stream":true}`)
		assert.Equal(t, resp.Header.Get(HeaderOutcome), "unknown")
		assert.Assert(t, strings.HasSuffix(body, c.wantSuffix), body)
		assert.Equal(t, strings.Contains(body, "[DONE]"), strings.Contains(c.wantSuffix, "[DONE]"))
		assert.ErrorIs(t, c.backend.tokenCallback("late"), errResponseEnded)
	}
}

// Guards against invalid requests that reach the backend, get the wrong status,
// or get an error body that is not in the OpenAI format. The error of /readyz must
// have the same format.
func TestInvalidRequestsAreRejected(t *testing.T) {
	const chat, buy = "/v1/chat/completions", "/v1/services/account/buy"
	b := &fakeBackend{readyErr: errors.New("no revision")}
	ts := startServer(t, b, nil)
	longKey := strings.Repeat("k", maxIdempotencyKeyBytes+1)
	for _, c := range []struct {
		method, path, body string
		header             []string
		status             int
		wantBody           string
	}{
		{"POST", chat, `{`, nil, 400, "invalid_json"},
		{"POST", chat, chatBodyPrefix + `}x`, nil, 400, "invalid_json"},
		{"POST", chat, "\"\xff\"", nil, 400, "not valid UTF-8"},
		{"POST", chat, `[]`, nil, 400, "invalid_type"},
		{"POST", chat, `null`, nil, 400, "at least one message"},
		{"POST", chat, chatBodyPrefix + `,"max_tokens":0}`, nil, 400, "max_tokens"},
		{"POST", chat, chatBodyPrefix + `,"max_tokens":-1}`, nil, 400, "max_tokens"},
		{"POST", chat, chatBodyPrefix + `,"max_tokens":1048577}`, nil, 400, "max_tokens"},
		{"POST", chat, chatBodyPrefix + `,"max_tokens":1e30}`, nil, 400, "max_tokens"},
		{"POST", chat, chatBodyPrefix + `,"max_tokens":1,"max_completion_tokens":2}`, nil, 400, "differ"},
		{"POST", chat, chatBodyPrefix + `,"n":2}`, nil, 400, "unsupported_parameter"},
		{"POST", chat, chatBodyPrefix + `,"stream_options":{}}`, nil, 400, "stream_options"},
		{"POST", chat, `{"model":"desk","messages":[{"role":"user"}]}`, nil, 400, "messages[0].content"},
		{"POST", chat, `{"model":"desk","messages":[{"role":"user","content":[{"type":"image_url"}]}]}`, nil, 400, "text parts"},
		{"POST", chat, `{"model":"desk","messages":[{"role":"tool","content":""}]}`, nil, 400, "messages[0].role"},
		{"POST", chat, `{"messages":[{"role":"user","content":"hi"}]}`, nil, 400, "names a profile"},
		{"POST", chat, chatBodyPrefix + `}`, []string{HeaderProfile, "none"}, 404, "model_not_found"},
		{"POST", chat, chatBodyPrefix + `}`, []string{"Authorization", ""}, 401, "invalid_api_key"},
		{"POST", chat, chatBodyPrefix + `}`, []string{"Authorization", "Bearer x"}, 401, "invalid_api_key"},
		{"POST", chat, strings.Repeat(" ", 4097), nil, 413, "request_too_large"},
		{"POST", chat, `{}`, []string{"X-Long", strings.Repeat("a", 2048)}, 431, "headers_too_large"},
		{"GET", chat, "", nil, 405, "method_not_allowed"},
		{"FOO", chat, "", nil, 501, "unknown method"},
		{"GET", "/v1/chat", "", nil, 404, "not_found"},
		{"GET", "/", "", nil, 404, "not_found"},
		{"POST", "/v1/services/account/buy/x", "", nil, 404, "not_found"},
		{"POST", "/v1/services/account/a%20b", "", nil, 404, "not_found"},
		{"GET", "/readyz", "", nil, 503, "no revision"},
		{"GET", buy, "", nil, 405, "needs POST"},
		{"POST", buy, "", nil, 400, "idempotency_key_required"},
		{"POST", buy, "", []string{HeaderIdempotencyKey, longKey}, 400, "Idempotency-Key"},
		{"POST", buy, "", []string{HeaderIdempotencyKey, "a", HeaderIdempotencyKey, "b"}, 400, "Idempotency-Key"},
		{"GET", "/v1/services/account/check?pack=1", "", nil, 400, "query"},
	} {
		resp, body := sendRequest(t, ts, c.method, c.path, c.body, c.header...)
		assert.Equal(t, resp.StatusCode, c.status, "%s %s %s", c.method, c.path, body)
		assert.Equal(t, resp.Header.Get(HeaderOutcome), "not-run")
		assert.Assert(t, strings.HasPrefix(body, `{"error":{"message":`) && strings.Contains(body, c.wantBody), body)
	}
	assert.Assert(t, b.lastChat.ID == "" && b.lastCall.ID == "", "an invalid request reached the backend")
}

// Guards against service responses without the status, outcome or retry headers
// of the result, and against service calls without the idempotency key, body or
// team of the request.
func TestServiceResults(t *testing.T) {
	ok := Result{Outcome: request.OutcomeCompleted}
	for _, c := range []struct {
		result                  ServiceResult
		status                  int
		outcome, body           string
		retryAfter, shouldRetry string
	}{
		{ServiceResult{Result: ok, Status: 201, ContentType: "text/plain", Body: []byte("x"), Replayed: true}, 201, "completed", "x", "", ""},
		{ServiceResult{Result: ok, Status: 404}, 404, "completed", "", "", "false"},
		{ServiceResult{Result: ok, Status: 99}, 500, "unknown", "internal_error", "", "false"},
		{ServiceResult{Result: notRunResult.Result}, 429, "not-run", "team above its share", "2", ""},
		{ServiceResult{Result: Result{Outcome: request.OutcomeNotRun, Err: &Error{Status: 422}}}, 422, "not-run", "error", "", ""},
		{ServiceResult{Result: Result{Outcome: request.OutcomeUnknown, Err: &Error{}}}, 504, "unknown", "error", "", "false"},
	} {
		b := &fakeBackend{serviceResult: c.result}
		resp, body := sendRequest(t, startServer(t, b, nil), "POST", "/v1/services/account/buy", "body-", HeaderIdempotencyKey, "key-")
		assert.Equal(t, resp.StatusCode, c.status)
		assert.Equal(t, resp.Header.Get(HeaderOutcome), c.outcome)
		assert.Equal(t, resp.Header.Get("Retry-After"), c.retryAfter)
		assert.Equal(t, resp.Header.Get(headerShouldRetry), c.shouldRetry)
		assert.Equal(t, resp.Header.Get(HeaderReplayed) == "true", c.result.Replayed)
		assert.Assert(t, strings.Contains(body, c.body), body)
		assert.Equal(t, b.lastCall.IdempotencyKey+string(b.lastCall.Body)+b.lastCall.Team, "key-body-team")
	}
}

// Guards against a backend that keeps running a request whose caller has
// disconnected.
func TestCallerDisconnects(t *testing.T) {
	b := &fakeBackend{tokens: []string{"a"}, waitForCancel: true, contextErr: make(chan error, 1), chatResult: failedResult}
	ts := startServer(t, b, nil)
	req, err := http.NewRequest("POST", ts.URL+"/v1/chat/completions", strings.NewReader(chatBodyPrefix+`,"stream":true}`))
	assert.NilError(t, err)
	req.Header.Set("Authorization", "Bearer good-key")
	resp, err := ts.Client().Do(req)
	assert.NilError(t, err)
	_, err = resp.Body.Read(make([]byte, 1)) // returns once the first token is flushed
	assert.NilError(t, err)
	assert.NilError(t, resp.Body.Close())
	assert.ErrorIs(t, <-b.contextErr, context.Canceled)
}

// Guards against a backend that is blocked forever by a caller that has stopped
// reading.
func TestCallerStopsReading(t *testing.T) {
	tokenText := strings.Repeat("a", 1<<20)
	b := &fakeBackend{waitForCancel: true, contextErr: make(chan error, 1), chatResult: failedResult}
	for range 64 { // exceeds the capacity of the socket buffers
		b.tokens = append(b.tokens, tokenText)
	}
	h, err := NewHandler(b, Options{WriteTimeout: 50 * time.Millisecond})
	assert.NilError(t, err)
	ts := httptest.NewServer(h)
	t.Cleanup(ts.Close)
	req, err := http.NewRequest("POST", ts.URL+"/v1/chat/completions", strings.NewReader(chatBodyPrefix+`,"stream":true}`))
	assert.NilError(t, err)
	req.Header.Set("Authorization", "Bearer good-key")
	resp, err := ts.Client().Do(req)
	assert.NilError(t, err)
	assert.ErrorIs(t, <-b.contextErr, context.Canceled)
	assert.NilError(t, resp.Body.Close())
}

// Guards against a panic of the backend that ends the process or that is
// reported with an outcome other than unknown.
func TestBackendPanic(t *testing.T) {
	var lines bytes.Buffer
	log, err := events.New(&lines, "info", "json", "e1")
	assert.NilError(t, err)
	ts := startServer(t, &fakeBackend{panicAfterTokens: true}, log)
	resp, body := sendRequest(t, ts, "POST", "/v1/chat/completions", chatBodyPrefix+`}`)
	assert.Equal(t, resp.StatusCode, 500, body)
	assert.Equal(t, resp.Header.Get(HeaderOutcome), "unknown")
	ts.Close() // waits for the handler, which logs
	assert.Assert(t, strings.Contains(lines.String(), events.HandlerPanicked.Code()))
}

// Guards against panics of decodeChat and against accepted values outside its
// limits.
func FuzzDecodeChat(f *testing.F) {
	f.Add([]byte(chatBodyPrefix + `}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		decoded, err := decodeChat(body)
		if err != nil {
			assert.Assert(t, err.Status == 400 && err.Message != "" && err.Code != "")
			return
		}
		assert.Assert(t, len(decoded.messages) > 0 && decoded.maxTokens >= 0 && decoded.maxTokens <= maxTokensCeiling)
	})
}

// Guards against a team that can't see the load of other teams, and against
// showing the load to callers without a valid key.
func TestTeamLoadIsVisibleToEveryTeam(t *testing.T) {
	h, err := NewHandler(&fakeBackend{}, Options{})
	assert.NilError(t, err)
	for key, status := range map[string]int{"Bearer good-key": http.StatusOK, "Bearer bad-key": http.StatusUnauthorized} {
		r := httptest.NewRequest(http.MethodGet, "/v1/teams", nil)
		r.Header.Set("Authorization", key)
		w := httptest.NewRecorder()
		h.ServeHTTP(w, r)
		assert.Equal(t, w.Code, status)
		assert.Equal(t, strings.Contains(w.Body.String(), `"queued_tokens":90`), status == http.StatusOK)
	}
}

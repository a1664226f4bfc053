package callerapi

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"unicode/utf8"
)

// maxTokensCeiling is the largest accepted max_tokens. Larger values can only be
// mistakes, because profiles set lower limits.
const maxTokensCeiling = 1 << 20

// chatBody is the body of POST /v1/chat/completions. Sampling parameters are
// accepted and ignored; checkUnsupported rejects the values of other parameters
// that would change the content or structure of the response.
type chatBody struct {
	Model               string          `json:"model"`
	Messages            []chatMessage   `json:"messages"`
	MaxTokens           *int            `json:"max_tokens"`
	MaxCompletionTokens *int            `json:"max_completion_tokens"`
	Stream              bool            `json:"stream"`
	StreamOptions       *streamOptions  `json:"stream_options"`
	N                   *int            `json:"n"`
	Stop                json.RawMessage `json:"stop"`
	Tools               json.RawMessage `json:"tools"`
	Functions           json.RawMessage `json:"functions"`
	Audio               json.RawMessage `json:"audio"`
	Logprobs            *bool           `json:"logprobs"`
	ResponseFormat      *struct {
		Type string `json:"type"`
	} `json:"response_format"`
}

type chatMessage struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

type streamOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

// decodedChat is a decoded and validated chat request.
type decodedChat struct {
	model        string
	messages     []Message
	maxTokens    int
	stream       bool
	includeUsage bool
}

// decodeChat decodes and validates the body of a chat request. It does not
// limit the size of the body; readBody does.
func decodeChat(body []byte) (decodedChat, *Error) {
	if !utf8.Valid(body) {
		return decodedChat{}, badRequest("", "invalid_json", "the request body is not valid UTF-8")
	}
	var b chatBody
	if err := json.Unmarshal(body, &b); err != nil {
		return decodedChat{}, jsonError(err)
	}
	if err := checkUnsupported(b); err != nil {
		return decodedChat{}, err
	}
	maxTokens, err := tokenLimit(b)
	if err != nil {
		return decodedChat{}, err
	}
	messages, err := decodeMessages(b.Messages)
	if err != nil {
		return decodedChat{}, err
	}
	if b.StreamOptions != nil && !b.Stream {
		return decodedChat{}, badRequest("stream_options", "invalid_value", "stream_options is only allowed when stream is true")
	}
	return decodedChat{
		model:        b.Model,
		messages:     messages,
		maxTokens:    maxTokens,
		stream:       b.Stream,
		includeUsage: b.StreamOptions != nil && b.StreamOptions.IncludeUsage,
	}, nil
}

// jsonError converts an error of encoding/json into an API error.
func jsonError(err error) *Error {
	var syntaxErr *json.SyntaxError
	var typeErr *json.UnmarshalTypeError
	switch {
	case errors.As(err, &syntaxErr):
		return badRequest("", "invalid_json", fmt.Sprintf("the request body is not valid JSON: %v at byte %d", err, syntaxErr.Offset))
	case errors.As(err, &typeErr):
		field := "the request body"
		if typeErr.Field != "" {
			field = fmt.Sprintf("%q", typeErr.Field)
		}
		return badRequest(typeErr.Field, "invalid_type", fmt.Sprintf("%s has the wrong type or range (JSON %s)", field, typeErr.Value))
	default:
		return badRequest("", "invalid_json", "the request body is not valid JSON")
	}
}

// checkUnsupported rejects parameters whose values would change the content or
// structure of the response.
func checkUnsupported(b chatBody) *Error {
	for _, f := range []struct {
		name string
		used bool
	}{
		{"n", b.N != nil && *b.N != 1},
		{"stop", isSet(b.Stop)},
		{"tools", isSet(b.Tools)},
		{"functions", isSet(b.Functions)},
		{"audio", isSet(b.Audio)},
		{"logprobs", b.Logprobs != nil && *b.Logprobs},
		{"response_format", b.ResponseFormat != nil && b.ResponseFormat.Type != "text"},
	} {
		if f.used {
			return badRequest(f.name, "unsupported_parameter", fmt.Sprintf("the value of %q is not supported", f.name))
		}
	}
	return nil
}

// isSet reports whether a field is present and neither null nor an empty array.
func isSet(raw json.RawMessage) bool {
	compact := strings.Join(strings.Fields(string(raw)), "")
	return compact != "" && compact != "null" && compact != "[]"
}

// tokenLimit returns the limit on generated tokens, 0 if there is none.
func tokenLimit(b chatBody) (int, *Error) {
	limit := 0
	for _, f := range []struct {
		name  string
		value *int
	}{{"max_tokens", b.MaxTokens}, {"max_completion_tokens", b.MaxCompletionTokens}} {
		if f.value == nil {
			continue
		}
		if *f.value < 1 || *f.value > maxTokensCeiling {
			return 0, badRequest(f.name, "invalid_value", fmt.Sprintf("%q is %d; it must be from 1 to %d", f.name, *f.value, maxTokensCeiling))
		}
		if limit != 0 && limit != *f.value {
			return 0, badRequest(f.name, "invalid_value", "max_tokens and max_completion_tokens differ")
		}
		limit = *f.value
	}
	return limit, nil
}

func decodeMessages(list []chatMessage) ([]Message, *Error) {
	if len(list) == 0 {
		return nil, badRequest("messages", "invalid_value", "messages must hold at least one message")
	}
	messages := make([]Message, len(list))
	for i, m := range list {
		param := fmt.Sprintf("messages[%d]", i)
		switch m.Role {
		case "system", "developer", "user", "assistant":
		default:
			return nil, badRequest(param+".role", "invalid_value", fmt.Sprintf("role %q is not system, developer, user or assistant", m.Role))
		}
		text, err := decodeContent(param+".content", m.Content)
		if err != nil {
			return nil, err
		}
		messages[i] = Message{Role: m.Role, Content: text}
	}
	return messages, nil
}

// decodeContent decodes the content of a message, which is a string or an array
// of text parts. The text parts are concatenated.
func decodeContent(param string, raw json.RawMessage) (string, *Error) {
	invalid := badRequest(param, "invalid_value", "content must be a string or an array of text parts")
	var text *string
	if err := json.Unmarshal(raw, &text); err == nil {
		if text == nil {
			return "", invalid
		}
		return *text, nil
	}
	var parts []struct {
		Type string  `json:"type"`
		Text *string `json:"text"`
	}
	if err := json.Unmarshal(raw, &parts); err != nil || len(parts) == 0 {
		return "", invalid
	}
	var b strings.Builder
	for _, p := range parts {
		if p.Type != "text" || p.Text == nil {
			return "", invalid
		}
		b.WriteString(*p.Text)
	}
	return b.String(), nil
}

func badRequest(param, code, message string) *Error {
	return &Error{Status: http.StatusBadRequest, Message: message, Type: errorTypeInvalidRequest, Param: param, Code: code}
}

package gateway

import (
	"bytes"
	"errors"
	"io"
	"mime"
	"net/http"

	"github.com/nutmegroute/nutmegroute/internal/backend"
)

var (
	// errNotEvent means that an instance sent something else than an event of the stream.
	errNotEvent = errors.New("gateway: not an event of the stream")
	// errOtherType means that a response that should continue a stream is of another type.
	errOtherType = errors.New("gateway: response of another type than the stream")
	// errNothingNew means that a response that should continue a stream ended without an
	// event that the client lacks.
	errNothingNew = errors.New("gateway: nothing new in the rest of the stream")
)

// beginExchange notes what the client has before an exchange of the stream.
func (s *stream) beginExchange() {
	s.continuation, s.resumedAfter, s.skippedEvents = s.sentStatus != 0, s.lastEvent, false
}

// checkResponse returns an error if a response can't continue a stream that has begun. Its
// headers are not sent to the client, so that its body has to be of the same type.
func (s *stream) checkResponse(resp *http.Response) error {
	if !s.continuation || mediaType(resp.Header) == mediaType(s.w.Header()) {
		return nil
	}
	return errors.Join(backend.ErrExchangeFailed, errOtherType)
}

// mediaType returns the type of a body without its parameters.
func mediaType(h http.Header) string {
	text := h.Get("Content-Type")
	if t, _, err := mime.ParseMediaType(text); err == nil {
		return t
	}
	return text
}

// checkEvent returns an error if an event is something else, such as the error of a
// server in the place of an event or after the beginning of one. An event that continues
// a stream whose events have ids needs one, because its place is not known otherwise.
func (s *stream) checkEvent(event []byte, id string) error {
	hasData, err := parseEvent(event)
	if err != nil {
		return err
	}
	if s.continuation && s.lastEvent != "" && hasData && id == "" {
		return errors.Join(backend.ErrExchangeFailed, errNotEvent)
	}
	s.unnumbered = s.unnumbered || hasData && id == ""
	return nil
}

// parseEvent returns whether an event has data, and errNotEvent if it is none.
func parseEvent(event []byte) (hasData bool, err error) {
	for line := range bytes.Lines(event) {
		text := bytes.TrimRight(line, "\r\n")
		if len(text) == 0 || text[0] == ':' {
			continue
		}
		name, _, _ := bytes.Cut(text, []byte{':'})
		if !isFieldName(name) {
			return false, errors.Join(backend.ErrExchangeFailed, errNotEvent)
		}
		hasData = hasData || string(name) == "data"
	}
	return hasData, nil
}

// isFieldName reports whether a line of an event may begin with a name. The names of
// fields are in lower case, unlike those of HTTP headers and the words of most texts.
func isFieldName(name []byte) bool {
	for _, c := range name {
		if (c < 'a' || c > 'z') && (c < '0' || c > '9') && c != '-' && c != '_' {
			return false
		}
	}
	return true
}

// checkEnd returns an error if the stream is not complete although the response has ended.
// A response without any event that ends with its connection may be that of an instance
// that has ended. One that sends nothing new may be that of an instance which does not
// know the stream; if the stream has no more events, the client learns so when it resumes.
func (s *stream) checkEnd(x *backend.Exchange) error {
	switch {
	case s.answerEvents == 0 && x.EndsWithConnection():
		return errors.Join(backend.ErrExchangeFailed, io.ErrUnexpectedEOF)
	case !s.continuation && !s.skippedEvents:
		return nil
	case s.answerEvents == 0 || s.lastEvent != "" && s.lastEvent == s.resumedAfter:
		return errors.Join(backend.ErrExchangeFailed, errNothingNew)
	}
	return nil
}

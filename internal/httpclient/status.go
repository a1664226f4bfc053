package httpclient

import (
	"errors"
	"fmt"
	"net/http"
)

// StatusClass says what a response is by its status (RFC 9110, section 15).
type StatusClass int

const (
	// StatusInvalid is a status outside the protocol, or a switch of protocols: the client did not ask
	// for one. The response answers no request.
	StatusInvalid StatusClass = iota
	// StatusInterim is followed by the final response to the same request.
	StatusInterim
	// StatusFinal answers the request.
	StatusFinal
)

// ClassifyStatus returns the class of a status.
func ClassifyStatus(status int) StatusClass {
	const first, firstFinal, last = 100, 200, 599
	switch {
	case status == http.StatusSwitchingProtocols, status < first, status > last:
		return StatusInvalid
	case status < firstFinal:
		return StatusInterim
	}
	return StatusFinal
}

// ErrInvalidStatus means that a response has a status outside the protocol. The request may have been
// processed.
var ErrInvalidStatus = errors.New("httpclient: response with a status outside the protocol")

// CheckedTransport fails for responses whose status is not final, with ErrInvalidStatus. It must not be
// used to switch protocols.
type CheckedTransport struct {
	// Next sends the requests. Default http.DefaultTransport.
	Next http.RoundTripper
}

// RoundTrip implements http.RoundTripper.
func (t CheckedTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	resp, err := t.next().RoundTrip(r)
	if err != nil || ClassifyStatus(resp.StatusCode) == StatusFinal {
		return resp, err
	}
	return nil, errors.Join(fmt.Errorf("%w: %q", ErrInvalidStatus, resp.Status), resp.Body.Close())
}

func (t CheckedTransport) next() http.RoundTripper {
	if t.Next == nil {
		return http.DefaultTransport
	}
	return t.Next
}

// CloseIdleConnections closes the unused connections of the next transport, as http.Client expects.
func (t CheckedTransport) CloseIdleConnections() {
	if next, ok := t.next().(interface{ CloseIdleConnections() }); ok {
		next.CloseIdleConnections()
	}
}

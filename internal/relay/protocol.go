package relay

import (
	"errors"
	"time"

	"github.com/nutmegroute/nutmegroute/internal/feed"
	"github.com/nutmegroute/nutmegroute/internal/revision"
)

// Path is the HTTP path under which a gateway serves its feeds over WebSocket. Each
// message of the client is a request, answered by one message before the next
// request. Both are CBOR.
const Path = "/feeds"

const (
	// maxRequestBytes and maxResponseBytes bound a message. A response holds at most
	// the whole content of a feed.
	maxRequestBytes  = 4 << 10
	maxResponseBytes = 16 << 20
	// maxWait bounds how long a watch waits, whatever the client asks for.
	maxWait = 30 * time.Second
	// writeTimeout bounds the writing of a message.
	writeTimeout = 2 * time.Second
)

// request asks for a feed.
type request struct {
	// Feed is the feed's name.
	Feed string `cbor:"1,keyasint"`
	// Watch asks for the changes after the revision After. The response waits for a
	// change, at most for WaitMS. Otherwise all records are asked for.
	Watch  bool              `cbor:"2,keyasint,omitempty"`
	After  revision.Revision `cbor:"3,keyasint,omitempty"`
	WaitMS uint32            `cbor:"4,keyasint,omitempty"`
}

// responseError says why a response holds no records.
type responseError uint8

const (
	noError responseError = iota
	// errorUnavailable stands for ErrUnavailable.
	errorUnavailable
	// errorHistoryExpired stands for feed.ErrHistoryExpired.
	errorHistoryExpired
)

// response holds the records of a feed.
type response[R any] struct {
	Error        responseError     `cbor:"1,keyasint,omitempty"`
	Records      []R               `cbor:"2,keyasint,omitempty"`
	Revision     revision.Revision `cbor:"3,keyasint,omitempty"`
	LatestChange revision.Revision `cbor:"4,keyasint,omitempty"`
	// AgeMS is the time since the store confirmed Revision, rounded up.
	AgeMS uint32 `cbor:"5,keyasint,omitempty"`
	// Relays is feed.Batch.Relays of the sender.
	Relays int `cbor:"6,keyasint,omitempty"`
}

// newResponse returns the response for the result of a call to a Cache.
func newResponse[R any](b feed.Batch[R], err error, now time.Time) response[R] {
	switch {
	case errors.Is(err, feed.ErrHistoryExpired):
		return response[R]{Error: errorHistoryExpired}
	case err != nil:
		return response[R]{Error: errorUnavailable}
	}
	return response[R]{
		Records: b.Records, Revision: b.Revision, LatestChange: b.LatestChange,
		AgeMS: uint32(max(now.Sub(b.ConfirmedAt).Milliseconds()+1, 0)), Relays: b.Relays,
	}
}

// batch returns the content of a response, or the error that it stands for.
func (r response[R]) batch(now time.Time) (feed.Batch[R], error) {
	switch r.Error {
	case noError:
	case errorHistoryExpired:
		return feed.Batch[R]{}, feed.ErrHistoryExpired
	default:
		return feed.Batch[R]{}, ErrUnavailable
	}
	return feed.Batch[R]{
		Records: r.Records, Revision: r.Revision, LatestChange: r.LatestChange,
		ConfirmedAt: now.Add(-time.Duration(r.AgeMS) * time.Millisecond), Relays: r.Relays + 1,
	}, nil
}

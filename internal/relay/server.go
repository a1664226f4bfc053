package relay

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/coder/websocket"
	"github.com/fxamacker/cbor/v2"

	"github.com/nutmegroute/nutmegroute/internal/feed"
)

// Server serves the caches of a gateway to other gateways. It is an http.Handler.
type Server struct {
	// feeds answers the requests for each feed.
	feeds map[string]func(context.Context, request) ([]byte, error)
}

// NewServer returns a server without feeds.
func NewServer() *Server {
	return &Server{feeds: make(map[string]func(context.Context, request) ([]byte, error))}
}

// AddFeed adds a feed under a name. It must be called before the server is used.
func AddFeed[R any](s *Server, name string, c *Cache[R]) {
	s.feeds[name] = func(ctx context.Context, r request) ([]byte, error) {
		return cbor.Marshal(answer(ctx, c, r))
	}
}

// answer returns the response to a request for a feed.
func answer[R any](ctx context.Context, c *Cache[R], r request) response[R] {
	var b feed.Batch[R]
	var err error
	if r.Watch {
		b, err = c.Watch(ctx, r.After, min(time.Duration(r.WaitMS)*time.Millisecond, maxWait))
	} else {
		b, err = c.List(ctx)
	}
	switch {
	case errors.Is(err, feed.ErrHistoryExpired):
		return response[R]{Error: errorHistoryExpired}
	case err != nil:
		return response[R]{Error: errorUnavailable}
	}
	return newResponse(b, time.Now())
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	ws, err := websocket.Accept(w, r, nil)
	if err != nil {
		return // Accept has answered
	}
	defer func() { _ = ws.CloseNow() }()
	ws.SetReadLimit(maxRequestBytes)
	for r.Context().Err() == nil {
		if err := s.serveRequest(r.Context(), ws); err != nil {
			return
		}
	}
}

// errUnknownFeed ends a connection on which a feed was asked for that does not exist.
var errUnknownFeed = errors.New("relay: unknown feed")

// serveRequest reads and answers one request.
func (s *Server) serveRequest(ctx context.Context, ws *websocket.Conn) error {
	_, data, err := ws.Read(ctx)
	if err != nil {
		return err
	}
	var req request
	if err := cbor.Unmarshal(data, &req); err != nil {
		return err
	}
	serve := s.feeds[req.Feed]
	if serve == nil {
		return errUnknownFeed
	}
	encoded, err := serve(ctx, req)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	return ws.Write(ctx, websocket.MessageBinary, encoded)
}

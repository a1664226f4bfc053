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
	feeds map[string]serveFunc
}

// serveFunc answers a request for a feed. confirmedAt is when the store confirmed what
// the connection last delivered; serveFunc returns it for the response.
type serveFunc func(ctx context.Context, r request, confirmedAt time.Time) ([]byte, time.Time, error)

// NewServer returns a server without feeds.
func NewServer() *Server {
	return &Server{feeds: make(map[string]serveFunc)}
}

// AddFeed adds a feed under a name. It must be called before the server is used.
func AddFeed[R any](s *Server, name string, c *Cache[R]) {
	s.feeds[name] = func(ctx context.Context, r request, confirmedAt time.Time) ([]byte, time.Time, error) {
		b, err := read(ctx, c, r, confirmedAt)
		encoded, encodeErr := cbor.Marshal(newResponse(b, err, time.Now()))
		return encoded, b.ConfirmedAt, encodeErr
	}
}

// read returns what a request asks for.
func read[R any](ctx context.Context, c *Cache[R], r request, confirmedAt time.Time) (feed.Batch[R], error) {
	if !r.Watch {
		return c.List(ctx)
	}
	return c.Watch(ctx, r.After, confirmedAt, min(time.Duration(r.WaitMS)*time.Millisecond, maxWait))
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	ws, err := websocket.Accept(w, r, nil)
	if err != nil {
		return // Accept has answered
	}
	defer func() { _ = ws.CloseNow() }()
	ws.SetReadLimit(maxRequestBytes)
	confirmedAt := make(map[string]time.Time)
	for r.Context().Err() == nil {
		if err := s.serveRequest(r.Context(), ws, confirmedAt); err != nil {
			return
		}
	}
}

// errUnknownFeed ends a connection on which a feed was asked for that does not exist.
var errUnknownFeed = errors.New("relay: unknown feed")

// serveRequest reads and answers one request. confirmedAt holds, for each feed, when
// the store confirmed what the connection last delivered.
func (s *Server) serveRequest(ctx context.Context, ws *websocket.Conn, confirmedAt map[string]time.Time) error {
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
	encoded, confirmed, err := serve(ctx, req, confirmedAt[req.Feed])
	if err != nil {
		return err
	}
	confirmedAt[req.Feed] = confirmed
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	return ws.Write(ctx, websocket.MessageBinary, encoded)
}

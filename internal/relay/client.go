package relay

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/coder/websocket"
	"github.com/fxamacker/cbor/v2"

	"github.com/nutmegroute/nutmegroute/internal/feed"
	"github.com/nutmegroute/nutmegroute/internal/revision"
)

// Peer is a gateway that serves its feeds.
type Peer struct {
	Name string
	// Address is IP:PORT.
	Address string
}

// client reads one feed from one peer at a time. It is not safe for concurrent use.
type client[R any] struct {
	feed string
	http *http.Client
	peer Peer
	ws   *websocket.Conn
}

// DialFunc establishes a connection, like net.Dialer.DialContext.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

func newClient[R any](feed string, dial DialFunc) *client[R] {
	transport := &http.Transport{DialContext: dial, MaxResponseHeaderBytes: maxRequestBytes}
	return &client[R]{feed: feed, http: &http.Client{Transport: transport}}
}

func (c *client[R]) list(ctx context.Context, p Peer) (feed.Batch[R], error) {
	return c.call(ctx, p, request{Feed: c.feed})
}

func (c *client[R]) watch(ctx context.Context, p Peer, after revision.Revision, wait time.Duration) (feed.Batch[R], error) {
	return c.call(ctx, p, request{Feed: c.feed, Watch: true, After: after, WaitMS: uint32(wait.Milliseconds())})
}

// call sends a request and returns its response. After an error the connection is
// closed, because a late response would be taken for that of the next request.
func (c *client[R]) call(ctx context.Context, p Peer, r request) (feed.Batch[R], error) {
	encoded, err := c.exchange(ctx, p, r)
	if err != nil {
		c.close()
		return feed.Batch[R]{}, err
	}
	var decoded response[R]
	if err := cbor.Unmarshal(encoded, &decoded); err != nil {
		c.close()
		return feed.Batch[R]{}, err
	}
	return decoded.batch(time.Now())
}

func (c *client[R]) exchange(ctx context.Context, p Peer, r request) ([]byte, error) {
	if c.ws != nil && c.peer != p {
		c.close()
	}
	if c.ws == nil {
		ws, _, err := websocket.Dial(ctx, "ws://"+p.Address+Path, &websocket.DialOptions{HTTPClient: c.http})
		if err != nil {
			return nil, err
		}
		ws.SetReadLimit(maxResponseBytes)
		c.ws, c.peer = ws, p
	}
	encoded, err := cbor.Marshal(r)
	if err != nil {
		return nil, err
	}
	if err := c.ws.Write(ctx, websocket.MessageBinary, encoded); err != nil {
		return nil, err
	}
	_, data, err := c.ws.Read(ctx)
	return data, err
}

func (c *client[R]) close() {
	if c.ws != nil {
		_ = c.ws.CloseNow()
		c.ws = nil
	}
}

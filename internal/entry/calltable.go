package entry

import (
	"sync"

	"github.com/nutmegroute/nutmegroute/internal/peer"
	"github.com/nutmegroute/nutmegroute/internal/request"
)

// pendingCall waits for the answer to one dispatch.
type pendingCall struct {
	conn   *peer.Conn
	result chan *peer.CallResult
}

// callTable routes results to the dispatches of this process.
type callTable struct {
	mu   sync.Mutex
	byID map[callID]*pendingCall
}

type callID struct {
	request request.ID
	attempt request.Attempt
}

func newCallTable() *callTable {
	return &callTable{byID: make(map[callID]*pendingCall)}
}

func (t *callTable) add(id callID, conn *peer.Conn) *pendingCall {
	p := &pendingCall{conn: conn, result: make(chan *peer.CallResult, 1)}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.byID[id] = p
	return p
}

func (t *callTable) remove(id callID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.byID, id)
}

func (t *callTable) deliver(f *peer.CallResult) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if p := t.byID[callID{f.Request, f.Attempt}]; p != nil {
		select {
		case p.result <- f:
		default:
		}
	}
}

// lost ends the dispatches over a connection without a result.
func (t *callTable) lost(c *peer.Conn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, p := range t.byID {
		if p.conn == c {
			select {
			case p.result <- nil:
			default:
			}
		}
	}
}

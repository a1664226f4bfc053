package entry

import (
	"sync"

	"github.com/nutmegroute/nutmegroute/internal/peer"
	"github.com/nutmegroute/nutmegroute/internal/request"
)

// pendingDispatch is a dispatch that waits for its answer.
type pendingDispatch struct {
	conn   *peer.Conn
	result chan *peer.CallResult
}

// callTable routes call results to the pending dispatches of this process.
type callTable struct {
	// mu guards byID.
	mu   sync.Mutex
	byID map[dispatchID]*pendingDispatch
}

type dispatchID struct {
	request request.ID
	attempt request.Attempt
}

func newCallTable() *callTable {
	return &callTable{byID: make(map[dispatchID]*pendingDispatch)}
}

func (t *callTable) add(id dispatchID, conn *peer.Conn) *pendingDispatch {
	p := &pendingDispatch{conn: conn, result: make(chan *peer.CallResult, 1)}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.byID[id] = p
	return p
}

func (t *callTable) remove(id dispatchID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.byID, id)
}

// deliver passes a result to the dispatch that waits for it, if any.
func (t *callTable) deliver(f *peer.CallResult) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if p := t.byID[dispatchID{f.Request, f.Attempt}]; p != nil {
		select {
		case p.result <- f:
		default:
		}
	}
}

// connectionLost ends all dispatches over a lost connection without a result.
func (t *callTable) connectionLost(c *peer.Conn) {
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

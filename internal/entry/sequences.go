package entry

import (
	"sync"
	"sync/atomic"

	"github.com/nutmegroute/nutmegroute/internal/events"
	"github.com/nutmegroute/nutmegroute/internal/peer"
	"github.com/nutmegroute/nutmegroute/internal/request"
)

// sequenceTable routes frames to the sequences of this process.
type sequenceTable struct {
	// mu guards byID.
	mu   sync.RWMutex
	byID map[request.ID]*sequence
	// unknownFrames counts frames for requests that this process does not know.
	unknownFrames atomic.Uint64
	log           *events.Logger
}

func newSequenceTable(log *events.Logger) *sequenceTable {
	return &sequenceTable{byID: make(map[request.ID]*sequence), log: log}
}

func (t *sequenceTable) add(s *sequence) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.byID[s.id] = s
}

func (t *sequenceTable) remove(id request.ID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.byID, id)
}

func (t *sequenceTable) len() int {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return len(t.byID)
}

// deliver queues a frame for the sequence that it belongs to. It drops a frame
// of an unknown request.
func (t *sequenceTable) deliver(c peer.Sender, id request.ID, f peer.Frame) {
	t.mu.RLock()
	s := t.byID[id]
	t.mu.RUnlock()
	if s == nil {
		t.unknownFrames.Add(1)
		t.log.Log(events.StaleFrameDropped).Str("request", string(id)).Uint8("type", uint8(f.Type())).Send()
		return
	}
	s.postEvent(sequenceEvent{conn: c, frame: f})
}

// connectionLost tells every sequence that a connection has ended.
func (t *sequenceTable) connectionLost(c peer.Sender) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	for _, s := range t.byID {
		s.postEvent(sequenceEvent{conn: c})
	}
}

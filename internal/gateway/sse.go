package gateway

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strconv"
)

const (
	// eventBufferBytes is the size of a stream's read buffer. Events are copied
	// from it to separately allocated memory.
	eventBufferBytes = 2 << 10
	// maxEventBytes is the maximum size of an event.
	maxEventBytes = 256 << 10
)

// errEventTooLong means that an event exceeds maxEventBytes.
var errEventTooLong = errors.New("gateway: event too long")

// eventReader reads the events of a stream.
type eventReader struct {
	r *bufio.Reader
	// next is an event that was read and not yet returned, nil if there is none.
	next *readResult
}

// readResult is a result of readEvent.
type readResult struct {
	event []byte
	id    string
	err   error
}

func newEventReader(body io.Reader) *eventReader {
	return &eventReader{r: bufio.NewReaderSize(body, eventBufferBytes)}
}

// read returns the next event, as readEvent does.
func (e *eventReader) read() (event []byte, id string, err error) {
	if n := e.next; n != nil {
		e.next = nil
		return n.event, n.id, n.err
	}
	return readEvent(e.r)
}

// skipUntilNew discards comments and the events up to the one with id last. The end of the
// stream counts as new. Its errors are those of readEvent, errEventMissing and errNotEvent.
func (e *eventReader) skipUntilNew(last string) error {
	for {
		event, id, err := readEvent(e.r)
		if err != nil && (err != io.EOF || len(event) > 0) {
			return err
		}
		hasData, invalid := parseEvent(event)
		if invalid != nil || last != "" && hasData && id == "" {
			return errNotEvent
		}
		relation := eventNext
		if id != "" {
			relation = compareEventIDs(id, last)
		}
		if relation == eventAfterGap {
			return errEventMissing
		}
		if err == nil && (relation == eventAlreadySent || !isProgress(event)) {
			continue
		}
		e.next = &readResult{event, id, err}
		return nil
	}
}

// atEnd reports whether skipUntilNew found the end of the stream.
func (e *eventReader) atEnd() bool { return e.next != nil && e.next.err != nil }

// readEvent reads one event, including the empty line that ends it, and returns
// it with its id. It returns io.EOF if the stream ends before an event begins, and
// io.ErrUnexpectedEOF if it ends within an event.
func readEvent(r *bufio.Reader) (event []byte, id string, err error) {
	for {
		fragment, err := r.ReadSlice('\n')
		event = append(event, fragment...)
		if len(event) > maxEventBytes {
			return nil, "", errEventTooLong
		}
		if errors.Is(err, bufio.ErrBufferFull) {
			continue
		}
		if err == io.EOF && len(event) > 0 {
			return nil, "", io.ErrUnexpectedEOF
		}
		if err != nil {
			return nil, "", err
		}
		// fragment is a whole line, or the end of a line that is longer than the
		// read buffer.
		text := bytes.TrimRight(fragment, "\r\n")
		if len(text) == 0 {
			return event, id, nil
		}
		if value, ok := bytes.CutPrefix(text, []byte("id:")); ok {
			id = string(bytes.TrimSpace(value))
		}
	}
}

// isProgress reports whether an event shows that its stream goes on: it has a field.
// Comments keep a connection open but may come from an instance that has stalled.
func isProgress(event []byte) bool {
	for line := range bytes.Lines(event) {
		if text := bytes.TrimRight(line, "\r\n"); len(text) > 0 && text[0] != ':' {
			return true
		}
	}
	return false
}

// eventRelation relates an event to the last event sent to the client.
type eventRelation int

const (
	eventNext eventRelation = iota
	// eventAlreadySent is the last event sent or an earlier one.
	eventAlreadySent
	// eventAfterGap follows at least one event that has not been sent.
	eventAfterGap
)

// compareEventIDs returns the relation of event id to event last. If one of the
// ids is not a number, event id counts as the next event.
func compareEventIDs(id, last string) eventRelation {
	n, err := strconv.ParseInt(id, 10, 64)
	if err != nil {
		return eventNext
	}
	lastN, err := strconv.ParseInt(last, 10, 64)
	if err != nil {
		return eventNext
	}
	switch {
	case n <= lastN:
		return eventAlreadySent
	case n > lastN+1:
		return eventAfterGap
	}
	return eventNext
}

package gateway

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strconv"
)

// eventBufferBytes is the size of a stream's read buffer. Longer events are
// assembled in separately allocated memory, up to maxEventBytes.
const (
	eventBufferBytes = 2 << 10
	maxEventBytes    = 1 << 20
)

var errEventTooLong = errors.New("gateway: event too long")

// readEvent reads one event, including the empty line that ends it, and returns
// it with its id. It returns io.EOF if the stream ends before an event begins.
func readEvent(r *bufio.Reader) (event []byte, id string, err error) {
	for {
		line, err := r.ReadSlice('\n')
		event = append(event, line...)
		if errors.Is(err, bufio.ErrBufferFull) && len(event) < maxEventBytes {
			continue
		}
		if err == io.EOF && len(event) > 0 {
			return nil, "", io.ErrUnexpectedEOF
		}
		if err != nil {
			return nil, "", err
		}
		if len(event) > maxEventBytes {
			return nil, "", errEventTooLong
		}
		text := bytes.TrimRight(line, "\r\n")
		if len(text) == 0 {
			return event, id, nil
		}
		if value, ok := bytes.CutPrefix(text, []byte("id:")); ok {
			id = string(bytes.TrimSpace(value))
		}
	}
}

// eventOrder is the position of an event relative to the last event sent.
type eventOrder int

const (
	eventNext eventOrder = iota
	eventDuplicate
	eventGap
)

// compareEventIDs returns the position of event id relative to event last. Ids
// that are not numeric count as next.
func compareEventIDs(id, last string) eventOrder {
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
		return eventDuplicate
	case n > lastN+1:
		return eventGap
	}
	return eventNext
}

package gateway

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strconv"
)

// eventBufferBytes is the read buffer of a stream; longer events are held in
// memory of their own, up to maxEventBytes.
const (
	eventBufferBytes = 2 << 10
	maxEventBytes    = 1 << 20
)

var errEventTooLong = errors.New("gateway: event too long")

// readEvent reads one event with its empty line, and its id. io.EOF without an
// event is the end of the stream.
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

// eventOrder is the relation of an event to the last one sent.
type eventOrder int

const (
	eventNext eventOrder = iota
	eventKnown
	eventGap
)

// compareIDs compares numeric ids; others count as next.
func compareIDs(id, last string) eventOrder {
	n, err := strconv.ParseInt(id, 10, 64)
	if err != nil {
		return eventNext
	}
	known, err := strconv.ParseInt(last, 10, 64)
	if err != nil {
		return eventNext
	}
	switch {
	case n <= known:
		return eventKnown
	case n > known+1:
		return eventGap
	}
	return eventNext
}

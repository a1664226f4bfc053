package peer

import (
	"errors"
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// Errors of the frame codec.
var (
	// ErrMalformedFrame is returned for bytes that are not a valid frame and for
	// a WebSocket message that is not binary.
	ErrMalformedFrame = errors.New("peer: malformed frame")
	// ErrUnknownFrame is returned for a frame type that this version does not
	// know.
	ErrUnknownFrame = errors.New("peer: unknown frame type")
	// ErrFrameTooLarge is returned when an encoded frame exceeds MaxFrameBytes.
	ErrFrameTooLarge = errors.New("peer: frame too large")
)

const (
	// MaxFrameBytes bounds one encoded frame.
	MaxFrameBytes = 4 << 20
	// MaxMessageBytes bounds one WebSocket message, which holds one or more
	// frames.
	MaxMessageBytes = 8 << 20

	maxArrayElements = 1 << 16
	maxNestedLevels  = 16
)

// outgoingFrame encodes a frame as [type, revision, body] in one pass. Encoding
// the body separately first would copy each activation once more.
type outgoingFrame struct {
	_        struct{} `cbor:",toarray"`
	Type     Type
	Revision uint64
	Body     Frame
}

// incomingFrame is a received frame. Its body is decoded once its type is known.
type incomingFrame struct {
	_        struct{} `cbor:",toarray"`
	Type     Type
	Revision uint64
	Body     rawBytes
}

// rawBytes is an encoded value. It aliases the buffer being decoded and must not
// be used after the buffer changes. A cbor.RawMessage would copy each activation
// once more.
type rawBytes []byte

// UnmarshalCBOR implements cbor.Unmarshaler.
func (r *rawBytes) UnmarshalCBOR(data []byte) error {
	*r = data
	return nil
}

var (
	encMode = mustEncMode()
	decMode = mustDecMode()
)

func mustEncMode() cbor.EncMode {
	mode, err := cbor.EncOptions{}.EncMode()
	if err != nil {
		panic(err)
	}
	return mode
}

func mustDecMode() cbor.DecMode {
	mode, err := cbor.DecOptions{
		MaxArrayElements: maxArrayElements,
		MaxNestedLevels:  maxNestedLevels,
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
		IndefLength:      cbor.IndefLengthForbidden,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// encodeFrame encodes f with the sender's configuration revision.
func encodeFrame(f Frame, revision uint64) ([]byte, error) {
	data, err := encMode.Marshal(outgoingFrame{Type: f.Type(), Revision: revision, Body: f})
	if err != nil {
		return nil, fmt.Errorf("peer: encode frame type %d: %w", f.Type(), err)
	}
	if len(data) > MaxFrameBytes {
		return nil, ErrFrameTooLarge
	}
	return data, nil
}

// decodeFrame decodes the first frame of data and returns the bytes after it.
// It returns ErrMalformedFrame or ErrUnknownFrame.
func decodeFrame(data []byte) (f Frame, revision uint64, rest []byte, err error) {
	var e incomingFrame
	rest, err = decMode.UnmarshalFirst(data, &e)
	if err != nil {
		return nil, 0, nil, fmt.Errorf("%w: %w", ErrMalformedFrame, err)
	}
	f, err = newFrame(e.Type)
	if err != nil {
		return nil, e.Revision, rest, err
	}
	if err := decMode.Unmarshal(e.Body, f); err != nil {
		return nil, e.Revision, rest, fmt.Errorf("%w: type %d: %w", ErrMalformedFrame, e.Type, err)
	}
	return f, e.Revision, rest, nil
}

// newFrame returns an empty frame of type t.
func newFrame(t Type) (Frame, error) {
	switch t {
	case TypeHello:
		return new(Hello), nil
	case TypeHeartbeat:
		return new(Heartbeat), nil
	case TypePing:
		return new(Ping), nil
	case TypePong:
		return new(Pong), nil
	case TypeConfigRequest:
		return new(ConfigRequest), nil
	case TypeConfigChanges:
		return new(ConfigChanges), nil
	case TypeConfigSnapshot:
		return new(ConfigSnapshot), nil
	case TypeDrain:
		return new(Drain), nil
	case TypeOpenSequence:
		return new(OpenSequence), nil
	case TypeSequenceOpened:
		return new(SequenceOpened), nil
	case TypeResumeSequence:
		return new(ResumeSequence), nil
	case TypeStep:
		return new(Step), nil
	case TypeToken:
		return new(Token), nil
	case TypeSequenceFailed:
		return new(SequenceFailed), nil
	case TypeCloseSequence:
		return new(CloseSequence), nil
	case TypeCall:
		return new(Call), nil
	case TypeCallResult:
		return new(CallResult), nil
	case TypeCancelCall:
		return new(CancelCall), nil
	case TypeOrder:
		return new(Order), nil
	case TypeOrderResult:
		return new(OrderResult), nil
	default:
		return nil, fmt.Errorf("%w: %d", ErrUnknownFrame, t)
	}
}

// Type implements Frame.
func (*Hello) Type() Type { return TypeHello }

// Type implements Frame.
func (*Heartbeat) Type() Type { return TypeHeartbeat }

// Type implements Frame.
func (*Ping) Type() Type { return TypePing }

// Type implements Frame.
func (*Pong) Type() Type { return TypePong }

// Type implements Frame.
func (*ConfigRequest) Type() Type { return TypeConfigRequest }

// Type implements Frame.
func (*ConfigChanges) Type() Type { return TypeConfigChanges }

// Type implements Frame.
func (*ConfigSnapshot) Type() Type { return TypeConfigSnapshot }

// Type implements Frame.
func (*Drain) Type() Type { return TypeDrain }

// Type implements Frame.
func (*OpenSequence) Type() Type { return TypeOpenSequence }

// Type implements Frame.
func (*SequenceOpened) Type() Type { return TypeSequenceOpened }

// Type implements Frame.
func (*ResumeSequence) Type() Type { return TypeResumeSequence }

// Type implements Frame.
func (*Step) Type() Type { return TypeStep }

// Type implements Frame.
func (*Token) Type() Type { return TypeToken }

// Type implements Frame.
func (*SequenceFailed) Type() Type { return TypeSequenceFailed }

// Type implements Frame.
func (*CloseSequence) Type() Type { return TypeCloseSequence }

// Type implements Frame.
func (*Call) Type() Type { return TypeCall }

// Type implements Frame.
func (*CallResult) Type() Type { return TypeCallResult }

// Type implements Frame.
func (*CancelCall) Type() Type { return TypeCancelCall }

// Type implements Frame.
func (*Order) Type() Type { return TypeOrder }

// Type implements Frame.
func (*OrderResult) Type() Type { return TypeOrderResult }

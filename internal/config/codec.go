package config

import (
	"bytes"
	"compress/gzip"
	"errors"
	"fmt"
	"io"
	"sync"

	"github.com/fxamacker/cbor/v2"
)

// Limits of decoded input.
const (
	// MaxSnapshotBytes is the maximum size of a decompressed snapshot.
	MaxSnapshotBytes = 16 << 20
	// maxArrayElements bounds the elements of a decoded CBOR array.
	maxArrayElements = 1 << 17
	// maxDecodeDepth bounds the nesting of decoded CBOR. A snapshot nests a map,
	// an array and maps.
	maxDecodeDepth = 4
)

// ErrDecode means that a peer or the store sent bytes that are not a valid
// change, list of changes or snapshot.
var ErrDecode = errors.New("config: invalid encoding")

var encMode = sync.OnceValue(func() cbor.EncMode {
	options := cbor.CanonicalEncOptions()
	options.Time = cbor.TimeRFC3339Nano
	mode, err := options.EncMode()
	if err != nil {
		panic(err)
	}
	return mode
})

var decMode = sync.OnceValue(func() cbor.DecMode {
	mode, err := cbor.DecOptions{
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
		MaxArrayElements: maxArrayElements,
		MaxNestedLevels:  maxDecodeDepth,
		IndefLength:      cbor.IndefLengthForbidden,
		TagsMd:           cbor.TagsForbidden,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
})

// EncodeChanges encodes changes for the peer protocol.
func EncodeChanges(changes []Change) ([]byte, error) {
	return encMode().Marshal(changes)
}

// DecodeChanges decodes the result of EncodeChanges. It returns ErrDecode if the
// data is invalid, the revisions are not consecutive, or a change has no
// revision, id, kind or name or has a base that is not below its revision.
func DecodeChanges(data []byte) ([]Change, error) {
	var changes []Change
	if err := decMode().Unmarshal(data, &changes); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrDecode, err)
	}
	for i := range changes {
		c := &changes[i]
		if err := c.check(); err != nil {
			return nil, err
		}
		if i > 0 && c.Revision != changes[i-1].Revision+1 {
			return nil, fmt.Errorf("%w: revision %d follows %d", ErrDecode, c.Revision, changes[i-1].Revision)
		}
	}
	return changes, nil
}

// check verifies the fields that every accepted change has.
func (c *Change) check() error {
	if c.Revision == 0 || c.ID == "" || c.Kind == "" || c.Name == "" || c.Base >= c.Revision {
		return fmt.Errorf("%w: incomplete change at revision %d", ErrDecode, c.Revision)
	}
	return nil
}

// EncodeSnapshot encodes a snapshot for the peer protocol and the store. The
// result is compressed, because JSON values repeat their field names and the
// store limits a value to 1 MB.
func EncodeSnapshot(s Snapshot) ([]byte, error) {
	raw, err := encMode().Marshal(s)
	if err != nil {
		return nil, err
	}
	var b bytes.Buffer
	w := gzip.NewWriter(&b)
	if _, err := w.Write(raw); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	return b.Bytes(), nil
}

// DecodeSnapshot decodes the result of EncodeSnapshot. It returns ErrDecode if
// the data is invalid or, decompressed, larger than MaxSnapshotBytes.
func DecodeSnapshot(data []byte) (Snapshot, error) {
	raw, err := decompress(data)
	if err != nil {
		return Snapshot{}, fmt.Errorf("%w: %w", ErrDecode, err)
	}
	var s Snapshot
	if err := decMode().Unmarshal(raw, &s); err != nil {
		return Snapshot{}, fmt.Errorf("%w: %w", ErrDecode, err)
	}
	for i := range s.Objects {
		o := &s.Objects[i]
		if o.Kind == "" || o.Name == "" || o.Version == 0 || o.Version > s.Revision {
			return Snapshot{}, fmt.Errorf("%w: incomplete object %s %q", ErrDecode, o.Kind, o.Name)
		}
		if i > 0 && !s.Objects[i-1].before(o) {
			return Snapshot{}, fmt.Errorf("%w: object %s %q is out of order or listed twice", ErrDecode, o.Kind, o.Name)
		}
	}
	return s, nil
}

func decompress(data []byte) ([]byte, error) {
	r, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		return nil, err
	}
	raw, err := io.ReadAll(io.LimitReader(r, MaxSnapshotBytes+1))
	if err != nil {
		return nil, err
	}
	if len(raw) > MaxSnapshotBytes {
		return nil, errors.New("snapshot too large")
	}
	return raw, nil
}

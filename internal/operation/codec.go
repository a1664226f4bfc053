package operation

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"

	"github.com/rotisserie/eris"
)

// MaxRecordBytes bounds an encoded record, in bytes. It has room for the largest
// response in base64 (350 KB), a full cancelled list and the other fields, and
// is below the platform's limit of 1 MB.
const MaxRecordBytes = 512 << 10

// ErrInvalidRecord means that data from the store is not a valid record, or that
// a record can't be encoded because its fields contradict each other.
var ErrInvalidRecord = errors.New("operation: invalid record")

// Encode returns the JSON encoding of a record, or ErrInvalidRecord.
func Encode(rec Record) ([]byte, error) {
	if err := rec.validate(); err != nil {
		return nil, err
	}
	data, err := json.Marshal(rec)
	if err != nil {
		return nil, eris.Wrap(ErrInvalidRecord, err.Error())
	}
	return data, nil
}

// Decode parses a record. It returns ErrInvalidRecord if the data is too long,
// has unknown fields or trailing data, or if fields contradict each other.
func Decode(data []byte) (Record, error) {
	if len(data) > MaxRecordBytes {
		return Record{}, eris.Wrap(ErrInvalidRecord, "too long")
	}
	d := json.NewDecoder(bytes.NewReader(data))
	d.DisallowUnknownFields()
	var rec Record
	if err := d.Decode(&rec); err != nil {
		return Record{}, eris.Wrap(ErrInvalidRecord, err.Error())
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return Record{}, eris.Wrap(ErrInvalidRecord, "trailing data")
	}
	return rec, rec.validate()
}

// validate checks that the fields are well-formed and consistent with the state.
func (rec Record) validate() error {
	claimed := rec.Attempt != ""
	switch {
	case rec.State == StateCancelled && len(rec.Cancelled) == 0:
		return eris.Wrap(ErrInvalidRecord, "cancelled without a request id")
	case rec.State == StateClaimed, rec.State == StateReleased, rec.Final():
		if !claimed {
			return eris.Wrap(ErrInvalidRecord, "no attempt token")
		}
	case rec.State != StateCancelled:
		return eris.Wrap(ErrInvalidRecord, "unknown state")
	}
	if claimed && (!validHex(string(rec.Attempt), tokenBytes) || !validName(rec.Operation) ||
		!validDigest(rec.BodyDigest) || !validRequestID(rec.RequestID)) ||
		!claimed && (rec.Operation != "" || rec.BodyDigest != "" || rec.RequestID != "") {
		return eris.Wrap(ErrInvalidRecord, "malformed claim")
	}
	if rec.KeyMillis < 0 || rec.ClaimedMillis < 0 || rec.EndedMillis < 0 {
		return eris.Wrap(ErrInvalidRecord, "negative time")
	}
	if rec.Final() != (rec.Response != nil) {
		return eris.Wrap(ErrInvalidRecord, "response doesn't fit the state")
	}
	if r := rec.Response; r != nil && (!r.valid() || len(r.Body) > MaxResponseBytes ||
		len(r.ContentType) > MaxNameBytes || !isPrintableASCII(r.ContentType) || r.BodyOmitted && len(r.Body) > 0) {
		return eris.Wrap(ErrInvalidRecord, "malformed response")
	}
	if len(rec.Cancelled) > MaxCancelled {
		return eris.Wrap(ErrInvalidRecord, "cancelled list too long")
	}
	for _, id := range rec.Cancelled {
		if !validRequestID(id) {
			return eris.Wrap(ErrInvalidRecord, "malformed cancelled request id")
		}
	}
	if rec.State == StateClaimed && rec.IsCancelled(rec.RequestID) {
		return eris.Wrap(ErrInvalidRecord, "claimed for a cancelled request id")
	}
	return nil
}

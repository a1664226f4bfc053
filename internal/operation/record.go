package operation

import (
	"crypto/rand"
	"encoding/hex"
	"errors"
	"io"
	"slices"
	"time"

	"github.com/nutmegroute/nutmegroute/internal/request"
)

const (
	// MaxResponseBytes bounds the body of a recorded response, in bytes.
	MaxResponseBytes = 256 << 10
	// MaxCancelled is the maximum number of cancelled request IDs in a record.
	MaxCancelled = 64
	// tokenBytes is the length of an attempt token before encoding.
	tokenBytes = 16
)

// Errors of the record transitions. A transition that fails leaves the record
// unchanged.
var (
	// ErrBodyMismatch means that the key is bound to another operation or body.
	ErrBodyMismatch = errors.New("operation: idempotency key was used with another operation or body")
	// ErrFinal means that the operation ran and its response is recorded.
	ErrFinal = errors.New("operation: outcome is already recorded")
	// ErrRequestCancelled means that an entry has cancelled the request ID, so
	// that it may report the request as not-run.
	ErrRequestCancelled = errors.New("operation: request is cancelled")
	// ErrClaimed means that another attempt holds the claim and may have run.
	ErrClaimed = errors.New("operation: claimed by another attempt")
	// ErrNotHolder means that the attempt token doesn't hold the claim.
	ErrNotHolder = errors.New("operation: attempt doesn't hold the claim")
	// ErrCancelledListFull means that the record already holds MaxCancelled
	// cancelled request IDs.
	ErrCancelledListFull = errors.New("operation: list of cancelled request ids is full")
	// ErrInvalidResponse means that a response's status is not from 200 to 599.
	ErrInvalidResponse = errors.New("operation: invalid response status")
)

// State is the state of a record.
type State string

const (
	// StateAbsent is the state of the zero Record, which means that the store
	// has no record.
	StateAbsent State = ""
	// StateClaimed means that an attempt holds the claim and may have run the
	// operation.
	StateClaimed State = "claimed"
	// StateCompleted means that the operation ran and succeeded. It is final.
	StateCompleted State = "completed"
	// StateFailed means that the operation ran and returned an error status. It
	// is final.
	StateFailed State = "failed"
	// StateReleased means that the last attempt released its claim because it
	// had sent no byte.
	StateReleased State = "released"
	// StateCancelled means that no attempt holds the claim and at least one
	// request ID is cancelled.
	StateCancelled State = "cancelled"
)

// Token identifies one attempt to claim an operation. It is random and never
// reused.
type Token string

// NewToken reads a token from random. A nil random means crypto/rand.
func NewToken(random io.Reader) (Token, error) {
	var b [tokenBytes]byte
	if random == nil {
		random = rand.Reader
	}
	if _, err := io.ReadFull(random, b[:]); err != nil {
		return "", err
	}
	return Token(hex.EncodeToString(b[:])), nil
}

// Response is the upstream's response to an operation.
type Response struct {
	// Status is the HTTP status. An operation with status 400 or above is
	// recorded as failed.
	Status      int    `json:"status"`
	ContentType string `json:"content_type,omitempty"`
	Body        []byte `json:"body,omitempty"`
	// BodyOmitted is true in a recorded response without its body, which
	// exceeded MaxResponseBytes. Only the caller of the execution received the
	// body.
	BodyOmitted bool `json:"body_omitted,omitempty"`
}

// Outcome returns failed for an error status and completed otherwise.
func (r Response) Outcome() request.Outcome {
	if r.Status >= 400 {
		return request.OutcomeFailed
	}
	return request.OutcomeCompleted
}

func (r Response) valid() bool { return r.Status >= 200 && r.Status <= 599 }

// withinLimits returns a copy of r without the parts that exceed the limits of a
// record.
func (r Response) withinLimits() *Response {
	if len(r.Body) > MaxResponseBytes {
		r.Body, r.BodyOmitted = nil, true
	}
	if len(r.ContentType) > MaxNameBytes || !isPrintableASCII(r.ContentType) {
		r.ContentType = ""
	}
	r.Body = slices.Clone(r.Body)
	return &r
}

// Record is the stored state of one operation. The zero Record means that the
// store has none. Operation and BodyDigest are set by the first claim and never
// change, and Cancelled only grows, so conclusions from these fields stay valid
// even if the record was read some time ago.
type Record struct {
	State      State      `json:"state"`
	Operation  string     `json:"operation,omitempty"`
	BodyDigest string     `json:"body_digest,omitempty"`
	RequestID  request.ID `json:"request_id,omitempty"`
	// Attempt is the token of the latest claim.
	Attempt Token `json:"attempt,omitempty"`
	// KeyMillis is the time in a UUIDv7 idempotency key in Unix milliseconds, or
	// 0 for other idempotency keys. The sweeper needs it because the store key
	// holds only a digest.
	KeyMillis int64 `json:"key_ms,omitempty"`
	// ClaimedMillis is the time of the latest claim in Unix milliseconds.
	ClaimedMillis int64 `json:"claimed_ms,omitempty"`
	// EndedMillis is the time of the outcome or release in Unix milliseconds.
	EndedMillis int64 `json:"ended_ms,omitempty"`
	// Response is set in the states completed and failed.
	Response *Response `json:"response,omitempty"`
	// Cancelled lists the cancelled request IDs, which never run, oldest first.
	Cancelled []request.ID `json:"cancelled,omitempty"`
}

// Claim returns the record with a claim of token for r. It fails with
// ErrBodyMismatch, ErrFinal, ErrRequestCancelled or ErrClaimed.
func (rec Record) Claim(r Request, token Token, now time.Time) (Record, error) {
	switch {
	case rec.boundToOther(r):
		return rec, ErrBodyMismatch
	case rec.Final():
		return rec, ErrFinal
	case rec.IsCancelled(r.RequestID):
		return rec, ErrRequestCancelled
	case rec.State == StateClaimed:
		return rec, ErrClaimed
	}
	return Record{
		State: StateClaimed, Operation: r.OperationName, BodyDigest: r.BodyDigest, RequestID: r.RequestID,
		Attempt: token, KeyMillis: r.Key.unixMillis(), ClaimedMillis: now.UnixMilli(),
		Cancelled: slices.Clone(rec.Cancelled),
	}, nil
}

// Complete returns the record with the response of the operation. It fails with
// ErrNotHolder if token doesn't hold the claim, and with ErrInvalidResponse if
// the response's status is invalid.
func (rec Record) Complete(token Token, resp Response, now time.Time) (Record, error) {
	if !rec.HeldBy(token) {
		return rec, ErrNotHolder
	}
	if !resp.valid() {
		return rec, ErrInvalidResponse
	}
	rec.State = StateCompleted
	if resp.Outcome() == request.OutcomeFailed {
		rec.State = StateFailed
	}
	rec.Response, rec.EndedMillis = resp.withinLimits(), now.UnixMilli()
	return rec, nil
}

// Release returns the record with the claim released. The caller must have proof
// that no byte was sent. Release fails with ErrNotHolder if token doesn't hold
// the claim.
func (rec Record) Release(token Token, now time.Time) (Record, error) {
	if !rec.HeldBy(token) {
		return rec, ErrNotHolder
	}
	rec.State, rec.EndedMillis = StateReleased, now.UnixMilli()
	return rec, nil
}

// Cancel returns the record with r's request ID added to the cancelled list, or
// the unchanged record if the ID is already on it. It fails with
// ErrBodyMismatch, ErrFinal, ErrClaimed or ErrCancelledListFull.
func (rec Record) Cancel(r Request) (Record, error) {
	switch {
	case rec.boundToOther(r):
		return rec, ErrBodyMismatch
	case rec.Final():
		return rec, ErrFinal
	case rec.IsCancelled(r.RequestID):
		return rec, nil
	case rec.State == StateClaimed:
		return rec, ErrClaimed
	case len(rec.Cancelled) >= MaxCancelled:
		return rec, ErrCancelledListFull
	}
	rec.State, rec.KeyMillis = StateCancelled, r.Key.unixMillis()
	rec.Cancelled = append(slices.Clone(rec.Cancelled), r.RequestID)
	return rec, nil
}

// Final reports whether the record holds a response.
func (rec Record) Final() bool {
	return rec.State == StateCompleted || rec.State == StateFailed
}

// HeldBy reports whether token holds the claim.
func (rec Record) HeldBy(token Token) bool {
	return rec.State == StateClaimed && rec.Attempt == token
}

// IsCancelled reports whether id is cancelled and thus never runs.
func (rec Record) IsCancelled(id request.ID) bool {
	return slices.Contains(rec.Cancelled, id)
}

// Removable reports whether every process refuses the record's key at the time
// now, so that the operation can't run again after the record is removed.
func (rec Record) Removable(now time.Time) bool {
	return rec.KeyMillis > 0 && now.Sub(time.UnixMilli(rec.KeyMillis)) > Retention+RemovalMargin
}

// boundToOther reports whether the key is bound to an operation or body other than
// that of r. The release of a claim doesn't remove this binding.
func (rec Record) boundToOther(r Request) bool {
	return rec.BodyDigest != "" && (rec.BodyDigest != r.BodyDigest || rec.Operation != r.OperationName)
}

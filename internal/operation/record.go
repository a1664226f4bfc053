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
	// MaxCancelled is the greatest number of cancelled request ids in a record.
	MaxCancelled = 64
	// tokenBytes is the length of an attempt token before encoding.
	tokenBytes = 16
)

// Errors of the transitions. Each leaves the record unchanged.
var (
	// ErrBodyMismatch means the key is bound to another operation or body.
	ErrBodyMismatch = errors.New("operation: idempotency key was used with another operation or body")
	// ErrFinal means the operation ran and its response is recorded.
	ErrFinal = errors.New("operation: outcome is already recorded")
	// ErrRequestCancelled means an entry reserved the right to answer not-run
	// for the request id.
	ErrRequestCancelled = errors.New("operation: request is cancelled")
	// ErrClaimed means an attempt holds the claim and may have run.
	ErrClaimed = errors.New("operation: claimed by another attempt")
	// ErrNotHolder means the attempt token doesn't hold the claim.
	ErrNotHolder = errors.New("operation: attempt doesn't hold the claim")
	// ErrCancelledListFull means no further request id can be cancelled.
	ErrCancelledListFull = errors.New("operation: list of cancelled request ids is full")
	// ErrInvalidResponse means a response has no valid HTTP status.
	ErrInvalidResponse = errors.New("operation: invalid response status")
)

// State is the state of a record.
type State string

const (
	// StateAbsent is the state of the zero Record: there is no record.
	StateAbsent State = ""
	// StateClaimed means an attempt may have run the operation.
	StateClaimed State = "claimed"
	// StateCompleted means the operation ran. It is final.
	StateCompleted State = "completed"
	// StateFailed means the operation ran and answered with an error. It is final.
	StateFailed State = "failed"
	// StateReleased means the last attempt proved that it sent no byte.
	StateReleased State = "released"
	// StateCancelled means no attempt holds the claim and at least one request
	// id is cancelled.
	StateCancelled State = "cancelled"
)

// Token identifies one attempt to claim. It is random and never reused.
type Token string

// NewToken draws a token from random.
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
	// Status is the HTTP status. 400 and above record the operation as failed.
	Status      int    `json:"status"`
	ContentType string `json:"content_type,omitempty"`
	Body        []byte `json:"body,omitempty"`
	// BodyOmitted is true in a recorded response whose body exceeded
	// MaxResponseBytes. Only the first caller received that body.
	BodyOmitted bool `json:"body_omitted,omitempty"`
}

// Outcome returns completed, or failed for an error status.
func (r Response) Outcome() request.Outcome {
	if r.Status >= 400 {
		return request.OutcomeFailed
	}
	return request.OutcomeCompleted
}

func (r Response) valid() bool { return r.Status >= 200 && r.Status <= 599 }

// withinLimits returns the form of r that a record can hold.
func (r Response) withinLimits() *Response {
	if len(r.Body) > MaxResponseBytes {
		r.Body, r.BodyOmitted = nil, true
	}
	if len(r.ContentType) > MaxNameBytes || !printable(r.ContentType) {
		r.ContentType = ""
	}
	r.Body = slices.Clone(r.Body)
	return &r
}

// Record is the state of one operation. The zero Record stands for an absent
// one. Operation and BodyDigest are set by the first claim and never change;
// Cancelled only grows. Both facts let a process draw lasting conclusions from
// an old copy of the record.
type Record struct {
	State      State      `json:"state"`
	Operation  string     `json:"operation,omitempty"`
	BodyDigest string     `json:"body_digest,omitempty"`
	RequestID  request.ID `json:"request_id,omitempty"`
	// Attempt is the token of the latest claim.
	Attempt Token `json:"attempt,omitempty"`
	// KeyMillis is the time in a UUIDv7 key in Unix milliseconds, else 0. The
	// store key holds only a digest, so the sweeper needs the time here.
	KeyMillis int64 `json:"key_ms,omitempty"`
	// ClaimedMillis is the time of the latest claim in Unix milliseconds.
	ClaimedMillis int64 `json:"claimed_ms,omitempty"`
	// EndedMillis is the time of the outcome or release in Unix milliseconds.
	EndedMillis int64 `json:"ended_ms,omitempty"`
	// Response is set in the states completed and failed.
	Response *Response `json:"response,omitempty"`
	// Cancelled lists the request ids that never run, oldest first.
	Cancelled []request.ID `json:"cancelled,omitempty"`
}

// Claim returns the record claimed by token for r. It returns ErrBodyMismatch,
// ErrFinal, ErrRequestCancelled or ErrClaimed.
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
		State: StateClaimed, Operation: r.Operation, BodyDigest: r.BodyDigest, RequestID: r.RequestID,
		Attempt: token, KeyMillis: r.Key.unixMillis(), ClaimedMillis: now.UnixMilli(),
		Cancelled: slices.Clone(rec.Cancelled),
	}, nil
}

// Complete returns the record with the response. It returns ErrNotHolder
// unless token holds the claim, and ErrInvalidResponse.
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

// Release returns the record without the claim. The holder of token must have
// proof that no byte was sent. It returns ErrNotHolder.
func (rec Record) Release(token Token, now time.Time) (Record, error) {
	if !rec.HeldBy(token) {
		return rec, ErrNotHolder
	}
	rec.State, rec.EndedMillis = StateReleased, now.UnixMilli()
	return rec, nil
}

// Cancel returns the record with r's request id in the cancelled list; the
// record is unchanged if the id is listed already. It returns ErrBodyMismatch,
// ErrFinal, ErrClaimed or ErrCancelledListFull.
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

// IsCancelled reports whether id may never run.
func (rec Record) IsCancelled(id request.ID) bool {
	return slices.Contains(rec.Cancelled, id)
}

// Removable reports whether the record's key is refused everywhere at now, so
// that removing the record can't let the operation run again.
func (rec Record) Removable(now time.Time) bool {
	return rec.KeyMillis > 0 && now.Sub(time.UnixMilli(rec.KeyMillis)) > Retention+RemovalMargin
}

// boundToOther reports whether the key is bound to another operation or body. A
// released record stays bound.
func (rec Record) boundToOther(r Request) bool {
	return rec.BodyDigest != "" && (rec.BodyDigest != r.BodyDigest || rec.Operation != r.Operation)
}

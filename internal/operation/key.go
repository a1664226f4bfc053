// Package operation runs non-idempotent calls to plain services at most once. A
// record in the platform's store determines whether an operation may run:
// sidecars claim the operation in its record, and entries add the IDs of
// cancelled requests to it. Both use conditional writes only and never decide by
// elapsed time whether a claim is still held.
package operation

import (
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"net/url"
	"strings"
	"time"

	"github.com/google/uuid"

	"github.com/nutmegroute/nutmegroute/internal/request"
)

const (
	// KeyPrefix is the prefix of the store keys of all operation records.
	KeyPrefix = "operations/"
	// MaxKeyBytes is the greatest length of an idempotency key, in bytes.
	MaxKeyBytes = 255
	// MaxNameBytes bounds the names of teams, services and operations, in bytes.
	MaxNameBytes = 255
	// Retention is how long the outcome of an operation is kept, from the time
	// in its UUIDv7 idempotency key.
	Retention = 30 * 24 * time.Hour
	// MaxClockSkew is how far the time in an idempotency key may be ahead of the
	// local clock. Callers generate the keys with their own clocks.
	MaxClockSkew = 5 * time.Minute
	// RemovalMargin is the time between the end of the retention of an
	// idempotency key and the removal of its record. A record may only be
	// removed when every process refuses its key, so the margin must exceed the
	// greatest difference between the wall clocks of two processes.
	RemovalMargin = 24 * time.Hour
)

var (
	// ErrInvalidKey means that an idempotency key is empty, too long, not
	// printable ASCII, or has leading or trailing spaces.
	ErrInvalidKey = errors.New("operation: idempotency key must be 1 to 255 printable ASCII characters without outer spaces")
	// ErrKeyExpired means that the time in the idempotency key is longer ago than
	// Retention.
	ErrKeyExpired = errors.New("operation: idempotency key is older than the retention period")
	// ErrKeyFromFuture means that the time in the idempotency key is more than
	// MaxClockSkew ahead of the local clock.
	ErrKeyFromFuture = errors.New("operation: time of the idempotency key lies in the future")
	// ErrInvalidRequest means that a field of a Request is missing or malformed.
	ErrInvalidRequest = errors.New("operation: invalid request")
)

// Key identifies an operation: team, service and digest of the idempotency key.
type Key struct {
	Team    string
	Service string
	// Digest is the hexadecimal SHA-256 digest of the idempotency key.
	Digest string
	// CreatedAt is the time in a UUIDv7 idempotency key, with millisecond
	// precision. It is zero for other idempotency keys, whose records are never
	// removed.
	CreatedAt time.Time
}

// NewKey returns the key of an operation. It returns ErrInvalidKey for an invalid
// idempotency key and ErrInvalidRequest for an invalid team or service.
// CreatedAt is set only for a UUIDv7 in the canonical form of 36 characters.
func NewKey(team, service, idempotencyKey string) (Key, error) {
	if !validName(team) || !validName(service) {
		return Key{}, ErrInvalidRequest
	}
	if len(idempotencyKey) == 0 || len(idempotencyKey) > MaxKeyBytes || !isPrintableASCII(idempotencyKey) ||
		strings.TrimSpace(idempotencyKey) != idempotencyKey {
		return Key{}, ErrInvalidKey
	}
	k := Key{Team: team, Service: service, Digest: Digest([]byte(idempotencyKey))}
	if u, err := uuid.Parse(idempotencyKey); err == nil && len(idempotencyKey) == 36 &&
		u.Version() == 7 && u.Variant() == uuid.RFC4122 {
		// The first six bytes of a UUIDv7 are its time in Unix milliseconds.
		ms := int64(0)
		for _, b := range u[:6] {
			ms = ms<<8 | int64(b)
		}
		k.CreatedAt = time.UnixMilli(ms)
	}
	return k, nil
}

// Path returns the store key of the record. Names are escaped so that no two
// pairs of team and service share a path.
func (k Key) Path() string {
	return KeyPrefix + url.PathEscape(k.Team) + "/" + url.PathEscape(k.Service) + "/" + k.Digest
}

// CheckTime returns ErrKeyExpired or ErrKeyFromFuture if the key must be refused
// at the time now. A key whose CreatedAt is zero is always accepted.
func (k Key) CheckTime(now time.Time) error {
	switch {
	case k.CreatedAt.IsZero():
		return nil
	case now.Sub(k.CreatedAt) > Retention:
		return ErrKeyExpired
	case k.CreatedAt.Sub(now) > MaxClockSkew:
		return ErrKeyFromFuture
	}
	return nil
}

// unixMillis returns CreatedAt in Unix milliseconds, or 0 if it is zero.
func (k Key) unixMillis() int64 {
	if k.CreatedAt.IsZero() {
		return 0
	}
	return k.CreatedAt.UnixMilli()
}

// Digest returns the hexadecimal SHA-256 digest of data.
func Digest(data []byte) string {
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:])
}

// Request is one request to run an operation.
type Request struct {
	Key       Key
	RequestID request.ID
	// OperationName is the operation's name. A key is bound to the name as well
	// as the body, because two operations may have equal bodies.
	OperationName string
	// BodyDigest is the Digest of the request's body.
	BodyDigest string
}

// NewRequest returns the request to run an operation under an idempotency key.
// It returns ErrInvalidKey or ErrInvalidRequest.
func NewRequest(id request.ID, team, service, operationName, idempotencyKey string, body []byte) (Request, error) {
	key, err := NewKey(team, service, idempotencyKey)
	if err != nil {
		return Request{}, err
	}
	r := Request{Key: key, RequestID: id, OperationName: operationName, BodyDigest: Digest(body)}
	return r, r.Validate()
}

// Validate returns ErrInvalidRequest if a field is missing or malformed.
func (r Request) Validate() error {
	if !validName(r.Key.Team) || !validName(r.Key.Service) || !validDigest(r.Key.Digest) ||
		!validRequestID(r.RequestID) || !validName(r.OperationName) || !validDigest(r.BodyDigest) {
		return ErrInvalidRequest
	}
	return nil
}

func validName(s string) bool {
	return s != "" && len(s) <= MaxNameBytes && isPrintableASCII(s)
}

func validRequestID(id request.ID) bool {
	parsed, err := request.ParseID(string(id))
	return err == nil && parsed == id
}

func validDigest(s string) bool { return validHex(s, sha256.Size) }

// validHex reports whether s is n bytes in lower-case hexadecimal.
func validHex(s string, n int) bool {
	if len(s) != 2*n {
		return false
	}
	return strings.Trim(s, "0123456789abcdef") == ""
}

func isPrintableASCII(s string) bool {
	for i := range len(s) {
		if s[i] < ' ' || s[i] > '~' {
			return false
		}
	}
	return true
}

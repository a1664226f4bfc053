package operation

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/nutmegroute/nutmegroute/internal/request"
)

var testNow = time.UnixMilli(1_800_000_000_000)

func testRequestID(n int) request.ID {
	return request.ID(fmt.Sprintf("00000000-0000-7000-8000-%012x", n))
}

func testToken(n int) Token { return Token(fmt.Sprintf("%032x", n)) }

// uuidV7 returns a UUIDv7 whose time is t.
func uuidV7(t time.Time) string {
	h := fmt.Sprintf("%012x", t.UnixMilli())
	return h[:8] + "-" + h[8:] + "-7000-8000-000000000001"
}

func testRequest(t assert.TestingT, key string, id int, body string) Request {
	k, err := NewKey("team", "ledger", key)
	assert.NilError(t, err)
	return Request{Key: k, RequestID: testRequestID(id), OperationName: "deposit", BodyDigest: Digest([]byte(body))}
}

// Guards against accepting a key whose record may have been removed, and against
// two operations that share a record.
func TestKey(t *testing.T) {
	for _, invalid := range []string{"", " a", "a ", "a\n", "é", strings.Repeat("a", 256)} {
		_, err := NewKey("team", "ledger", invalid)
		assert.ErrorIs(t, err, ErrInvalidKey, "%q", invalid)
	}
	for age, want := range map[time.Duration]error{
		0: nil, Retention: nil, Retention + time.Millisecond: ErrKeyExpired,
		-MaxClockSkew: nil, -MaxClockSkew - time.Millisecond: ErrKeyFromFuture,
	} {
		k, err := NewKey("team", "ledger", uuidV7(testNow.Add(-age)))
		assert.NilError(t, err)
		assert.Equal(t, k.CheckTime(testNow), want, "age %v", age)
	}
	opaque, _ := NewKey("a/b", "c", "order-1")
	assert.NilError(t, opaque.CheckTime(testNow.Add(1000*Retention)))
	other, _ := NewKey("a", "b/c", "order-1")
	assert.Assert(t, opaque.Path() != other.Path())
}

// modelRecord is the reference model of a Record. It uses sets and flags instead
// of a state machine.
type modelRecord struct {
	holder    Token
	held, ran bool
	body      string
	cancelled map[request.ID]bool
}

// Guards against forbidden transitions: a claim for a cancelled ID, a claim of a
// claimed record, a second outcome, or a claim or cancellation with another
// body.
func TestTransitionsAgainstModel(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		rec, m := Record{}, modelRecord{cancelled: map[request.ID]bool{}}
		claims := 0
		rt.Repeat(map[string]func(*rapid.T){
			"claim": func(rt *rapid.T) {
				claims++
				body := rapid.SampledFrom([]string{"a", "a", "a", "b"}).Draw(rt, "body")
				r := testRequest(rt, "k", rapid.IntRange(0, 4).Draw(rt, "id"), body)
				got, err := rec.Claim(r, testToken(claims), testNow)
				want := !m.ran && !m.held && !m.cancelled[r.RequestID] && (m.body == "" || m.body == body)
				assert.Equal(rt, err == nil, want, "%v", err)
				if want {
					m.holder, m.held, m.body = testToken(claims), true, body
				}
				rec = got
			},
			"end": func(rt *rapid.T) {
				token := testToken(rapid.IntRange(0, claims).Draw(rt, "token"))
				release := rapid.Bool().Draw(rt, "release")
				want := m.held && m.holder == token
				var err error
				if release {
					rec, err = rec.Release(token, testNow)
				} else {
					status := rapid.SampledFrom([]int{200, 409}).Draw(rt, "status")
					rec, err = rec.Complete(token, Response{Status: status}, testNow)
					m.ran = m.ran || want
				}
				assert.Equal(rt, err == nil, want, "%v", err)
				m.held = m.held && !want
			},
			"cancel": func(rt *rapid.T) {
				body := rapid.SampledFrom([]string{"a", "b"}).Draw(rt, "body")
				r := testRequest(rt, "k", rapid.IntRange(0, 80).Draw(rt, "id"), body)
				got, err := rec.Cancel(r)
				want := !m.ran && (m.body == "" || m.body == body) &&
					(m.cancelled[r.RequestID] || !m.held && len(m.cancelled) < MaxCancelled)
				assert.Equal(rt, err == nil, want, "%v", err)
				if want {
					m.cancelled[r.RequestID] = true
				}
				rec = got
			},
			"": func(rt *rapid.T) {
				assert.Equal(rt, len(rec.Cancelled), len(m.cancelled))
				assert.Equal(rt, rec.Final(), m.ran)
				if rec.State == StateAbsent {
					return
				}
				data, err := Encode(rec)
				assert.NilError(rt, err)
				decoded, err := Decode(data)
				assert.NilError(rt, err)
				assert.DeepEqual(rt, decoded, rec)
			},
		})
	})
}

// Guards against a record that exceeds MaxRecordBytes, and against a response
// whose omitted body isn't marked.
func TestResponseBound(t *testing.T) {
	rec, err := Record{}.Claim(testRequest(t, "k", 1, "a"), testToken(1), testNow)
	assert.NilError(t, err)
	for _, size := range []int{MaxResponseBytes, MaxResponseBytes + 1} {
		done, err := rec.Complete(testToken(1), Response{Status: 200, Body: bytes.Repeat([]byte{'x'}, size)}, testNow)
		assert.NilError(t, err)
		assert.Equal(t, done.Response.BodyOmitted, size > MaxResponseBytes)
		data, err := Encode(done)
		assert.NilError(t, err)
		assert.Assert(t, len(data) <= MaxRecordBytes)
	}
}

// Guards against accepting inconsistent or oversized records from the store: every
// record that Decode accepts must be encoded and decoded without change.
func FuzzDecode(f *testing.F) {
	files, err := filepath.Glob("testdata/records/*.json")
	assert.NilError(f, err)
	for _, name := range files {
		data, err := os.ReadFile(name)
		assert.NilError(f, err)
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		rec, err := Decode(data)
		if err != nil {
			assert.ErrorIs(t, err, ErrInvalidRecord)
			return
		}
		encoded, err := Encode(rec)
		assert.NilError(t, err)
		decoded, err := Decode(encoded)
		assert.NilError(t, err)
		reencoded, err := Encode(decoded)
		assert.NilError(t, err)
		assert.Equal(t, string(encoded), string(reencoded))
	})
}

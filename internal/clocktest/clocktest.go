// Package clocktest makes times for tests of code that must not depend on the time of day.
package clocktest

import (
	"testing"
	"time"
	"unsafe"

	"gotest.tools/v3/assert"
)

// AfterJump returns what time.Now would return at a time if the time of day had jumped by some
// seconds before: it has the same monotonic clock reading. Package time has no way to make such
// a time. The given one must have been returned by time.Now, or derive from one that was.
func AfterJump(t testing.TB, at time.Time, seconds int64) time.Time {
	t.Helper()
	const secondsShift = 30 // position of the seconds in the first word of a time.Time
	jumped := at
	*(*int64)(unsafe.Pointer(&jumped)) += seconds << secondsShift
	assert.Equal(t, jumped.Sub(at), time.Duration(0))
	assert.Equal(t, jumped.Round(0).Sub(at.Round(0)), time.Duration(seconds)*time.Second)
	return jumped
}

//go:build !race

package integration

// raceFlags holds the build flags of the daemon. Without the race detector in the
// test there are none.
var raceFlags []string

//go:build race

package integration

// raceFlags holds the build flags of the daemon, which uses the race detector if
// the test does.
var raceFlags = []string{"-race"}

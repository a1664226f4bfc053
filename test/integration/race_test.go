//go:build race

package integration

// raceFlags builds the daemon like the test.
var raceFlags = []string{"-race"}

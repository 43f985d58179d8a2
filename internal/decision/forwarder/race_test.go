//go:build race

package forwarder_test

// raceDetector reports whether the test runs with the race detector.
const raceDetector = true

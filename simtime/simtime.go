package simtime

import (
	"runtime"
	"testing"
	"testing/synctest"
)

// Run runs f in simulated time, as synctest.Test does, on one thread.
func Run(t *testing.T, f func(t *testing.T)) {
	t.Helper()
	// The race detector has one context for all timers of a bubble; timers that expire on two threads at once corrupt it.
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	synctest.Test(t, f)
}

// Package timer provides the timers of the reducers: one goroutine runs all
// named timers of a process and passes each one that expires to one sink.
package timer

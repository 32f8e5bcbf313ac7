//go:build race

package order_test

// histories is lower with the race detector, which makes each history ten times slower and finds nothing, as the tests use one goroutine.
const histories = "1000"

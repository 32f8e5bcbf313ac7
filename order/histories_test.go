//go:build !race

package order_test

// histories is the number of random histories per property test.
const histories = "10000"

// Package intake decides which request heads and connections of callers a
// process takes in, so that they stay within its memory and descriptors. It
// does no I/O and does not read the clock.
package intake

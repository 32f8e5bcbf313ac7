// Package runend decides whether the run of a stream at an engine has ended, so
// that the stream may go on at another one. An engine lists its runs in
// reports, which describe it as it was some hundred milliseconds ago. The
// package does no I/O and does not read the clock.
package runend

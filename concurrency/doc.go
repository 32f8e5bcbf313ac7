// Package concurrency limits how many requests may wait for an answer at once
// while the upstreams of a service recover. It does no I/O and does not read the
// clock.
package concurrency
